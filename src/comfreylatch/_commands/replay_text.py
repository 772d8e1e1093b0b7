"""Formats the report of a replay as text."""

from __future__ import annotations

from collections.abc import Iterator

from comfreylatch._commands import replay_report


def text_lines(report: replay_report.ReplayReport) -> Iterator[str]:
    """Yields the lines of a report."""
    yield (
        f"trace {report.trace} (seed {report.seed}), run {report.run}"
        + (f", policy {report.label}" if report.label else "")
        + f": {report.elapsed_ms / 1_000:.1f} s"
    )
    for service in report.requests:
        yield from _request_lines(service)
    if report.tries_per_request is not None:
        yield f"  tries per request: {report.tries_per_request}"
    if report.jobs is not None:
        yield from _job_lines(report.jobs)
    for outcome in report.outcomes:
        status = "kept" if outcome.kept else "NOT KEPT"
        measured = "not measured"
        if outcome.measured is not None:
            measured = f"{outcome.measured:g}"
        yield f"{outcome.name} {outcome.limit:g}: {measured}, {status}"


def _request_lines(stats: replay_report.RequestReport) -> Iterator[str]:
    yield f"service {stats.service}: {stats.sent} sent, {_counts(stats.seen)}"
    latency = stats.latency
    yield (
        f"  p50 {latency.p50_ms:.1f} ms, p99 {latency.p99_ms:.1f} ms, "
        f"p99.9 {latency.p999_ms:.1f} ms, max {latency.max_ms:.1f} ms"
    )
    yield f"  goodput: {stats.goodput_per_s:g} per second"
    if stats.reasons:
        yield (
            f"  not answered: {_counts(stats.reasons)}; "
            f"{stats.told_when_to_return} with a time to retry after"
        )
    if stats.late_starts:
        yield f"  sent late by the load generator: {stats.late_starts}"


def _job_lines(jobs: replay_report.JobReport) -> Iterator[str]:
    yield f"jobs: {_counts(jobs.submitted)}; phases: {_counts(jobs.phases)}"
    yield (
        f"  unfinished {jobs.unfinished}, evictions {jobs.evictions}, "
        f"losses {jobs.losses}"
    )
    yield (
        f"  {jobs.work_per_s:g} processor seconds of work per second; "
        f"due to end p50 {jobs.p50_ms:.0f} ms, p99 {jobs.p99_ms:.0f} ms"
    )
    yield (
        f"  due to first run p50 {jobs.start_p50_ms:.0f} ms, "
        f"p99 {jobs.start_p99_ms:.0f} ms, "
        f"urgent p99 {jobs.urgent_start_p99_ms:.0f} ms"
    )


def _counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{count} {label}" for label, count in counts.items())

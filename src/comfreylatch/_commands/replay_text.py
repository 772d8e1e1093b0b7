"""The report of a replay as text for a person."""

from __future__ import annotations

from collections.abc import Iterator

from comfreylatch._commands import replay_report


def text_lines(report: replay_report.ReplayReport) -> Iterator[str]:
    """The report for a person."""
    yield (
        f"trace {report.trace} (seed {report.seed}), run {report.run}"
        + (f", policy {report.label}" if report.label else "")
        + f": {report.elapsed_ms / 1_000:.1f} s"
    )
    for one in report.requests:
        yield from _request_lines(one)
    if report.tries_per_request is not None:
        yield f"  tries per request: {report.tries_per_request}"
    if report.jobs is not None:
        yield from _job_lines(report.jobs)
    for line in report.outcomes:
        word = "kept" if line.kept else "NOT KEPT"
        measured = "not measured"
        if line.measured is not None:
            measured = f"{line.measured:g}"
        yield f"{line.name} {line.limit:g}: {measured}, {word}"


def _request_lines(one: replay_report.RequestReport) -> Iterator[str]:
    yield f"service {one.service}: {one.sent} sent, {_words(one.seen)}"
    latency = one.latency
    yield (
        f"  p50 {latency.p50_ms:.1f} ms, p99 {latency.p99_ms:.1f} ms, "
        f"p99.9 {latency.p999_ms:.1f} ms, max {latency.max_ms:.1f} ms"
    )
    yield f"  goodput: {one.goodput_per_s:g} a second"
    if one.reasons:
        yield (
            f"  not answered: {_words(one.reasons)}; "
            f"{one.told_when_to_return} told when to come back"
        )
    if one.late_starts:
        yield f"  sent late by this tool: {one.late_starts}"


def _job_lines(one: replay_report.JobReport) -> Iterator[str]:
    yield f"jobs: {_words(one.submitted)}; phases: {_words(one.phases)}"
    yield (
        f"  unfinished {one.unfinished}, evictions {one.evictions}, "
        f"losses {one.losses}"
    )
    yield (
        f"  {one.work_per_s:g} processor seconds of work a second; "
        f"due to end p50 {one.p50_ms:.0f} ms, p99 {one.p99_ms:.0f} ms"
    )
    yield (
        f"  due to first run p50 {one.start_p50_ms:.0f} ms, "
        f"p99 {one.start_p99_ms:.0f} ms, "
        f"urgent p99 {one.urgent_start_p99_ms:.0f} ms"
    )


def _words(counts: dict[str, int]) -> str:
    return ", ".join(f"{count} {word}" for word, count in counts.items())

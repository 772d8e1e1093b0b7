"""Runs a replay and turns its measurements into a report."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import time
from typing import Any

import result

from comfreylatch._commands import client as clients
from comfreylatch._commands import load
from comfreylatch._commands import replay_jobs
from comfreylatch._commands import replay_report
from comfreylatch._commands import trace as traces
from comfreylatch._connection import address as addresses
from comfreylatch._process import metrics

# Time for threads to start before the first request is due.
HEAD_START_S = 0.2
METRICS_TIMEOUT_MS = 5_000


def run(
    trace: traces.Trace,
    options: load.LoadOptions,
    hosts: Sequence[addresses.Address],
    label: str,
    settle_ms: int,
) -> replay_report.ReplayReport:
    """Plays a trace once.

    Args:
        trace: What to play.
        options: How requests are sent.
        hosts: Operator addresses, for jobs and for the count of tries.
        label: Name of the policy under test.
        settle_ms: How long to wait for jobs after the last line.
    """
    tries_before = _tries(hosts)
    started_s = time.monotonic() + HEAD_START_S
    sender = load.Load(trace, options)
    sender.start(started_s)
    with replay_jobs.JobReplay(
        trace, hosts, options.run, options.speed
    ) as player:
        jobs = player.play(started_s, settle_ms)
    samples = sender.finish()
    elapsed_ms = (time.monotonic() - started_s) * 1_000
    tries = _tries_per_request(tries_before, _tries(hosts), len(samples))
    duration_ms = trace.header.duration_ms / options.speed
    return replay_report.ReplayReport(
        trace=trace.header.name,
        seed=trace.header.seed,
        run=options.run,
        label=label,
        duration_ms=int(duration_ms),
        elapsed_ms=int(elapsed_ms),
        requests=replay_report.request_reports(samples, duration_ms),
        jobs=replay_report.job_report(jobs, elapsed_ms),
        tries_per_request=tries,
        outcomes=replay_report.outcome_lines(
            trace.header.outcomes, samples, jobs, tries
        ),
    )


def _tries(hosts: Sequence[addresses.Address]) -> int | None:
    """Tries at endpoints so far; None unless every host tells its count."""
    total = 0
    for host in hosts:
        with clients.Client([host], METRICS_TIMEOUT_MS) as client:
            answer = client.read("/metrics")
        match answer:
            case result.Ok(reply) if reply.status == 200:
                total += sum(_try_counts(reply.value))
            case _:
                return None
    return total


def _tries_per_request(
    before: int | None, after: int | None, sent: int
) -> float | None:
    # A host replaced during the replay starts to count anew.
    if before is None or after is None or after <= before or not sent:
        return None
    return round((after - before) / sent, 4)


def _try_counts(page: Any) -> Iterator[int]:
    for line in page.get("latencies", ()):
        if line["latency"] == metrics.Latency.TRY:
            yield int(line["count"])


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

"""Runs a replay and creates its report."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import time
from typing import Any

import result

from comfreylatch._commands import client as clients
from comfreylatch._commands import load_generator
from comfreylatch._commands import replay_jobs
from comfreylatch._commands import replay_report
from comfreylatch._commands import trace as traces
from comfreylatch._connection import address as addresses
from comfreylatch._process import metrics

# Lets the threads start before the first request is due.
START_DELAY_S = 0.2
METRICS_TIMEOUT_MS = 5_000


def run(
    trace: traces.Trace,
    options: load_generator.LoadOptions,
    hosts: Sequence[addresses.Address],
    label: str,
    settle_ms: int,
) -> replay_report.ReplayReport:
    """Replays a trace once.

    `hosts` are operator addresses, used for jobs and to count tries. Jobs
    have `settle_ms` to end after the last line of the trace.
    """
    tries_before = _count_tries(hosts)
    started_s = time.monotonic() + START_DELAY_S
    generator = load_generator.LoadGenerator(trace, options)
    generator.start(started_s)
    with replay_jobs.JobReplay(
        trace, hosts, options.run, options.speed
    ) as job_replay:
        jobs = job_replay.play(started_s, settle_ms)
    samples = generator.finish()
    elapsed_ms = (time.monotonic() - started_s) * 1_000
    tries = _tries_per_request(tries_before, _count_tries(hosts), len(samples))
    duration_ms = trace.header.duration_ms / options.speed
    stated = trace.header.outcomes
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
        outcomes=replay_report.check_outcomes(stated, samples, jobs, tries),
    )


def _count_tries(hosts: Sequence[addresses.Address]) -> int | None:
    """Total tries at endpoints; None if a host does not report its count."""
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
    # A host that restarts during the replay resets its counter.
    if before is None or after is None or after <= before or not sent:
        return None
    return round((after - before) / sent, 4)


def _try_counts(page: Any) -> Iterator[int]:
    for line in page.get("latencies", ()):
        if line["latency"] == metrics.Latency.TRY:
            yield int(line["count"])

"""What a replay measured, and whether it kept the stated outcomes."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Sequence

import attrs
from hdrh import histogram

from comfreylatch._commands import load_generator
from comfreylatch._commands import replay_jobs
from comfreylatch._commands import trace as traces

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3


@attrs.frozen
class LatencyReport:
    """Times of answered requests from when they were due, in milliseconds.

    `encoded` is the whole histogram (HdrHistogram V2, microseconds), so that
    reports of several replays can be merged exactly.
    """

    count: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float
    encoded: str


@attrs.frozen
class RequestReport:
    """Requests of one service.

    Attributes:
        seen: Count by outcome as callers saw it.
        reasons: Count by reason, of requests that were not answered.
        statuses: Count by HTTP status.
        goodput_per_s: Answers with a status below 500, in time, per second.
        late_starts: Requests the tool itself sent too late; many make the
            figures worthless.
        told_when_to_return: Refusals that said when to come back.
    """

    service: str
    sent: int
    seen: dict[str, int]
    reasons: dict[str, int]
    statuses: dict[str, int]
    latency: LatencyReport
    goodput_per_s: float
    late_starts: int
    told_when_to_return: int


@attrs.frozen
class JobReport:
    """Batch work.

    Attributes:
        submitted: Count by answer to the submission.
        phases: Count by last phase seen, of accepted jobs.
        unfinished: Accepted jobs, not cancelled, that did not finish.
        work_per_s: Finished work in processor seconds per second.
        p50_ms: From when it was due to its end, at the median.
        start_p50_ms: From when it was due until it was first seen to run.
        urgent_start_p99_ms: The same, of urgent jobs.
    """

    submitted: dict[str, int]
    phases: dict[str, int]
    unfinished: int
    evictions: int
    losses: int
    work_per_s: float
    p50_ms: float
    p99_ms: float
    start_p50_ms: float
    start_p99_ms: float
    urgent_start_p99_ms: float


@attrs.frozen
class OutcomeCheck:
    """One stated outcome; `measured` is None when it was not measured."""

    name: str
    limit: float
    measured: float | None
    kept: bool


@attrs.frozen
class ReplayReport:
    """The whole report of one replay.

    Attributes:
        label: What the policy under test is called.
        tries_per_request: Tries at endpoints, as the hosts counted them,
            per request sent; None when the hosts were not asked.
    """

    trace: str
    seed: int
    run: str
    label: str
    duration_ms: int
    elapsed_ms: int
    requests: tuple[RequestReport, ...]
    jobs: JobReport | None
    tries_per_request: float | None
    outcomes: tuple[OutcomeCheck, ...]

    @property
    def kept(self) -> bool:
        """Whether every stated outcome was kept."""
        return all(line.kept for line in self.outcomes)


def request_reports(
    samples: Sequence[load_generator.Sample], duration_ms: float
) -> tuple[RequestReport, ...]:
    """One report a service."""
    by_service: dict[str, list[load_generator.Sample]] = (
        collections.defaultdict(list)
    )
    for sample in samples:
        by_service[sample.service].append(sample)
    return tuple(
        _request_report(service, found, duration_ms)
        for service, found in sorted(by_service.items())
    )


def _request_report(
    service: str, samples: list[load_generator.Sample], duration_ms: float
) -> RequestReport:
    missed = [
        one
        for one in samples
        if one.seen is not load_generator.ObservedOutcome.ANSWERED
    ]
    return RequestReport(
        service=service,
        sent=len(samples),
        seen=_counts(one.seen for one in samples),
        reasons=_counts(one.reason or "none given" for one in missed),
        statuses=_counts(str(one.status) for one in samples),
        latency=latency_report(samples),
        goodput_per_s=_goodput(samples, duration_ms),
        late_starts=sum(
            one.late_ms > load_generator.LATE_START_MS for one in samples
        ),
        told_when_to_return=sum(one.retry_after_ms > 0 for one in missed),
    )


def _counts(words: Iterable[str]) -> dict[str, int]:
    return dict(sorted(collections.Counter(map(str, words)).items()))


def _goodput(
    samples: Iterable[load_generator.Sample], duration_ms: float
) -> float:
    good = sum(
        one.seen is load_generator.ObservedOutcome.ANSWERED
        and one.status < 500
        and one.elapsed_ms <= one.timeout_ms
        for one in samples
    )
    return round(good / max(duration_ms / 1_000, 0.001), 2)


def latency_report(samples: Iterable[load_generator.Sample]) -> LatencyReport:
    """Quantiles over answered requests."""
    found = histogram.HdrHistogram(
        MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
    )
    for one in samples:
        if one.seen is load_generator.ObservedOutcome.ANSWERED:
            elapsed_us = int(one.elapsed_ms * 1_000)
            found.record_value(
                min(max(elapsed_us, MIN_LATENCY_US), MAX_LATENCY_US)
            )
    return LatencyReport(
        count=found.get_total_count(),
        p50_ms=found.get_value_at_percentile(50) / 1_000,
        p99_ms=found.get_value_at_percentile(99) / 1_000,
        p999_ms=found.get_value_at_percentile(99.9) / 1_000,
        max_ms=found.get_max_value() / 1_000,
        encoded=found.encode().decode("ascii"),
    )


def job_report(
    samples: Sequence[replay_jobs.JobSample], elapsed_ms: float
) -> JobReport | None:
    """Report on jobs; None when the trace has none."""
    if not samples:
        return None
    accepted = [one for one in samples if one.submitted == "accepted"]
    finished = [one for one in accepted if one.phase == "finished"]
    wanted = [one for one in accepted if not one.cancelled]
    times_ms = sorted(one.ended_ms - one.due_ms for one in finished)
    starts_ms = _start_times(accepted)
    urgent_ms = _start_times([one for one in accepted if one.urgent])
    work_s = sum(
        one.run_time_ms / 1_000 * one.processors_milli / 1_000
        for one in finished
    )
    return JobReport(
        submitted=_counts(one.submitted for one in samples),
        phases=_counts(one.phase for one in accepted),
        unfinished=sum(one.phase != "finished" for one in wanted),
        evictions=sum(one.evictions for one in accepted),
        losses=sum(one.losses for one in accepted),
        work_per_s=round(work_s / max(elapsed_ms / 1_000, 0.001), 3),
        p50_ms=_quantile(times_ms, 0.5),
        p99_ms=_quantile(times_ms, 0.99),
        start_p50_ms=_quantile(starts_ms, 0.5),
        start_p99_ms=_quantile(starts_ms, 0.99),
        urgent_start_p99_ms=_quantile(urgent_ms, 0.99),
    )


def _start_times(jobs: Iterable[replay_jobs.JobSample]) -> list[float]:
    return sorted(one.started_ms - one.due_ms for one in jobs if one.started_ms)


def _quantile(ordered: Sequence[float], fraction: float) -> float:
    if not ordered:
        return 0.0
    return round(
        ordered[min(int(fraction * len(ordered)), len(ordered) - 1)], 1
    )


def outcome_lines(
    stated: traces.StatedOutcomes,
    samples: Sequence[load_generator.Sample],
    jobs: Sequence[replay_jobs.JobSample],
    tries_per_request: float | None,
) -> tuple[OutcomeCheck, ...]:
    """Compares what was measured with what was stated."""
    measured = {
        **_measure_requests(samples),
        **_measure_jobs(jobs),
        "tries_per_request_max": tries_per_request,
    }
    lines = []
    for name, limit in attrs.asdict(stated).items():
        if limit is None:
            continue
        value = measured.get(name)
        if value is None:
            kept = False
        elif name.endswith("_min"):
            kept = value >= limit
        else:
            kept = value <= limit
        lines.append(OutcomeCheck(name, limit, value, kept))
    return tuple(lines)


def _measure_requests(
    samples: Sequence[load_generator.Sample],
) -> dict[str, float | None]:
    if not samples:
        return {}
    seen = collections.Counter(one.seen for one in samples)
    doubtful = (
        seen[load_generator.ObservedOutcome.UNKNOWN]
        + seen[load_generator.ObservedOutcome.LOST]
    )
    measures: dict[str, float | None] = {
        "answered_percent_min": 100
        * seen[load_generator.ObservedOutcome.ANSWERED]
        / len(samples),
        "unknown_percent_max": 100 * doubtful / len(samples),
    }
    latency = latency_report(samples)
    if latency.count:
        measures["p50_ms_max"] = latency.p50_ms
        measures["p99_ms_max"] = latency.p99_ms
        measures["p999_ms_max"] = latency.p999_ms
    return measures


def _measure_jobs(
    jobs: Sequence[replay_jobs.JobSample],
) -> dict[str, float | None]:
    wanted = [
        one for one in jobs if one.submitted == "accepted" and not one.cancelled
    ]
    if not wanted:
        return {}
    finished = sum(one.phase == "finished" for one in wanted)
    measures: dict[str, float | None] = {
        "jobs_finished_percent_min": 100 * finished / len(wanted),
        "evictions_max": sum(one.evictions for one in jobs),
    }
    urgent_ms = _start_times([one for one in wanted if one.urgent])
    if urgent_ms:
        measures["urgent_start_p99_ms_max"] = _quantile(urgent_ms, 0.99)
    return measures

"""Computes the report of a replay and checks the stated outcomes."""

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
    """Latencies of answered requests, counted from their due time.

    `encoded` is the histogram (HdrHistogram V2, microseconds), so that
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
    """Results of the requests of one service.

    Attributes:
        seen: Count by outcome observed by the caller.
        reasons: Count by reason, for requests that were not answered.
        statuses: Count by HTTP status.
        goodput_per_s: Answers per second with a status below 500 that arrived
            within the timeout.
        late_starts: Requests that the load generator sent too late; many of
            them invalidate the results.
        told_when_to_return: Refusals with a time to retry after.
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
    """Results of the jobs.

    Attributes:
        submitted: Count by result of the submission.
        phases: Count by last observed phase, for accepted jobs.
        unfinished: Accepted jobs that neither finished nor were cancelled.
        work_per_s: Processor seconds of finished jobs per second.
        p50_ms: Median time from due to end.
        start_p50_ms: Median time from due to first observed run.
        urgent_start_p99_ms: 99th percentile of the same time of urgent jobs.
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
    """Result of one stated outcome.

    Attributes:
        name: Field of `StatedOutcomes`.
        limit: The stated limit.
        measured: None if it could not be measured.
        kept: Whether the outcome was met; False if it could not be measured.
    """

    name: str
    limit: float
    measured: float | None
    kept: bool


@attrs.frozen
class ReplayReport:
    """Report of one replay.

    Attributes:
        label: Name of the policy under test.
        tries_per_request: Tries at endpoints, counted by the hosts, per
            request sent; None if a host did not provide its count.
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
    def all_outcomes_met(self) -> bool:
        """Whether all stated outcomes were met."""
        return all(outcome.kept for outcome in self.outcomes)


def request_reports(
    samples: Sequence[load_generator.Sample], duration_ms: float
) -> tuple[RequestReport, ...]:
    """Creates one report per service."""
    by_service: dict[str, list[load_generator.Sample]] = (
        collections.defaultdict(list)
    )
    for sample in samples:
        by_service[sample.service].append(sample)
    return tuple(
        _request_report(service, service_samples, duration_ms)
        for service, service_samples in sorted(by_service.items())
    )


def _request_report(
    service: str, samples: list[load_generator.Sample], duration_ms: float
) -> RequestReport:
    unanswered = [
        sample
        for sample in samples
        if sample.outcome is not load_generator.ObservedOutcome.ANSWERED
    ]
    return RequestReport(
        service=service,
        sent=len(samples),
        seen=_counts(sample.outcome for sample in samples),
        reasons=_counts(sample.reason or "none given" for sample in unanswered),
        statuses=_counts(str(sample.status) for sample in samples),
        latency=latency_report(samples),
        goodput_per_s=_goodput(samples, duration_ms),
        late_starts=sum(
            sample.late_ms > load_generator.LATE_START_MS for sample in samples
        ),
        told_when_to_return=sum(
            sample.retry_after_ms > 0 for sample in unanswered
        ),
    )


def _counts(labels: Iterable[str]) -> dict[str, int]:
    return dict(sorted(collections.Counter(map(str, labels)).items()))


def _goodput(
    samples: Iterable[load_generator.Sample], duration_ms: float
) -> float:
    good = sum(
        sample.outcome is load_generator.ObservedOutcome.ANSWERED
        and sample.status < 500
        and sample.elapsed_ms <= sample.timeout_ms
        for sample in samples
    )
    return round(good / max(duration_ms / 1_000, 0.001), 2)


def latency_report(samples: Iterable[load_generator.Sample]) -> LatencyReport:
    """Computes latency quantiles of answered requests."""
    latencies = histogram.HdrHistogram(
        MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
    )
    for sample in samples:
        if sample.outcome is load_generator.ObservedOutcome.ANSWERED:
            elapsed_us = int(sample.elapsed_ms * 1_000)
            latencies.record_value(
                min(max(elapsed_us, MIN_LATENCY_US), MAX_LATENCY_US)
            )
    return LatencyReport(
        count=latencies.get_total_count(),
        p50_ms=latencies.get_value_at_percentile(50) / 1_000,
        p99_ms=latencies.get_value_at_percentile(99) / 1_000,
        p999_ms=latencies.get_value_at_percentile(99.9) / 1_000,
        max_ms=latencies.get_max_value() / 1_000,
        encoded=latencies.encode().decode("ascii"),
    )


def job_report(
    samples: Sequence[replay_jobs.JobSample], elapsed_ms: float
) -> JobReport | None:
    """Creates the report of jobs; None if there are none."""
    if not samples:
        return None
    accepted = [sample for sample in samples if sample.submitted == "accepted"]
    finished = [sample for sample in accepted if sample.phase == "finished"]
    not_cancelled = [sample for sample in accepted if not sample.cancelled]
    times_ms = sorted(sample.ended_ms - sample.due_ms for sample in finished)
    starts_ms = _start_times(accepted)
    urgent_ms = _start_times([sample for sample in accepted if sample.urgent])
    work_s = sum(
        sample.run_time_ms / 1_000 * sample.processors_milli / 1_000
        for sample in finished
    )
    return JobReport(
        submitted=_counts(sample.submitted for sample in samples),
        phases=_counts(sample.phase for sample in accepted),
        unfinished=sum(sample.phase != "finished" for sample in not_cancelled),
        evictions=sum(sample.evictions for sample in accepted),
        losses=sum(sample.losses for sample in accepted),
        work_per_s=round(work_s / max(elapsed_ms / 1_000, 0.001), 3),
        p50_ms=_quantile(times_ms, 0.5),
        p99_ms=_quantile(times_ms, 0.99),
        start_p50_ms=_quantile(starts_ms, 0.5),
        start_p99_ms=_quantile(starts_ms, 0.99),
        urgent_start_p99_ms=_quantile(urgent_ms, 0.99),
    )


def _start_times(jobs: Iterable[replay_jobs.JobSample]) -> list[float]:
    return sorted(
        sample.started_ms - sample.due_ms
        for sample in jobs
        if sample.started_ms
    )


def _quantile(ordered: Sequence[float], fraction: float) -> float:
    if not ordered:
        return 0.0
    return round(
        ordered[min(int(fraction * len(ordered)), len(ordered) - 1)], 1
    )


def check_outcomes(
    stated: traces.StatedOutcomes,
    samples: Sequence[load_generator.Sample],
    jobs: Sequence[replay_jobs.JobSample],
    tries_per_request: float | None,
) -> tuple[OutcomeCheck, ...]:
    """Compares measured with stated outcomes."""
    measured = {
        **_measure_requests(samples),
        **_measure_jobs(jobs),
        "tries_per_request_max": tries_per_request,
    }
    checks = []
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
        checks.append(OutcomeCheck(name, limit, value, kept))
    return tuple(checks)


def _measure_requests(
    samples: Sequence[load_generator.Sample],
) -> dict[str, float | None]:
    if not samples:
        return {}
    counts = collections.Counter(sample.outcome for sample in samples)
    uncertain = (
        counts[load_generator.ObservedOutcome.UNKNOWN]
        + counts[load_generator.ObservedOutcome.LOST]
    )
    measures: dict[str, float | None] = {
        "answered_percent_min": 100
        * counts[load_generator.ObservedOutcome.ANSWERED]
        / len(samples),
        "unknown_percent_max": 100 * uncertain / len(samples),
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
    not_cancelled = [
        job for job in jobs if job.submitted == "accepted" and not job.cancelled
    ]
    if not not_cancelled:
        return {}
    finished = sum(job.phase == "finished" for job in not_cancelled)
    measures: dict[str, float | None] = {
        "jobs_finished_percent_min": 100 * finished / len(not_cancelled),
        "evictions_max": sum(job.evictions for job in jobs),
    }
    urgent_ms = _start_times([job for job in not_cancelled if job.urgent])
    if urgent_ms:
        measures["urgent_start_p99_ms_max"] = _quantile(urgent_ms, 0.99)
    return measures

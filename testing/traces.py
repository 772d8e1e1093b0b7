"""Generates traces for both deployments from a seed.

`python -m testing.traces FOLDER` writes one file for each deployment and load
shape. Rates follow from the deployment's slots and the work of a request, so
that a load of 1 fills every slot.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from collections.abc import Iterator
import enum
import math
import pathlib
import random

import attrs

from comfreylatch._commands import job as job_module
from comfreylatch._commands import trace as traces
from comfreylatch._ports import workers
from testing import deployments
from testing.standins import worker_model

DEFAULT_DURATION_MS = 60_000
SLOTS_PER_ENDPOINT = 8
CALLER_COUNT = 40
CALM_LOAD = 0.35
SHIFTED_LOAD = 0.75
BURST_LOAD = 1.3
BURST_INTERVAL_MS = 20_000
BURST_DURATION_MS = 2_000
# 99th percentile of the standard normal distribution.
P99_Z_SCORE = 2.326
JOB_LOAD_FRACTION = 0.6
FAILING_JOB_PROBABILITY = 0.02
OVERSIZED_JOB_PROBABILITY = 0.01
URGENT_JOB_PROBABILITY = 0.05
JOB_CANCELLATION_PROBABILITY = 0.05
CANCELLATION_AT_FRACTION = 0.6
MAX_URGENT_START_P99_MS = 6_000.0


class LoadShape(enum.StrEnum):
    """How the load changes over a trace."""

    CALM = "calm"
    SHIFT = "shift"
    BURST = "burst"


@attrs.frozen
class Workload:
    """Requests and jobs that one user of the scheduler sends.

    Attributes:
        deployment: Deployment that receives them.
        work_ms: Median work of a request, in milliseconds.
        work_log_stddev: Standard deviation of the logarithm of the work.
        timeout_ms: Timeout of callers.
        idempotent_probability: Probability that a request is idempotent.
        body_bytes: Size of a request's body.
        job_run_time_ms: Median declared run time of a job.
        job_processors_milli: Processors that jobs declare.
    """

    deployment: deployments.Deployment
    work_ms: float
    work_log_stddev: float
    timeout_ms: int
    idempotent_probability: float
    body_bytes: int
    job_run_time_ms: float
    job_processors_milli: tuple[int, ...]

    @property
    def full_rate_per_s(self) -> float:
        """Requests per second that fill every slot."""
        mean_s = self.work_ms / 1_000 * math.exp(self.work_log_stddev**2 / 2)
        return self.deployment.endpoints * SLOTS_PER_ENDPOINT / mean_s


def utility_night() -> Workload:
    """Calibration requests at night, beside stacking jobs."""
    return Workload(
        deployment=deployments.utility(),
        work_ms=400.0,
        work_log_stddev=0.4,
        timeout_ms=3_000,
        idempotent_probability=0.8,
        body_bytes=2_048,
        job_run_time_ms=8_000.0,
        job_processors_milli=(2_000, 4_000, 8_000),
    )


def workshop_day() -> Workload:
    """Quotes and orders by day, beside mandrel planning jobs."""
    return Workload(
        deployment=deployments.workshop(),
        work_ms=300.0,
        work_log_stddev=0.4,
        timeout_ms=1_500,
        idempotent_probability=0.6,
        body_bytes=512,
        job_run_time_ms=4_000.0,
        job_processors_milli=(1_000, 2_000, 4_000),
    )


WORKLOADS: dict[str, Callable[[], Workload]] = {
    "utility-night": utility_night,
    "workshop-day": workshop_day,
}


class TraceGenerator:
    """Generates one trace from a seed."""

    def __init__(
        self,
        name: str,
        workload: Workload,
        shape: LoadShape,
        seed: int,
        duration_ms: int,
        scale: float = 1.0,
    ) -> None:
        self._name = f"{name}-{shape}"
        self._workload = workload
        self._shape = shape
        self._seed = seed
        self._duration_ms = duration_ms
        self._scale = scale
        self._random = random.Random(f"{seed}/{self._name}")

    def generate(self, with_jobs: bool = True) -> traces.Trace:
        """Generates the trace, with or without jobs."""
        lines: list[traces.TraceLine] = list(self._requests())
        if with_jobs:
            jobs = list(self._jobs())
            lines += jobs
            lines += self._cancellations(jobs)
        lines.sort(key=lambda line: line.at_ms)
        header = traces.Header(
            format=traces.FORMAT,
            name=self._name,
            seed=self._seed,
            duration_ms=self._duration_ms,
            outcomes=self._outcomes(lines),
        )
        return traces.Trace(header, tuple(lines))

    def _load(self, at_ms: float) -> float:
        match self._shape:
            case LoadShape.CALM:
                return CALM_LOAD
            case LoadShape.SHIFT:
                shifted = at_ms >= self._duration_ms / 3
                return SHIFTED_LOAD if shifted else CALM_LOAD
            case LoadShape.BURST:
                in_burst = (
                    at_ms % BURST_INTERVAL_MS
                    >= BURST_INTERVAL_MS - BURST_DURATION_MS
                )
                return BURST_LOAD if in_burst else CALM_LOAD

    def _requests(self) -> Iterator[traces.TracedRequest]:
        peak = max(CALM_LOAD, SHIFTED_LOAD, BURST_LOAD)
        rate = self._workload.full_rate_per_s * peak * self._scale
        at_ms = 0.0
        while True:
            at_ms += self._random.expovariate(rate) * 1_000
            if at_ms >= self._duration_ms:
                return
            # Thinning: a Poisson process whose rate follows the load.
            if self._random.random() < self._load(at_ms) / peak:
                yield self._request(at_ms)

    def _request(self, at_ms: float) -> traces.TracedRequest:
        workload = self._workload
        # The load is skewed: callers with low numbers send most requests.
        caller = int(CALLER_COUNT * self._random.random() ** 2)
        work_ms = workload.work_ms * self._random.lognormvariate(
            0.0, workload.work_log_stddev
        )
        return traces.TracedRequest(
            at_ms=round(at_ms, 3),
            service=workload.deployment.service,
            caller=f"caller-{caller}",
            zone=self._zone(at_ms),
            idempotent=self._random.random() < workload.idempotent_probability,
            timeout_ms=workload.timeout_ms,
            body_bytes=workload.body_bytes,
            work_ms=round(work_ms, 3),
        )

    def _zone(self, at_ms: float) -> str:
        zones = self._workload.deployment.zones
        weights = [1.0] * len(zones)
        if self._shape is LoadShape.SHIFT and at_ms >= self._duration_ms / 3:
            weights[0] = 2.0
        return self._random.choices(zones, weights)[0]

    def _jobs(self) -> Iterator[traces.TracedJob]:
        workload = self._workload
        deployment = workload.deployment
        free_milli = deployment.workers * (
            deployment.worker_capacity.processors_milli
            - deployment.endpoint_resources.processors_milli
        )
        sizes = workload.job_processors_milli
        mean_milli = sum(sizes) / len(sizes)
        job_work = mean_milli * workload.job_run_time_ms / 1_000
        rate = JOB_LOAD_FRACTION * free_milli / job_work * self._scale
        at_ms = 0.0
        number = 0
        while True:
            at_ms += self._random.expovariate(rate) * 1_000
            if at_ms >= self._duration_ms:
                return
            number += 1
            yield traces.TracedJob(round(at_ms, 3), self._job(number))

    def _job(self, number: int) -> job_module.JobDocument:
        workload = self._workload
        deployment = workload.deployment
        processors_milli = self._random.choice(workload.job_processors_milli)
        job_class = self._random.choice(deployment.job_classes)
        draw = self._random.random()
        if draw < FAILING_JOB_PROBABILITY:
            job_class = worker_model.FAILING_JOB_MARKER
        elif draw < FAILING_JOB_PROBABILITY + OVERSIZED_JOB_PROBABILITY:
            processors_milli = deployment.worker_capacity.processors_milli * 2
        run_time_ms = workload.job_run_time_ms * self._random.lognormvariate(
            0.0, 0.5
        )
        team = self._random.choice(deployment.teams)
        may_be_urgent = team == deployment.teams[0]
        return job_module.JobDocument(
            id=f"job-{number}",
            team=team,
            job_class=job_class,
            resources=workers.Resources(processors_milli, processors_milli, 0),
            run_time_ms=int(run_time_ms),
            zone=self._random.choice(deployment.zones),
            urgent=may_be_urgent
            and self._random.random() < URGENT_JOB_PROBABILITY,
        )

    def _cancellations(
        self, jobs: list[traces.TracedJob]
    ) -> Iterator[traces.TracedCancellation]:
        """Cancels some earlier jobs, all at the same time."""
        at_ms = self._duration_ms * CANCELLATION_AT_FRACTION
        for traced_job in jobs:
            chosen = self._random.random() < JOB_CANCELLATION_PROBABILITY
            if traced_job.at_ms < at_ms and chosen:
                yield traces.TracedCancellation(at_ms, traced_job.job.id)

    def _outcomes(self, lines: list[traces.TraceLine]) -> traces.StatedOutcomes:
        workload = self._workload
        work_p99_ms = workload.work_ms * math.exp(
            P99_Z_SCORE * workload.work_log_stddev
        )
        calm = self._shape is LoadShape.CALM
        finished_percent = self._finished_percent(lines)
        has_jobs = finished_percent is not None
        return traces.StatedOutcomes(
            answered_percent_min=99.5 if calm else 95.0,
            p99_ms_max=round(work_p99_ms * (1.25 if calm else 1.6)),
            unknown_percent_max=0.5,
            tries_per_request_max=1.1,
            jobs_finished_percent_min=finished_percent,
            urgent_start_p99_ms_max=MAX_URGENT_START_P99_MS
            if has_jobs
            else None,
        )

    def _finished_percent(self, lines: list[traces.TraceLine]) -> float | None:
        """Percentage of accepted, uncancelled jobs that can finish."""
        cancelled = {
            line.job
            for line in lines
            if isinstance(line, traces.TracedCancellation)
        }
        capacity = self._workload.deployment.worker_capacity
        accepted = [
            line.job
            for line in lines
            if isinstance(line, traces.TracedJob)
            and line.job.id not in cancelled
            and worker_model.fits(line.job.resources, capacity)
        ]
        if not accepted:
            return None
        finishable = sum(
            job.job_class != worker_model.FAILING_JOB_MARKER for job in accepted
        )
        return math.floor(1_000 * finishable / len(accepted)) / 10


def main() -> None:
    """Writes the traces of all workloads and load shapes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration-ms", type=int, default=DEFAULT_DURATION_MS)
    parser.add_argument("--scale", type=float, default=1.0)
    args = parser.parse_args()
    args.folder.mkdir(parents=True, exist_ok=True)
    for name, workload in WORKLOADS.items():
        for shape in LoadShape:
            generator = TraceGenerator(
                name,
                workload(),
                shape,
                args.seed,
                args.duration_ms,
                args.scale,
            )
            path = args.folder / f"{name}-{shape}.jsonl"
            path.write_bytes(traces.encode(generator.generate()))
            print(path)


if __name__ == "__main__":
    main()

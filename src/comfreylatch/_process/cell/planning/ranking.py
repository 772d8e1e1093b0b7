"""Order in which jobs get workers, by the value lost while they wait.

A job has most value if it ends by its objective, little until three times
that, and none after. Among jobs of the same timeliness, the one with the most
value for each remaining core-second goes first.
"""

from __future__ import annotations

import enum

import attrs

from comfreylatch._process.cell import duration_model as duration_model_module
from comfreylatch._process.cell import runs as runs_module

# A job that ends within this many times its objective still has some value.
LATE_FACTOR = 3.0
# Share of a queue's mean value that every finished job has; the rest is in
# proportion to its work.
FIXED_VALUE_SHARE = 0.3


class Timeliness(enum.IntEnum):
    """When a job can still end, relative to its objective."""

    ON_TIME = 0
    LATE = 1
    WORTHLESS = 2


@attrs.frozen(order=True)
class Rank:
    """Sort key of a step; the lowest goes first.

    Attributes:
        timeliness: When its job can still end.
        priority: Priority of its queue.
        negative_value_density: Negative value of its job for each remaining
            core-millisecond; 0 for a lasting step.
        since_ms: Monotonic time of its job's acceptance; of a lasting step,
            time since which its oldest pending task has waited.
    """

    timeliness: Timeliness
    priority: int
    negative_value_density: float
    since_ms: int


@attrs.frozen
class _RemainingWork:
    """Expected work left in one occurrence of a job.

    Attributes:
        critical_path_ms: Duration of its longest chain of unfinished steps.
        core_ms: Milliseconds of one core that its unfinished tasks need in
            total.
    """

    critical_path_ms: float
    core_ms: float


@attrs.define(eq=False)
class QueueWork:
    """Smoothed mean work of a queue's jobs, in milliseconds of one core."""

    mean_core_ms: float = 0.0

    def observe(self, core_ms: float) -> None:
        """Adds the work of a job to the mean."""
        if self.mean_core_ms == 0:
            self.mean_core_ms = core_ms
        self.mean_core_ms += 0.05 * (core_ms - self.mean_core_ms)


class Ranker:
    """Ranks steps by the expected durations of their jobs."""

    def __init__(self, durations: duration_model_module.DurationModel) -> None:
        self._durations = durations
        self._queues: dict[str, QueueWork] = {}

    def add_job(self, job: runs_module.ActiveJob) -> None:
        """Adds the work of a new job to the mean of its queue."""
        queue = job.spec.queue.name
        work = self._queues.setdefault(queue, QueueWork())
        work.observe(self._total_core_ms(job))

    def _total_core_ms(self, job: runs_module.ActiveJob) -> float:
        queue = job.spec.queue.name
        return sum(
            self._durations.estimate_ms(queue, step)
            * step.task_count
            * max(step.cpu_millicores, 1)
            / 1_000
            for step in job.spec.steps
        )

    def critical_path_ms(self, job: runs_module.ActiveJob) -> float:
        """Expected duration of a job's longest chain of steps."""
        queue = job.spec.queue.name
        end_times_ms: list[float] = []
        for step in job.spec.steps:
            start_ms = max(
                (
                    end_times_ms[n]
                    for n in step.depends_on
                    if n < len(end_times_ms)
                ),
                default=0.0,
            )
            end_times_ms.append(
                start_ms + self._durations.estimate_ms(queue, step)
            )
        return max(end_times_ms, default=0.0)

    def objective_ms(self, job: runs_module.ActiveJob) -> float:
        """Time after its acceptance within which a job should end."""
        queue = job.spec.queue
        return queue.slack_factor * self.critical_path_ms(job) + queue.target_ms

    def _remaining_work(
        self, job: runs_module.ActiveJob, occurrence: int
    ) -> _RemainingWork:
        queue = job.spec.queue.name
        end_times_ms: list[float] = []
        core_ms = 0.0
        for step in job.steps[occurrence]:
            estimate_ms = self._durations.estimate_ms(queue, step.spec)
            start_ms = max(
                (
                    end_times_ms[n]
                    for n in step.spec.depends_on
                    if n < len(end_times_ms)
                ),
                default=0.0,
            )
            remaining_ms = estimate_ms if step.unfinished_count else 0.0
            end_times_ms.append(start_ms + remaining_ms)
            core_ms += (
                step.unfinished_count
                * estimate_ms
                * step.spec.cpu_millicores
                / 1_000
            )
        return _RemainingWork(max(end_times_ms, default=0.0), core_ms)

    def rank(self, step: runs_module.StepInstance, now_ms: int) -> Rank:
        """Returns the rank of a ready step."""
        job = step.job
        queue = job.spec.queue
        if step.spec.is_lasting:
            since_ms = step.oldest_pending_ms
            return Rank(Timeliness.ON_TIME, queue.priority, 0, since_ms)
        remaining = self._remaining_work(job, step.occurrence)
        objective_ms = self.objective_ms(job)
        end_ms = now_ms - job.accepted_ms + remaining.critical_path_ms
        timeliness = Timeliness.WORTHLESS
        if end_ms <= objective_ms:
            timeliness = Timeliness.ON_TIME
        elif end_ms <= LATE_FACTOR * objective_ms:
            timeliness = Timeliness.LATE
        total_core_ms = self._total_core_ms(job)
        work = self._queues.get(queue.name)
        # Only an explained job can be the first of its queue here.
        mean = max(work.mean_core_ms if work else total_core_ms, 1.0)
        value = FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * min(
            total_core_ms / mean, 4.0
        )
        value_density = value / max(remaining.core_ms, 1.0)
        return Rank(timeliness, queue.priority, -value_density, job.accepted_ms)

"""In which order jobs get workers, by what is lost while they wait.

A job earns most when it ends by its objective, little until three times that,
and nothing after. Among jobs that can still make the same, the one with more
worth for each core-second left goes first.
"""

from __future__ import annotations

import enum

import attrs

from comfreylatch._process.cell import duration_model as duration_model_module
from comfreylatch._process.cell import runs as runs_module

# A job that ends within this many times its objective still earns something.
LATE_FACTOR = 3.0
# A job is worth this share of its queue's mean for being done at all, and
# the rest in proportion to its work.
FIXED_WORTH_SHARE = 0.3


class Prospect(enum.IntEnum):
    """What a job can still earn."""

    ON_TIME = 0
    LATE = 1
    NOTHING = 2


@attrs.frozen(order=True)
class Rank:
    """Sorts steps; the lowest goes first."""

    prospect: Prospect
    priority: int
    negative_density: float
    since_ms: int


@attrs.frozen
class _Left:
    chain_ms: float
    core_ms: float


@attrs.define(eq=False)
class QueueWork:
    """Mean work of a queue's jobs, smoothed."""

    mean_core_ms: float = 0.0

    def observe(self, core_ms: float) -> None:
        """Takes in the declared work of a job."""
        if self.mean_core_ms == 0:
            self.mean_core_ms = core_ms
        self.mean_core_ms += 0.05 * (core_ms - self.mean_core_ms)


class Ranker:
    """Ranks jobs by what is known of durations."""

    def __init__(self, durations: duration_model_module.DurationModel) -> None:
        self._durations = durations
        self._queues: dict[str, QueueWork] = {}

    def add_job(self, job: runs_module.ActiveJob) -> None:
        """Takes in a new job's work."""
        queue = job.spec.queue.name
        work = self._queues.setdefault(queue, QueueWork())
        work.observe(self._whole_core_ms(job))

    def _whole_core_ms(self, job: runs_module.ActiveJob) -> float:
        queue = job.spec.queue.name
        return sum(
            self._durations.estimate_ms(queue, step)
            * step.task_count
            * max(step.cpu_millicores, 1)
            / 1_000
            for step in job.spec.steps
        )

    def chain_ms(self, job: runs_module.ActiveJob) -> float:
        """Expected length of a job's longest chain of steps."""
        queue = job.spec.queue.name
        ends: list[float] = []
        for step in job.spec.steps:
            before = max(
                (ends[n] for n in step.depends_on if n < len(ends)),
                default=0.0,
            )
            ends.append(before + self._durations.estimate_ms(queue, step))
        return max(ends, default=0.0)

    def objective_ms(self, job: runs_module.ActiveJob) -> float:
        """Time from its acceptance in which a job should end."""
        queue = job.spec.queue
        return queue.slack_factor * self.chain_ms(job) + queue.target_ms

    def _left(self, job: runs_module.ActiveJob, occurrence: int) -> _Left:
        queue = job.spec.queue.name
        ends: list[float] = []
        core_ms = 0.0
        for step in job.steps[occurrence]:
            estimate_ms = self._durations.estimate_ms(queue, step.spec)
            before = max(
                (ends[n] for n in step.spec.depends_on if n < len(ends)),
                default=0.0,
            )
            own = estimate_ms if step.unfinished_count else 0.0
            ends.append(before + own)
            core_ms += (
                step.unfinished_count
                * estimate_ms
                * step.spec.cpu_millicores
                / 1_000
            )
        return _Left(max(ends, default=0.0), core_ms)

    def rank(self, step: runs_module.StepInstance, now_ms: int) -> Rank:
        """The rank of a step that is ready."""
        job = step.job
        queue = job.spec.queue
        if step.spec.is_lasting:
            since_ms = step.oldest_pending_ms
            return Rank(Prospect.ON_TIME, queue.priority, 0, since_ms)
        left = self._left(job, step.occurrence)
        objective_ms = self.objective_ms(job)
        end_ms = now_ms - job.accepted_ms + left.chain_ms
        prospect = Prospect.NOTHING
        if end_ms <= objective_ms:
            prospect = Prospect.ON_TIME
        elif end_ms <= LATE_FACTOR * objective_ms:
            prospect = Prospect.LATE
        mean = max(self._queues[queue.name].mean_core_ms, 1.0)
        worth = FIXED_WORTH_SHARE + (1 - FIXED_WORTH_SHARE) * min(
            self._whole_core_ms(job) / mean, 4.0
        )
        density = worth / max(left.core_ms, 1.0)
        return Rank(prospect, queue.priority, -density, job.accepted_ms)

"""Assigns queued jobs to workers and updates the queue from the fold."""

from __future__ import annotations

from collections.abc import Callable
from typing import final

import attrs

from comfreylatch._ports import workers
from comfreylatch._process.batch import job_queue
from comfreylatch._process.batch import placement as placement_module
from comfreylatch._version import job_records
from comfreylatch._version import job_state

MAX_STARTS_PER_ROUND = 64
MAX_FAILED_PLACEMENTS_PER_ROUND = 48


@attrs.frozen
class RoundDecisions:
    """Decisions of one scheduling round.

    Attributes:
        assigned: Assignments, whose capacity is already reserved.
        parked: Jobs that failed too often to be tried again.
        waiting_urgent: Urgent jobs that could not be placed.
        waiting_within_quota: Other jobs that could not be placed although
            their teams would stay within their quotas.
    """

    assigned: tuple[job_records.AttemptAssigned, ...] = ()
    parked: tuple[job_records.JobParked, ...] = ()
    waiting_urgent: tuple[job_state.JobState, ...] = ()
    waiting_within_quota: tuple[job_state.JobState, ...] = ()


@attrs.define
class _RoundBuilder:
    """Decisions of the round under way.

    Attributes:
        unplaceable: Job classes and sizes for which no worker was found in
            this round.
    """

    assigned: list[job_records.AttemptAssigned] = attrs.field(factory=list)
    parked: list[job_records.JobParked] = attrs.field(factory=list)
    urgent: list[job_state.JobState] = attrs.field(factory=list)
    within_quota: list[job_state.JobState] = attrs.field(factory=list)
    failed_placements: int = 0
    unplaceable: set[tuple[str, workers.Resources]] = attrs.field(factory=set)

    @property
    def full(self) -> bool:
        return (
            len(self.assigned) >= MAX_STARTS_PER_ROUND
            or self.failed_placements >= MAX_FAILED_PLACEMENTS_PER_ROUND
        )


@final
class JobScheduler:
    """Runs scheduling rounds over the job queue. Not thread-safe."""

    def __init__(
        self,
        queue: job_queue.JobQueue,
        placement: placement_module.Placement,
        size_for: Callable[[job_state.JobState], workers.Resources],
    ) -> None:
        self._queue = queue
        self._placement = placement
        self._size_for = size_for
        self._changed = True

    @property
    def queued(self) -> int:
        """Number of queued jobs."""
        return len(self._queue)

    def consume_changed(self) -> bool:
        """Whether a round may place more than the last; resets the flag."""
        changed = self._changed
        self._changed = False
        return changed

    def sync(self, state: job_state.JobState) -> None:
        """Updates queue and reservations from a job's folded state."""
        job = state.spec.id
        self._changed = True
        if state.phase is job_state.JobPhase.ASSIGNED:
            self._queue.discard(job)
            self._placement.place(state, state.worker, state.size)
            self._queue.add_usage(job, state.spec.team, state.size)
            return
        self._placement.remove(job)
        self._queue.remove_usage(job)
        if state.phase is job_state.JobPhase.QUEUED:
            self._queue.add(state)
        else:
            self._queue.discard(job)

    def run_round(
        self,
        term: int,
        max_attempts: int,
        is_planned: Callable[[str], bool] = lambda _: False,
    ) -> RoundDecisions:
        """Places queued jobs: urgent ones first, then by their teams' shares.

        Args:
            term: Term of the assignments.
            max_attempts: Failed attempts after which a job is parked.
            is_planned: Whether evictions for a job are already under way;
                such jobs are skipped.
        """
        builder = _RoundBuilder()
        for state in self._queue.urgent():
            if builder.full:
                break
            if is_planned(state.spec.id):
                continue
            if not self._try_place(state, term, max_attempts, builder):
                builder.urgent.append(state)
        for state in self._queue.fair_order():
            if builder.full:
                break
            if is_planned(state.spec.id):
                continue
            if self._try_place(state, term, max_attempts, builder):
                continue
            if self._within_quota(state, self._size_for(state)):
                builder.within_quota.append(state)
        self._changed |= builder.full
        return RoundDecisions(
            tuple(builder.assigned),
            tuple(builder.parked),
            tuple(builder.urgent),
            tuple(builder.within_quota),
        )

    def assign(
        self,
        state: job_state.JobState,
        worker: str,
        size: workers.Resources,
        term: int,
    ) -> job_records.AttemptAssigned:
        """Assigns a job to a worker with enough free capacity."""
        job = state.spec.id
        self._queue.discard(job)
        self._placement.place(state, worker, size)
        self._queue.add_usage(job, state.spec.team, size)
        return job_records.AttemptAssigned(
            term=term,
            job=job,
            attempt=state.attempt + 1,
            worker=worker,
            checkpoint_ms=state.checkpoint_ms,
            reserved=None if size == state.spec.resources else size,
        )

    def _try_place(
        self,
        state: job_state.JobState,
        term: int,
        max_attempts: int,
        builder: _RoundBuilder,
    ) -> bool:
        job = state.spec.id
        if state.failures >= max_attempts:
            names = ", ".join(state.failed_workers)
            detail = f"{state.failures} failed attempts on {names}"
            reason = job_records.ParkReason.FAILED_OFTEN
            builder.parked.append(
                job_records.JobParked(term, job, reason, detail)
            )
            self._queue.discard(job)
            return True
        size = self._size_for(state)
        if not self._may_place(state, size):
            builder.failed_placements += 1
            return False
        class_and_size = (state.spec.job_class, size)
        if class_and_size in builder.unplaceable:
            return False
        worker = self._placement.choose(state, size)
        if worker is None:
            builder.failed_placements += 1
            if not state.failed_workers and not state.spec.urgent:
                builder.unplaceable.add(class_and_size)
            return False
        builder.assigned.append(self.assign(state, worker, size, term))
        return True

    def _may_place(
        self, state: job_state.JobState, size: workers.Resources
    ) -> bool:
        if self._queue.may_borrow(state.spec.team):
            return True
        return self._within_quota(state, size)

    def _within_quota(
        self, state: job_state.JobState, size: workers.Resources
    ) -> bool:
        share_milli = self._queue.quota_share_milli_with(state.spec.team, size)
        return share_milli <= job_queue.FULL_SHARE_MILLI

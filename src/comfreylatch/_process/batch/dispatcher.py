"""Turns queued jobs into assignments, and keeps the ledgers by the fold."""

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
MAX_MISSES_PER_ROUND = 48


@attrs.frozen
class Round:
    """What one round decided.

    Attributes:
        assigned: Assignments, capacity already reserved.
        parked: Jobs that can't run.
        waiting_urgent: Urgent jobs that found no room.
    """

    assigned: tuple[job_records.AttemptAssigned, ...] = ()
    parked: tuple[job_records.JobParked, ...] = ()
    waiting_urgent: tuple[job_state.JobState, ...] = ()


@attrs.define
class _Draft:
    assigned: list[job_records.AttemptAssigned] = attrs.field(factory=list)
    parked: list[job_records.JobParked] = attrs.field(factory=list)
    waiting: list[job_state.JobState] = attrs.field(factory=list)
    misses: int = 0

    @property
    def full(self) -> bool:
        return (
            len(self.assigned) >= MAX_STARTS_PER_ROUND
            or self.misses >= MAX_MISSES_PER_ROUND
        )


@final
class Dispatcher:
    """Queue, ledgers and choice of worker. Used by one thread."""

    def __init__(
        self,
        queue: job_queue.JobQueue,
        placement: placement_module.Placement,
        size_for: Callable[[job_state.JobState], workers.Resources],
    ) -> None:
        self._queue = queue
        self._placement = placement
        self._size_for = size_for

    @property
    def queued(self) -> int:
        """How many jobs wait."""
        return len(self._queue)

    def sync(self, state: job_state.JobState) -> None:
        """Takes a job's state from the fold."""
        job = state.spec.id
        if state.phase is job_state.JobPhase.ASSIGNED:
            self._queue.discard(job)
            self._placement.place(state, state.worker, state.size)
            self._queue.hold(job, state.spec.team, state.size)
            return
        self._placement.remove(job)
        self._queue.free(job)
        if state.phase is job_state.JobPhase.QUEUED:
            self._queue.add(state)
        else:
            self._queue.discard(job)

    def run_round(self, term: int, max_attempts: int) -> Round:
        """Places what has room now, the most entitled first."""
        draft = _Draft()
        for state in self._queue.urgent():
            if draft.full:
                break
            if not self._try(state, term, max_attempts, draft):
                draft.waiting.append(state)
        for state in self._queue.fair_order():
            if draft.full:
                break
            self._try(state, term, max_attempts, draft)
        return Round(
            tuple(draft.assigned), tuple(draft.parked), tuple(draft.waiting)
        )

    def _try(
        self,
        state: job_state.JobState,
        term: int,
        max_attempts: int,
        draft: _Draft,
    ) -> bool:
        job = state.spec.id
        if state.failures >= max_attempts:
            names = ", ".join(state.failed_workers)
            detail = f"{state.failures} failed attempts on {names}"
            reason = job_records.ParkReason.FAILED_OFTEN
            draft.parked.append(
                job_records.JobParked(term, job, reason, detail)
            )
            self._queue.discard(job)
            return True
        size = self._size_for(state)
        if not self._within_quota(state, size):
            draft.misses += 1
            return False
        worker = self._placement.choose(state, size)
        if worker is None:
            draft.misses += 1
            return False
        self._reserve(state, worker, size)
        draft.assigned.append(
            job_records.AttemptAssigned(
                term=term,
                job=job,
                attempt=state.attempt + 1,
                worker=worker,
                checkpoint_ms=state.checkpoint_ms,
                reserved=None if size == state.spec.resources else size,
            )
        )
        return True

    def _within_quota(
        self, state: job_state.JobState, size: workers.Resources
    ) -> bool:
        team = state.spec.team
        if self._queue.may_borrow(team):
            return True
        share_milli = self._queue.share_with(team, size)
        return share_milli <= job_queue.FULL_SHARE_MILLI

    def _reserve(
        self, state: job_state.JobState, worker: str, size: workers.Resources
    ) -> None:
        job = state.spec.id
        self._queue.discard(job)
        self._placement.place(state, worker, size)
        self._queue.hold(job, state.spec.team, size)

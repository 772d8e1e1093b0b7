"""Quarantine of workers whose attempts fail more often than their peers'."""

from __future__ import annotations

import enum
from typing import final

import attrs

MIN_FAILED_JOBS = 3
SUSPECT_FAILED_JOBS = 2
MIN_PEER_ENDS = 5
MAX_PEER_FAILED_PERCENT = 40
MAX_QUARANTINED_PERCENT = 25
FIRST_QUARANTINE_MS = 30_000
MAX_QUARANTINE_MS = 960_000
MAX_COUNTED_ENDS = 64


class HealthState(enum.StrEnum):
    """Whether a worker gets new work; PROBED gets one attempt at a time."""

    GOOD = "good"
    QUARANTINED = "quarantined"
    PROBED = "probed"


@attrs.define(eq=False)
class _History:
    finished: int = 0
    failed: int = 0
    failed_jobs: dict[str, None] = attrs.field(factory=dict)
    health_state: HealthState = HealthState.GOOD
    quarantined_until_ms: int = 0
    quarantine_ms: int = FIRST_QUARANTINE_MS

    def decay(self) -> None:
        """Halves the counts when they are high; old ends then count less."""
        if self.finished + self.failed > MAX_COUNTED_ENDS:
            self.finished //= 2
            self.failed //= 2


@final
class WorkerHealth:
    """Counts ends of attempts and quarantines workers. Not thread-safe."""

    def __init__(self) -> None:
        self._histories: dict[str, _History] = {}
        self._finished = 0
        self._failed = 0

    def record_success(self, worker: str) -> bool:
        """Records a success; True if it ends the worker's quarantine."""
        history = self._histories.setdefault(worker, _History())
        self._count(history, finished=1)
        history.failed_jobs.clear()
        if history.health_state is HealthState.GOOD:
            return False
        history.health_state = HealthState.GOOD
        history.quarantine_ms = FIRST_QUARANTINE_MS
        return True

    def record_failure(
        self,
        worker: str,
        job: str,
        failed_elsewhere: bool,
        worker_count: int,
        now_ms: int,
    ) -> bool:
        """Records a failure; True if it puts the worker into quarantine.

        Args:
            worker: Worker on which the attempt failed.
            job: Job of the attempt.
            failed_elsewhere: Whether the job has failed on other workers; the
                failure is then not counted against this one.
            worker_count: Number of workers in the zone.
            now_ms: Monotonic time.
        """
        if failed_elsewhere:
            return False
        history = self._histories.setdefault(worker, _History())
        self._count(history, failed=1)
        history.failed_jobs[job] = None
        if history.health_state is HealthState.PROBED:
            history.quarantine_ms = min(
                history.quarantine_ms * 2, MAX_QUARANTINE_MS
            )
            self._quarantine(history, now_ms)
            return True
        if history.health_state is HealthState.QUARANTINED:
            return False
        if len(history.failed_jobs) < MIN_FAILED_JOBS:
            return False
        if not self._peers_mostly_succeed(history):
            return False
        if not self._may_quarantine(worker_count):
            return False
        self._quarantine(history, now_ms)
        return True

    def is_suspect(self, worker: str) -> bool:
        """Whether a failure there is probably the worker's fault."""
        history = self._histories.get(worker)
        if history is None:
            return False
        if history.health_state is not HealthState.GOOD:
            return True
        failed_often = len(history.failed_jobs) >= SUSPECT_FAILED_JOBS
        return failed_often and self._peers_mostly_succeed(history)

    def health_state(self, worker: str, now_ms: int) -> HealthState:
        """Returns a worker's state; an expired quarantine becomes a probe."""
        history = self._histories.get(worker)
        if history is None:
            return HealthState.GOOD
        is_quarantined = history.health_state is HealthState.QUARANTINED
        if is_quarantined and now_ms >= history.quarantined_until_ms:
            history.health_state = HealthState.PROBED
        return history.health_state

    def quarantined(self) -> tuple[str, ...]:
        """Returns workers that are quarantined or probed."""
        return tuple(
            worker
            for worker, history in self._histories.items()
            if history.health_state is not HealthState.GOOD
        )

    def _count(
        self, history: _History, finished: int = 0, failed: int = 0
    ) -> None:
        self._finished -= history.finished
        self._failed -= history.failed
        history.finished += finished
        history.failed += failed
        history.decay()
        self._finished += history.finished
        self._failed += history.failed

    def _peers_mostly_succeed(self, history: _History) -> bool:
        finished = self._finished - history.finished
        failed = self._failed - history.failed
        ends = finished + failed
        if ends < MIN_PEER_ENDS:
            return False
        return failed * 100 <= MAX_PEER_FAILED_PERCENT * ends

    def _may_quarantine(self, worker_count: int) -> bool:
        limit = max(1, worker_count * MAX_QUARANTINED_PERCENT // 100)
        return len(self.quarantined()) < limit

    def _quarantine(self, history: _History, now_ms: int) -> None:
        history.health_state = HealthState.QUARANTINED
        history.quarantined_until_ms = now_ms + history.quarantine_ms
        history.failed_jobs.clear()

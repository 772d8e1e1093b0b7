"""Workers that fail everything: set aside by comparison with their peers."""

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
LONGEST_QUARANTINE_MS = 960_000
MAX_ENDS = 64


class Standing(enum.StrEnum):
    """Whether a worker gets new work."""

    GOOD = "good"
    QUARANTINED = "quarantined"
    PROBED = "probed"


@attrs.define(eq=False)
class _Record:
    finished: int = 0
    failed: int = 0
    failed_jobs: dict[str, None] = attrs.field(factory=dict)
    standing: Standing = Standing.GOOD
    until_ms: int = 0
    span_ms: int = FIRST_QUARANTINE_MS

    def halve(self) -> None:
        if self.finished + self.failed > MAX_ENDS:
            self.finished //= 2
            self.failed //= 2


@final
class WorkerHealth:
    """Ends of attempts by worker, and who is quarantined. One thread."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._finished = 0
        self._failed = 0

    def finished(self, worker: str) -> bool:
        """Notes a success; True if it ends the worker's quarantine."""
        record = self._records.setdefault(worker, _Record())
        self._count(record, finished=1)
        record.failed_jobs.clear()
        if record.standing is Standing.GOOD:
            return False
        record.standing = Standing.GOOD
        record.span_ms = FIRST_QUARANTINE_MS
        return True

    def failed(
        self,
        worker: str,
        job: str,
        failed_elsewhere: bool,
        worker_count: int,
        now_ms: int,
    ) -> bool:
        """Notes a failure; True if it puts the worker into quarantine.

        Args:
            worker: Where the attempt failed.
            job: The attempt's job.
            failed_elsewhere: Whether the job has failed on other workers; its
                failure then says nothing about this one.
            worker_count: Workers in the zone.
            now_ms: Monotonic time.
        """
        if failed_elsewhere:
            return False
        record = self._records.setdefault(worker, _Record())
        self._count(record, failed=1)
        record.failed_jobs[job] = None
        if record.standing is Standing.PROBED:
            record.span_ms = min(record.span_ms * 2, LONGEST_QUARANTINE_MS)
            self._quarantine(record, now_ms)
            return True
        if record.standing is Standing.QUARANTINED:
            return False
        if len(record.failed_jobs) < MIN_FAILED_JOBS:
            return False
        if not self._worse_than_peers(record):
            return False
        if not self._room(worker_count):
            return False
        self._quarantine(record, now_ms)
        return True

    def is_suspect(self, worker: str) -> bool:
        """Whether a failure there is rather the worker's fault."""
        record = self._records.get(worker)
        if record is None:
            return False
        if record.standing is not Standing.GOOD:
            return True
        many = len(record.failed_jobs) >= SUSPECT_FAILED_JOBS
        return many and self._worse_than_peers(record)

    def standing(self, worker: str, now_ms: int) -> Standing:
        """Where a worker stands; a quarantine that ran out becomes a probe."""
        record = self._records.get(worker)
        if record is None:
            return Standing.GOOD
        waiting = record.standing is Standing.QUARANTINED
        if waiting and now_ms >= record.until_ms:
            record.standing = Standing.PROBED
        return record.standing

    def quarantined(self) -> tuple[str, ...]:
        """Workers not in good standing."""
        return tuple(
            worker
            for worker, record in self._records.items()
            if record.standing is not Standing.GOOD
        )

    def forget(self, worker: str) -> None:
        """Drops a worker that is gone."""
        record = self._records.pop(worker, None)
        if record is not None:
            self._finished -= record.finished
            self._failed -= record.failed

    def _count(
        self, record: _Record, finished: int = 0, failed: int = 0
    ) -> None:
        self._finished -= record.finished
        self._failed -= record.failed
        record.finished += finished
        record.failed += failed
        record.halve()
        self._finished += record.finished
        self._failed += record.failed

    def _worse_than_peers(self, record: _Record) -> bool:
        finished = self._finished - record.finished
        failed = self._failed - record.failed
        ends = finished + failed
        if ends < MIN_PEER_ENDS:
            return False
        return failed * 100 <= MAX_PEER_FAILED_PERCENT * ends

    def _room(self, worker_count: int) -> bool:
        most = max(1, worker_count * MAX_QUARANTINED_PERCENT // 100)
        return len(self.quarantined()) < most

    def _quarantine(self, record: _Record, now_ms: int) -> None:
        record.standing = Standing.QUARANTINED
        record.until_ms = now_ms + record.span_ms
        record.failed_jobs.clear()

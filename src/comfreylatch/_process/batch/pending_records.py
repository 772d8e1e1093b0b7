"""Records of ends and checkpoints that are waiting to be appended."""

from __future__ import annotations

from typing import final

from comfreylatch._process.batch import attempt as attempt_module
from comfreylatch._version import job_records

MIN_CHECKPOINT_RECORD_INTERVAL_MS = 30_000

PendingRecord = job_records.AttemptEnded | job_records.AttemptCheckpointed


@final
class PendingRecords:
    """Holds records until the fold shows them. Not thread-safe."""

    def __init__(self) -> None:
        self._term = 0
        self._ends: dict[str, job_records.AttemptEnded] = {}
        self._checkpoints: dict[str, job_records.AttemptCheckpointed] = {}

    def reset(self, term: int) -> None:
        """Drops all records, as at the start of a term."""
        self._term = term
        self._ends.clear()
        self._checkpoints.clear()

    def all(self) -> list[PendingRecord]:
        """Returns the records to append."""
        return [*self._ends.values(), *self._checkpoints.values()]

    def has_end(self, job: str) -> bool:
        """Whether a job's attempt has ended but the fold doesn't show it."""
        return job in self._ends

    def forget(self, job: str) -> None:
        """Drops the records of an attempt that is no longer assigned."""
        self._ends.pop(job, None)
        self._checkpoints.pop(job, None)

    def on_checkpoint_folded(self, job: str, checkpoint_ms: int) -> None:
        """Drops a checkpoint record once the fold shows its progress."""
        pending = self._checkpoints.get(job)
        if pending is not None and pending.checkpoint_ms <= checkpoint_ms:
            del self._checkpoints[job]

    def add_end(
        self, attempt: attempt_module.Attempt, end: job_records.AttemptEnd
    ) -> None:
        """Adds the end of an attempt; later ends of it are ignored."""
        if attempt.job in self._ends:
            return
        self._ends[attempt.job] = job_records.AttemptEnded(
            term=self._term,
            job=attempt.job,
            attempt=attempt.state.attempt,
            end=end,
            progress_ms=attempt.progress_ms,
            checkpoint_ms=attempt.checkpoint_ms,
        )

    def add_checkpoint(
        self, attempt: attempt_module.Attempt, now_ms: int
    ) -> None:
        """Adds a newer checkpoint if due; that of an eviction always is."""
        due = (
            now_ms - attempt.checkpoint_recorded_ms
            >= MIN_CHECKPOINT_RECORD_INTERVAL_MS
        )
        evicted = attempt.stop_reason is attempt_module.StopReason.EVICTED
        if not due and not (evicted and attempt.checkpointed):
            return
        if attempt.checkpoint_ms <= attempt.recorded_checkpoint_ms:
            return
        attempt.checkpoint_recorded_ms = now_ms
        attempt.recorded_checkpoint_ms = attempt.checkpoint_ms
        self._checkpoints[attempt.job] = job_records.AttemptCheckpointed(
            term=self._term,
            job=attempt.job,
            attempt=attempt.state.attempt,
            checkpoint_ms=attempt.checkpoint_ms,
        )

"""Stops attempts; an eviction keeps and records their progress first."""

from __future__ import annotations

from typing import final

from comfreylatch._process.batch import attempt as attempt_module
from comfreylatch._process.batch import pending_records

RESEND_INTERVAL_MS = 2_000
# Until its checkpoint is recorded; then the attempt simply goes on.
EVICTION_CHECKPOINT_TIMEOUT_MS = 10_000


@final
class AttemptStopper:
    """Asks for checkpoints and stops. Used by one thread."""

    def __init__(
        self,
        sink: attempt_module.CommandSink,
        pending: pending_records.PendingRecords,
    ) -> None:
        self._sink = sink
        self._pending = pending

    def send_due_command(
        self, attempt: attempt_module.Attempt, now_ms: int
    ) -> None:
        """Asks for what is due towards the end of an attempt."""
        queued_ms = attempt.stop_queued_ms
        if queued_ms < 0 and not attempt.may_stop():
            self._request_checkpoint(attempt, now_ms)
            return
        if queued_ms >= 0 and now_ms - queued_ms < RESEND_INTERVAL_MS:
            return
        worker = attempt.state.worker
        command = attempt.stop_command()
        if queued_ms >= 0 and self._sink.withdraw(worker, command):
            # It never went out, and the attempt has gone on meanwhile.
            attempt.retry_stop()
            return
        attempt.stop_queued_ms = now_ms
        self._sink.request(worker, command)

    def _request_checkpoint(
        self, attempt: attempt_module.Attempt, now_ms: int
    ) -> None:
        """Asks for the checkpoint of an eviction, or gives the latter up."""
        worker = attempt.state.worker
        command = attempt.checkpoint_command()
        if now_ms - attempt.evicted_ms >= EVICTION_CHECKPOINT_TIMEOUT_MS:
            self._sink.withdraw(worker, command)
            attempt.stop_reason = None
            return
        if attempt.eviction_checkpoint_taken:
            # Its record is on its way.
            self._pending.checkpoint(attempt, now_ms)
            return
        queued_ms = attempt.eviction_checkpoint_queued_ms
        if queued_ms < 0 or now_ms - queued_ms >= RESEND_INTERVAL_MS:
            attempt.eviction_checkpoint_queued_ms = now_ms
            self._sink.request(worker, command)

    def on_checkpoint_taken(
        self, attempt: attempt_module.Attempt, now_ms: int
    ) -> None:
        """Has the checkpoint of an eviction recorded, the stop behind it."""
        if attempt.eviction_checkpoint_queued_ms < 0 or self._pending.has_end(
            attempt.job
        ):
            return
        attempt.eviction_checkpoint_taken = True
        self._pending.checkpoint(attempt, now_ms)

"""Stops attempts; an eviction first checkpoints and records progress."""

from __future__ import annotations

from typing import final

from comfreylatch._process.batch import attempt as attempt_module
from comfreylatch._process.batch import pending_records

RESEND_INTERVAL_MS = 2_000
# Time for an eviction to record its checkpoint; after it the eviction is
# abandoned and the attempt continues.
EVICTION_TIMEOUT_MS = 10_000


@final
class AttemptStopper:
    """Queues the checkpoints and stops of attempts. Not thread-safe."""

    def __init__(
        self,
        sink: attempt_module.CommandSink,
        pending: pending_records.PendingRecords,
    ) -> None:
        self._sink = sink
        self._pending = pending

    def advance(self, attempt: attempt_module.Attempt, now_ms: int) -> None:
        """Queues the checkpoint or stop that an ending attempt needs next."""
        queued_ms = attempt.stop_queued_ms
        if queued_ms < 0 and not attempt.may_stop():
            self._checkpoint(attempt, now_ms)
            return
        if queued_ms >= 0 and now_ms - queued_ms < RESEND_INTERVAL_MS:
            return
        worker = attempt.state.worker
        command = attempt.stop_command()
        if queued_ms >= 0 and self._sink.withdraw_command(worker, command):
            # The stop was never sent; the attempt has progressed since.
            attempt.retry_stop()
            return
        attempt.stop_queued_ms = now_ms
        self._sink.queue_command(worker, command)

    def _checkpoint(self, attempt: attempt_module.Attempt, now_ms: int) -> None:
        """Queues the checkpoint of an eviction, or abandons the eviction."""
        worker = attempt.state.worker
        command = attempt.checkpoint_command()
        if now_ms - attempt.evicted_ms >= EVICTION_TIMEOUT_MS:
            self._sink.withdraw_command(worker, command)
            attempt.stop_reason = None
            return
        if attempt.checkpointed:
            # The checkpoint record is not folded yet.
            self._pending.add_checkpoint(attempt, now_ms)
            return
        queued_ms = attempt.checkpoint_queued_ms
        if queued_ms < 0 or now_ms - queued_ms >= RESEND_INTERVAL_MS:
            attempt.checkpoint_queued_ms = now_ms
            self._sink.queue_command(worker, command)

    def on_checkpoint_taken(
        self, attempt: attempt_module.Attempt, now_ms: int
    ) -> None:
        """Records the checkpoint of an eviction; the stop follows it."""
        if attempt.checkpoint_queued_ms < 0 or self._pending.has_end(
            attempt.job
        ):
            return
        attempt.checkpointed = True
        self._pending.add_checkpoint(attempt, now_ms)

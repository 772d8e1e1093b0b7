"""Stops attempts; an eviction keeps and records their progress first."""

from __future__ import annotations

from typing import final

from comfreylatch._process.batch import attempt as attempt_module
from comfreylatch._process.batch import pending_records

RESEND_MS = 2_000
# Until its checkpoint is recorded; then the attempt simply goes on.
EVICTION_TIMEOUT_MS = 10_000


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

    def drive(self, attempt: attempt_module.Attempt, now_ms: int) -> None:
        """Asks for what is due towards the end of an attempt."""
        asked_ms = attempt.stop_asked_ms
        if asked_ms < 0 and not attempt.may_stop():
            self._keep(attempt, now_ms)
            return
        if asked_ms >= 0 and now_ms - asked_ms < RESEND_MS:
            return
        worker = attempt.state.worker
        command = attempt.stop_command()
        if asked_ms >= 0 and self._sink.withdraw(worker, command):
            # It never went out, and the attempt has gone on meanwhile.
            attempt.ask_again()
            return
        attempt.stop_asked_ms = now_ms
        self._sink.request(worker, command)

    def _keep(self, attempt: attempt_module.Attempt, now_ms: int) -> None:
        """Asks for the checkpoint of an eviction, or gives the latter up."""
        worker = attempt.state.worker
        command = attempt.checkpoint_command()
        if now_ms - attempt.evicted_ms >= EVICTION_TIMEOUT_MS:
            self._sink.withdraw(worker, command)
            attempt.stop_reason = None
            return
        if attempt.kept:
            # Its record is on its way.
            self._pending.checkpoint(attempt, now_ms)
            return
        asked_ms = attempt.keep_asked_ms
        if asked_ms < 0 or now_ms - asked_ms >= RESEND_MS:
            attempt.keep_asked_ms = now_ms
            self._sink.request(worker, command)

    def take_kept(self, attempt: attempt_module.Attempt, now_ms: int) -> None:
        """Has the checkpoint of an eviction recorded, the stop behind it."""
        if attempt.keep_asked_ms < 0 or self._pending.has_end(attempt.job):
            return
        attempt.kept = True
        self._pending.checkpoint(attempt, now_ms)

"""State of an assigned attempt and the commands for it."""

from __future__ import annotations

import enum
from typing import Protocol

import attrs

from comfreylatch._ports import workers
from comfreylatch._process.batch import worker_session
from comfreylatch._version import job_state


class StopReason(enum.StrEnum):
    """Why the owner stops an attempt."""

    CANCELLED = "cancelled"
    EVICTED = "evicted"


class CommandSink(Protocol):
    """Queues commands for workers."""

    def queue_command(
        self, worker: str, command: workers.Command, at_once: bool = True
    ) -> None:
        """Queues a command; drops it if the worker is unknown.

        Unless `at_once`, the command waits for the next lease renewal.
        """
        ...

    def poll_by(self, worker: str, due_ms: int) -> None:
        """Requests a report from a worker by `due_ms`."""
        ...

    def withdraw_command(self, worker: str, command: workers.Command) -> bool:
        """Removes a queued command; False if it may have been sent."""
        ...

    def session(self, worker: str) -> worker_session.WorkerSession | None:
        """Returns the worker's session, or None."""
        ...


@attrs.define(eq=False)
class Attempt:
    """An assigned attempt as this owner knows it; times are monotonic.

    Attributes:
        state: Latest folded state of the job.
        known_since_ms: When this owner first saw the assignment.
        start_queued_ms: When its start was last queued; -1 if it isn't.
        unanswered_start_ms: When a start was sent whose answer was lost; -1
            if none.
        confirmed: Whether the worker has confirmed it.
        stop_reason: Why it is being stopped; None if it isn't.
        evicted_ms: When its eviction was decided.
        checkpointed: Whether the checkpoint of its eviction has been written
            or is not required.
        checkpoint_queued_ms: When that checkpoint was last queued; -1 if it
            isn't.
        stop_queued_ms: When its stop was last queued; -1 if it isn't.
        progress_ms: Progress in the last report.
        checkpoint_ms: Progress covered by the checkpoint in the last report.
        share_milli: Share of its processors in the last report.
        checkpoint_requested_ms: When a periodic checkpoint was last requested.
        checkpoint_recorded_ms: When its last checkpoint record was made.
        recorded_checkpoint_ms: Progress in that record.
    """

    state: job_state.JobState
    known_since_ms: int
    start_queued_ms: int = -1
    unanswered_start_ms: int = -1
    confirmed: bool = False
    stop_reason: StopReason | None = None
    evicted_ms: int = 0
    checkpointed: bool = False
    checkpoint_queued_ms: int = -1
    stop_queued_ms: int = -1
    progress_ms: int = 0
    checkpoint_ms: int = 0
    share_milli: int = 1_000
    checkpoint_requested_ms: int = 0
    checkpoint_recorded_ms: int = 0
    recorded_checkpoint_ms: int = 0

    @property
    def job(self) -> str:
        """Job id."""
        return self.state.spec.id

    def evict(self, checkpoint_first: bool, now_ms: int) -> None:
        """Starts an eviction, after a checkpoint if `checkpoint_first`."""
        self.stop_reason = StopReason.EVICTED
        self.evicted_ms = now_ms
        self.checkpointed = not checkpoint_first
        self.checkpoint_queued_ms = -1

    def may_stop(self) -> bool:
        """Whether a stop loses no progress that a checkpoint covers.

        The worker may forget the attempt after it answers a stop, so the
        checkpoint of an eviction must be folded first.
        """
        if self.stop_reason is not StopReason.EVICTED:
            return True
        return (
            self.checkpointed and self.state.checkpoint_ms >= self.checkpoint_ms
        )

    def on_start_unanswered(self, was_sent: bool, sent_ms: int) -> None:
        """Records that a start command got no answer."""
        self.start_queued_ms = -1
        if was_sent:
            self.unanswered_start_ms = sent_ms

    def retry_stop(self) -> None:
        """Resets the stop, and the checkpoint before it, to be sent again.

        The attempt runs on beyond its checkpoint until a stop arrives.
        """
        self.stop_queued_ms = -1
        if self.checkpoint_queued_ms >= 0:
            self.checkpoint_queued_ms = -1
            self.checkpointed = False

    def remaining_ms(self) -> int:
        """Time until it finishes at its current share."""
        work_ms = self.state.spec.run_time_ms - self.progress_ms
        return max(0, work_ms) * 1_000 // max(1, self.share_milli)

    def start_command(self) -> workers.StartTask:
        """Returns the command that starts it."""
        spec = self.state.spec
        # The ledger may reserve more; the worker counts the declared size.
        return workers.StartTask(
            job=spec.id,
            attempt=self.state.attempt,
            job_class=spec.job_class,
            resources=spec.resources,
            run_time_ms=spec.run_time_ms,
            checkpoint_ms=self.state.checkpoint_ms,
        )

    def stop_command(self) -> workers.StopTask:
        """Returns the command that stops it or makes its worker forget it."""
        return workers.StopTask(self.job, self.state.attempt)

    def checkpoint_command(self) -> workers.CheckpointTask:
        """Returns the command that checkpoints it."""
        return workers.CheckpointTask(self.job, self.state.attempt)

    def throttle_command(self, share_milli: int) -> workers.ThrottleTask:
        """Returns the command that limits it to a share of its processors."""
        return workers.ThrottleTask(self.job, self.state.attempt, share_milli)

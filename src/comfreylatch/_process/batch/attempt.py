"""One assigned attempt, as the zone's owner knows it."""

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
    """Where commands for workers go."""

    def request(
        self, worker: str, command: workers.Command, at_once: bool = True
    ) -> None:
        """Queues a command; dropped when the worker isn't known.

        Unless `at_once`, it waits for the next renewal of the lease.
        """
        ...

    def poll_by(self, worker: str, due_ms: int) -> None:
        """Asks for a report by a time."""
        ...

    def withdraw(self, worker: str, command: workers.Command) -> bool:
        """Takes a queued command back; False if it may be on its way."""
        ...

    def session(self, worker: str) -> worker_session.WorkerSession | None:
        """The worker's session, else None."""
        ...


@attrs.define(eq=False)
class Attempt:
    """One assigned attempt, as this owner knows it.

    Attributes:
        state: The job as folded when the attempt was assigned.
        since_ms: When this owner first knew of it.
        start_asked_ms: When its start was last handed to the link; -1 if not.
        unsettled_ms: When a start was sent whose answer was lost; -1 if none.
        seen: Whether the worker has confirmed it.
        stop_reason: Why it is being stopped.
        evicted_ms: When its eviction was decided.
        kept: Whether a checkpoint has been written for its eviction, or none
            is wanted.
        keep_asked_ms: When that checkpoint was last handed to the link; -1 if
            not.
        stop_asked_ms: When the stop was last handed to the link; -1 if not.
        progress_ms: Progress in the last report.
        checkpoint_ms: Checkpoint in the last report.
        share_milli: Throttle in the last report.
        kept_ms: When a checkpoint was last asked for.
        recorded_ms: When its last checkpoint record was made.
        recorded_checkpoint_ms: Progress in that record.
    """

    state: job_state.JobState
    known_since_ms: int
    start_queued_ms: int = -1
    unanswered_start_ms: int = -1
    confirmed: bool = False
    stop_reason: StopReason | None = None
    evicted_ms: int = 0
    eviction_checkpoint_taken: bool = False
    eviction_checkpoint_queued_ms: int = -1
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
        """Begins an eviction, with a checkpoint of its own if wanted."""
        self.stop_reason = StopReason.EVICTED
        self.evicted_ms = now_ms
        self.eviction_checkpoint_taken = not checkpoint_first
        self.eviction_checkpoint_queued_ms = -1

    def may_stop(self) -> bool:
        """Whether a stop can lose nothing that its worker has kept.

        The answer to a stop may be the last that its worker says of it, so
        the checkpoint of an eviction is folded before.
        """
        if self.stop_reason is not StopReason.EVICTED:
            return True
        return (
            self.eviction_checkpoint_taken
            and self.state.checkpoint_ms >= self.checkpoint_ms
        )

    def on_start_unanswered(self, was_sent: bool, sent_ms: int) -> None:
        """Takes that a start got no answer."""
        self.start_queued_ms = -1
        if was_sent:
            self.unanswered_start_ms = sent_ms

    def retry_stop(self) -> None:
        """Makes an eviction begin anew, as when an answer was lost.

        Until a stop arrives the attempt goes on, beyond its checkpoint.
        """
        self.stop_queued_ms = -1
        if self.eviction_checkpoint_queued_ms >= 0:
            self.eviction_checkpoint_queued_ms = -1
            self.eviction_checkpoint_taken = False

    def remaining_ms(self) -> int:
        """Time until it ends if it goes on undisturbed."""
        work_ms = self.state.spec.run_time_ms - self.progress_ms
        return max(0, work_ms) * 1_000 // max(1, self.share_milli)

    def start_command(self) -> workers.StartTask:
        """The command that starts it."""
        spec = self.state.spec
        # More may be reserved; the worker counts the declared size.
        return workers.StartTask(
            job=spec.id,
            attempt=self.state.attempt,
            job_class=spec.job_class,
            resources=spec.resources,
            run_time_ms=spec.run_time_ms,
            checkpoint_ms=self.state.checkpoint_ms,
        )

    def stop_command(self) -> workers.StopTask:
        """The command that stops it, or lets its worker forget it."""
        return workers.StopTask(self.job, self.state.attempt)

    def checkpoint_command(self) -> workers.CheckpointTask:
        """The command that keeps its progress."""
        return workers.CheckpointTask(self.job, self.state.attempt)

    def throttle_command(self, share_milli: int) -> workers.ThrottleTask:
        """The command that limits it to a share of its processors."""
        return workers.ThrottleTask(self.job, self.state.attempt, share_milli)

"""Reconciles the zone's assigned attempts with the reports of its workers.

The fold tells which attempts exist, reports tell their state. From both follow
the records to append (ends, checkpoints) and the commands to send.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import final

from comfreylatch._ports import workers
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.batch import attempt as attempt_module
from comfreylatch._process.batch import attempt_stopper
from comfreylatch._process.batch import pending_records
from comfreylatch._process.batch import worker_session
from comfreylatch._version import job_records
from comfreylatch._version import job_state
from comfreylatch._version import zone_fold

# Delay after the earliest expected end, so that one poll sees several ends.
END_POLL_SLACK_MS = 100
MIN_POLL_DELAY_MS = 400
MAX_POLL_DELAY_MS = 5_000
CHECKPOINT_INTERVAL_MS = 60_000
FULL_SHARE_MILLI = 1_000
UNSENT_START_TIMEOUT_MS = 2_000


@final
class AttemptTracker:
    """Tracks all assigned attempts of the zone. Not thread-safe."""

    def __init__(
        self,
        fold: zone_fold.ZoneFold,
        sink: attempt_module.CommandSink,
        metrics: metrics_module.Metrics,
        share_for: Callable[[str], int] = lambda _: FULL_SHARE_MILLI,
    ) -> None:
        self._fold = fold
        self._sink = sink
        self._metrics = metrics
        self._share_for = share_for
        self._term = 0
        self._attempts: dict[str, attempt_module.Attempt] = {}
        self._by_worker: dict[str, dict[str, attempt_module.Attempt]] = {}
        self._jobs_needing_command: dict[str, None] = {}
        self._pending = pending_records.PendingRecords()
        self._stopper = attempt_stopper.AttemptStopper(sink, self._pending)

    def reset(self, term: int) -> None:
        """Drops all state, as at the start of a term."""
        self._term = term
        self._attempts.clear()
        self._by_worker.clear()
        self._jobs_needing_command.clear()
        self._pending.reset(term)

    def find_attempt(self, job: str) -> attempt_module.Attempt | None:
        """Returns the assigned attempt of a job, or None."""
        return self._attempts.get(job)

    def attempts_on(self, worker: str) -> tuple[attempt_module.Attempt, ...]:
        """Attempts assigned to a worker."""
        return tuple(self._by_worker.get(worker, {}).values())

    def workers(self) -> tuple[str, ...]:
        """Workers with attempts."""
        return tuple(self._by_worker)

    def pending_records(self) -> list[pending_records.PendingRecord]:
        """Returns ends and checkpoints that are not folded yet."""
        return self._pending.all()

    def sync(self, state: job_state.JobState, now_ms: int) -> None:
        """Updates a job's attempt from its folded state."""
        job = state.spec.id
        current = self._attempts.get(job)
        assigned = state.phase is job_state.JobPhase.ASSIGNED
        if current is not None:
            same = assigned and current.state.attempt == state.attempt
            if same and current.state.worker == state.worker:
                current.state = state
                if state.cancelled:
                    self._jobs_needing_command[job] = None
                self._pending.on_checkpoint_folded(job, state.checkpoint_ms)
                return
            self._remove(current)
        if not assigned:
            return
        attempt = attempt_module.Attempt(state, now_ms)
        attempt.checkpoint_requested_ms = now_ms
        attempt.checkpoint_recorded_ms = now_ms
        attempt.checkpoint_ms = state.checkpoint_ms
        attempt.progress_ms = state.checkpoint_ms
        attempt.recorded_checkpoint_ms = state.checkpoint_ms
        self._attempts[job] = attempt
        self._jobs_needing_command[job] = None
        self._by_worker.setdefault(state.worker, {})[job] = attempt

    def _remove(self, attempt: attempt_module.Attempt) -> None:
        job = attempt.job
        worker = attempt.state.worker
        del self._attempts[job]
        del self._by_worker[worker][job]
        if not self._by_worker[worker]:
            del self._by_worker[worker]
        self._pending.forget(job)
        if attempt.confirmed:
            command = workers.ForgetTask(job, attempt.state.attempt)
            self._sink.queue_command(worker, command, at_once=False)
        elif attempt.start_queued_ms >= 0:
            self._sink.withdraw_command(worker, attempt.start_command())

    def on_reported(
        self,
        event: worker_session.Reported,
        bounds: job_records.ClaimBounds,
        now_ms: int,
    ) -> None:
        """Handles a worker's answer to an exchange of the current term."""
        # A worker that has restarted since it was fenced reports no term and
        # has run nothing yet.
        if event.report.highest_term == self._term:
            self._process_tasks(event, bounds, now_ms)
        for command, status in zip(
            event.commands, event.report.statuses, strict=True
        ):
            self._process_command_status(command, status, now_ms)

    def _process_tasks(
        self,
        event: worker_session.Reported,
        bounds: job_records.ClaimBounds,
        now_ms: int,
    ) -> None:
        tasks_by_attempt = {
            (task.job, task.attempt): task for task in event.report.tasks
        }
        for attempt in self.attempts_on(event.worker):
            task = tasks_by_attempt.pop(
                (attempt.job, attempt.state.attempt), None
            )
            if task is None:
                self._process_missing(attempt, event, bounds)
            else:
                self._process_task(attempt, task, now_ms)
        commanded_attempts = {
            (command.job, command.attempt) for command in event.commands
        }
        for key, task in tasks_by_attempt.items():
            if (
                task.state is workers.TaskState.RUNNING
                or key not in commanded_attempts
            ):
                self._stop_stray(event.worker, task)
        self._schedule_poll(event.worker, now_ms)

    def _schedule_poll(self, worker: str, now_ms: int) -> None:
        remaining_ms = min(
            (
                attempt.remaining_ms()
                for attempt in self.attempts_on(worker)
                if attempt.confirmed and not self._pending.has_end(attempt.job)
            ),
            default=MAX_POLL_DELAY_MS,
        )
        if remaining_ms < MAX_POLL_DELAY_MS:
            due_ms = now_ms + max(
                remaining_ms + END_POLL_SLACK_MS, MIN_POLL_DELAY_MS
            )
            self._sink.poll_by(worker, due_ms)

    def on_unanswered(self, event: worker_session.Unanswered) -> None:
        """Handles an exchange that got no answer."""
        for command in event.commands:
            attempt = self._attempts.get(command.job)
            if attempt is None or attempt.state.attempt != command.attempt:
                continue
            match command:
                case workers.StartTask():
                    attempt.on_start_unanswered(event.was_sent, event.sent_ms)
                case workers.StopTask() | workers.CheckpointTask():
                    attempt.retry_stop()
                case _:
                    pass

    def _process_missing(
        self,
        attempt: attempt_module.Attempt,
        event: worker_session.Reported,
        bounds: job_records.ClaimBounds,
    ) -> None:
        """Handles an attempt that is missing from its worker's report."""
        if attempt.state.term < self._term or attempt.confirmed:
            self._record_lost(attempt)
            return
        # A start whose answer was lost may still arrive until the report that
        # it quotes is stale.
        start_expiry_ms = (
            attempt.unanswered_start_ms
            + bounds.command_ttl_ms
            + bounds.drift_margin_ms
        )
        if attempt.unanswered_start_ms >= 0 and event.sent_ms > start_expiry_ms:
            attempt.unanswered_start_ms = -1

    def _process_task(
        self,
        attempt: attempt_module.Attempt,
        task: workers.TaskStatus,
        now_ms: int,
    ) -> None:
        attempt.confirmed = True
        attempt.unanswered_start_ms = -1
        attempt.progress_ms = task.progress_ms
        attempt.checkpoint_ms = max(attempt.checkpoint_ms, task.checkpoint_ms)
        attempt.share_milli = task.share_milli
        match task.state:
            case workers.TaskState.RUNNING:
                self._pending.add_checkpoint(attempt, now_ms)
                self._request_checkpoint(attempt, now_ms)
            case workers.TaskState.FINISHED:
                self._pending.add_end(attempt, job_records.AttemptEnd.FINISHED)
            case workers.TaskState.FAILED:
                self._pending.add_end(attempt, job_records.AttemptEnd.FAILED)
            case workers.TaskState.STOPPED:
                evicted = (
                    attempt.stop_reason is attempt_module.StopReason.EVICTED
                )
                ends = job_records.AttemptEnd
                self._pending.add_end(
                    attempt, ends.EVICTED if evicted else ends.LOST
                )

    def _request_checkpoint(
        self, attempt: attempt_module.Attempt, now_ms: int
    ) -> None:
        """Queues the periodic checkpoint for the next lease renewal."""
        if now_ms - attempt.checkpoint_requested_ms < CHECKPOINT_INTERVAL_MS:
            return
        attempt.checkpoint_requested_ms = now_ms
        command = attempt.checkpoint_command()
        self._sink.queue_command(attempt.state.worker, command, at_once=False)

    def _process_command_status(
        self,
        command: workers.Command,
        status: workers.CommandStatus,
        now_ms: int,
    ) -> None:
        self._metrics.count(
            metrics_module.Counter.WORKER_COMMANDS,
            f"{type(command).__name__} {status}",
        )
        attempt = self._attempts.get(command.job)
        if attempt is None or attempt.state.attempt != command.attempt:
            return
        statuses = workers.CommandStatus
        match command, status:
            case workers.StartTask(), statuses.DONE:
                attempt.confirmed = True
                attempt.unanswered_start_ms = -1
            case workers.StartTask(), statuses.REFUSED_DUPLICATE:
                attempt.confirmed = True
                attempt.unanswered_start_ms = -1
            case workers.StartTask(), statuses.REFUSED_CAPACITY:
                attempt.start_queued_ms = -1
                # An earlier start still in transit might yet be accepted.
                if attempt.unanswered_start_ms < 0:
                    self._record_lost(attempt)
            case workers.StartTask(), _:
                attempt.start_queued_ms = -1
            case workers.CheckpointTask(), statuses.DONE:
                self._stopper.on_checkpoint_taken(attempt, now_ms)
            case ((workers.StopTask() | workers.CheckpointTask()), _):
                if status is not statuses.DONE:
                    attempt.retry_stop()
            case _:
                pass

    def _stop_stray(self, worker: str, task: workers.TaskStatus) -> None:
        """Stops a reported attempt that isn't assigned to this worker."""
        state = self._fold.job(task.job)
        if state is not None:
            assigned = state.phase is job_state.JobPhase.ASSIGNED
            if assigned and state.attempt == task.attempt:
                return
        if task.state is workers.TaskState.RUNNING:
            self._metrics.count(
                metrics_module.Counter.JOB_EVENTS, "stray-attempt"
            )
            command = workers.StopTask(task.job, task.attempt)
            self._sink.queue_command(worker, command)
            return
        forget = workers.ForgetTask(task.job, task.attempt)
        self._sink.queue_command(worker, forget, at_once=False)

    def _record_lost(self, attempt: attempt_module.Attempt) -> None:
        self._pending.add_end(attempt, job_records.AttemptEnd.LOST)

    def record_lost_attempts(
        self,
        worker: str,
        predecessor_tasks_until_ms: int,
        bounds: job_records.ClaimBounds,
        now_ms: int,
    ) -> None:
        """Records a silent worker's attempts as lost once they can't run."""
        session = self._sink.session(worker)
        sent_ms = -1
        if session is not None:
            # The predecessor may have renewed the lease just before the
            # worker's last answer to this host.
            sent_ms = max(session.last_lease_sent_ms, session.answered_ms)
        silent = session is None or session.failures > 0
        if not silent:
            return
        lease_span_ms = (
            bounds.lease_ms + bounds.command_ttl_ms + bounds.drift_margin_ms
        )
        lease_end_ms = sent_ms + lease_span_ms if sent_ms >= 0 else 0
        for attempt in self.attempts_on(worker):
            inherited = attempt.state.term < self._term
            may_run_until_ms = (
                max(lease_end_ms, predecessor_tasks_until_ms)
                if inherited
                else lease_end_ms
            )
            if not inherited and self._abandon_unsent_start(attempt, now_ms):
                may_run_until_ms = (
                    attempt.known_since_ms + UNSENT_START_TIMEOUT_MS
                )
            if now_ms >= may_run_until_ms:
                self._record_lost(attempt)

    def _abandon_unsent_start(
        self, attempt: attempt_module.Attempt, now_ms: int
    ) -> bool:
        if attempt.confirmed or attempt.unanswered_start_ms >= 0:
            return False
        if attempt.state.term < self._term:
            return False
        if now_ms - attempt.known_since_ms < UNSENT_START_TIMEOUT_MS:
            return False
        return self._withdraw_start(attempt)

    def _withdraw_start(self, attempt: attempt_module.Attempt) -> bool:
        """Withdraws a queued start; False if it may have been sent."""
        if attempt.start_queued_ms < 0:
            return True
        command = attempt.start_command()
        if not self._sink.withdraw_command(attempt.state.worker, command):
            return False
        attempt.start_queued_ms = -1
        return True

    def send_due_commands(self, may_start: bool, now_ms: int) -> None:
        """Queues the starts, checkpoints and stops that are due."""
        for job in tuple(self._jobs_needing_command):
            attempt = self._attempts.get(job)
            if attempt is None or self._pending.has_end(job):
                del self._jobs_needing_command[job]
                continue
            self._send_due_command(attempt, may_start, now_ms)

    def _send_due_command(
        self, attempt: attempt_module.Attempt, may_start: bool, now_ms: int
    ) -> None:
        if attempt.state.cancelled:
            attempt.stop_reason = attempt_module.StopReason.CANCELLED
        if attempt.stop_reason is not None:
            self._stop(attempt, now_ms)
            return
        if attempt.confirmed:
            del self._jobs_needing_command[attempt.job]
            return
        if attempt.state.term != self._term or not may_start:
            return
        queued_ms = attempt.start_queued_ms
        if (
            queued_ms >= 0
            and now_ms - queued_ms < attempt_stopper.RESEND_INTERVAL_MS
        ):
            return
        attempt.start_queued_ms = now_ms
        worker = attempt.state.worker
        self._sink.queue_command(worker, attempt.start_command())
        share_milli = self._share_for(attempt.job)
        if share_milli < FULL_SHARE_MILLI:
            self._sink.queue_command(
                worker, attempt.throttle_command(share_milli)
            )

    def _stop(self, attempt: attempt_module.Attempt, now_ms: int) -> None:
        own = attempt.state.term == self._term
        unsent = not attempt.confirmed and attempt.unanswered_start_ms < 0
        if own and unsent:
            if self._withdraw_start(attempt):
                self._record_lost(attempt)
            return
        self._stopper.advance(attempt, now_ms)

    def throttle(self, job: str, share_milli: int) -> None:
        """Queues a limit of a job's attempt to a share of its processors."""
        attempt = self._attempts.get(job)
        if attempt and attempt.confirmed and not self._pending.has_end(job):
            command = attempt.throttle_command(share_milli)
            self._sink.queue_command(attempt.state.worker, command)

    def evict(
        self, job: str, now_ms: int, checkpoint_first: bool = True
    ) -> bool:
        """Starts an eviction; first a checkpoint if `checkpoint_first`.

        Returns:
            False if the job has no attempt, or it is already ending.
        """
        attempt = self._attempts.get(job)
        if attempt is None or attempt.stop_reason is not None:
            return False
        if self._pending.has_end(job):
            return False
        attempt.evict(checkpoint_first, now_ms)
        self._jobs_needing_command[job] = None
        return True

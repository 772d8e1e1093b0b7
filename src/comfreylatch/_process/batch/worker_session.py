"""State of the exchanges with one worker, without the thread that runs them."""

from __future__ import annotations

import threading
from typing import final

import attrs

from comfreylatch._ports import workers
from comfreylatch._process.batch import ownership

MAX_COMMANDS_PER_EXCHANGE = 64
MAX_QUEUED_COMMANDS = 4_096
NEVER_MS = 2**53


@attrs.frozen
class Reported:
    """A worker answered an exchange.

    Attributes:
        term: Term of the exchange.
        report: Report in the answer.
        commands: Commands of the exchange; the report has a status for each.
        sent_ms: Monotonic time right before the exchange was sent.
        restarted: Whether the worker has restarted since its last report.
        renewal_refused: Whether a lease was requested and not granted.
    """

    worker: str
    term: int
    report: workers.WorkerReport
    commands: tuple[workers.Command, ...]
    sent_ms: int
    restarted: bool
    renewal_refused: bool = False


@attrs.frozen
class Unanswered:
    """An exchange got no answer.

    Attributes:
        sent_ms: Monotonic time right before the exchange was sent.
        was_sent: False if certainly no byte reached the worker.
    """

    worker: str
    term: int
    commands: tuple[workers.Command, ...]
    sent_ms: int
    was_sent: bool
    detail: str


LinkEvent = Reported | Unanswered


@final
class WorkerSession:
    """Decides the next exchange with one worker. Thread-safe."""

    def __init__(self, worker: str, address: str, host_id: str) -> None:
        self.worker = worker
        self.address = address
        self._host_id = host_id
        self._lock = threading.Lock()
        self._commands: list[workers.Command] = []
        self._deferred_commands: list[workers.Command] = []
        self._boot = ""
        self._last_report_number = 0
        self._last_report_sent_ms = 0
        self._fenced_term = 0
        # Time of the last renewal; -1 if the next one is due at once.
        self._renewal_sent_ms = -1
        self._last_lease_sent_ms = -1
        self._answered_ms = -1
        self._poll_due_ms = NEVER_MS
        self._failures = 0

    @property
    def fenced_term(self) -> int:
        """Highest term of this host under which the worker has answered."""
        return self._fenced_term

    @property
    def last_lease_sent_ms(self) -> int:
        """Time right before sending the last lease that may have arrived.

        It is -1 if there is none.
        """
        return self._last_lease_sent_ms

    @property
    def answered_ms(self) -> int:
        """Time of the last answer; -1 before the first."""
        return self._answered_ms

    @property
    def failures(self) -> int:
        """Number of unanswered exchanges since the last answer."""
        return self._failures

    def queue_command(
        self, command: workers.Command, at_once: bool = True
    ) -> None:
        """Queues a command; unless `at_once`, for the next renewal."""
        with self._lock:
            queue = self._commands if at_once else self._deferred_commands
            if command not in queue and len(queue) < MAX_QUEUED_COMMANDS:
                queue.append(command)

    def poll_by(self, due_ms: int) -> None:
        """Requests an exchange by `due_ms`, as when an attempt should end."""
        self._poll_due_ms = min(self._poll_due_ms, due_ms)

    def withdraw_command(self, command: workers.Command) -> bool:
        """Removes a queued command; False if it may have been sent."""
        with self._lock:
            if command not in self._commands:
                return False
            self._commands.remove(command)
            return True

    def clear_commands(self) -> None:
        """Drops all queued commands, as when the claim is lost."""
        with self._lock:
            self._commands.clear()
            self._deferred_commands.clear()

    def due_in_ms(
        self, permissions: ownership.OwnerPermissions, now_ms: int
    ) -> int:
        """Milliseconds until the next exchange is due; 0 if it is due now."""
        if permissions.bounds is None or self._fenced_term < permissions.term:
            return 0
        with self._lock:
            if self._commands and permissions.may_start(now_ms):
                return 0
        interval_ms = permissions.bounds.lease_ms // 3
        due_ms = min(self._renewal_sent_ms + interval_ms, self._poll_due_ms)
        return max(0, due_ms - now_ms)

    def next_exchange(
        self, permissions: ownership.OwnerPermissions, now_ms: int
    ) -> workers.Exchange | None:
        """Returns the exchange to send now, or None if none is permitted.

        If the last report would be stale on arrival, the exchange carries
        neither lease nor commands and only fetches a new report.
        """
        if not permissions.may_renew(now_ms) or permissions.bounds is None:
            return None
        ttl_ms = permissions.bounds.command_ttl_ms
        with self._lock:
            age_ms = now_ms - self._last_report_sent_ms
            fenced = self._fenced_term == permissions.term
            if (
                not fenced
                or self._last_report_number == 0
                or age_ms > ttl_ms // 2
            ):
                return workers.Exchange(self._host_id, permissions.term, 0, 0)
            return workers.Exchange(
                owner=self._host_id,
                term=permissions.term,
                quoted_report=self._last_report_number,
                lease_ms=permissions.bounds.lease_ms,
                commands=self._dequeue_commands(permissions.may_start(now_ms)),
            )

    def mark_sent(self, exchange: workers.Exchange, now_ms: int) -> int:
        """Records that an exchange is about to be sent.

        Returns:
            The previous `last_lease_sent_ms`, to be passed to `on_no_answer`.
        """
        with self._lock:
            previous_lease_sent_ms = self._last_lease_sent_ms
            # An exchange without a lease can't keep a task running.
            if exchange.lease_ms > 0:
                self._last_lease_sent_ms = now_ms
                self._renewal_sent_ms = now_ms
            return previous_lease_sent_ms

    def on_answer(
        self,
        exchange: workers.Exchange,
        report: workers.WorkerReport,
        sent_ms: int,
        now_ms: int,
    ) -> Reported:
        """Handles the worker's answer."""
        with self._lock:
            restarted = self._boot not in ("", report.boot)
            self._boot = report.boot
            self._last_report_number = report.report
            self._last_report_sent_ms = sent_ms
            self._answered_ms = now_ms
            self._poll_due_ms = NEVER_MS
            self._failures = 0
            if report.highest_term == exchange.term:
                self._fenced_term = max(self._fenced_term, exchange.term)
            refused = report.lease_left_ms < exchange.lease_ms // 2
            if refused:
                self._renewal_sent_ms = -1
        return Reported(
            worker=self.worker,
            term=exchange.term,
            report=report,
            commands=exchange.commands,
            sent_ms=sent_ms,
            restarted=restarted,
            renewal_refused=refused,
        )

    def on_no_answer(
        self,
        exchange: workers.Exchange,
        error: workers.WorkerError,
        sent_ms: int,
        previous_lease_sent_ms: int,
    ) -> Unanswered:
        """Handles an exchange without an answer."""
        was_sent = isinstance(error, workers.WorkerAnswerLost)
        with self._lock:
            self._failures += 1
            self._last_report_number = 0
            self._renewal_sent_ms = -1
            if not was_sent:
                self._last_lease_sent_ms = previous_lease_sent_ms
        return Unanswered(
            worker=self.worker,
            term=exchange.term,
            commands=exchange.commands,
            sent_ms=sent_ms,
            was_sent=was_sent,
            detail=error.detail,
        )

    def _dequeue_commands(self, may_start: bool) -> tuple[workers.Command, ...]:
        """Dequeues commands; none while their outcome can't be recorded."""
        if not may_start:
            return ()
        dequeued: list[workers.Command] = []
        for queue in (self._commands, self._deferred_commands):
            remaining = MAX_COMMANDS_PER_EXCHANGE - len(dequeued)
            dequeued.extend(queue[:remaining])
            del queue[:remaining]
        return tuple(dequeued)

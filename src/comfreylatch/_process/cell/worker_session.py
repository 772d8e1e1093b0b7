"""The owner's two threads per worker incarnation: leases and orders.

One thread repeats the hold call, which renews the worker's lease and returns
its running tasks and ended runs. The other sends orders to start, stop and slow
down runs.
"""

from __future__ import annotations

from collections.abc import Callable
import queue
import threading
import types
from typing import final
from typing import Self

import attrs
import logbook
import result

from comfreylatch._ports import cell_workers
from comfreylatch._ports import clock as clock_port
from comfreylatch._process import logs
from comfreylatch._process.cell import events
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell.carryover import clock_readings
from comfreylatch._process.cell.carryover import late_starts

# Longest time that a worker may wait for the end of a run before it answers a
# hold call, so that its readings are at most about a second old. The platform
# allows 2,000. A new owner relies on it for the calls of previous ones.
HOLD_WAIT_MS = 500
# Round trips take at most 12 ms, even to slow zones; the rest allows for a host
# that gets only a share of a core.
ORDER_TIMEOUT_MS = 450
HOLD_TIMEOUT_MS = 700
# Attempts to send a start before the owner is told that its outcome is unknown.
MAX_START_ATTEMPTS = 2
FAILED_HOLD_PAUSE_MS = 150
# Longest time from the computation of a deadline to the end of its call.
MAX_CALL_MS = HOLD_WAIT_MS + HOLD_TIMEOUT_MS
# How long the hold thread waits until reported ends are recorded. After that
# it renews the lease without acknowledging them.
RECORDING_WAIT_MS = 300

_logger = logbook.Logger(__name__)

PostEvent = Callable[[events.Event], None]
Connect = Callable[[cell_workers.WorkerEntry], cell_workers.WorkerOrders]


@attrs.frozen
class LeaseParameters:
    """The owner's parameters of worker leases.

    Attributes:
        token: The owner's fencing token.
        lease_ms: Duration of a lease on the worker's clock.
        may_renew: Tells whether this host is still the owner.
        permits_start: Tells whether the workers of a zone may be sent starts.
    """

    token: int
    lease_ms: int
    may_renew: Callable[[], bool]
    permits_start: Callable[[str], bool] = lambda _: True


@attrs.frozen
class _Start:
    run: runs_module.Run
    payload: str
    checkpoint: str
    ticket: str


@attrs.frozen
class _Stop:
    """A queued stop order; `run` is None for a run that the owner lacks."""

    run: runs_module.Run | None
    task: str
    number: int


@attrs.frozen
class _Pace:
    task: str
    number: int
    percent: int


@final
class WorkerSession:
    """Renews a worker's lease and sends it orders, one after the other.

    A context manager: entering starts its threads, leaving signals them to end
    and closes their connections.

    Attributes:
        late_starts: Starts that got no answer.
        has_seen_other: Whether another incarnation has answered since the last
            answer of this one.
    """

    def __init__(
        self,
        entry: cell_workers.WorkerEntry,
        orders: cell_workers.WorkerOrders,
        lease: LeaseParameters,
        post: PostEvent,
        clock: clock_port.Clock,
    ) -> None:
        self._entry = entry
        self._orders = orders
        self._lease = lease
        self._post = post
        self._clock = clock
        self._closing = threading.Event()
        self._acknowledged_end = 0
        self._reading: clock_readings.ClockReading | None = None
        self._latest_deadline_ms = 0
        self._last_renewal_ms = 0
        self._is_failing = False
        self.late_starts = late_starts.LateStarts(clock)
        self.has_seen_other = False
        self._acknowledged = threading.Condition()
        self._queue: queue.SimpleQueue[_Start | _Stop | _Pace | None] = (
            queue.SimpleQueue()
        )

    def __enter__(self) -> Self:
        for target in (self._hold_loop, self._order_loop):
            threading.Thread(
                target=target,
                name=f"worker-{self._entry.worker_id}",
                daemon=True,
            ).start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._closing.set()
        self._queue.put(None)
        with self._acknowledged:
            self._acknowledged.notify_all()
        self._orders.close()

    @property
    def entry(self) -> cell_workers.WorkerEntry:
        """Entry of the worker's incarnation that the session is for."""
        return self._entry

    @property
    def latest_deadline_ms(self) -> int:
        """Latest lease deadline sent, on the worker's clock."""
        return self._latest_deadline_ms

    @property
    def renewals_end_ms(self) -> int:
        """Monotonic time by which all calls with a deadline have been sent.

        0 if there were none.
        """
        if not self._last_renewal_ms:
            return 0
        return self._last_renewal_ms + MAX_CALL_MS

    @property
    def has_answer(self) -> bool:
        """Whether the worker has answered; no lease is renewed before."""
        return self._reading is not None

    def start(
        self,
        run: runs_module.Run,
        payload: str,
        checkpoint: str,
        ticket: str,
    ) -> None:
        """Queues the start of a run."""
        self._queue.put(_Start(run, payload, checkpoint, ticket))

    def stop(self, run: runs_module.Run | None, task: str, number: int) -> None:
        """Queues the stop of a run."""
        self._queue.put(_Stop(run, task, number))

    def pace(self, task: str, number: int, percent: int) -> None:
        """Queues a new pace for a run."""
        self._queue.put(_Pace(task, number, percent))

    def acknowledge(self, last_end: int) -> None:
        """Acknowledges ends of runs up to a number; the worker drops these."""
        with self._acknowledged:
            self._acknowledged_end = max(self._acknowledged_end, last_end)
            self._acknowledged.notify_all()

    @property
    def _is_verified(self) -> bool:
        """Whether the last hold call reached the session's incarnation.

        The next call may reach another one after a failure. That one must get
        no value that counts from the start of this one: it would take a
        deadline for a longer lease, and drop ends that nobody has read.
        """
        return self._reading is not None and not self._is_failing

    def _end_to_acknowledge(self) -> int:
        """Number of the last end that a call acknowledges now; 0 for none."""
        return self._acknowledged_end if self._is_verified else 0

    def _deadline_ms(self) -> int:
        """Deadline of a lease renewed now; 0 if it must not be renewed."""
        reading = self._reading
        if reading is None or not self._is_verified:
            return 0
        now_ms = self._clock.monotonic_ms()
        elapsed_ms = now_ms - reading.read_ms
        deadline_ms = reading.clock_ms + elapsed_ms + self._lease.lease_ms
        # Checked last, so that a suspension after it is not in the deadline.
        if not self._lease.may_renew():
            return 0
        self._last_renewal_ms = max(self._last_renewal_ms, now_ms)
        self._latest_deadline_ms = max(self._latest_deadline_ms, deadline_ms)
        return deadline_ms

    def _hold_loop(self) -> None:
        wait_ms = 0
        while not self._closing.is_set():
            try:
                wait_ms = self._hold(wait_ms)
            except Exception:
                # The lease must go on being renewed.
                self._log_failure("hold-failed")
                wait_ms = 0
                self._closing.wait(FAILED_HOLD_PAUSE_MS / 1_000)

    def _log_failure(self, event: str) -> None:
        logs.exception(
            _logger,
            event,
            worker=self._entry.worker_id,
            token=self._lease.token,
        )

    def _hold(self, wait_ms: int) -> int:
        """Makes one hold call; returns how long the next one may wait."""
        sent_ms = self._clock.monotonic_ms()
        deadline_ms = self._deadline_ms()
        outcome = self._orders.hold(
            cell_workers.HoldOrder(
                self._lease.token,
                self._end_to_acknowledge(),
                deadline_ms,
                wait_ms,
            ),
            wait_ms + HOLD_TIMEOUT_MS,
        )
        if self._closing.is_set():
            return 0
        received_ms = self._clock.monotonic_ms()
        must_renew = not self._is_verified
        self._note_hold(outcome, received_ms)
        self._post(
            events.HoldReturned(
                self._entry.worker_id,
                self._entry.born_ms,
                sent_ms,
                received_ms,
                deadline_ms,
                outcome,
            )
        )
        match outcome:
            case result.Ok(answer):
                # A call that sent no deadline is followed by one that does.
                if not self._wait_until_recorded(answer) or must_renew:
                    return 0
                return HOLD_WAIT_MS
            case result.Err(_):
                self._closing.wait(FAILED_HOLD_PAUSE_MS / 1_000)
                return 0

    def _note_hold(
        self,
        outcome: result.Result[
            cell_workers.HoldAnswer, cell_workers.OrderError
        ],
        received_ms: int,
    ) -> None:
        """Notes which incarnation has answered a hold call, if any."""
        match outcome:
            case result.Ok(answer):
                self._reading = clock_readings.ClockReading(
                    answer.clock_ms, received_ms
                )
                self._is_failing = self.has_seen_other = False
            case result.Err(
                cell_workers.OrderRefused(
                    cell_workers.Refusal.OTHER_INCARNATION
                )
            ):
                self._is_failing = self.has_seen_other = True
            case result.Err(_):
                self._is_failing = True

    def _wait_until_recorded(self, answer: cell_workers.HoldAnswer) -> bool:
        """Waits until the ends in an answer are recorded; False on timeout."""
        if not answer.ended:
            return True
        last_end = answer.ended[-1].number
        with self._acknowledged:
            return self._acknowledged.wait_for(
                lambda: (
                    self._acknowledged_end >= last_end or self._closing.is_set()
                ),
                RECORDING_WAIT_MS / 1_000,
            )

    def _order_loop(self) -> None:
        while True:
            order = self._queue.get()
            if order is None or self._closing.is_set():
                return
            try:
                self._send(order)
            except Exception:
                self._log_failure("order-failed")

    def _send(self, order: _Start | _Stop | _Pace) -> None:
        match order:
            case _Start():
                self._send_start(order)
            case _Stop():
                self._send_stop(order)
            case _Pace(task, number, percent):
                self._orders.pace(
                    cell_workers.PaceOrder(
                        task, number, percent, self._lease.token
                    ),
                    ORDER_TIMEOUT_MS,
                )

    def _send_start(self, order: _Start) -> None:
        tries = 0
        first_sent_ms = self._clock.monotonic_ms()
        outcome: result.Result[int, cell_workers.OrderError] = result.Err(
            cell_workers.OrderNotSent("abandoned before it was sent")
        )
        while tries < MAX_START_ATTEMPTS and not self._closing.is_set():
            deadline_ms = self._deadline_ms()
            # The run may have been stopped while its start order was queued.
            if deadline_ms == 0 or not order.run.should_start:
                break
            if not self._lease.permits_start(self._entry.zone):
                break
            tries += 1
            reading, sent_ms = self._reading, self._clock.monotonic_ms()
            outcome = self._end_try(
                order.run,
                self._orders.start(
                    cell_workers.StartOrder(
                        task=order.run.task.name,
                        run=order.run.number,
                        payload=order.payload,
                        deadline_ms=deadline_ms,
                        token=self._lease.token,
                        checkpoint=order.checkpoint,
                        ticket=order.ticket,
                    ),
                    ORDER_TIMEOUT_MS,
                ),
                reading,
                sent_ms,
            )
            match outcome:
                case result.Err(cell_workers.OrderUnanswered()):
                    continue
            break
        self._post(
            events.StartReturned(order.run, first_sent_ms, tries, outcome)
        )

    def _end_try(
        self,
        run: runs_module.Run,
        outcome: result.Result[int, cell_workers.OrderError],
        reading: clock_readings.ClockReading | None,
        sent_ms: int,
    ) -> result.Result[int, cell_workers.OrderError]:
        """Returns the outcome of a try to start a run on the incarnation.

        It is unknown if another incarnation has answered, which has the run.
        """
        match outcome:
            case result.Ok(clock_ms) if reading is not None and (
                reading.excludes(clock_ms, sent_ms)
            ):
                self._is_failing = self.has_seen_other = True
                outcome = result.Err(
                    cell_workers.OrderUnanswered(
                        "another incarnation has answered"
                    )
                )
        match outcome:
            case result.Err(cell_workers.OrderUnanswered()):
                self.late_starts.add(
                    late_starts.RunId(run.task.name, run.number)
                )
        return outcome

    def _send_stop(self, order: _Stop) -> None:
        outcome = self._orders.stop(
            cell_workers.StopOrder(order.task, order.number, self._lease.token),
            ORDER_TIMEOUT_MS,
        )
        self._post(
            events.StopReturned(self._entry.worker_id, order.run, outcome)
        )

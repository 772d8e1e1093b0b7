"""Thread that renews a worker's lease and sends commands to it."""

from __future__ import annotations

from collections.abc import Callable
import threading
import types
from typing import final

import logbook
import result

from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import workers
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import reasons
from comfreylatch._process.batch import ownership
from comfreylatch._process.batch import worker_session

EXCHANGE_TIMEOUT_MS = 1_000
IDLE_DELAY_MS = 200
MIN_RETRY_DELAY_MS = 100
MAX_RETRY_DELAY_MS = 2_000

_logger = logbook.Logger(__name__)


def exchange_once(
    session: worker_session.WorkerSession,
    port: workers.WorkerPort,
    zone_ownership: ownership.Ownership,
    clock: clock_port.Clock,
) -> worker_session.LinkEvent | None:
    """Makes one exchange if the permissions, read just before, allow it.

    Returns:
        A `Reported` or `Unanswered` event; None if it is not permitted.
    """
    now_ms = clock.monotonic_ms()
    exchange = session.next_exchange(zone_ownership.permissions(), now_ms)
    if exchange is None:
        return None
    previous_lease_sent_ms = session.mark_sent(exchange, now_ms)
    answer = port.exchange(session.address, exchange, EXCHANGE_TIMEOUT_MS)
    match answer:
        case result.Ok(report):
            if report.highest_term > exchange.term:
                zone_ownership.report_fenced(report.highest_term)
            return session.on_answer(
                exchange, report, now_ms, clock.monotonic_ms()
            )
        case result.Err(error):
            return session.on_no_answer(
                exchange, error, now_ms, previous_lease_sent_ms
            )


@final
class WorkerLink:
    """Runs a worker's session on its own thread."""

    def __init__(
        self,
        session: worker_session.WorkerSession,
        port: workers.WorkerPort,
        zone_ownership: ownership.Ownership,
        deliver: Callable[[worker_session.LinkEvent], None],
        metrics: metrics_module.Metrics,
        clock: clock_port.Clock,
    ) -> None:
        self.session = session
        self._port = port
        self._ownership = zone_ownership
        self._deliver = deliver
        self._metrics = metrics
        self._clock = clock
        self._wake = threading.Event()
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name=f"worker-{session.worker}", daemon=True
        )

    def __enter__(self) -> WorkerLink:
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self.stop()
        self._thread.join()

    def stop(self) -> None:
        """Signals the thread to stop without waiting for it."""
        self._stopping = True
        self._wake.set()

    def wake(self) -> None:
        """Wakes the thread so that it sends queued commands now."""
        self._wake.set()

    def _run(self) -> None:
        while not self._stopping:
            try:
                delay_ms = self._step()
            except Exception:
                logs.exception(
                    _logger, "exchange-failed", worker=self.session.worker
                )
                delay_ms = MAX_RETRY_DELAY_MS
            self._wake.wait(delay_ms / 1_000)
            self._wake.clear()

    def _step(self) -> int:
        now_ms = self._clock.monotonic_ms()
        permissions = self._ownership.permissions()
        if not permissions.may_renew(now_ms):
            return IDLE_DELAY_MS
        due_ms = self.session.due_in_ms(permissions, now_ms)
        if due_ms > 0:
            return due_ms
        event = exchange_once(
            self.session, self._port, self._ownership, self._clock
        )
        if event is None:
            return IDLE_DELAY_MS
        self._deliver(event)
        if isinstance(event, worker_session.Unanswered):
            self._metrics.count(
                metrics_module.Counter.RETRIES,
                reasons.RetryReason.WORKER_UNREACHABLE,
            )
            shift = min(self.session.failures - 1, 5)
            return min(MIN_RETRY_DELAY_MS << shift, MAX_RETRY_DELAY_MS)
        return MIN_RETRY_DELAY_MS if event.renewal_refused else 0

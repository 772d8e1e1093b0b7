"""Loans of slots between the hosts of a zone, on top of fixed shares.

Borrowing is asynchronous: a request that finds no free slot only queues the
endpoint, and one thread asks the other hosts of the zone for a loan. Lending
is decided at once, from the endpoint's account alone.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import itertools
import random
import threading
from typing import final
from typing import Protocol
from typing import Self

import attrs
import result

from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import peers as peers_port
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import slot_account
from comfreylatch._wire.gen.peer import ttypes

SLOTS_PER_LOAN_REQUEST = 2
MAX_IDLE_LOAN_MS = 1_000
LOAN_CHECK_INTERVAL_MS = 250
REFUSAL_BACKOFF_MS = 250
MIN_LOAN_DURATION_MS = 5_000
LOAN_DURATION_HOLD_FACTOR = 2


class ShareSource(Protocol):
    """Provides this host's own slots and connections of each endpoint."""

    def count_free(self, endpoint: str) -> int:
        """Returns the slots of this host's own share that may be used now."""
        ...

    def connection_share(self, endpoint: str) -> int:
        """Returns the connections this host may hold to an endpoint."""
        ...

    def on_free(self, callback: Callable[[str], None]) -> None:
        """Registers a callback for endpoints that have a free slot again."""
        ...


@attrs.frozen
class LoanStatus:
    """Slots of one endpoint in this host's account."""

    endpoint: str
    own: int
    used: int
    lent: int
    borrowed: int


@final
class LoanLedger:
    """Own and borrowed slots of this host; implements `SlotLedger`.

    Args:
        shares: The host's fixed shares.
        zone: This host's zone; loans stay within it.
        seat: This host's seat.
        host_id: Id of this process.
        peers: The other hosts.
        max_hold_ms: Returns the longest time a request may hold a slot.
        metrics: Counts loans.
        clock: Monotonic time.
        rng: Shuffles the hosts that are asked for a loan.
        timeout_ms: Timeout of one call to a lender.
    """

    def __init__(
        self,
        shares: ShareSource,
        zone: str,
        seat: str,
        host_id: str,
        peers: peers_port.Peers,
        max_hold_ms: Callable[[], int],
        metrics: metrics_module.Metrics,
        clock: clock_port.Clock,
        rng: random.Random,
        timeout_ms: int,
    ) -> None:
        self._shares = shares
        self._zone = zone
        self._seat = seat
        self._host_id = host_id
        self._peers = peers
        self._max_hold_ms = max_hold_ms
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._timeout_ms = timeout_ms
        self._lock = threading.Lock()
        self._accounts: dict[str, slot_account.SlotAccount] = {}
        self._listeners: list[Callable[[str], None]] = []
        self._requested_endpoints: set[str] = set()
        self._backoff_until_ms: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._loan_ids = itertools.count(1)
        self._wake = threading.Event()
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name="loans", daemon=True
        )
        shares.on_free(self._notify_listeners)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping = True
        self._wake.set()
        self._thread.join()
        self._return_idle(0)

    def try_acquire_slot(self, endpoint: str, duration_ms: int) -> bool:
        """See `SlotLedger.try_acquire_slot`."""
        now_ms = self._clock.monotonic_ms()
        with self._lock:
            account = self._account(endpoint)
            acquired = account.acquire(now_ms, duration_ms)
        if not acquired:
            self.report_demand(endpoint)
        return acquired

    def release_slot(self, endpoint: str) -> None:
        """See `SlotLedger.release_slot`."""
        with self._lock:
            self._account(endpoint).release(self._clock.monotonic_ms())
        self._notify_listeners(endpoint)

    def count_free(self, endpoint: str) -> int:
        """See `SlotLedger.count_free`."""
        with self._lock:
            return self._account(endpoint).count_free(
                self._clock.monotonic_ms(), self._max_hold_ms()
            )

    def on_free(self, callback: Callable[[str], None]) -> None:
        """See `SlotLedger.on_free`."""
        self._listeners.append(callback)

    def connection_share(self, endpoint: str) -> int:
        """See `SlotLedger.connection_share`."""
        return self._shares.connection_share(endpoint)

    def report_demand(self, endpoint: str) -> None:
        """See `SlotLedger.report_demand`; queues a loan request."""
        if endpoint not in self._requested_endpoints:
            self._requested_endpoints.add(endpoint)
            self._wake.set()

    def lend(self, request: ttypes.LoanRequest) -> ttypes.LoanReply:
        """Grants or refuses a loan; debits the slots before the reply."""
        now_ms = self._clock.monotonic_ms()
        duration_ms = min(request.duration_ms, self.loan_duration_ms())
        with self._lock:
            slots = self._account(request.endpoint).lend(
                now_ms,
                request.loan_id,
                request.borrower_host_id,
                request.slots,
                duration_ms,
            )
        label = "lent" if slots else "lend-refused"
        self._metrics.count(metrics_module.Counter.LOANS, label)
        return ttypes.LoanReply(slots, duration_ms, request.loan_id)

    def credit_return(self, loan: ttypes.LoanReturn) -> None:
        """Credits a loan that another host returns."""
        with self._lock:
            self._account(loan.endpoint).credit_return(
                loan.loan_id, loan.borrower_host_id
            )
        self._metrics.count(metrics_module.Counter.LOANS, "returned")
        self._notify_listeners(loan.endpoint)

    def loan_duration_ms(self) -> int:
        """Returns the duration of a loan under the current configuration."""
        request_hold_ms = self._max_hold_ms()
        return max(
            MIN_LOAN_DURATION_MS, LOAN_DURATION_HOLD_FACTOR * request_hold_ms
        )

    def status(self) -> tuple[LoanStatus, ...]:
        """Returns the slots of every endpoint, for operators."""
        with self._lock:
            return tuple(
                LoanStatus(
                    endpoint,
                    self._shares.count_free(endpoint),
                    account.used,
                    account.lent_slots,
                    account.borrowed_slots,
                )
                for endpoint, account in sorted(self._accounts.items())
            )

    def _account(self, endpoint: str) -> slot_account.SlotAccount:
        account = self._accounts.get(endpoint)
        if account is None:
            account = slot_account.SlotAccount(endpoint)
            self._accounts[endpoint] = account
        account.set_own_slots(self._shares.count_free(endpoint))
        return account

    def _notify_listeners(self, endpoint: str) -> None:
        for listener in self._listeners:
            listener(endpoint)

    def step(self) -> None:
        """Requests the queued loans and returns idle ones."""
        requested = sorted(self._requested_endpoints)
        self._requested_endpoints.clear()
        for endpoint in requested:
            self._borrow(endpoint)
        self._return_idle(MAX_IDLE_LOAN_MS)

    def _run(self) -> None:
        while not self._stopping:
            self._wake.wait(LOAN_CHECK_INTERVAL_MS / 1_000)
            self._wake.clear()
            self.step()

    def _borrow(self, endpoint: str) -> None:
        lenders = [
            view.seat
            for view in self._peers.views()
            if view.zone == self._zone
            and view.reachable
            and not view.stopping
            and not self._is_backing_off(view.seat, endpoint)
        ]
        self._rng.shuffle(lenders)
        for seat in lenders:
            if self._borrow_from(seat, endpoint):
                self._notify_listeners(endpoint)
                return

    def _is_backing_off(self, seat: str, endpoint: str) -> bool:
        until_ms = self._backoff_until_ms[seat, endpoint]
        return self._clock.monotonic_ms() < until_ms

    def _borrow_from(self, seat: str, endpoint: str) -> bool:
        request = ttypes.LoanRequest(
            borrower_seat=self._seat,
            borrower_host_id=self._host_id,
            endpoint=endpoint,
            slots=SLOTS_PER_LOAN_REQUEST,
            loan_id=next(self._loan_ids),
            duration_ms=self.loan_duration_ms(),
        )
        requested_ms = self._clock.monotonic_ms()
        match self._peers.borrow(seat, request, self._timeout_ms):
            case result.Ok(reply) if reply.slots > 0:
                self._add_loan(seat, request, reply, requested_ms)
                return True
            case _:
                self._backoff_until_ms[seat, endpoint] = (
                    requested_ms + REFUSAL_BACKOFF_MS
                )
                return False

    def _add_loan(
        self,
        seat: str,
        request: ttypes.LoanRequest,
        reply: ttypes.LoanReply,
        requested_ms: int,
    ) -> None:
        duration_ms = min(reply.duration_ms, request.duration_ms)
        loan = slot_account.BorrowedLoan(
            lender_seat=seat,
            loan_id=request.loan_id,
            slots=min(reply.slots, request.slots),
            ends_ms=requested_ms + duration_ms,
            idle_since_ms=self._clock.monotonic_ms(),
        )
        with self._lock:
            self._account(request.endpoint).add_borrowed(loan)
        self._metrics.count(metrics_module.Counter.LOANS, "borrowed")

    def _return_idle(self, idle_ms: int) -> None:
        now_ms = self._clock.monotonic_ms()
        with self._lock:
            idle = [
                (endpoint, loan)
                for endpoint, account in self._accounts.items()
                for loan in account.pop_idle_loans(now_ms, idle_ms)
            ]
        for endpoint, loan in idle:
            message = ttypes.LoanReturn(
                self._host_id, endpoint, loan.loan_id, loan.slots
            )
            self._peers.give_back(loan.lender_seat, message, self._timeout_ms)

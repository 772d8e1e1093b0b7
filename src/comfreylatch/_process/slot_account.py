"""One host's account of the slots of one endpoint.

A host owns a fixed share of an endpoint's slots. It lends free slots to other
hosts and borrows from them. The lender debits a loan before it sends the reply
and credits it when the loan is returned, or has expired by the lender's clock
plus a margin. The borrower measures the same duration from before its request,
so it stops using the slots first. A request gets a borrowed slot only if it
must end before the loan does. Together the hosts therefore never use more
slots than the endpoint has, whichever messages are lost and whichever hosts
crash, as long as clock rates differ by less than the margin.
"""

from __future__ import annotations

from typing import final

import attrs

CLOCK_DRIFT_DIVISOR = 50


@attrs.define
class LentLoan:
    """Slots lent to another host, unavailable here until `ends_ms`."""

    loan_id: int
    borrower_host_id: str
    slots: int
    ends_ms: int


@attrs.define
class BorrowedLoan:
    """Slots borrowed from another seat, for requests that end in time.

    Attributes:
        lender_seat: Seat that lent the slots.
        loan_id: Number that the borrower gave the loan.
        slots: Number of slots.
        ends_ms: Monotonic time by which no slot may be in use any more.
        used: Number of slots in use.
        idle_since_ms: Monotonic time since which no slot is in use.
    """

    lender_seat: str
    loan_id: int
    slots: int
    ends_ms: int
    used: int = 0
    idle_since_ms: int = 0


@attrs.define(eq=False)
class _SlotUse:
    """One slot in use.

    Attributes:
        loan: The loan that the slot belongs to; None for a slot of the host.
        until_ms: Monotonic time by which the request has ended.
    """

    loan: BorrowedLoan | None
    until_ms: int


@final
class SlotAccount:
    """Slots of one endpoint. Not thread-safe: the caller holds a lock.

    A release doesn't identify the slot, so the account ends the use with the
    earliest deadline. The uses that remain are then at least as many as the
    requests that are really running, and end no sooner than they do.
    """

    def __init__(self, endpoint: str) -> None:
        self._endpoint = endpoint
        self._own_slots = 0
        self._own_used = 0
        self._lent: list[LentLoan] = []
        self._borrowed: list[BorrowedLoan] = []
        self._uses: list[_SlotUse] = []

    def set_own_slots(self, slots: int) -> None:
        """Sets the host's own share; slots in use beyond it are not revoked."""
        self._own_slots = slots

    def acquire(self, now_ms: int, duration_ms: int) -> bool:
        """Acquires a slot for a request that ends within `duration_ms`."""
        self._expire(now_ms)
        until_ms = now_ms + duration_ms
        if self._own_free() > 0:
            self._own_used += 1
            self._uses.append(_SlotUse(None, until_ms))
            return True
        for loan in self._borrowed:
            if loan.used < loan.slots and until_ms <= loan.ends_ms:
                loan.used += 1
                self._uses.append(_SlotUse(loan, until_ms))
                return True
        return False

    def release(self, now_ms: int) -> None:
        """Releases the slot of a request that has ended."""
        use = min(self._uses, key=lambda slot_use: slot_use.until_ms)
        self._uses.remove(use)
        if use.loan is None:
            self._own_used -= 1
            return
        use.loan.used -= 1
        if use.loan.used == 0:
            use.loan.idle_since_ms = now_ms

    def count_free(self, now_ms: int, duration_ms: int) -> int:
        """Returns the slots a request of `duration_ms` could acquire now."""
        self._expire(now_ms)
        borrowed_free = sum(
            loan.slots - loan.used
            for loan in self._borrowed
            if now_ms + duration_ms <= loan.ends_ms
        )
        return max(self._own_free(), 0) + borrowed_free

    def lend(
        self,
        now_ms: int,
        loan_id: int,
        borrower_host_id: str,
        requested_slots: int,
        duration_ms: int,
    ) -> int:
        """Debits and returns the slots lent: at most half of the free ones.

        The last free slot is never lent: a host without any slot would have
        no release to wait for.

        A borrower that repeats a loan id after a lost reply gets nothing, as
        the first debit stands until the loan expires.
        """
        self._expire(now_ms)
        for loan in self._lent:
            if (loan.borrower_host_id, loan.loan_id) == (
                borrower_host_id,
                loan_id,
            ):
                return 0
        slots = min(requested_slots, self._own_free() // 2)
        if slots <= 0:
            return 0
        margin_ms = duration_ms // CLOCK_DRIFT_DIVISOR + 1
        ends_ms = now_ms + duration_ms + margin_ms
        self._lent.append(LentLoan(loan_id, borrower_host_id, slots, ends_ms))
        return slots

    def credit_return(self, loan_id: int, borrower_host_id: str) -> None:
        """Credits a returned loan; ignores one that has expired already."""
        self._lent = [
            loan
            for loan in self._lent
            if (loan.borrower_host_id, loan.loan_id)
            != (borrower_host_id, loan_id)
        ]

    def add_borrowed(self, loan: BorrowedLoan) -> None:
        """Adds a loan granted by another host."""
        self._borrowed.append(loan)

    def pop_idle_loans(self, now_ms: int, idle_ms: int) -> list[BorrowedLoan]:
        """Removes and returns the borrowed loans unused for `idle_ms`."""
        self._expire(now_ms)
        idle = [
            loan
            for loan in self._borrowed
            if loan.used == 0 and now_ms - loan.idle_since_ms >= idle_ms
        ]
        self._borrowed = [loan for loan in self._borrowed if loan not in idle]
        return idle

    @property
    def own_used(self) -> int:
        """Number of own slots in use."""
        return self._own_used

    @property
    def lent_slots(self) -> int:
        """Number of own slots lent to other hosts."""
        return sum(loan.slots for loan in self._lent)

    @property
    def borrowed_slots(self) -> int:
        """Number of slots borrowed from other hosts."""
        return sum(loan.slots for loan in self._borrowed)

    @property
    def used(self) -> int:
        """Number of own and borrowed slots in use."""
        return self._own_used + sum(loan.used for loan in self._borrowed)

    def _own_free(self) -> int:
        return self._own_slots - self.lent_slots - self._own_used

    def _expire(self, now_ms: int) -> None:
        if self._lent:
            self._lent = [loan for loan in self._lent if loan.ends_ms > now_ms]
        if self._borrowed:
            self._borrowed = [
                loan for loan in self._borrowed if loan.ends_ms > now_ms
            ]

"""Who may use which slots of one endpoint, from one host's point of view.

A host owns a fixed share of an endpoint's slots. It lends free ones to other
hosts, and borrows from them. A lender counts a slot as gone from before its
answer is sent until the loan is returned or has run out by the lender's clock
plus a margin. A borrower counts the same loan from before it asked, so it
stops using the slot first. A request takes a borrowed slot only when it is
sure to have ended before the loan does. So at every moment the hosts together
use at most what the endpoint has, whichever messages are lost and whoever
dies, as long as clocks run at rates that differ by less than the margin.
"""

from __future__ import annotations

from typing import final

import attrs

CLOCK_DRIFT_DIVISOR = 50


@attrs.define
class LentLoan:
    """Slots given to another host, gone until `ends_ms` at the latest."""

    loan_id: int
    borrower_host_id: str
    slots: int
    ends_ms: int


@attrs.define
class BorrowedLoan:
    """Slots got from another seat, usable for requests ending in time.

    Attributes:
        lender_seat: Seat that lent them.
        loan_id: Number the borrower gave the loan.
        slots: How many.
        ends_ms: When they must no longer be in use.
        used: How many are in use.
        idle_since_ms: Since when none is in use.
    """

    lender_seat: str
    loan_id: int
    slots: int
    ends_ms: int
    used: int = 0
    idle_since_ms: int = 0


@attrs.define(eq=False)
class _SlotUse:
    """One slot in use; `loan` is None for the host's own."""

    loan: BorrowedLoan | None
    until_ms: int


@final
class SlotAccount:
    """Slots of one endpoint. Not thread-safe: the owner holds a lock.

    A slot is given back without saying which. The book then takes the request
    with the earliest bound for ended: what it goes on counting is never less,
    nor sooner over, than what really runs.
    """

    def __init__(self, endpoint: str) -> None:
        self._endpoint = endpoint
        self._own_slots = 0
        self._own_used = 0
        self._lent: list[LentLoan] = []
        self._borrowed: list[BorrowedLoan] = []
        self._uses: list[_SlotUse] = []

    def set_own_slots(self, slots: int) -> None:
        """Sets the host's own share; what is in use beyond it runs out."""
        self._own_slots = slots

    def acquire(self, now_ms: int, duration_ms: int) -> bool:
        """Takes a slot for a request that ends within `duration_ms`."""
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
        """Frees the slot of one request known to have ended."""
        use = min(self._uses, key=lambda slot_use: slot_use.until_ms)
        self._uses.remove(use)
        if use.loan is None:
            self._own_used -= 1
            return
        use.loan.used -= 1
        if use.loan.used == 0:
            use.loan.idle_since_ms = now_ms

    def free(self, now_ms: int, duration_ms: int) -> int:
        """Slots a request of `duration_ms` could take now."""
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

        The last free slot is never lent: a host with none would have nothing
        to wait for.

        The same loan id asked again by the same borrower, after a lost
        answer, gets nothing: the first debit stands until it runs out.
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
        """Credits a returned loan; an unknown one has run out before."""
        self._lent = [
            loan
            for loan in self._lent
            if (loan.borrower_host_id, loan.loan_id)
            != (borrower_host_id, loan_id)
        ]

    def add_borrowed(self, loan: BorrowedLoan) -> None:
        """Adds slots another host has lent."""
        self._borrowed.append(loan)

    def pop_idle_loans(self, now_ms: int, idle_ms: int) -> list[BorrowedLoan]:
        """Removes and returns the loans unused for `idle_ms`."""
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
        """Own slots in use."""
        return self._own_used

    @property
    def lent_slots(self) -> int:
        """Slots other hosts have of this one."""
        return sum(loan.slots for loan in self._lent)

    @property
    def borrowed_slots(self) -> int:
        """Slots this host has of others."""
        return sum(loan.slots for loan in self._borrowed)

    @property
    def used(self) -> int:
        """All slots in use by this host's requests."""
        return self._own_used + sum(loan.used for loan in self._borrowed)

    def _own_free(self) -> int:
        return self._own_slots - self.lent_slots - self._own_used

    def _expire(self, now_ms: int) -> None:
        if self._lent:
            self._lent = [a for a in self._lent if a.ends_ms > now_ms]
        if self._borrowed:
            self._borrowed = [b for b in self._borrowed if b.ends_ms > now_ms]

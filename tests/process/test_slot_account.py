"""Tests of slot accounts, and of the slots that several hosts use."""

from __future__ import annotations

from typing import Any
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import testtools

from comfreylatch._process import slot_account

SLOTS = 4
HOSTS = 2
LOAN_MS = 1_000
RUN_MS = 700
MAX_MUTANT_EXAMPLES = 5_000


class SlotAccountTest(testtools.TestCase):
    """The account of one host."""

    def setUp(self) -> None:
        super().setUp()
        self.account = slot_account.SlotAccount("ex-1")
        self.account.set_own_slots(2)

    def test_own_share_limits_acquired_slots(self) -> None:
        acquired = [self.account.acquire(0, RUN_MS) for _ in range(3)]
        self.assertEqual([True, True, False], acquired)

    def test_lent_slot_is_unavailable_until_loan_expires(self) -> None:
        self.assertEqual(1, self.account.lend(0, 1, "h", 5, LOAN_MS))
        self.assertEqual(1, self.account.count_free(LOAN_MS, RUN_MS))
        self.assertEqual(2, self.account.count_free(LOAN_MS + 100, RUN_MS))

    def test_last_free_slot_is_not_lent(self) -> None:
        self.account.acquire(0, RUN_MS)
        self.assertEqual(0, self.account.lend(0, 1, "h", 1, LOAN_MS))

    def test_repeated_loan_request_debits_once(self) -> None:
        self.account.lend(0, 1, "h", 1, LOAN_MS)
        self.assertEqual(0, self.account.lend(1, 1, "h", 1, LOAN_MS))
        self.assertEqual(1, self.account.lent_slots)

    def test_borrowed_slot_is_only_for_requests_that_end_in_time(self) -> None:
        self.account.set_own_slots(0)
        self.account.add_borrowed(slot_account.BorrowedLoan("s", 1, 1, LOAN_MS))
        late_ms = LOAN_MS - RUN_MS + 1
        self.assertFalse(self.account.acquire(late_ms, RUN_MS))
        self.assertTrue(self.account.acquire(late_ms - 1, RUN_MS))

    def test_released_slot_can_be_acquired_again(self) -> None:
        self.account.acquire(0, RUN_MS)
        self.account.acquire(0, RUN_MS)
        self.account.release(1)
        self.assertEqual(1, self.account.count_free(1, RUN_MS))


class LoanModel(stateful.RuleBasedStateMachine):
    """Hosts that serve, lend, lose messages, crash and are replaced."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0
        self.loan_id = 0
        self.accounts = [self._new_account(own=True) for _ in range(HOSTS)]
        self.start_ms = [0] * HOSTS
        self.running: list[tuple[int, int]] = []
        self.orphan_ends_ms: list[int] = []

    def _new_account(self, own: bool) -> slot_account.SlotAccount:
        account = slot_account.SlotAccount("ex-1")
        account.set_own_slots(SLOTS // HOSTS if own else 0)
        return account

    @stateful.rule(host=strategies.integers(0, HOSTS - 1))
    def fill(self, host: int) -> None:
        """Starts requests while there are slots; each runs to its bound."""
        while len(self.running) <= SLOTS:
            if not self.accounts[host].acquire(self.now_ms, RUN_MS):
                return
            self.running.append((host, self.now_ms + RUN_MS))

    @stateful.rule(pick=strategies.integers(0, 99))
    def end(self, pick: int) -> None:
        """Ends any request before its bound."""
        if not self.running:
            return
        host, _ = self.running.pop(pick % len(self.running))
        self.accounts[host].release(self.now_ms)

    @stateful.rule(
        lender=strategies.integers(0, HOSTS - 1),
        borrower=strategies.integers(0, HOSTS - 1),
        delay_ms=strategies.sampled_from([0, 1, 300]),
        lost=strategies.booleans(),
    )
    def borrow(
        self, lender: int, borrower: int, delay_ms: int, lost: bool
    ) -> None:
        """Requests a loan whose reply may be late or lost."""
        if lender == borrower:
            return
        self.loan_id += 1
        requested_ms = self.now_ms
        self.advance(delay_ms)
        slots = self.accounts[lender].lend(
            self.now_ms, self.loan_id, str(borrower), 2, LOAN_MS
        )
        if slots and not lost:
            self.accounts[borrower].add_borrowed(
                slot_account.BorrowedLoan(
                    str(lender), self.loan_id, slots, requested_ms + LOAN_MS
                )
            )

    @stateful.rule(host=strategies.integers(0, HOSTS - 1))
    def give_back(self, host: int) -> None:
        """Returns unused loans to their lenders."""
        for loan in self.accounts[host].pop_idle_loans(self.now_ms, 0):
            self.accounts[int(loan.lender_seat)].credit_return(
                loan.loan_id, str(host)
            )

    @stateful.rule(host=strategies.integers(0, HOSTS - 1))
    def replace(self, host: int) -> None:
        """Crashes a host; its successor waits for its requests and loans."""
        for running_host, until_ms in self.running:
            if running_host == host:
                self.orphan_ends_ms.append(until_ms)
        self.running = [r for r in self.running if r[0] != host]
        self.accounts[host] = self._new_account(own=False)
        margin_ms = LOAN_MS // slot_account.CLOCK_DRIFT_DIVISOR + 1
        self.start_ms[host] = self.now_ms + LOAN_MS + margin_ms + RUN_MS

    @stateful.rule(step_ms=strategies.sampled_from([1, 100, 350, 500]))
    def advance(self, step_ms: int) -> None:
        """Advances the time; successors that have waited get their shares."""
        self.now_ms += step_ms
        self.orphan_ends_ms = [
            end_ms for end_ms in self.orphan_ends_ms if end_ms > self.now_ms
        ]
        ended = [r for r in self.running if r[1] <= self.now_ms]
        self.running = [r for r in self.running if r[1] > self.now_ms]
        for host, _ in ended:
            self.accounts[host].release(self.now_ms)
        for host, start_ms in enumerate(self.start_ms):
            if self.now_ms >= start_ms:
                self.accounts[host].set_own_slots(SLOTS // HOSTS)

    @stateful.invariant()
    def within_slot_limit(self) -> None:
        """The endpoint never runs more requests than it has slots."""
        total = SLOTS // HOSTS * HOSTS
        assert len(self.running) + len(self.orphan_ends_ms) <= total


LoanModel.TestCase.settings = hypothesis.settings(
    max_examples=200,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    database=None,
)
LoanModelTest = LoanModel.TestCase


class MutantTest(testtools.TestCase):
    """The model finds a violation if any one guard is removed."""

    def _assert_violation_found(self, name: str, mutant: Any) -> None:
        with mock.patch.object(slot_account.SlotAccount, name, mutant):
            self.assertRaises(
                AssertionError,
                stateful.run_state_machine_as_test,
                LoanModel,
                settings=hypothesis.settings(
                    LoanModel.TestCase.settings,
                    phases=[hypothesis.Phase.generate],
                    max_examples=MAX_MUTANT_EXAMPLES,
                ),
            )

    def test_lender_that_does_not_debit_is_detected(self) -> None:
        self._assert_violation_found("lend", lambda *_: 1)

    def test_successor_that_does_not_wait_is_detected(self) -> None:
        new_account = LoanModel._new_account

        def with_share(model: LoanModel, own: bool) -> slot_account.SlotAccount:
            del own
            return new_account(model, True)

        with mock.patch.object(LoanModel, "_new_account", with_share):
            self._assert_violation_found(
                "own_used", slot_account.SlotAccount.own_used
            )

    def test_borrower_that_ignores_the_end_of_a_loan_is_detected(self) -> None:
        add = slot_account.SlotAccount.add_borrowed

        def add_without_end(
            account: slot_account.SlotAccount, loan: Any
        ) -> None:
            loan.ends_ms += 10 * LOAN_MS
            add(account, loan)

        self._assert_violation_found("add_borrowed", add_without_end)

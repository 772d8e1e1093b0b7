"""Tests of loans of slots between the ledgers of two hosts."""

from __future__ import annotations

from collections.abc import Callable
import random

import result
import testtools

from comfreylatch._ports import peers as peers_port
from comfreylatch._process import loans
from comfreylatch._process import metrics
from comfreylatch._wire.gen.peer import ttypes
from testing.fakes import clock as fake_clock

ENDPOINT = "ex-1"
SHARE = 4
RUN_MS = 1_000
HOLD_MS = 2_000


class _FakeShares:
    """A fixed share of one endpoint."""

    def count_free(self, endpoint: str) -> int:
        return SHARE

    def connection_share(self, endpoint: str) -> int:
        return 32

    def on_free(self, callback: Callable[[str], None]) -> None:
        pass


class _FakePeers:
    """Forwards calls to the other host's ledger; can lose the replies."""

    def __init__(self) -> None:
        self.other: loans.LoanLedger
        self.loses_replies = False
        self.is_stopping = False

    def views(self) -> tuple[peers_port.PeerView, ...]:
        view = peers_port.PeerView(
            "other", "bole", reachable=True, stopping=self.is_stopping
        )
        return (view,)

    def borrow(
        self, seat: str, request: ttypes.LoanRequest, timeout_ms: int
    ) -> result.Result[ttypes.LoanReply, peers_port.PeerError]:
        reply = self.other.lend(request)
        if self.loses_replies:
            return result.Err(peers_port.PeerAnswerLost("cut"))
        return result.Ok(reply)

    def give_back(
        self, seat: str, loan: ttypes.LoanReturn, timeout_ms: int
    ) -> result.Result[None, peers_port.PeerError]:
        self.other.credit_return(loan)
        return result.Ok(None)


class LoanLedgerTest(testtools.TestCase):
    """Two hosts of a zone that each own half of an endpoint's slots."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = fake_clock.FakeClock()
        self.peers = {"a": _FakePeers(), "b": _FakePeers()}
        self.ledgers = {seat: self._ledger(seat) for seat in self.peers}
        self.peers["a"].other = self.ledgers["b"]
        self.peers["b"].other = self.ledgers["a"]

    def _ledger(self, seat: str) -> loans.LoanLedger:
        return loans.LoanLedger(
            _FakeShares(),
            "bole",
            seat,
            f"{seat}-1",
            self.peers[seat],
            lambda: HOLD_MS,
            metrics.Metrics(),
            self.clock,
            random.Random(1),
            RUN_MS,
        )

    def _acquire_all(self, seat: str) -> int:
        """Acquires every available slot; returns their number."""
        ledger = self.ledgers[seat]
        acquired = 0
        while ledger.try_acquire_slot(ENDPOINT, RUN_MS):
            acquired += 1
        return acquired

    def test_busy_host_borrows_from_an_idle_one(self) -> None:
        self.assertEqual(SHARE, self._acquire_all("a"))
        self.ledgers["a"].step()
        self.assertEqual(loans.SLOTS_PER_LOAN_REQUEST, self._acquire_all("a"))
        self.assertEqual(
            SHARE - loans.SLOTS_PER_LOAN_REQUEST, self._acquire_all("b")
        )

    def test_lost_reply_leaves_the_slots_unused(self) -> None:
        self.peers["a"].loses_replies = True
        self._acquire_all("a")
        self.ledgers["a"].step()
        self.assertEqual(0, self._acquire_all("a"))
        self.assertEqual(
            SHARE - loans.SLOTS_PER_LOAN_REQUEST, self._acquire_all("b")
        )

    def test_idle_loan_is_returned(self) -> None:
        self._acquire_all("a")
        self.ledgers["a"].step()
        self.clock.advance(loans.MAX_IDLE_LOAN_MS)
        self.ledgers["a"].step()
        self.assertEqual(SHARE, self._acquire_all("b"))

    def test_stopping_host_is_not_asked(self) -> None:
        self.peers["a"].is_stopping = True
        self._acquire_all("a")
        self.ledgers["a"].step()
        self.assertEqual(SHARE, self._acquire_all("b"))

    def test_refusing_host_is_not_asked_during_backoff(self) -> None:
        self._acquire_all("b")
        self._acquire_all("a")
        self.ledgers["a"].step()
        for _ in range(SHARE):
            self.ledgers["b"].release_slot(ENDPOINT)
        self._acquire_all("a")
        self.ledgers["a"].step()
        self.assertEqual(0, self._acquire_all("a"))
        self.clock.advance(loans.REFUSAL_BACKOFF_MS)
        self._acquire_all("a")
        self.ledgers["a"].step()
        self.assertEqual(loans.SLOTS_PER_LOAN_REQUEST, self._acquire_all("a"))

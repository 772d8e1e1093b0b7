"""Tests of forwarding requests to other zones."""

from __future__ import annotations

import result
import testtools

from comfreylatch._ports import peers as peers_port
from comfreylatch._process import reasons
from comfreylatch._wire.gen.peer import ttypes
from tests import fakes
from tests import scripted_endpoint
from tests.request import harness


def make_view(
    spare: int, zone: str = "entoto", reachable: bool = True
) -> peers_port.PeerView:
    return peers_port.PeerView(
        "e1", zone, reachable=reachable, spare_slots={fakes.SERVICE: spare}
    )


def make_forward_result(
    outcome: str, request_id: str = "r1"
) -> result.Ok[ttypes.ForwardReply]:
    return result.Ok(
        ttypes.ForwardReply(
            request_id, outcome, "no-free-slot", 200, {}, b"far", 0
        )
    )


class SpillTest(testtools.TestCase):
    """A zone whose only endpoint has no slots."""

    def setUp(self) -> None:
        super().setUp()
        self.fixture = harness.Harness(scripted_endpoint.whole, slots=0)
        self.fixture.__enter__()
        self.addCleanup(self.fixture.__exit__, None, None, None)
        self.fixture.peers.peer_views = (make_view(2),)
        self.fixture.peers.forward_result = make_forward_result("answered")

    def test_request_without_slot_is_forwarded_to_zone_with_spare_slots(
        self,
    ) -> None:
        answered = self.fixture.send_request("r1", timeout_ms=300)
        self.assertEqual((200, b"far"), (answered.status, answered.body))
        self.assertEqual(1, self.fixture.retries(reasons.RetryReason.SPILLED))

    def test_remaining_time_is_passed_on(self) -> None:
        self.fixture.send_request("r1", timeout_ms=300)
        remaining_ms = self.fixture.peers.forwarded[0].remaining_ms
        self.assertLess(remaining_ms, 300)

    def test_nothing_is_forwarded_without_spare_slots(self) -> None:
        for peer_view in (
            make_view(0),
            make_view(2, fakes.ZONE),
            make_view(2, reachable=False),
        ):
            self.fixture.peers.peer_views = (peer_view,)
            refused = self.fixture.send_request("r1", timeout_ms=10)
            self.assertEqual("not-run", refused.headers["X-Outcome"])
        self.assertEqual([], self.fixture.peers.forwarded)

    def test_refusal_by_other_zone_pauses_forwarding(self) -> None:
        self.fixture.peers.forward_result = make_forward_result("not-run")
        for _ in range(3):
            refused = self.fixture.send_request("r1", timeout_ms=60)
            self.assertEqual("not-run", refused.headers["X-Outcome"])
        self.assertEqual(1, len(self.fixture.peers.forwarded))

    def test_lost_reply_is_unknown(self) -> None:
        self.fixture.peers.forward_result = result.Err(
            peers_port.PeerAnswerLost("cut")
        )
        lost_reply = self.fixture.send_request("r1", timeout_ms=300)
        self.assertEqual("unknown", lost_reply.headers["X-Outcome"])

    def test_reply_for_another_request_is_unknown(self) -> None:
        self.fixture.peers.forward_result = make_forward_result(
            "answered", "r2"
        )
        mismatched = self.fixture.send_request("r1", timeout_ms=300)
        self.assertEqual("unknown", mismatched.headers["X-Outcome"])

    def test_forwarded_request_is_not_queued(self) -> None:
        forwarded = ttypes.ForwardRequest(
            "r1", "clerk", fakes.SERVICE, "/", "GET", {}, b"", 1_000, True
        )
        refused = self.fixture.router.run_forwarded(forwarded)
        self.assertEqual(
            ("not-run", "no-free-slot"), (refused.outcome, refused.reason)
        )

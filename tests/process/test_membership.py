"""Tests of seat occupants and drain reports in heartbeats."""

from __future__ import annotations

import attrs
import testtools

from comfreylatch._connection import address
from comfreylatch._connection import peer_link
from comfreylatch._connection import peer_server
from comfreylatch._ports import peers
from comfreylatch._process import journal
from comfreylatch._process import membership
from comfreylatch._process import metrics
from comfreylatch._process import peer_service
from comfreylatch._process import settings
from comfreylatch._wire.gen.peer import ttypes
from testing.fakes import clock as fake_clock

TIMEOUT_MS = 1_000
ANY_PORT = address.Address("127.0.0.1", 0)
SETTINGS = settings.Settings(
    seat="bole-2",
    zone="bole",
    caller_address="127.0.0.1:1",
    operator_address="127.0.0.1:2",
    peer_address="127.0.0.1:3",
    platform=settings.PlatformSettings("127.0.0.1:4", "127.0.0.1:5"),
)


def make_heartbeat(
    host_id: str,
    seat: str = "bole-1",
    protocol: int = membership.PROTOCOL_VERSION,
    drained: bool = False,
) -> ttypes.Heartbeat:
    return ttypes.Heartbeat(
        protocol=protocol,
        seat=seat,
        host_id=host_id,
        zone="bole",
        config_offset=3,
        config_digest="d",
        stopping=False,
        drained=drained,
    )


class _FakeHeartbeatSource:
    """State of the host under test."""

    def heartbeat(self) -> ttypes.Heartbeat:
        return make_heartbeat("bole-2-a", seat="bole-2")


class SeatTest(testtools.TestCase):
    """Heartbeats to one host over a real connection."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = clock = fake_clock.FakeClock()
        host_metrics = metrics.Metrics()
        self.members = membership.Membership(
            SETTINGS, _FakeHeartbeatSource(), host_metrics, clock
        )
        service = peer_service.PeerService(
            _FakeHeartbeatSource(),
            self.members,
            {},
            None,
            None,
            None,
            journal.Journal("bole-2-a", clock),
        )
        server = peer_server.PeerServer(ANY_PORT, service, host_metrics)
        self.enterContext(server)
        link = peer_link.PeerLink(server.address, TIMEOUT_MS)
        self.link = self.enterContext(link)

    def send(self, heartbeat: ttypes.Heartbeat) -> ttypes.HeartbeatReply:
        answer = self.link.call(lambda c: c.heartbeat(heartbeat), TIMEOUT_MS)
        return answer.unwrap()

    def refusal_reason(self, heartbeat: ttypes.Heartbeat) -> str:
        answer = self.link.call(lambda c: c.heartbeat(heartbeat), TIMEOUT_MS)
        refusal = answer.unwrap_err()
        assert isinstance(refusal, peers.PeerRefusal)
        return refusal.reason

    def test_first_process_has_no_predecessor(self) -> None:
        self.assertIsNone(
            self.send(make_heartbeat("bole-1-a")).predecessor_host_id
        )

    def test_successor_is_told_that_its_predecessor_drained(self) -> None:
        self.send(make_heartbeat("bole-1-a"))
        self.send(make_heartbeat("bole-1-a", drained=True))
        reply = self.send(make_heartbeat("bole-1-b"))
        self.assertEqual("bole-1-a", reply.predecessor_host_id)
        self.assertTrue(reply.predecessor_drained)

    def test_old_drain_report_of_predecessor_is_ignored(self) -> None:
        self.send(make_heartbeat("bole-1-a", drained=True))
        self.clock.advance(membership.DRAINED_VALIDITY_MS)
        self.assertFalse(
            self.send(make_heartbeat("bole-1-b")).predecessor_drained
        )

    def test_predecessor_is_drained_only_if_all_hosts_of_its_zone_report_it(
        self,
    ) -> None:
        zone_settings = attrs.evolve(
            SETTINGS,
            peers=(
                settings.PeerSettings("bole-1", "bole", "127.0.0.1:6"),
                settings.PeerSettings("bole-3", "bole", "127.0.0.1:7"),
            ),
        )
        members = membership.Membership(
            zone_settings, _FakeHeartbeatSource(), metrics.Metrics(), self.clock
        )
        members.record_predecessor_report("bole-1", drained=True)
        self.assertFalse(members.is_predecessor_drained())
        members.record_predecessor_report("bole-3", drained=True)
        self.assertTrue(members.is_predecessor_drained())

    def test_killed_predecessor_is_not_reported_as_drained(self) -> None:
        self.send(make_heartbeat("bole-1-a"))
        self.assertFalse(
            self.send(make_heartbeat("bole-1-b")).predecessor_drained
        )

    def test_resumed_process_is_refused_as_superseded(self) -> None:
        self.send(make_heartbeat("bole-1-a"))
        self.send(make_heartbeat("bole-1-b"))
        self.assertEqual(
            membership.SUPERSEDED,
            self.refusal_reason(make_heartbeat("bole-1-a")),
        )

    def test_other_protocol_version_is_refused(self) -> None:
        self.assertEqual(
            "protocol",
            self.refusal_reason(make_heartbeat("bole-1-a", protocol=0)),
        )
        self.assertEqual(
            "bole-2-a", self.send(make_heartbeat("bole-1-a")).host_id
        )

    def test_unknown_stream_is_refused(self) -> None:
        request = ttypes.CatchUpRequest("zone.nowhere", -1)
        answer = self.link.call(lambda c: c.catch_up(request), TIMEOUT_MS)
        self.assertEqual("unknown-stream", answer.unwrap_err().reason)

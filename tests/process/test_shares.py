"""Tests of the fixed shares of endpoint limits."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies
import testtools

from comfreylatch._ports import peers as peers_port
from comfreylatch._process import shares
from comfreylatch._version import configuration
from comfreylatch._version import objects
from tests import fakes

MAX_REQUEST_MS = shares.max_request_ms(configuration.Configuration())


def make_shares(
    source: fakes.FakeSource,
    clock: fakes.FakeClock,
    startup_wait_ms: int = 0,
    peers: fakes.FakePeers | None = None,
) -> shares.FixedShares:
    return shares.FixedShares(
        source, fakes.ZONE, "a", clock, startup_wait_ms, peers
    )


def with_seats(*seats: str, offset: int = 1) -> object:
    return fakes.make_configuration(
        {"ex-1": "127.0.0.1:1"}, offset=offset, seats=seats
    )


class SeatShareTest(testtools.TestCase):
    """Division of an endpoint's limits among seats."""

    @given(
        slots=strategies.integers(0, 100),
        connections=strategies.integers(0, 200),
        seats=strategies.integers(1, 9),
        name=strategies.text(max_size=8),
    )
    def test_shares_never_exceed_limits(
        self, slots: int, connections: int, seats: int, name: str
    ) -> None:
        endpoint = objects.Endpoint("s", "z", "a", slots, connections)
        zone = objects.Zone(tuple(f"seat-{i}" for i in range(seats)))
        seat_shares = [
            shares.seat_share(name, endpoint, zone, seat) for seat in zone.seats
        ]
        self.assertLessEqual(sum(share.slots for share in seat_shares), slots)
        self.assertEqual(
            connections, sum(share.connections for share in seat_shares)
        )

    def test_unknown_seat_has_no_share(self) -> None:
        endpoint = objects.Endpoint("s", "z", "a")
        zone = objects.Zone(("a", "b"))
        self.assertEqual(
            shares.NO_SHARE, shares.seat_share("e", endpoint, zone, "c")
        )


class FixedSharesTest(testtools.TestCase):
    """Use of a share, also while the configuration changes."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = fakes.FakeClock()

    def test_share_is_never_exceeded(self) -> None:
        fixed_shares = make_shares(
            fakes.FakeSource(with_seats("a", "b")), self.clock
        )
        acquired = [
            fixed_shares.try_acquire_slot("ex-1", 1_000) for _ in range(8)
        ]
        self.assertEqual(4, sum(acquired))
        fixed_shares.release_slot("ex-1")
        self.assertEqual(1, fixed_shares.count_free("ex-1"))

    def test_no_slot_before_predecessors_requests_have_ended(self) -> None:
        fixed_shares = make_shares(
            fakes.FakeSource(with_seats("a")), self.clock, MAX_REQUEST_MS
        )
        self.assertFalse(fixed_shares.try_acquire_slot("ex-1", 1_000))
        self.clock.now_ms += MAX_REQUEST_MS
        self.assertTrue(fixed_shares.try_acquire_slot("ex-1", 1_000))

    def test_decrease_takes_effect_at_once(self) -> None:
        source = fakes.FakeSource(with_seats("a"))
        fixed_shares = make_shares(source, self.clock)
        for _ in range(5):
            fixed_shares.try_acquire_slot("ex-1", 1_000)
        source.replace(with_seats("a", "b", offset=2))
        fixed_shares.release_slot("ex-1")
        self.assertFalse(fixed_shares.try_acquire_slot("ex-1", 1_000))

    def test_increase_waits_for_longest_request(self) -> None:
        source = fakes.FakeSource(with_seats("a", "b"))
        fixed_shares = make_shares(source, self.clock)
        source.replace(with_seats("a", offset=2))
        self.assertEqual(4, fixed_shares.count_free("ex-1"))
        self.clock.now_ms += MAX_REQUEST_MS - 1
        self.assertEqual(4, fixed_shares.count_free("ex-1"))
        self.clock.now_ms += 1 + shares.INCREASE_CHECK_INTERVAL_MS
        self.assertEqual(8, fixed_shares.count_free("ex-1"))

    def test_increase_waits_until_other_seats_have_applied_it(self) -> None:
        source = fakes.FakeSource(with_seats("a", "b", "c"))
        peers = fakes.FakePeers()
        fixed_shares = make_shares(source, self.clock, peers=peers)
        peers.peer_views = (
            peers_port.PeerView("b", fakes.ZONE, config_offset=1),
        )
        source.replace(with_seats("a", "b", offset=2))
        self.clock.now_ms += MAX_REQUEST_MS * 10
        self.assertLess(fixed_shares.count_free("ex-1"), 4)
        peers.peer_views = (
            peers_port.PeerView("b", fakes.ZONE, config_offset=2),
        )
        self.clock.now_ms += shares.INCREASE_CHECK_INTERVAL_MS
        fixed_shares.count_free("ex-1")
        self.clock.now_ms += MAX_REQUEST_MS + shares.INCREASE_CHECK_INTERVAL_MS
        self.assertEqual(4, fixed_shares.count_free("ex-1"))

    def test_changed_increase_restarts_its_wait(self) -> None:
        source = fakes.FakeSource(with_seats("a", "b", "c", "d"))
        fixed_shares = make_shares(source, self.clock)
        source.replace(with_seats("a", "b", offset=2))
        self.clock.now_ms += MAX_REQUEST_MS - 1
        source.replace(with_seats("a", offset=3))
        self.clock.now_ms += MAX_REQUEST_MS - 1
        self.assertEqual(2, fixed_shares.count_free("ex-1"))

    def test_slot_is_given_back_after_endpoint_is_removed(self) -> None:
        source = fakes.FakeSource(with_seats("a"))
        fixed_shares = make_shares(source, self.clock)
        fixed_shares.try_acquire_slot("ex-1", 1_000)
        source.replace(fakes.make_configuration({}, offset=2))
        fixed_shares.release_slot("ex-1")
        self.assertEqual(0, fixed_shares.count_free("ex-1"))

    def test_freed_slot_notifies_listeners(self) -> None:
        fixed_shares = make_shares(
            fakes.FakeSource(with_seats("a")), self.clock
        )
        notified: list[str] = []
        fixed_shares.on_free(notified.append)
        fixed_shares.try_acquire_slot("ex-1", 1_000)
        fixed_shares.release_slot("ex-1")
        self.assertEqual(["ex-1"], notified)

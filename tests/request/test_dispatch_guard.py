"""Tests of at-most-once dispatch under crashes, restarts and partitions."""

from __future__ import annotations

import random

import result
import testtools

from comfreylatch._ports import peers as peers_port
from comfreylatch._process import dispatch_marks
from comfreylatch._process import reasons
from comfreylatch._request import dispatch_guard
from comfreylatch._request import outcomes
from comfreylatch._version import configuration
from comfreylatch._version import objects
from comfreylatch._wire.gen.peer import ttypes
from tests import fakes
from tests import scripted_endpoint
from tests.request import harness

KEEP_MS = 10_000
DEADLINE_MS = 2_000
ZONES = {
    "bole": objects.Zone(("b1", "b2", "b3")),
    "entoto": objects.Zone(("e1", "e2", "e3")),
    "kality": objects.Zone(("k1", "k2")),
}
SEAT_ZONES = {seat: name for name, zone in ZONES.items() for seat in zone.seats}


class _Fleet:
    """Hosts in one process, whose calls to each other can be interrupted."""

    def __init__(self, clock: fakes.FakeClock) -> None:
        self.clock = clock
        self.source = fakes.FakeSource(
            configuration.Configuration(offset=1, zones=ZONES)
        )
        self.boot_count = 0
        self.marks: dict[str, dispatch_marks.DispatchMarks] = {}
        self.guards: dict[str, dispatch_guard.QuorumGuard] = {}
        self.dead: set[str] = set()
        self.partitions: set[frozenset[str]] = set()
        self.lost_answers: set[str] = set()
        for seat in SEAT_ZONES:
            self.boot(seat)

    def boot(self, seat: str) -> None:
        """Starts a host in a seat, without the marks of its predecessor."""
        self.boot_count += 1
        host_id = f"{seat}-{self.boot_count}"
        self.marks[seat] = dispatch_marks.DispatchMarks(host_id, self.clock)
        self.guards[seat] = dispatch_guard.QuorumGuard(
            self.source,
            _PeerLink(self, seat),
            self.marks[seat],
            seat,
            host_id,
            self.clock,
            KEEP_MS,
        )
        self.dead.discard(seat)

    def partition_zones(self, zone: str, other_zone: str) -> None:
        self.partitions.add(frozenset({zone, other_zone}))

    def reaches(self, seat: str, other: str) -> bool:
        zones = frozenset({SEAT_ZONES[seat], SEAT_ZONES[other]})
        return other not in self.dead and zones not in self.partitions

    def claim(
        self, seat: str, request_id: str = "r1"
    ) -> result.Result[outcomes.Claim, dispatch_guard.ClaimError]:
        deadline_ms = self.clock.now_ms + DEADLINE_MS
        return self.guards[seat].claim(request_id, deadline_ms)


class _PeerLink:
    """Calls of one host to the others."""

    def __init__(self, fleet: _Fleet, seat: str) -> None:
        self._fleet = fleet
        self._seat = seat

    def views(self) -> tuple[peers_port.PeerView, ...]:
        return tuple(
            peers_port.PeerView(
                seat,
                SEAT_ZONES[seat],
                reachable=self._fleet.reaches(self._seat, seat),
            )
            for seat in SEAT_ZONES
            if seat != self._seat
        )

    def mark(
        self, seat: str, request: ttypes.MarkRequest, timeout_ms: int
    ) -> result.Result[ttypes.MarkReply, peers_port.PeerError]:
        if not self._fleet.reaches(self._seat, seat):
            return result.Err(peers_port.PeerUnreachable("partitioned"))
        reply = self._fleet.marks[seat].mark(request)
        if seat in self._fleet.lost_answers:
            return result.Err(peers_port.PeerAnswerLost("partitioned"))
        return result.Ok(reply)


class QuorumGuardTest(testtools.TestCase):
    """Claims of one id through several hosts."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = fakes.FakeClock()
        self.fleet = _Fleet(self.clock)
        self.clock.now_ms += KEEP_MS
        self.holders = dispatch_guard.holders_of(
            "r1", dispatch_guard.all_seats(self.fleet.source.current())
        )

    def assert_refused(
        self,
        claimed: result.Result[outcomes.Claim, dispatch_guard.ClaimError],
        reason: reasons.RefusalReason,
        error_type: type,
    ) -> None:
        self.assertIsInstance(claimed.unwrap_err(), error_type)
        self.assertEqual(reason, claimed.unwrap_err().reason)

    def assert_duplicate(self, seat: str) -> None:
        self.assert_refused(
            self.fleet.claim(seat),
            reasons.RefusalReason.DUPLICATE_REQUEST,
            outcomes.Unknown,
        )

    def test_partitioned_zone_grants_ids_that_name_it(self) -> None:
        for other in ("entoto", "kality"):
            self.fleet.partition_zones("bole", other)
        self.assertTrue(self.fleet.claim("b1", "bole:r1").is_ok())
        self.assertTrue(self.fleet.claim("e1", "bole:r1").is_err())
        self.assertTrue(self.fleet.claim("b2", "bole:r1").is_err())

    def test_id_that_names_a_zone_is_granted_once_over_all_zones(self) -> None:
        self.assertTrue(self.fleet.claim("e1", "bole:r1").is_ok())
        self.assertTrue(self.fleet.claim("b1", "bole:r1").is_err())
        self.assertTrue(self.fleet.claim("k1", "bole:r1").is_err())

    def test_holders_are_in_different_zones(self) -> None:
        zones = {SEAT_ZONES[seat] for seat in self.holders}
        self.assertEqual(set(ZONES), zones)

    def test_id_is_claimed_once_through_any_host(self) -> None:
        self.fleet.claim("b1").unwrap()
        for seat in SEAT_ZONES:
            self.assert_duplicate(seat)

    def test_repetition_after_replacing_any_one_holder_is_refused(self) -> None:
        for replaced in self.holders:
            with self.subTest(replaced=replaced):
                request_id = self.id_held_by(replaced)
                self.fleet.claim("b1", request_id).unwrap()
                self.fleet.boot(replaced)
                self.assertTrue(self.fleet.claim("k2", request_id).is_err())
                self.clock.now_ms += KEEP_MS

    def id_held_by(self, seat: str) -> str:
        """Returns an unused id whose marks a seat holds."""
        seats = dispatch_guard.all_seats(self.fleet.source.current())
        return next(
            request_id
            for request_id in (f"{seat}/{n}" for n in range(100))
            if seat in dispatch_guard.holders_of(request_id, seats)
        )

    def test_repetition_after_replacing_all_holders_is_too_old(self) -> None:
        self.fleet.claim("b1").unwrap()
        for seat in self.holders:
            self.fleet.boot(seat)
        self.assert_refused(
            self.fleet.claim("b1"),
            reasons.RefusalReason.REQUEST_TOO_OLD,
            outcomes.NotRun,
        )

    def test_one_dead_holder_does_not_stop_claims(self) -> None:
        self.fleet.dead.add(self.holders[0])
        claimant = next(s for s in SEAT_ZONES if s not in self.holders)
        self.assertTrue(self.fleet.claim(claimant).is_ok())

    def test_partitioned_zone_claims_no_other_ids(self) -> None:
        self.fleet.partition_zones("bole", "entoto")
        self.fleet.partition_zones("bole", "kality")
        self.assert_refused(
            self.fleet.claim("b1"),
            reasons.RefusalReason.GUARD_UNREACHABLE,
            outcomes.NotRun,
        )
        self.assertTrue(self.fleet.claim("e1").is_ok())

    def test_lost_mark_answers_never_allow_a_second_claim(self) -> None:
        self.fleet.lost_answers.update(self.holders)
        self.assertTrue(self.fleet.claim("b1").is_err())
        self.fleet.lost_answers.clear()
        self.assertTrue(
            self.fleet.claim("b1").is_err() or self.fleet.claim("e1").is_err()
        )

    def test_released_id_can_be_claimed_again(self) -> None:
        claim = self.fleet.claim("b1").unwrap()
        self.fleet.guards["b1"].release(claim)
        self.assertTrue(self.fleet.claim("e1").is_ok())

    def test_marks_of_previous_seats_are_found(self) -> None:
        self.fleet.claim("b1").unwrap()
        self.fleet.source.replace(
            configuration.Configuration(
                offset=2, zones={"bole": objects.Zone(("b1", "b2"))}
            )
        )
        self.assert_duplicate("b2")

    def test_random_faults_never_allow_two_claims(self) -> None:
        for seed in range(300):
            with self.subTest(seed=seed):
                self.claim_under_random_faults(random.Random(seed))

    def claim_under_random_faults(self, rng: random.Random) -> None:
        """Checks that one id is granted at most once while hosts fail."""
        clock = fakes.FakeClock()
        fleet = _Fleet(clock)
        clock.now_ms += KEEP_MS
        first_claim_ms: int | None = None
        for _ in range(40):
            inject_random_fault(fleet, rng)
            clock.now_ms += rng.randrange(0, KEEP_MS // 10)
            alive = sorted(SEAT_ZONES.keys() - fleet.dead)
            marks_kept = (
                first_claim_ms is None
                or clock.now_ms < first_claim_ms + KEEP_MS
            )
            if not alive or not marks_kept:
                continue
            if fleet.claim(rng.choice(alive)).is_ok():
                self.assertIsNone(first_claim_ms)
                first_claim_ms = clock.now_ms


def inject_random_fault(fleet: _Fleet, rng: random.Random) -> None:
    """Injects one crash, restart, partition, its end or loss of answers."""
    seat = rng.choice(sorted(SEAT_ZONES))
    match rng.randrange(6):
        case 0:
            fleet.dead.add(seat)
        case 1 | 2:
            fleet.boot(seat)
        case 3:
            fleet.partition_zones(*rng.sample(sorted(ZONES), 2))
        case 4:
            fleet.partitions.clear()
        case _:
            fleet.lost_answers = set(rng.sample(sorted(SEAT_ZONES), 2))


class GuardedRouterTest(testtools.TestCase):
    """Routers whose non-idempotent requests need a claim from the guard."""

    def setUp(self) -> None:
        super().setUp()
        clock = fakes.FakeClock()
        self.fleet = _Fleet(clock)
        clock.now_ms += KEEP_MS
        self.first_host = self.make_fixture("b1")
        self.second_host = self.make_fixture("e1")

    def make_fixture(
        self, seat: str, script: scripted_endpoint.Script | None = None
    ) -> harness.Harness:
        fixture = harness.Harness(
            script or scripted_endpoint.whole,
            guard=_IgnoreDeadlineGuard(self.fleet, seat),
        )
        fixture.__enter__()
        self.addCleanup(fixture.__exit__, None, None, None)
        return fixture

    def test_repetition_through_another_host_is_unknown(self) -> None:
        self.assertEqual(200, self.first_host.send_request("r1").status)
        reply = self.second_host.send_request("r1")
        self.assertEqual(504, reply.status)
        self.assertEqual("duplicate-request", reply.headers["X-Reason"])
        self.assertEqual([], self.second_host.received_ids())

    def test_repetition_after_lost_answer_is_not_sent(self) -> None:
        losing_host = self.make_fixture(
            "b2", lambda _: scripted_endpoint.Send(b"", reset=True)
        )
        self.assertEqual(504, losing_host.send_request("r1").status)
        self.assertEqual(504, self.second_host.send_request("r1").status)
        self.assertEqual([], self.second_host.received_ids())

    def test_request_that_was_not_run_can_be_repeated(self) -> None:
        self.first_host.endpoints[0].stop_listening()
        self.assertEqual(503, self.first_host.send_request("r1").status)
        self.assertEqual(200, self.second_host.send_request("r1").status)

    def test_id_generated_by_a_host_cannot_be_reused(self) -> None:
        generated_id = self.first_host.send_request().headers["X-Request-Id"]
        self.assertEqual(
            504, self.second_host.send_request(generated_id).status
        )
        self.assertEqual([], self.second_host.received_ids())

    def test_idempotent_repetition_is_run(self) -> None:
        self.assertEqual(
            200, self.first_host.send_request("r1", "GET", b"").status
        )
        self.assertEqual(
            200, self.second_host.send_request("r1", "GET", b"").status
        )

    def test_refused_claim_releases_slot(self) -> None:
        self.first_host.send_request("r1")
        self.second_host.send_request("r1")
        self.assertEqual(8, self.second_host.slots.count_free("ex-0"))


class _IgnoreDeadlineGuard:
    """A guard on the fake clock, which ignores deadlines of the real clock."""

    def __init__(self, fleet: _Fleet, seat: str) -> None:
        self._fleet = fleet
        self._seat = seat

    def claim(
        self, request_id: str, deadline_ms: int
    ) -> result.Result[outcomes.Claim, dispatch_guard.ClaimError]:
        del deadline_ms
        return self._fleet.claim(self._seat, request_id)

    def release(self, claim: outcomes.Claim) -> None:
        self._fleet.guards[self._seat].release(claim)

"""Tests of claims, their expiry and the waits of successors."""

from __future__ import annotations

import attrs
import testtools

from comfreylatch._process.batch import ownership
from comfreylatch._version import job_state
from comfreylatch._version import objects
from testing.fakes import zone as fake_zone

# Half the processors of a fake worker.
HALF_WORKER = 1_000
CLAIM_MS = objects.Limits().claim_ms
AUTONOMY_MS = 8_000


def owned_zone(
    **options: object,
) -> tuple[fake_zone.FakeZone, fake_zone.FakeHost]:
    """Returns a zone with an owner, and that owner."""
    zone = fake_zone.FakeZone(**options)
    zone.run(3_000)
    owner = zone.owner()
    assert owner is not None
    return zone, owner


class ClaimTest(testtools.TestCase):
    """Election of the zone's owner."""

    def test_one_host_wins(self) -> None:
        """Exactly one of several hosts becomes owner."""
        zone, owner = owned_zone(host_count=3)
        zone.run(30_000)
        holders = [
            host
            for host in zone.hosts
            if host.ownership.permissions().may_start(zone.clock.now_ms)
        ]
        self.assertEqual([owner], holders)
        self.assertEqual(1, owner.ownership.permissions().term)

    def test_zone_that_is_not_configured_is_not_claimed(self) -> None:
        """A first claim with default bounds would delay its successor."""
        zone = fake_zone.FakeZone()
        configured = zone.source.configuration
        zone.source.configuration = attrs.evolve(configured, zones={})
        zone.run(10_000)
        self.assertIsNone(zone.owner())
        zone.source.configuration = configured
        zone.run(3_000)
        self.assertIsNotNone(zone.owner())

    def test_silent_owner_is_replaced_after_its_claim_expires(self) -> None:
        """It is replaced soon after its claim has expired, but not before."""
        zone, owner = owned_zone()
        owner.paused = True
        zone.run(CLAIM_MS - 2_500)
        self.assertEqual(1, zone.hosts[1].fold.claims()[-1].term)
        zone.run(4_500)
        self.assertNotEqual(owner.name, zone.owner().name)

    def test_resumed_owner_has_no_permissions(self) -> None:
        """Its permissions have expired by its own monotonic clock."""
        zone, owner = owned_zone()
        permissions = owner.ownership.permissions()
        zone.clock.advance(CLAIM_MS + 1)
        self.assertFalse(permissions.may_start(zone.clock.now_ms))
        zone.clock.advance(AUTONOMY_MS)
        self.assertFalse(permissions.may_renew(zone.clock.now_ms))

    def test_renewal_with_lost_answer_is_confirmed_by_reading(self) -> None:
        """The owner keeps its claim when only answers are lost."""
        zone, owner = owned_zone()
        for _ in range(40):
            owner.appender.lose_next = True
            zone.run(500)
        self.assertIs(owner, zone.owner())
        self.assertEqual(1, owner.ownership.permissions().term)

    def test_host_behind_the_head_does_not_claim(self) -> None:
        """A host cut from the log can't know whether the owner is alive."""
        zone, owner = owned_zone()
        other = zone.hosts[1 - zone.hosts.index(owner)]
        zone.stream.cut.add(other.name)
        zone.run(30_000)
        zone.stream.cut.clear()
        zone.run(1_000)
        self.assertEqual(1, other.fold.claims()[-1].term)


class AutonomyTest(testtools.TestCase):
    """Behaviour of an owner that is cut from the log."""

    def test_running_work_continues_up_to_the_bound(self) -> None:
        """Leases are renewed beyond the claim, up to the autonomy bound."""
        zone, owner = owned_zone(host_count=1)
        zone.submit("job", HALF_WORKER, 60_000)
        zone.run(1_000)
        zone.stream.cut.add(owner.name)
        zone.run(AUTONOMY_MS + 3_000)
        self.assertIn("job", zone.running())

    def test_running_work_stops_after_the_bound(self) -> None:
        """Nothing runs once autonomy bound, lease and margin have passed."""
        zone, owner = owned_zone(host_count=1)
        zone.submit("job", HALF_WORKER, 60_000)
        zone.run(1_000)
        zone.stream.cut.add(owner.name)
        zone.run(AUTONOMY_MS + 6_000 + 1_000)
        self.assertEqual({}, zone.running())

    def test_nothing_is_started_without_the_log(self) -> None:
        """A job known before the cut isn't started during it."""
        zone, owner = owned_zone(host_count=1)
        zone.submit("job", HALF_WORKER, 60_000)
        zone.stream.cut.add(owner.name)
        zone.run(5_000)
        self.assertEqual({}, zone.running())

    def test_owner_continues_when_the_log_is_back(self) -> None:
        """No other host has claimed: term and attempts stay the same."""
        zone, owner = owned_zone(host_count=1)
        zone.submit("job", HALF_WORKER, 20_000)
        zone.run(1_000)
        zone.stream.cut.add(owner.name)
        zone.run(AUTONOMY_MS)
        zone.stream.cut.clear()
        zone.run(30_000)
        state = zone.state("job")
        self.assertEqual(job_state.JobPhase.FINISHED, state.phase)
        self.assertEqual(1, state.attempt)


class SuccessorTest(testtools.TestCase):
    """Takeover by a successor, with and without access to a worker."""

    def test_unreachable_work_waits_for_the_bound(self) -> None:
        """The job restarts elsewhere only once its task can no longer run."""
        zone, owner = owned_zone()
        zone.submit("job", HALF_WORKER, 120_000)
        zone.run(1_000)
        worker = zone.running()["job"]
        zone.stream.cut.add(owner.name)
        other = zone.hosts[1 - zone.hosts.index(owner)]
        zone.network.cut.add((other.name, worker))
        for _ in range(80):
            zone.run(500)
            running_on = [
                name
                for name, fake_worker in zone.fleet.items()
                if any(
                    task.start.job == "job" for task in fake_worker.running()
                )
            ]
            self.assertLessEqual(len(running_on), 1)
        self.assertEqual(2, zone.state("job").attempt)
        self.assertNotEqual(worker, zone.running()["job"])

    def test_reachable_work_is_taken_over_at_once(self) -> None:
        """A worker that answers under the new term is taken over at once."""
        zone, owner = owned_zone()
        zone.submit("job", HALF_WORKER, 60_000)
        zone.run(1_000)
        zone.stream.cut.add(owner.name)
        zone.run(12_000)
        other = zone.owner()
        self.assertNotEqual(owner.name, other.name)
        session = other.pool.sessions[zone.running()["job"]]
        self.assertEqual(2, session.fenced_term)
        self.assertEqual(1, zone.state("job").attempt)


class ChangedLimitsTest(testtools.TestCase):
    """Limits that change while a host owns the zone."""

    def change_limits(self, zone: fake_zone.FakeZone) -> None:
        limits = objects.Limits(lease_ms=3_000, claim_ms=3_000)
        zone.source.configuration = attrs.evolve(
            zone.source.configuration, limits=limits
        )

    def test_owner_applies_them_in_a_new_term(self) -> None:
        """The same host stays owner and the attempt keeps running."""
        zone, owner = owned_zone()
        zone.submit("job", HALF_WORKER, 30_000)
        zone.run(2_000)
        before = zone.running()
        self.change_limits(zone)
        zone.run(5_000)
        claim = zone.hosts[1].fold.claims()[-1]
        self.assertEqual(
            (2, owner.name, 3_000),
            (claim.term, claim.host, claim.bounds.lease_ms),
        )
        self.assertEqual(before, zone.running())

    def test_leases_of_the_old_term_are_waited_for(self) -> None:
        """Tasks under the longer leases of the old term count as running."""
        zone, owner = owned_zone()
        old = owner.fold.claims()[-1]
        self.change_limits(zone)
        zone.run(5_000)
        self.assertGreater(
            owner.ownership.predecessor_tasks_until_ms(),
            zone.clock.now_ms - 5_000 + ownership.max_task_lifetime_ms(old),
        )

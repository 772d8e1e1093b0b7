"""Tests of the decision to claim a cell."""

from __future__ import annotations

from typing import Any
from unittest import mock

import attrs
import result
import testtools

from comfreylatch._ports import store as store_port
from comfreylatch._process.cell import claiming
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import ownership
from comfreylatch._process.cell import reasons
from comfreylatch._process.cell import records
from testing.fakes import clock as fake_clock
from testing.fakes import record_store

HOST = claiming.HostIdentity("bole-1", "boot-2", "bole", 0.43)
HEARTBEAT = records.HeartbeatRecord("entoto-1", "boot-1", 7, zone="entoto")


def claim_view(
    silent_ms: int, heartbeat: records.HeartbeatRecord, **fields: Any
) -> Any:
    """Returns a view in which the last heartbeat is `silent_ms` old."""
    view = claiming.ClaimView(
        now_ms=100_000,
        view_age_ms=50,
        reachable_ms=60_000,
        last_heartbeat=job_replica.ObservedHeartbeat(
            heartbeat, 100_000 - silent_ms
        ),
        started_ms=0,
    )
    return attrs.evolve(view, **fields)


class ReasonToClaimTest(testtools.TestCase):
    """Conditions under which a host claims a cell."""

    def test_live_owner_is_not_replaced(self) -> None:
        self.assertIs(
            None, claiming.reason_to_claim(claim_view(600, HEARTBEAT), HOST)
        )

    def test_silent_owner_is_replaced(self) -> None:
        view = claim_view(
            claiming.OWNER_TIMEOUT_MS + claiming.MAX_CLAIM_DELAY_MS, HEARTBEAT
        )
        self.assertIs(
            reasons.ClaimReason.OWNER_SILENT,
            claiming.reason_to_claim(view, HOST),
        )

    def test_owner_on_a_slow_store_gets_more_time(self) -> None:
        silent_ms = claiming.OWNER_TIMEOUT_MS + claiming.MAX_CLAIM_DELAY_MS
        view = claim_view(silent_ms, HEARTBEAT, slow_ms=800)
        self.assertIs(None, claiming.reason_to_claim(view, HOST))
        view = claim_view(silent_ms + 800, HEARTBEAT, slow_ms=800)
        self.assertIs(
            reasons.ClaimReason.OWNER_SILENT,
            claiming.reason_to_claim(view, HOST),
        )

    def test_owner_gets_time_after_an_outage_of_the_store(self) -> None:
        view = claim_view(9_000, HEARTBEAT, reachable_ms=300)
        self.assertIs(None, claiming.reason_to_claim(view, HOST))

    def test_stale_view_claims_nothing(self) -> None:
        view = claim_view(9_000, HEARTBEAT, view_age_ms=2_000)
        self.assertIs(None, claiming.reason_to_claim(view, HOST))

    def test_restarted_owner_claims_at_once(self) -> None:
        view = claim_view(0, attrs.evolve(HEARTBEAT, host="bole-1"))
        self.assertIs(
            reasons.ClaimReason.RESTARTED, claiming.reason_to_claim(view, HOST)
        )

    def test_released_cell_is_claimed_after_the_delay(self) -> None:
        released = attrs.evolve(HEARTBEAT, is_released=True)
        self.assertIs(
            reasons.ClaimReason.RELEASED,
            claiming.reason_to_claim(
                claim_view(HOST.claim_delay_ms, released, started_ms=100_000),
                HOST,
            ),
        )

    def test_isolated_zone_leaves_the_cell_to_others(self) -> None:
        released = attrs.evolve(
            HEARTBEAT, is_released=True, is_isolated=True, zone="bole"
        )
        self.assertIs(
            None,
            claiming.reason_to_claim(
                claim_view(HOST.claim_delay_ms, released), HOST
            ),
        )
        later_view = claim_view(
            HOST.claim_delay_ms + claiming.ISOLATED_ZONE_DELAY_MS,
            released,
            started_ms=100_000,
        )
        self.assertIs(
            reasons.ClaimReason.RELEASED,
            claiming.reason_to_claim(later_view, HOST),
        )

    def test_weak_hosts_leave_a_strong_owners_cell_to_strong_ones(self) -> None:
        # A host with 0.3 of a core once took over 270 workers from one with two
        # cores, as the delay by name outweighed the delay by processors.
        strong = attrs.evolve(HEARTBEAT, cpu_cores=2.15)
        weak_hosts = [
            attrs.evolve(HOST, name=f"bole-{number}", cpu_cores=0.297)
            for number in range(100)
        ]
        strong_hosts = [
            attrs.evolve(host, cpu_cores=2.15) for host in weak_hosts
        ]
        for owner in (strong, None):
            first_weak_ms = min(h.delay_after_ms(owner) for h in weak_hosts)
            last_strong_ms = max(h.delay_after_ms(owner) for h in strong_hosts)
            self.assertGreater(first_weak_ms, last_strong_ms)

    def test_hosts_that_are_back_claim_before_those_up_for_long(self) -> None:
        # In a rolling restart the cell went to hosts that were stopped next.
        hosts = [attrs.evolve(HOST, name=f"bole-{n}") for n in range(100)]
        last_back_ms = max(h.delay_after_ms(None, 3_000) for h in hosts)
        first_old_ms = min(h.delay_after_ms(None, 60_000) for h in hosts)
        self.assertLess(last_back_ms, first_old_ms)

    def test_host_up_for_long_waits_longer_for_a_released_cell(self) -> None:
        released = attrs.evolve(HEARTBEAT, is_released=True)
        age_ms = HOST.claim_delay_ms + claiming.UPTIME_DELAY_MS // 2
        for started_ms, reason in (
            (95_000, reasons.ClaimReason.RELEASED),
            (0, None),
        ):
            view = claim_view(age_ms, released, started_ms=started_ms)
            self.assertIs(reason, claiming.reason_to_claim(view, HOST))

    def test_strong_host_up_for_long_claims_before_weak_ones_that_are_back(
        self,
    ) -> None:
        strong = attrs.evolve(HEARTBEAT, cpu_cores=2.15)
        weak_host = attrs.evolve(HOST, cpu_cores=0.297)
        strong_host = attrs.evolve(HOST, cpu_cores=1.2)
        for owner in (strong, None):
            self.assertLess(
                strong_host.delay_after_ms(owner, 10**9),
                weak_host.delay_after_ms(owner, 0) - 200,
            )

    def test_delay_of_a_strong_host_is_bounded(self) -> None:
        for number in range(100):
            host = attrs.evolve(HOST, name=f"bole-{number}", cpu_cores=0.0)
            self.assertLessEqual(
                host.delay_after_ms(HEARTBEAT, 10**9),
                claiming.MAX_CLAIM_DELAY_MS,
            )
        self.assertLessEqual(claiming.MAX_CLAIM_DELAY_MS, 300)

    def test_hosts_as_strong_as_the_owner_claim_without_more_delay(
        self,
    ) -> None:
        owner = attrs.evolve(HEARTBEAT, cpu_cores=HOST.cpu_cores)
        self.assertEqual(HOST.claim_delay_ms, HOST.delay_after_ms(owner))

    def test_weak_owner_is_replaced_by_a_strong_host(self) -> None:
        strong_host = attrs.evolve(HOST, cpu_cores=2.15)
        weak_owner = attrs.evolve(HEARTBEAT, cpu_cores=0.297)
        view = claim_view(100, weak_owner)
        self.assertIs(
            reasons.ClaimReason.OWNER_WEAK,
            claiming.reason_to_claim(view, strong_host),
        )
        self.assertIs(None, claiming.reason_to_claim(view, HOST))

    def test_weak_owner_is_left_alone_at_first(self) -> None:
        strong_host = attrs.evolve(HOST, cpu_cores=2.15)
        weak_owner = attrs.evolve(HEARTBEAT, cpu_cores=0.297)
        view = claim_view(100, weak_owner)
        observed = attrs.evolve(view.last_heartbeat, owner_since_ms=99_000)
        view = attrs.evolve(view, last_heartbeat=observed)
        self.assertIs(None, claiming.reason_to_claim(view, strong_host))

    def test_isolated_host_replaces_no_weak_owner(self) -> None:
        strong_host = attrs.evolve(HOST, cpu_cores=2.15)
        weak_owner = attrs.evolve(HEARTBEAT, cpu_cores=0.297)
        view = claim_view(100, weak_owner, isolated_ms=95_000)
        self.assertIs(None, claiming.reason_to_claim(view, strong_host))

    def test_owner_of_unknown_strength_is_not_replaced(self) -> None:
        strong_host = attrs.evolve(HOST, cpu_cores=2.15)
        self.assertIs(
            None,
            claiming.reason_to_claim(claim_view(100, HEARTBEAT), strong_host),
        )

    def test_hosts_with_more_processors_claim_first(self) -> None:
        larger_host = attrs.evolve(HOST, cpu_cores=2.15)
        self.assertLess(larger_host.claim_delay_ms, HOST.claim_delay_ms)


class OutdatedViewTest(testtools.TestCase):
    """Heartbeats that arrive between the decision to claim and the claim."""

    def test_heartbeat_of_a_new_owner_ends_the_claim(self) -> None:
        # Guards against a second claim at each handover by a host that decided
        # to claim before it read the first heartbeat of the new owner.
        released = attrs.evolve(HEARTBEAT, is_released=True)
        view = claim_view(HOST.claim_delay_ms, released)
        new_heartbeat = attrs.evolve(HEARTBEAT, host="kality-1", token=8)
        self.assertTrue(
            claiming.is_outdated(
                view, job_replica.ObservedHeartbeat(new_heartbeat, 100_000)
            )
        )

    def test_heartbeat_of_the_silent_owner_ends_the_claim(self) -> None:
        view = claim_view(2_000, HEARTBEAT)
        new_heartbeat = job_replica.ObservedHeartbeat(HEARTBEAT, 100_000)
        self.assertTrue(claiming.is_outdated(view, new_heartbeat))

    def test_view_without_new_heartbeat_is_current(self) -> None:
        view = claim_view(2_000, HEARTBEAT)
        self.assertFalse(claiming.is_outdated(view, view.last_heartbeat))


class LostClaimTest(testtools.TestCase):
    """A claim of a host that has owned the cell before."""

    # Guards against a second tenure under the token of the first: its leases
    # were counted from the release of the first.
    def test_lost_claim_does_not_bring_back_an_earlier_token(self) -> None:
        store = record_store.MemoryStore()
        clock = fake_clock.FakeClock(100_000)
        replica = job_replica.JobReplica(clock)
        deps = mock.Mock(cell=0, store=store, replica=replica, clock=clock)
        deps.jobs_reader.round_trips.slow_ms = 0
        watcher = ownership.Ownership(deps, HOST)
        reason = reasons.ClaimReason.RELEASED
        view = claim_view(1_000, HEARTBEAT, last_heartbeat=None)
        lost = result.Err(store_port.StoreAnswerLost("not carried out"))

        def sleep(duration_s: float) -> None:
            clock.advance(int(duration_s * 1_000))

        with (
            mock.patch.object(watcher, "_claim_view", return_value=view),
            mock.patch.object(ownership, "time", mock.Mock(sleep=sleep)),
        ):
            self.assertEqual(1, watcher._try_claim(reason, view))
            with mock.patch.object(store, "append", return_value=lost):
                self.assertIsNone(watcher._try_claim(reason, view))
                self.assertIsNone(watcher._try_claim(reason, view))

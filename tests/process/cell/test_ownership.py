"""Tests of the decision to claim a cell."""

from __future__ import annotations

from typing import Any

import attrs
import testtools

from comfreylatch._process.cell import claiming
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import reasons
from comfreylatch._process.cell import records

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
                claim_view(HOST.claim_delay_ms, released), HOST
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
            HOST.claim_delay_ms + claiming.ISOLATED_ZONE_DELAY_MS, released
        )
        self.assertIs(
            reasons.ClaimReason.RELEASED,
            claiming.reason_to_claim(later_view, HOST),
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

"""Tests of when the leases of previous owners have ended."""

from __future__ import annotations

from typing import Any

import testtools

from comfreylatch._process.cell import claiming
from comfreylatch._process.cell import fenced_writer
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import lease_ends
from comfreylatch._process.cell import records

LEASE_MS = 4_500
LONGEST_MS = lease_ends.longest_lease_ms(LEASE_MS)
NOW_MS = 100_000
SEEN_MS = 99_000


def after(seen_ms: int = SEEN_MS, **fields: Any) -> lease_ends.LeaseEnds:
    """Returns when the leases after an owner end, by its last heartbeat."""
    fields.setdefault("host", "one")
    heartbeat = records.HeartbeatRecord(boot="boot", token=1, **fields)
    observed = job_replica.ObservedHeartbeat(heartbeat, seen_ms)
    return lease_ends.after_owner(observed, "two", NOW_MS, LEASE_MS)


class LeaseEndsTest(testtools.TestCase):
    """Ends of leases by what a new owner has read of the last one."""

    def test_leases_of_a_silent_owner_count_from_its_last_heartbeat(
        self,
    ) -> None:
        self.assertEqual(
            SEEN_MS + fenced_writer.AUTONOMY_MS + LONGEST_MS,
            after().end_ms("w1"),
        )

    def test_owner_on_this_host_has_ended_with_its_process(self) -> None:
        self.assertEqual(NOW_MS + LONGEST_MS, after(host="two").end_ms("w1"))

    def test_leases_that_it_had_found_may_last_longer(self) -> None:
        ends = after(host="two", earlier_leases_ms=9_000)
        self.assertEqual(SEEN_MS + 9_000, ends.end_ms("w1"))

    def test_unknown_owner_may_have_renewed_until_now(self) -> None:
        ends = lease_ends.after_owner(None, "two", NOW_MS, LEASE_MS)
        self.assertEqual(
            NOW_MS + fenced_writer.AUTONOMY_MS + LONGEST_MS, ends.end_ms("w1")
        )

    def test_released_leases_count_from_the_release(self) -> None:
        leases = records.RemainingLeases(LONGEST_MS, {"w2": 300})
        ends = after(is_released=True, leases=leases)
        self.assertEqual(SEEN_MS + LONGEST_MS, ends.end_ms("w1"))
        self.assertEqual(SEEN_MS + 300, ends.end_ms("w2"))

    def test_release_of_an_earlier_version_counts_from_now(self) -> None:
        ends = after(is_released=True)
        self.assertEqual(NOW_MS + LONGEST_MS, ends.end_ms("w1"))

    def test_lease_outlasts_the_slowest_clock(self) -> None:
        self.assertGreater(LONGEST_MS, LEASE_MS * 1.02)

    # Guards against waits that begin anew with each change of owner.
    def test_owners_that_reach_no_worker_do_not_prolong_the_wait(self) -> None:
        leases = records.RemainingLeases(LONGEST_MS)
        seen_ms = SEEN_MS
        for _ in range(4):
            ends = after(seen_ms, is_released=True, leases=leases)
            seen_ms += 700
            leases = records.RemainingLeases(
                LONGEST_MS, {"w1": ends.end_ms("w1") - seen_ms}
            )
        ends = after(seen_ms, is_released=True, leases=leases)
        self.assertEqual(SEEN_MS + LONGEST_MS, ends.end_ms("w1"))
        self.assertEqual(seen_ms + LONGEST_MS, ends.end_ms("w2"))


class EarlierVersionTest(testtools.TestCase):
    """An owner of an earlier version between a silent one and this host.

    Its heartbeats don't tell how long the leases of the silent one last.
    """

    def assert_counts_silent_owner(self, **fields: Any) -> None:
        """Checks that leases of the silent owner before it have ended."""
        since_ms = SEEN_MS - 200
        silent_ms = since_ms - claiming.OWNER_TIMEOUT_MS
        heartbeat = records.HeartbeatRecord(boot="boot", token=2, **fields)
        observed = job_replica.ObservedHeartbeat(heartbeat, SEEN_MS, since_ms)
        now_ms = SEEN_MS + 300
        ends = lease_ends.after_owner(observed, "two", now_ms, LEASE_MS)
        longest_ms = lease_ends.longest_after_heartbeat_ms(LEASE_MS)
        self.assertLessEqual(silent_ms + longest_ms, ends.end_ms("w1"))

    def test_its_release_does_not_shorten_earlier_leases(self) -> None:
        self.assert_counts_silent_owner(host="one", is_released=True)

    def test_its_restart_does_not_shorten_earlier_leases(self) -> None:
        self.assert_counts_silent_owner(host="two")

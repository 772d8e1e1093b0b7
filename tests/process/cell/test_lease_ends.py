"""Tests of when the leases of previous owners have ended."""

from __future__ import annotations

from typing import Any

import testtools

from comfreylatch._ports import store as store_port
from comfreylatch._process.cell import fenced_writer
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import lease_ends
from comfreylatch._process.cell import records
from testing.fakes import clock as fake_clock

LEASE_MS = 980
# A lease by the slowest clock that the platform allows.
LONGEST_LEASE_MS = 1_000
STARTED_MS = 100_000


def observed(
    token: int, seen_ms: int, since_ms: int = 0, **fields: Any
) -> job_replica.ObservedHeartbeat:
    """Returns the last heartbeat read of an owner."""
    fields.setdefault("records_leases", True)
    heartbeat = records.HeartbeatRecord(
        f"host-{token}", f"boot-{token}", token, **fields
    )
    return job_replica.ObservedHeartbeat(heartbeat, seen_ms, since_ms)


def end_ms(
    lease_token: int,
    *owners: job_replica.ObservedHeartbeat,
    host_name: str = "new",
) -> int:
    """Returns the end of a lease for a host that read these heartbeats."""
    by_token = {owner.heartbeat.token: owner for owner in owners}
    leases = lease_ends.LeaseEnds(by_token, host_name, STARTED_MS, LEASE_MS)
    return leases.end_ms(lease_token)


class LeaseEndsTest(testtools.TestCase):
    """Ends of leases by the heartbeats that a new owner's host has read."""

    def test_lease_of_a_silent_owner_counts_from_its_last_heartbeat(
        self,
    ) -> None:
        self.assertEqual(
            50_000 + fenced_writer.AUTONOMY_MS + LONGEST_LEASE_MS,
            end_ms(1, observed(1, 50_000), observed(2, 60_000, 55_000)),
        )

    def test_lease_of_a_released_cell_counts_from_the_release(self) -> None:
        self.assertEqual(
            50_000 + LONGEST_LEASE_MS,
            end_ms(1, observed(1, 50_000, is_released=True)),
        )

    # Guards against waits that begin anew with each change of owner.
    def test_later_owners_without_the_lease_do_not_extend_it(self) -> None:
        owners = [
            observed(token, 50_000 + 700 * token, is_released=True)
            for token in range(1, 5)
        ]
        self.assertEqual(50_700 + LONGEST_LEASE_MS, end_ms(1, *owners))

    def test_lease_of_an_owner_before_this_process_counts_from_the_next(
        self,
    ) -> None:
        self.assertEqual(
            70_000 + fenced_writer.AUTONOMY_MS + LONGEST_LEASE_MS,
            end_ms(1, observed(3, 80_000, 70_000), observed(4, 90_000, 85_000)),
        )

    def test_owner_on_this_host_has_ended_with_its_process(self) -> None:
        owner = observed(1, STARTED_MS - 100)
        self.assertEqual(
            STARTED_MS + LONGEST_LEASE_MS,
            end_ms(1, owner, host_name="host-1"),
        )

    def test_without_any_heartbeat_the_wait_begins_with_the_takeover(
        self,
    ) -> None:
        self.assertEqual(
            STARTED_MS + fenced_writer.AUTONOMY_MS + LONGEST_LEASE_MS, end_ms(1)
        )


class EarlierVersionTest(testtools.TestCase):
    """Owners of a version that renews leases before it stores that."""

    def test_any_such_owner_since_may_have_renewed_the_lease(self) -> None:
        self.assertEqual(
            60_000 + fenced_writer.AUTONOMY_MS + LONGEST_LEASE_MS,
            end_ms(
                1,
                observed(1, 50_000, is_released=True),
                observed(2, 60_000, 52_000, records_leases=False),
                observed(3, 70_000, 65_000),
            ),
        )

    def test_record_without_a_token_counts_from_the_last_such_owner(
        self,
    ) -> None:
        self.assertEqual(
            60_000 + fenced_writer.AUTONOMY_MS + LONGEST_LEASE_MS,
            end_ms(
                0,
                observed(1, 50_000, records_leases=False),
                observed(2, 60_000, 52_000, records_leases=False),
                observed(3, 70_000, 65_000),
            ),
        )

    def test_its_release_counts_from_the_takeover(self) -> None:
        owner = observed(1, 50_000, is_released=True, records_leases=False)
        self.assertEqual(STARTED_MS + LONGEST_LEASE_MS, end_ms(1, owner))


class MissedOwnerTest(testtools.TestCase):
    """A host that has fallen behind and read only the newest heartbeat."""

    # Guards against an end that is too early: a record without a token counted
    # from owners before the one that was missed.
    def test_record_without_a_token_counts_from_after_a_missed_owner(
        self,
    ) -> None:
        clock = fake_clock.FakeClock(STARTED_MS - 20_000)
        replica = job_replica.JobReplica(clock)
        for token, is_complete in ((1, False), (2, False), (4, True)):
            clock.advance(5_000)
            heartbeat = records.HeartbeatRecord(
                "one", "boot-one", token, records_leases=True
            )
            record = store_port.StoredRecord(
                token, records.HEARTBEAT_KEY, records.encode(heartbeat)
            )
            replica.apply((record,), is_complete)
        leases = lease_ends.LeaseEnds(
            replica.observed_owners, "new", STARTED_MS, LEASE_MS
        )
        self.assertEqual(
            clock.now_ms + fenced_writer.AUTONOMY_MS + LONGEST_LEASE_MS,
            leases.end_ms(0),
        )

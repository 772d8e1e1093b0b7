"""Tests of the job states that hosts read from the records of a cell."""

from __future__ import annotations

import testtools

from comfreylatch._ports import store as store_port
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import records
from testing.fakes import clock as fake_clock
from tests.process.cell import harness

ID = "0" * 16
JOB = records.JOB_PREFIX + ID
STATE = records.STATE_PREFIX + ID


class JobReplicaTest(testtools.TestCase):
    """Records applied to a replica."""

    def setUp(self) -> None:
        super().setUp()
        self.replica = job_replica.JobReplica(
            fake_clock.FakeClock(harness.START_MS)
        )
        self.offset = 0

    def apply(self, key: str, record: object | None) -> None:
        """Applies a record at the next offset; None deletes its key."""
        value = None if record is None else records.encode(record)
        self.replica.apply(
            (store_port.StoredRecord(self.offset, key, value),), False
        )
        self.offset += 1

    def complete_job(self) -> None:
        """Applies the records of a job that is accepted and completed."""
        self.apply(JOB, harness.job())
        completed = records.JobState.COMPLETED
        self.apply(STATE, records.StateRecord(completed, 1))

    def shown_state(self) -> records.JobState | None:
        """Returns the state that callers are shown; None for no such job."""
        entry = self.replica.find(ID)
        return None if entry is None else entry.shown_state

    def test_state_outlives_the_spec(self) -> None:
        self.complete_job()
        self.apply(JOB, None)
        self.assertIs(records.JobState.COMPLETED, self.shown_state())

    def test_restarted_host_reads_the_state_without_the_spec(
        self,
    ) -> None:
        completed = records.JobState.COMPLETED
        self.apply(STATE, records.StateRecord(completed, 1))
        self.assertIs(completed, self.shown_state())

    def test_job_submitted_again_after_its_end_is_not_run_again(self) -> None:
        changes: list[object] = []
        self.complete_job()
        self.replica.listen(changes.append)
        self.apply(JOB, None)
        self.apply(JOB, harness.job())
        self.assertEqual([], changes)
        self.assertIs(records.JobState.COMPLETED, self.shown_state())

    def test_job_is_removed_with_its_state(self) -> None:
        self.complete_job()
        self.apply(STATE, None)
        self.assertIsNone(self.shown_state())

    # Guards against records of cancellations that are kept for good, as their
    # jobs were never accepted.
    def test_lone_cancellation_is_dropped_after_the_retention_time(
        self,
    ) -> None:
        cancelled = records.CancelRecord(harness.START_MS)
        self.apply(records.CANCEL_PREFIX + ID, cancelled)
        later_ms = harness.START_MS + 1
        self.assertEqual([], self.replica.ended_before(harness.START_MS))
        self.assertEqual([ID], self.replica.ended_before(later_ms))
        self.apply(JOB, harness.job())
        self.assertEqual([], self.replica.ended_before(later_ms))


class JobTableTest(testtools.TestCase):
    """Records that the owner writes when a job ends."""

    def test_spec_is_dropped_after_the_final_state(self) -> None:
        cell = harness.Cell()
        cell.submit(harness.job())
        cell.jobs.cancel(ID)
        writes = cell.jobs.drain_writes().jobs
        self.assertEqual([STATE, JOB], list(writes))
        self.assertIsNone(writes[JOB])


class PreviousOwnerTest(testtools.TestCase):
    """What a host has read of the owner before the present one."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = fake_clock.FakeClock(harness.START_MS)
        self.replica = job_replica.JobReplica(self.clock)

    def read(self, token: int, is_complete: bool = False) -> None:
        """Reads an owner's heartbeat 500 ms after the last one."""
        self.clock.advance(500)
        heartbeat = records.HeartbeatRecord("one", "boot-one", token)
        record = store_port.StoredRecord(
            token, records.HEARTBEAT_KEY, records.encode(heartbeat)
        )
        self.replica.apply((record,), is_complete)

    def test_its_last_heartbeat_is_kept(self) -> None:
        for token in (1, 1, 2, 2):
            self.read(token)
        previous = self.replica.previous_heartbeat
        self.assertEqual(harness.START_MS + 1_000, previous.seen_ms)
        self.assertEqual(1, previous.heartbeat.token)

    # Guards against an end of leases that is too early: the store keeps the
    # newest heartbeat, so that later ones of the previous owner may be gone.
    def test_it_is_unknown_if_its_last_heartbeat_may_be_missing(self) -> None:
        self.read(1)
        self.read(2, is_complete=True)
        self.assertEqual(None, self.replica.previous_heartbeat)

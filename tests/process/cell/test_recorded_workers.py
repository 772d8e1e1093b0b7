"""Tests of which workers are recorded, and of what that allows."""

from __future__ import annotations

from collections.abc import Callable

import testtools

from comfreylatch._process.cell import events
from comfreylatch._process.cell import recorded_workers
from comfreylatch._process.cell import records
from comfreylatch._process.cell import recovered_state
from tests.process.cell import harness

TOKEN = 5
OLDER_TOKEN = 3


class RecordedWorkersTest(testtools.TestCase):
    """A new owner; w1 answers it, the recorded worker w3 does not."""

    def setUp(self) -> None:
        super().setUp()
        known = {
            worker_id: recovered_state.KnownWorker(1, OLDER_TOKEN, 1 << 40)
            for worker_id in ("w1", "w3")
        }
        self.cell = harness.Cell(workers=2, known_workers=known)
        self.cell.submit(harness.job())
        self.cell.workers.find("w1").answered_ms = 0
        self.recorded = recorded_workers.RecordedWorkers(
            self.cell.workers, TOKEN, known, self.handle
        )

    def handle(self, event: events.Event) -> None:
        """Handles the event that a record is stored, as the owner does."""
        assert isinstance(event, events.WorkersRecorded)
        self.recorded.mark_stored(event.record)

    def queue(
        self,
    ) -> tuple[records.WorkersRecord | None, list[Callable[[], None]]]:
        """Returns the next record, if any, and what to call once stored."""
        work: dict[str, bytes | None] = {}
        on_stored: list[Callable[[], None]] = []
        self.recorded.add_writes(work, on_stored, is_settled=False)
        value = work.get(records.WORKERS_KEY)
        if value is None:
            return None, on_stored
        return records.decode(records.WorkersRecord, value), on_stored

    def store(self) -> records.WorkersRecord | None:
        """Stores the next record."""
        record, on_stored = self.queue()
        for callback in on_stored:
            callback()
        self.recorded.add_writes({}, [], is_settled=False)
        return record

    def may_renew(self, worker_id: str) -> bool:
        """Whether leases of a worker may be renewed."""
        return self.cell.sessions[worker_id].may_renew

    def test_silent_workers_are_recorded_with_their_last_owner(self) -> None:
        self.cell.answer_hold("w1")
        record = self.store()
        self.assertEqual({"w1": 1, "w2": 1, "w3": 1}, record.born_ms)
        self.assertEqual({"w3": OLDER_TOKEN}, record.lease_tokens)
        self.assertEqual(TOKEN, record.token)

    def test_lease_is_renewed_only_after_the_record_is_stored(self) -> None:
        self.cell.answer_hold("w1")
        self.cell.sessions["w1"].may_renew = False
        self.cell.sessions["w2"].may_renew = False
        _, on_stored = self.queue()
        self.assertFalse(self.may_renew("w1"))
        on_stored[0]()
        self.queue()
        self.assertTrue(self.may_renew("w1"))

    def test_worker_that_answers_late_waits_for_its_own_record(self) -> None:
        self.cell.sessions["w1"].may_renew = False
        self.store()
        self.cell.answer_hold("w1")
        _, on_stored = self.queue()
        self.assertFalse(self.may_renew("w1"))
        on_stored[0]()
        self.queue()
        self.assertTrue(self.may_renew("w1"))

    def test_other_workers_go_on_while_a_new_record_is_queued(self) -> None:
        self.store()
        self.cell.answer_hold("w1")
        self.queue()
        self.assertTrue(self.cell.workers.find("w2").is_recorded)
        self.assertFalse(self.cell.workers.find("w1").is_recorded)

    # Guards against a start on a worker that the newest record leaves out.
    def test_worker_that_a_queued_record_leaves_out_gets_no_start(self) -> None:
        self.store()
        self.cell.fail_hold("w2")
        self.queue()
        self.cell.answer_hold("w2")
        self.queue()
        self.assertFalse(self.cell.workers.find("w2").is_recorded)

    def test_unchanged_record_is_not_written_again(self) -> None:
        self.store()
        self.assertEqual(None, self.store())

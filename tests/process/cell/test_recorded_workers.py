"""Tests of which workers are recorded, and of what that allows."""

from __future__ import annotations

from collections.abc import Callable

import testtools

from comfreylatch._process.cell import events
from comfreylatch._process.cell import recorded_workers
from comfreylatch._process.cell import records
from comfreylatch._process.cell import recovered_state
from testing.fakes import cell_workers as fake_workers
from tests.process.cell import harness


class RecordedWorkersTest(testtools.TestCase):
    """A new owner; w1 and w2 answer it, the recorded worker w3 does not."""

    def setUp(self) -> None:
        super().setUp()
        known = {"w3": recovered_state.KnownWorker(1, 1 << 40, "10.0.0.3:1")}
        self.cell = harness.Cell(workers=2, known_workers=known)
        self.recorded = recorded_workers.RecordedWorkers(
            self.cell.workers, known, self.handle
        )

    def handle(self, event: events.Event) -> None:
        """Handles the event that a record is stored, as the owner does."""
        assert isinstance(event, events.WorkersRecorded)
        self.recorded.mark_recorded(event.born_ms)

    def queue(
        self, is_settled: bool = False
    ) -> tuple[dict[str, int] | None, list[Callable[[], None]]]:
        """Returns the next record, if any, and what to call once stored."""
        work: dict[str, bytes | None] = {}
        on_stored: list[Callable[[], None]] = []
        self.recorded.add_writes(work, on_stored, is_settled)
        value = work.get(records.WORKERS_KEY)
        if value is None:
            return None, on_stored
        return records.decode(records.WorkersRecord, value).born_ms, on_stored

    def store(self) -> None:
        """Stores the next record."""
        _, on_stored = self.queue()
        for callback in on_stored:
            callback()
        self.queue()

    def test_silent_workers_are_recorded_until_the_owner_has_settled(
        self,
    ) -> None:
        self.assertEqual({"w1": 1, "w2": 1, "w3": 1}, self.queue()[0])
        self.assertEqual({"w1": 1, "w2": 1}, self.queue(is_settled=True)[0])

    def test_tasks_start_once_the_record_is_stored(self) -> None:
        self.cell.workers.allow_starts({})
        _, on_stored = self.queue()
        self.assertFalse(self.cell.workers.find("w1").is_recorded)
        on_stored[0]()
        self.queue()
        self.assertTrue(self.cell.workers.find("w1").is_recorded)

    # Guards against a start on a worker that the newest record leaves out.
    def test_worker_that_a_queued_record_leaves_out_gets_no_start(self) -> None:
        self.store()
        self.cell.fail_hold("w2")
        self.queue()
        self.cell.answer_hold("w2")
        self.queue()
        self.assertFalse(self.cell.workers.find("w2").is_recorded)

    def test_record_has_the_addresses(self) -> None:
        work: dict[str, bytes | None] = {}
        self.recorded.add_writes(work, [], is_settled=False)
        record = records.decode(
            records.WorkersRecord, work[records.WORKERS_KEY] or b""
        )
        self.assertEqual(
            {
                "w1": fake_workers.entry("w1").address,
                "w2": fake_workers.entry("w2").address,
                "w3": "10.0.0.3:1",
            },
            record.addresses,
        )

    def test_unchanged_record_is_not_written_again(self) -> None:
        self.store()
        self.assertEqual(None, self.queue()[0])

    # Guards against a next owner that gives up the runs of a worker too soon,
    # as it doesn't know of calls to the worker's former incarnation.
    def test_record_has_leases_from_calls_to_former_incarnations(self) -> None:
        worker = self.cell.workers.find("w1")
        worker.former_leases_end_ms = self.cell.clock.now_ms + 700
        self.assertEqual({"w1": 700}, self.former_leases_ms())

    # Guards against such leases that each next owner counts from its takeover.
    def test_record_is_written_again_once_these_have_ended(self) -> None:
        worker = self.cell.workers.find("w1")
        worker.former_leases_end_ms = self.cell.clock.now_ms + 700
        self.store()
        self.cell.clock.advance(700)
        self.assertEqual({}, self.former_leases_ms())

    def former_leases_ms(self) -> dict[str, int]:
        """Returns these leases as in the next record."""
        work: dict[str, bytes | None] = {}
        self.recorded.add_writes(work, [], is_settled=False)
        value = work[records.WORKERS_KEY] or b""
        return records.decode(records.WorkersRecord, value).former_leases_ms

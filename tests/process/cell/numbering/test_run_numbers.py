"""Tests of the run numbers that owners use one after the other."""

from __future__ import annotations

from typing import Any

import testtools

from comfreylatch._ports import cell_workers
from comfreylatch._process.cell import job_table
from comfreylatch._process.cell import records
from comfreylatch._process.cell.numbering import run_numbers
from testing.fakes import clock as fake_clock
from tests.process.cell import harness

ID = "0" * 16
RANGE = run_numbers.NUMBERS_PER_RANGE


class RunNumbersTest(testtools.TestCase):
    """A lasting task that is started again and again under one owner."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = harness.Cell(workers=1)
        self.stored: dict[str, bytes] = {}
        self.cell.on_stored = self.stored.update
        job = self.cell.submit(harness.job(harness.step(is_lasting=True)))
        (self.task,) = job.steps[0][0].tasks
        self.ends = 0

    def restart(self, after_run: int) -> list[Any]:
        """Has the task start after a run number; returns what is started."""
        self.task.last_run = after_run
        self.cell.clock.advance(job_table.LASTING_RESTART_DELAY_MS)
        started = self.cell.place_and_store()
        for run in started:
            self.ends += 1
            end = harness.ended_run(run, cell_workers.RunEnd.STOPPED, self.ends)
            self.cell.answer_hold(run.worker_id, ended=(end,))
        return started

    def next_floor(self, token: int) -> int:
        """Returns the floor of an owner that takes the job over."""
        stored = self.stored.get(ID)
        progress = (
            None
            if stored is None
            else records.decode(records.ProgressRecord, stored)
        )
        return run_numbers.first_floor(token, progress)

    # Guards against runs that workers refuse as old, as the previous owner has
    # used more numbers than its range has.
    def test_next_owner_numbers_above_all_that_were_used(self) -> None:
        for after_run in (0, RANGE, 2 * RANGE - 1, 2 * RANGE, 5 * RANGE):
            (run,) = self.restart(after_run)
            self.assertEqual(after_run + 1, run.number)
            self.assertGreaterEqual(self.next_floor(token=2), run.number)

    # Guards against a number that is used before its reservation is stored.
    def test_start_waits_until_its_number_is_reserved(self) -> None:
        self.cell.on_stored = self.assert_nothing_started
        (run,) = self.restart(2 * RANGE)
        self.assertEqual(2 * RANGE + 1, run.number)

    def assert_nothing_started(self, stored: dict[str, bytes]) -> None:
        """Checks that no start was ordered when the records are stored."""
        self.assertIn(ID, stored)
        self.assertEqual([], self.cell.sessions["w1"].starts)

    # Guards against a record for each start.
    def test_numbers_are_reserved_in_ranges(self) -> None:
        self.restart(2 * RANGE)
        self.stored.clear()
        for after_run in range(2 * RANGE + 1, 2 * RANGE + 20):
            self.restart(after_run)
        self.assertEqual({}, self.stored)

    # Guards against numbers that are used again two owners later.
    def test_reservation_outlives_the_next_owner(self) -> None:
        self.restart(5 * RANGE)
        progress = records.decode(records.ProgressRecord, self.stored[ID])
        floor = run_numbers.first_floor(2, progress)
        jobs = job_table.JobTable(2, fake_clock.FakeClock(harness.START_MS))
        job = jobs.add(
            harness.job(harness.step(is_lasting=True)), floor, progress
        )
        assert job is not None
        self.assertEqual(floor, job.steps[0][0].tasks[0].last_run)
        self.assertEqual(progress.reserved_run, job.progress().reserved_run)
        # Its own numbers are above that, so they have to be reserved first.
        self.assertLessEqual(job.run_number_limit, floor)

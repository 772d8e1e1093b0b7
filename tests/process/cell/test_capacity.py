"""Tests of workers whose capacity changes while they run."""

from __future__ import annotations

import attrs
import testtools

from comfreylatch._ports import cell_workers
from comfreylatch._process.cell import worker_table
from testing.fakes import cell_workers as fake_workers
from tests.process.cell import harness

LISTING_AGE_MS = 700


class MovingCapacityTest(testtools.TestCase):
    """A worker with eight cores, and tasks of one core each."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = harness.Cell(workers=1)
        self.worker = self.cell.workers.find("w1")

    def report(self, cpu_millicores: int, memory_mb: int = 64_000) -> None:
        """Has the worker report its capacity."""
        entry = attrs.evolve(
            fake_workers.entry("w1"),
            capacity=cell_workers.Resources(cpu_millicores, memory_mb),
        )
        self.cell.apply_listing({"w1": entry})

    def submit(self, count: int, job_id: str = "1" * 16) -> None:
        """Submits a job of tasks of one core and 100 MB each."""
        self.cell.submit(harness.job(harness.step(count), job_id=job_id))

    # Guards against starts beyond a capacity that has shrunk: free capacity was
    # computed once, when the worker was first listed.
    def test_starts_keep_within_a_shrunk_capacity(self) -> None:
        self.report(3_000)
        self.submit(8)
        self.assertEqual(3, len(self.cell.place()))

    def test_nothing_starts_while_runs_exceed_the_capacity(self) -> None:
        self.submit(6)
        runs = self.cell.place()
        self.report(4_000)
        self.submit(4, "2" * 16)
        self.assertEqual([], self.cell.place())
        ends = tuple(
            harness.ended_run(run, cell_workers.RunEnd.DONE, number)
            for number, run in enumerate(runs[:3], 1)
        )
        running = tuple(harness.running_task(run) for run in runs[3:])
        self.cell.answer_hold("w1", running, ends)
        self.assertEqual(1, len(self.cell.place()))

    def test_grown_capacity_is_used_at_once(self) -> None:
        self.report(2_000)
        self.submit(8)
        self.assertEqual(2, len(self.cell.place()))
        self.report(8_000)
        self.assertEqual(6, len(self.cell.place()))

    def test_shrunk_memory_counts_as_well(self) -> None:
        self.report(8_000, memory_mb=250)
        self.submit(8)
        self.assertEqual(2, len(self.cell.place()))

    def test_adopted_runs_count_against_a_shrunk_capacity(self) -> None:
        job = self.cell.submit(harness.job(harness.step(4)))
        self.report(2_000)
        adopted = tuple(
            cell_workers.RunningTask(task.name, 3, "", 50.0, 0)
            for task in job.steps[0][0].tasks[:3]
        )
        self.cell.answer_hold("w1", running=adopted)
        self.assertEqual([], self.cell.place())

    def test_capacity_that_moves_back_and_forth_leaves_no_trace(self) -> None:
        for _ in range(10):
            self.report(1_000)
            self.report(8_000)
        self.assertEqual(8_000, self.worker.free_cpu)


class UnguardedWorkerTest(testtools.TestCase):
    """A worker that starts whatever it is told to start."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = harness.Cell(workers=1)
        self.note(LISTING_AGE_MS)
        self.cell.submit(harness.job(harness.step(2)))

    def note(self, listing_age_ms: int, guards_capacity: bool = False) -> None:
        """Notes the state of the listing and of the service."""
        self.cell.workers.note_capacity_limits(
            lambda _: guards_capacity, listing_age_ms
        )

    def test_tasks_start_within_the_capacity(self) -> None:
        self.assertEqual(2, len(self.cell.place()))

    # Guards against starts beside runs of unknown size, which are being stopped
    # and count until they have ended.
    def test_nothing_starts_beside_runs_that_are_not_known(self) -> None:
        stray = cell_workers.RunningTask("f" * 16 + ".0.0.0", 1, "", 50.0, 0)
        self.cell.answer_hold("w1", running=(stray,))
        self.assertEqual([], self.cell.place())
        self.cell.answer_hold("w1")
        self.assertEqual(2, len(self.cell.place()))

    # Guards against starts by a capacity that may have shrunk since it was
    # read: the owner can write its heartbeats, but not read the entries.
    def test_nothing_starts_by_entries_that_are_too_old(self) -> None:
        self.note(worker_table.MAX_CAPACITY_AGE_MS + 1)
        self.assertEqual([], self.cell.place())
        self.note(worker_table.MAX_CAPACITY_AGE_MS)
        self.assertEqual(2, len(self.cell.place()))

    def test_worker_that_guards_its_capacity_needs_neither(self) -> None:
        self.note(worker_table.MAX_CAPACITY_AGE_MS + 1, guards_capacity=True)
        self.assertEqual(2, len(self.cell.place()))

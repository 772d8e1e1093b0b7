"""Tests of evacuation and of speculative runs of stragglers."""

from __future__ import annotations

import attrs
import testtools

from comfreylatch._ports import cell_workers
from comfreylatch._process.cell import records
from tests.process.cell import harness

DONE = cell_workers.RunEnd.DONE


class DrainingWorkerTest(testtools.TestCase):
    """A worker that drains while it has runs."""

    def drain(self, cell: harness.Cell, worker_id: str) -> None:
        """Marks the worker as draining."""
        worker = cell.workers.find(worker_id)
        assert worker is not None
        worker.entry = attrs.evolve(worker.entry, is_draining=True)
        cell.reconciler.move_runs(cell.clock.now_ms)

    def count_stops(self, step: object, percent: float = 10.0) -> int:
        """Returns how many runs of a step stop once their worker drains."""
        cell = harness.Cell(workers=1)
        cell.submit(harness.job(step))  # type: ignore[arg-type]
        (run,) = cell.place()
        cell.answer_hold("w1", running=(harness.running_task(run, percent),))
        self.drain(cell, "w1")
        return len(cell.sessions["w1"].stops)

    def test_lasting_task_moves(self) -> None:
        self.assertEqual(1, self.count_stops(harness.step(is_lasting=True)))

    def test_long_task_with_checkpoints_moves(self) -> None:
        step = harness.step(estimated_ms=9_000, has_checkpoints=True)
        self.assertEqual(1, self.count_stops(step))

    def test_task_that_will_end_in_time_stays(self) -> None:
        step = harness.step(estimated_ms=9_000, has_checkpoints=True)
        self.assertEqual(0, self.count_stops(step, percent=90.0))

    def test_task_without_checkpoints_stays(self) -> None:
        self.assertEqual(0, self.count_stops(harness.step(estimated_ms=9_000)))


class EmptiedWorkerTest(testtools.TestCase):
    """A worker that is emptied for its machine's maintenance."""

    def count_stops(self, **fields: object) -> int:
        """Returns how many of three lasting tasks are stopped right away."""
        cell = harness.Cell(workers=1)
        step = harness.step(3, is_lasting=True, **fields)
        cell.submit(harness.job(step))
        runs = cell.place()
        cell.answer_hold(
            "w1",
            running=tuple(harness.running_task(run, 100.0) for run in runs),
        )
        worker = cell.workers.find("w1")
        assert worker is not None
        worker.is_being_emptied = True
        cell.reconciler.move_runs(cell.clock.now_ms)
        cell.reconciler.move_runs(cell.clock.now_ms)
        return len(cell.sessions["w1"].stops)

    def test_lasting_tasks_move_at_once(self) -> None:
        self.assertEqual(3, self.count_stops())

    def test_limit_on_unavailable_tasks_is_kept(self) -> None:
        self.assertEqual(1, self.count_stops(max_unavailable=1))


class StragglerTest(testtools.TestCase):
    """One task of a step takes much longer than the others."""

    def cell_with_straggler(self, is_speculative: bool) -> harness.Cell:
        """Returns a cell in which two of three tasks have ended early."""
        cell = harness.Cell(workers=3, cpu_millicores=1_000)
        cell.submit(harness.job(harness.step(3, is_speculative=is_speculative)))
        first, second, _ = cell.place()
        cell.clock.advance(500)
        for run in (first, second):
            cell.answer_hold(
                run.worker_id, ended=(harness.ended_run(run, DONE),)
            )
        cell.clock.advance(1_000)
        return cell

    def test_second_run_is_on_another_worker_and_the_earlier_end_counts(
        self,
    ) -> None:
        cell = self.cell_with_straggler(True)
        jobs = list(cell.jobs)
        (speculative,) = cell.planner.place_speculative_runs(
            jobs, cell.clock.now_ms
        )
        (slow_run,) = [
            run
            for run in speculative.run.task.runs
            if run is not speculative.run
        ]
        self.assertNotEqual(slow_run.worker_id, speculative.run.worker_id)
        end = harness.ended_run(speculative.run, DONE, 2)
        cell.answer_hold(speculative.run.worker_id, ended=(end,))
        self.assertIs(records.JobState.COMPLETED, jobs[0].state)
        self.assertEqual(
            [(slow_run.task.name, slow_run.number)],
            cell.sessions[slow_run.worker_id].stops,
        )

    def test_step_without_speculation_gets_no_second_run(self) -> None:
        cell = self.cell_with_straggler(False)
        self.assertEqual(
            [], cell.planner.place_speculative_runs(list(cell.jobs), 10**9)
        )

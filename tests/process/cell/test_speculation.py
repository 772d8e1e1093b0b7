"""Tests of speculative runs of stragglers."""

from __future__ import annotations

import testtools

from comfreylatch._ports import cell_workers
from comfreylatch._process.cell import records
from tests.process.cell import harness

DONE = cell_workers.RunEnd.DONE


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

"""Tests of placement, preemption and clearing of workers."""

from __future__ import annotations

from typing import Any

import attrs
import testtools

from comfreylatch._ports import cell_workers
from comfreylatch._process.cell.planning import clearing
from comfreylatch._process.cell.planning import preemption
from testing.fakes import cell_workers as fake_workers
from tests.process.cell import harness


class JobOrderTest(testtools.TestCase):
    """Order of jobs when capacity does not suffice for all."""

    def test_small_job_goes_before_a_large_one(self) -> None:
        cell = harness.Cell(workers=1, cpu_millicores=4_000)
        cell.submit(harness.job(harness.step(20), job_id="a" * 16))
        cell.submit(harness.job(harness.step(2), job_id="b" * 16))
        job_initials = [
            run.task.step.job.spec.job_id[0] for run in cell.place()
        ]
        self.assertEqual(["b", "b", "a", "a"], job_initials)

    def test_job_that_can_be_on_time_goes_before_a_late_one(self) -> None:
        cell = harness.Cell(workers=1, cpu_millicores=1_000)
        cell.submit(harness.job(job_id="a" * 16, accepted_wall_ms=95_000))
        cell.submit(harness.job(job_id="b" * 16, accepted_wall_ms=100_000))
        (run,) = cell.place()
        self.assertEqual("b", run.task.step.job.spec.job_id[0])

    def test_no_worker_is_filled_beyond_its_capacity(self) -> None:
        cell = harness.Cell(workers=2, cpu_millicores=2_500)
        cell.submit(harness.job(harness.step(9)))
        self.assertEqual(4, len(cell.place()))

    def test_gang_waits_until_all_of_its_tasks_fit(self) -> None:
        cell = harness.Cell(workers=1, cpu_millicores=3_000)
        cell.submit(harness.job(harness.step(4, is_gang=True)))
        self.assertEqual([], cell.place())
        worker = cell.workers.find("w1")
        assert worker is not None
        self.assertEqual(3_000, worker.free_cpu)

    # Guards against a gang that uses up the run numbers of its owner while it
    # waits, so that workers refuse the runs of the next one as old.
    def test_waiting_gang_uses_no_run_numbers(self) -> None:
        cell = harness.Cell(workers=1, cpu_millicores=3_000)
        job = cell.submit(harness.job(harness.step(4, is_gang=True)))
        (step,) = job.steps[0]
        for _ in range(10):
            cell.clock.advance(10)
            self.assertEqual([], cell.place())
        self.assertEqual({0}, {task.last_run for task in step.tasks})
        worker = cell.workers.find("w1")
        worker.update(fake_workers.entry("w1", cpu_millicores=4_000))
        self.assertEqual([1] * 4, [run.number for run in cell.place()])

    # Guards against a gang that seems to have waited since the last pass only,
    # however long it has.
    def test_waiting_gang_keeps_the_time_since_which_it_waits(self) -> None:
        cell = harness.Cell(workers=1, cpu_millicores=3_000)
        job = cell.submit(harness.job(harness.step(4, is_gang=True)))
        (step,) = job.steps[0]
        waiting_since_ms = step.oldest_pending_ms
        cell.clock.advance(5_000)
        self.assertEqual([], cell.place())
        self.assertEqual(
            {waiting_since_ms}, {task.waiting_since_ms for task in step.tasks}
        )

    def test_limit_of_tasks_per_worker_is_kept(self) -> None:
        cell = harness.Cell(workers=2)
        cell.submit(harness.job(harness.step(5, max_per_worker=2)))
        self.assertEqual(4, len(cell.place()))

    def test_draining_worker_gets_no_new_tasks(self) -> None:
        cell = harness.Cell(workers=1)
        worker = cell.workers.find("w1")
        assert worker is not None
        worker.entry = attrs.evolve(worker.entry, is_draining=True)
        cell.submit(harness.job())
        self.assertEqual([], cell.place())


class PreemptionTest(testtools.TestCase):
    """Lasting tasks occupy all processors when jobs of short tasks arrive."""

    def full_cell(self) -> harness.Cell:
        """Returns a cell whose two workers are full of lasting tasks."""
        cell = harness.Cell(workers=2, cpu_millicores=8_000)
        lasting_step = harness.step(4, cpu_millicores=4_000, is_lasting=True)
        cell.submit(harness.job(lasting_step, job_id="a" * 16))
        self.assertEqual(4, len(cell.place()))
        return cell

    def test_one_lasting_run_is_preempted_for_tasks_that_fit_there(
        self,
    ) -> None:
        cell = self.full_cell()
        cell.submit(harness.job(harness.step(3), job_id="b" * 16))
        self.assertEqual([], cell.place())
        cell.clock.advance(preemption.PREEMPTION_DELAY_MS)
        steps = cell.jobs.ready_steps()
        victims = preemption.choose_victims(
            steps, cell.workers, cell.ranker, cell.clock.now_ms
        )
        self.assertEqual(1, len(victims))

    # Guards against lasting tasks that are stopped for a job that can't start
    # all the same, as no worker has the GPUs.
    def test_no_run_is_preempted_for_gpus_that_no_worker_has(self) -> None:
        cell = self.full_cell()
        cell.submit(harness.job(harness.step(gpus=1), job_id="b" * 16))
        cell.clock.advance(preemption.PREEMPTION_DELAY_MS)
        victims = preemption.choose_victims(
            cell.jobs.ready_steps(),
            cell.workers,
            cell.ranker,
            cell.clock.now_ms,
        )
        self.assertEqual([], victims)

    def test_step_with_a_limit_on_unavailable_tasks_is_not_preempted(
        self,
    ) -> None:
        cell = harness.Cell(workers=1, cpu_millicores=4_000)
        lasting_step = harness.step(
            1, cpu_millicores=4_000, is_lasting=True, max_unavailable=1
        )
        cell.submit(harness.job(lasting_step, job_id="a" * 16))
        cell.place()
        cell.submit(harness.job(job_id="b" * 16))
        cell.clock.advance(preemption.PREEMPTION_DELAY_MS)
        steps = cell.jobs.ready_steps()
        victims = preemption.choose_victims(
            steps, cell.workers, cell.ranker, cell.clock.now_ms
        )
        self.assertEqual([], victims)


class HarmfulFillingTest(testtools.TestCase):
    """Filling tasks that would slow a lasting task on any worker."""

    def cell_with_lasting(self, **fields: Any) -> harness.Cell:
        """Returns a cell with a lasting task near its target on each worker.

        `fields` are those of the filling step that waits.
        """
        cell = harness.Cell(workers=4, cpu_millicores=8_000)
        lasting_step = harness.step(
            4,
            cpu_millicores=4_500,
            is_lasting=True,
            max_per_worker=1,
            image="serve",
            tail_target_ms=18,
        )
        cell.submit(harness.job(lasting_step, job_id="a" * 16))
        runs = cell.place()
        for _ in range(30):
            cell.clock.advance(500)
            for run in runs:
                task = harness.running_task(run, 100.0, 16)
                cell.answer_hold(run.worker_id, running=(task,))
        cell.submit(
            harness.job(
                harness.step(
                    4,
                    cpu_millicores=4_000,
                    fills_idle=True,
                    image="press",
                    **fields,
                ),
                job_id="b" * 16,
            )
        )
        return cell

    def test_harmful_tasks_are_not_placed_with_loaded_lasting_tasks(
        self,
    ) -> None:
        self.assertEqual([], self.cell_with_lasting().place())

    def test_worker_is_cleared_for_harmful_tasks(self) -> None:
        cell = self.cell_with_lasting()
        cell.place()
        cell.clock.advance(clearing.MIN_FILLING_WAIT_MS)
        steps = cell.jobs.ready_steps()
        now_ms = cell.clock.now_ms
        (run,) = cell.planner.clear_worker(steps, now_ms)
        stopped = cell_workers.RunEnd.STOPPED
        cell.answer_hold(
            run.worker_id, ended=(harness.ended_run(run, stopped),)
        )
        placed = cell.place()
        self.assertEqual(
            {(run.worker_id, "b")},
            {
                (placed_run.worker_id, placed_run.task.name[0])
                for placed_run in placed
            },
        )

    # Guards against lasting tasks that are stopped again and again for a job
    # that no worker has the memory, the GPUs or the label for.
    def test_no_worker_is_cleared_for_tasks_that_fit_on_none(self) -> None:
        for fields in (
            {"memory_mb": 1_000_000},
            {"gpus": 8},
            {"required_label": "gpu-9"},
        ):
            cell = self.cell_with_lasting(**fields)
            cell.clock.advance(clearing.MIN_FILLING_WAIT_MS)
            steps = cell.jobs.ready_steps()
            self.assertEqual(
                [], cell.planner.clear_worker(steps, cell.clock.now_ms), fields
            )

    def test_stopped_lasting_task_is_placed_again_once_it_is_overdue(
        self,
    ) -> None:
        cell = self.cell_with_lasting()
        cell.clock.advance(clearing.MIN_FILLING_WAIT_MS)
        now_ms = cell.clock.now_ms
        (run,) = cell.planner.clear_worker(cell.jobs.ready_steps(), now_ms)
        stopped = cell_workers.RunEnd.STOPPED
        cell.answer_hold(
            run.worker_id, ended=(harness.ended_run(run, stopped),)
        )
        cell.clock.advance(clearing.LASTING_OVERDUE_MS + 1)
        self.assertIn(
            "a", [placed_run.task.name[0] for placed_run in cell.place()]
        )

    def test_unused_cleared_worker_is_reopened_early(self) -> None:
        cell = self.cell_with_lasting()
        cell.clock.advance(clearing.MIN_FILLING_WAIT_MS)
        steps = cell.jobs.ready_steps()
        (run,) = cell.planner.clear_worker(steps, cell.clock.now_ms)
        stopped = cell_workers.RunEnd.STOPPED
        cell.answer_hold(
            run.worker_id, ended=(harness.ended_run(run, stopped),)
        )
        cell.jobs.cancel("b" * 16)
        cell.planner.clear_worker(cell.jobs.ready_steps(), cell.clock.now_ms)
        self.assertEqual(
            ["a"], [placed_run.task.name[0] for placed_run in cell.place()]
        )

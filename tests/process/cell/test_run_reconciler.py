"""Tests of how the state of runs follows reports and unanswered orders."""

from __future__ import annotations

import attrs
import result
import testtools

from comfreylatch._ports import cell_workers
from comfreylatch._process.cell import events
from comfreylatch._process.cell import job_table
from comfreylatch._process.cell import reasons
from comfreylatch._process.cell import records
from comfreylatch._process.cell import runs as runs_module
from testing.fakes import clock as fake_clock
from tests.process.cell import harness


class ReportedEndTest(testtools.TestCase):
    """Ends of runs that workers report."""

    def test_job_completes_with_its_last_task(self) -> None:
        cell = harness.Cell()
        job = cell.submit(harness.job(harness.step(2)))
        for number, run in enumerate(cell.place(), 1):
            end = harness.ended_run(run, cell_workers.RunEnd.DONE, number)
            cell.answer_hold(run.worker_id, ended=(end,))
        self.assertIs(records.JobState.COMPLETED, job.state)

    def test_dependent_step_waits_for_all_tasks(self) -> None:
        cell = harness.Cell()
        cell.submit(
            harness.job(harness.step(2), harness.step(1, depends_on=(0,)))
        )
        first, second = cell.place()
        done = cell_workers.RunEnd.DONE
        cell.answer_hold(
            first.worker_id, ended=(harness.ended_run(first, done),)
        )
        self.assertEqual([], cell.place())
        cell.answer_hold(
            second.worker_id, ended=(harness.ended_run(second, done, 2),)
        )
        (run,) = cell.place()
        self.assertEqual(1, run.task.step.number)

    def test_job_fails_with_its_last_attempt(self) -> None:
        cell = harness.Cell()
        job = cell.submit(harness.job())
        for number in range(1, 4):
            (run,) = cell.place()
            end = harness.ended_run(run, cell_workers.RunEnd.FAILED, number)
            cell.answer_hold(run.worker_id, ended=(end,))
        self.assertIs(records.JobState.FAILED, job.state)

    def test_failure_counts_once_over_two_owners(self) -> None:
        # Guards against counting a failure twice: a worker reports an end
        # again to the next owner if it was recorded, but not acknowledged.
        previous_owner = harness.Cell()
        job = previous_owner.submit(harness.job())
        (run,) = previous_owner.place()
        end = harness.ended_run(run, cell_workers.RunEnd.FAILED)
        previous_owner.answer_hold(run.worker_id, ended=(end,))
        progress = records.decode(
            records.ProgressRecord, records.encode(job.progress())
        )

        new_owner = harness.Cell()
        recovered = new_owner.jobs.add(job.spec, 1_000, progress)
        assert recovered is not None
        new_owner.answer_hold(run.worker_id, ended=(end,))
        (task,) = recovered.steps[0][0].tasks
        self.assertEqual(1, task.failures)

    def test_lasting_task_runs_again_however_it_ends(self) -> None:
        cell = harness.Cell()
        job = cell.submit(harness.job(harness.step(1, is_lasting=True)))
        for number in range(1, 6):
            (run,) = cell.place()
            end = harness.ended_run(run, cell_workers.RunEnd.FAILED, number)
            cell.answer_hold(run.worker_id, ended=(end,))
            cell.clock.advance(1_000)
        self.assertIs(records.JobState.RUNNING, job.state)

    # Guards against a lasting task that is never started again, and a job that
    # is shown as completed, as the task's run has ended as done.
    def test_lasting_task_that_ends_as_done_runs_again(self) -> None:
        for is_gang in (False, True):
            cell = harness.Cell()
            job = cell.submit(
                harness.job(harness.step(2, is_lasting=True, is_gang=is_gang))
            )
            first, second = cell.place()
            end = harness.ended_run(first, cell_workers.RunEnd.DONE)
            cell.answer_hold(first.worker_id, ended=(end,))
            cell.clock.advance(job_table.LASTING_RESTART_DELAY_MS)
            restarted = {run.task for run in cell.place()}
            expected = {first.task, second.task} if is_gang else {first.task}
            self.assertEqual(expected, restarted)
            self.assertIs(records.JobState.RUNNING, job.state)

    # Guards against the same by what an earlier version has recorded.
    def test_lasting_task_recorded_as_done_runs_again(self) -> None:
        progress = records.ProgressRecord((records.StepProgress(0, 0, (0, 1)),))
        jobs = job_table.JobTable(1, fake_clock.FakeClock(harness.START_MS))
        spec = harness.job(harness.step(2, is_lasting=True))
        job = jobs.add(spec, 1_000, progress)
        assert job is not None
        self.assertEqual(2, len(job.steps[0][0].pending_tasks))
        self.assertIs(records.JobState.QUEUED, job.state)

    def test_stopped_run_resumes_from_its_checkpoint(self) -> None:
        cell = harness.Cell()
        cell.submit(harness.job(harness.step(1, has_checkpoints=True)))
        (run,) = cell.place()
        cell.dispatcher.stop(run, reasons.StopReason.STALLED)
        stopped = cell_workers.RunEnd.STOPPED
        end = harness.ended_run(run, stopped, checkpoint="half")
        cell.answer_hold(run.worker_id, ended=(end,))
        (resumed,) = cell.place()
        self.assertEqual("half", resumed.task.checkpoint)
        self.assertGreater(resumed.number, run.number)

    # Guards against a gang whose members resume from different checkpoints and
    # so end alone, again and again: one of them had not reported for a while.
    def test_members_of_a_gang_resume_from_the_same_checkpoint(self) -> None:
        cell = harness.Cell()
        cell.submit(
            harness.job(harness.step(2, is_gang=True, has_checkpoints=True))
        )
        first, second = cell.place()
        for run, checkpoint in ((first, "early"), (second, "late")):
            task = attrs.evolve(
                harness.running_task(run), checkpoint=checkpoint
            )
            cell.answer_hold(run.worker_id, running=(task,))
        broken = cell_workers.RunEnd.BROKEN
        # The end has the checkpoint that was reported before.
        end = harness.ended_run(second, broken, checkpoint="late")
        cell.answer_hold(second.worker_id, ended=(end,))
        cell.dispatcher.discard(first)
        resumed = cell.place()
        self.assertEqual(2, len(resumed))
        self.assertEqual({"late"}, {run.task.checkpoint for run in resumed})

    # Guards against the same by what an earlier version has recorded.
    def test_recorded_checkpoints_of_a_gang_are_made_equal(self) -> None:
        recorded = records.StepProgress(
            0, 0, checkpoints={0: "early", 1: "late"}
        )
        jobs = job_table.JobTable(1, fake_clock.FakeClock(harness.START_MS))
        spec = harness.job(harness.step(3, is_gang=True, has_checkpoints=True))
        job = jobs.add(spec, 1_000, records.ProgressRecord((recorded,)))
        assert job is not None
        checkpoints = {task.checkpoint for task in job.steps[0][0].tasks}
        self.assertEqual(1, len(checkpoints))
        self.assertNotIn("", checkpoints)

    def test_gang_ends_with_its_first_task(self) -> None:
        cell = harness.Cell()
        job = cell.submit(harness.job(harness.step(3, is_gang=True)))
        placed = cell.place()
        self.assertEqual({1}, {run.number for run in placed})
        end = harness.ended_run(placed[0], cell_workers.RunEnd.DONE)
        cell.answer_hold(placed[0].worker_id, ended=(end,))
        self.assertIs(records.JobState.COMPLETED, job.state)


class InDoubtTest(testtools.TestCase):
    """Unanswered orders, unreachable workers, unknown and stalled runs."""

    def test_unanswered_start_is_stopped_before_another_run_starts(
        self,
    ) -> None:
        cell = harness.Cell()
        cell.submit(harness.job())
        now_ms = cell.clock.monotonic_ms()
        (placed,) = cell.planner.place(cell.jobs.ready_steps(), now_ms)
        run = placed.run
        cell.dispatcher.send_start(run)
        lost = result.Err(cell_workers.OrderUnanswered("lost"))
        cell.dispatcher.handle_start(events.StartReturned(run, now_ms, 2, lost))
        self.assertEqual([], cell.place())
        cell.answer_hold(run.worker_id)
        self.assertIs(runs_module.RunPhase.STOPPING, run.phase)
        self.assertEqual(
            [(run.task.name, 1)], cell.sessions[run.worker_id].stops
        )
        cell.clock.advance(10)
        cell.dispatcher.handle_stop(
            events.StopReturned(run.worker_id, run, result.Ok(0))
        )
        self.assertEqual([], cell.place())
        cell.clock.advance(10)
        cell.answer_hold(run.worker_id)
        (second_run,) = cell.place()
        self.assertEqual(2, second_run.number)

    def test_run_with_unanswered_start_continues_if_the_worker_lists_it(
        self,
    ) -> None:
        cell = harness.Cell()
        cell.submit(harness.job())
        now_ms = cell.clock.monotonic_ms()
        (placed,) = cell.planner.place(cell.jobs.ready_steps(), now_ms)
        run = placed.run
        lost = result.Err(cell_workers.OrderUnanswered("lost"))
        cell.dispatcher.handle_start(events.StartReturned(run, now_ms, 2, lost))
        cell.answer_hold(run.worker_id, running=(harness.running_task(run),))
        self.assertIs(runs_module.RunPhase.RUNNING, run.phase)

    def test_unreachable_worker_keeps_its_runs_until_its_lease_ends(
        self,
    ) -> None:
        cell = harness.Cell(workers=1)
        cell.submit(harness.job())
        (run,) = cell.place()
        cell.sessions["w1"].latest_deadline_ms = cell.clock.now_ms + 4_500
        cell.fail_hold("w1")
        cell.clock.advance(4_500)
        self.assertEqual([], cell.workers.expire())
        cell.clock.advance(250)
        (lost,) = cell.workers.expire()
        self.assertEqual((run,), lost.runs)

    def test_run_of_a_previous_owner_is_adopted(self) -> None:
        cell = harness.Cell()
        job = cell.submit(harness.job())
        (task,) = job.steps[0][0].tasks
        cell.answer_hold(
            "w2",
            running=(cell_workers.RunningTask(task.name, 7, "", 10.0, 0),),
        )
        self.assertEqual([7], [run.number for run in task.runs])
        self.assertEqual([], cell.place())

    # Guards against tasks that stay at a pace that a previous owner ordered:
    # the next one took them to be at full pace, and never ordered it.
    def test_adopted_filling_run_gets_its_pace_ordered(self) -> None:
        cell = harness.Cell(workers=1)
        job = cell.submit(harness.job(harness.step(fills_idle=True)))
        (task,) = job.steps[0][0].tasks
        running = (cell_workers.RunningTask(task.name, 7, "", 0.0, 0),)
        for _ in range(2):
            cell.answer_hold("w1", running=running)
        self.assertEqual([(task.name, 100)], cell.sessions["w1"].paces)

    def test_stop_that_an_unhealthy_worker_refused_is_sent_again(self) -> None:
        # The worker did nothing, so a start that was sent before may still be
        # carried out, and the task must not run elsewhere yet.
        cell = harness.Cell()
        cell.submit(harness.job())
        (run,) = cell.place()
        cell.dispatcher.stop(run, reasons.StopReason.STALLED)
        refused = result.Err(
            cell_workers.OrderRefused(cell_workers.Refusal.UNHEALTHY)
        )
        cell.dispatcher.handle_stop(
            events.StopReturned(run.worker_id, run, refused)
        )
        cell.clock.advance(10)
        cell.answer_hold(run.worker_id)
        stop = (run.task.name, 1)
        self.assertEqual([stop, stop], cell.sessions[run.worker_id].stops)
        self.assertEqual([run], run.task.runs)

    def test_run_of_an_unknown_job_is_stopped(self) -> None:
        cell = harness.Cell()
        name = "f" * 16 + ".0.0.0"
        cell.answer_hold(
            "w1", running=(cell_workers.RunningTask(name, 1, "", 1.0, 0),)
        )
        self.assertEqual([(name, 1)], cell.sessions["w1"].stops)

    def test_run_of_a_worker_that_is_slow_to_report_is_not_moved(self) -> None:
        cell = harness.Cell()
        cell.submit(harness.job())
        (run,) = cell.place()
        cell.answer_hold(run.worker_id, running=(harness.running_task(run),))
        cell.clock.advance(5_000)
        cell.reconciler.move_runs(cell.clock.now_ms)
        self.assertEqual([], cell.sessions[run.worker_id].stops)

    def test_stalled_run_is_moved(self) -> None:
        cell = harness.Cell()
        cell.submit(harness.job())
        (run,) = cell.place()
        cell.answer_hold(run.worker_id, running=(harness.running_task(run),))
        cell.clock.advance(5_000)
        cell.answer_hold(run.worker_id, running=(harness.running_task(run),))
        cell.reconciler.move_runs(cell.clock.now_ms)
        self.assertEqual(
            [(run.task.name, 1)], cell.sessions[run.worker_id].stops
        )

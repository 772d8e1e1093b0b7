"""Tests of the jobs that a new owner restores."""

from __future__ import annotations

from typing import Any

import testtools

from comfreylatch._ports import cell_workers
from comfreylatch._process.cell import records
from comfreylatch._process.cell import worker_session
from comfreylatch._process.cell.planning import clearing
from comfreylatch._process.cell.succession import exclusive_reports
from testing.fakes import record_store
from tests.process.cell import harness

# How long a call of a previous owner may still wait at a worker.
EARLIER_CALL_MS = (
    worker_session.HOLD_WAIT_MS + exclusive_reports.TIMER_MARGIN_MS
)


class UnknownRunsTest(testtools.TestCase):
    """Steps of a job of a previous owner, some of whose workers are silent."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = harness.Cell()

    def restore(self, **first_step: Any) -> Any:
        """Restores a job of two steps; returns them."""
        first = harness.step(2, **first_step)
        second = harness.step(depends_on=(0,))
        job = self.cell.jobs.add(harness.job(first, second), 1_000)
        return job.steps[0]

    def report_running(
        self, step: Any, *members: tuple[str, int], run: int = 3
    ) -> None:
        """Has workers list tasks, by index, until no earlier call waits."""
        for elapsed_ms in (0, EARLIER_CALL_MS + 1):
            self.cell.clock.advance(elapsed_ms)
            for worker_id, index in members:
                name = step.tasks[index].name
                running = cell_workers.RunningTask(name, run, "", 50.0, 0)
                self.cell.answer_hold(worker_id, running=(running,))

    def end(self, step: Any) -> None:
        """Has worker 1 report that all tasks of a step are done."""
        done = cell_workers.RunEnd.DONE
        ended = tuple(
            cell_workers.EndedRun(number, task.name, 3, done, "")
            for number, task in enumerate(step.tasks, 1)
        )
        self.cell.answer_hold("w1", ended=ended)

    def test_step_that_waited_under_this_owner_has_no_other_runs(self) -> None:
        first, second = self.restore()
        self.assertTrue(first.may_have_unknown_runs)
        self.report_running(first, ("w1", 0))
        self.end(first)
        self.assertIn(second, self.cell.jobs.ready_steps())
        self.assertFalse(second.may_have_unknown_runs)

    def test_previous_owner_may_have_seen_the_end_of_a_dependency(self) -> None:
        first, second = self.restore()
        self.end(first)
        self.assertIn(second, self.cell.jobs.ready_steps())
        self.assertTrue(second.may_have_unknown_runs)

    # Guards against a step that two owners start: a hold call of the previous
    # one still waits at the worker when the step before ends.
    def test_previous_owner_may_hear_an_end_by_a_call_that_waits(self) -> None:
        first, second = self.restore()
        running = cell_workers.RunningTask(first.tasks[0].name, 3, "", 50.0, 0)
        self.cell.clock.advance(EARLIER_CALL_MS)
        self.cell.answer_hold("w1", running=(running,))
        self.end(first)
        self.assertTrue(second.may_have_unknown_runs)

    # Guards against a step that two owners start: the end of one member stands
    # for a gang, and the previous owner reaches the worker of another one.
    def test_previous_owner_may_hear_of_a_gang_by_another_member(self) -> None:
        first, second = self.restore(is_gang=True)
        self.report_running(first, ("w1", 0))
        self.end(first)
        self.assertIn(second, self.cell.jobs.ready_steps())
        self.assertTrue(second.may_have_unknown_runs)

    def test_step_after_a_gang_seen_as_a_whole_has_no_other_runs(self) -> None:
        first, second = self.restore(is_gang=True)
        self.report_running(first, ("w1", 0), ("w2", 1))
        self.end(first)
        self.assertFalse(second.may_have_unknown_runs)

    # Guards against members that are taken for one gang though a previous owner
    # has started the other one anew.
    def test_members_under_different_run_numbers_are_no_whole_gang(
        self,
    ) -> None:
        first, second = self.restore(is_gang=True)
        self.report_running(first, ("w1", 0))
        self.report_running(first, ("w2", 1), run=4)
        self.end(first)
        self.assertTrue(second.may_have_unknown_runs)

    def test_running_copy_does_not_show_that_a_step_is_not_done(self) -> None:
        first, second = self.restore(is_speculative=True)
        self.report_running(first, ("w1", 0))
        self.end(first)
        self.assertTrue(second.may_have_unknown_runs)

    def test_job_accepted_under_this_owner_has_no_unknown_runs(self) -> None:
        job = self.cell.submit(harness.job())
        self.assertFalse(job.steps[0][0].may_have_unknown_runs)


class RestoredLastingTaskTest(testtools.TestCase):
    """A lasting task whose run the previous owner has stopped."""

    def restore(self, age_ms: int) -> Any:
        """Restores a job that was accepted `age_ms` ago; returns its task."""
        cell = harness.Cell()
        spec = harness.job(
            harness.step(is_lasting=True),
            accepted_wall_ms=harness.START_MS - age_ms,
        )
        self.now_ms = cell.clock.monotonic_ms()
        return cell.jobs.add(spec, 1_000).steps[0][0].tasks[0]

    # Guards against counting a task's wait anew with each owner: one that had
    # to keep off cleared workers before had to do so again.
    def test_it_may_have_waited_since_its_job_was_accepted(self) -> None:
        task = self.restore(clearing.LASTING_OVERDUE_MS + 1)
        self.assertTrue(clearing.is_overdue(task, self.now_ms))

    def test_it_has_not_waited_for_longer(self) -> None:
        task = self.restore(clearing.LASTING_OVERDUE_MS)
        self.assertFalse(clearing.is_overdue(task, self.now_ms))


class RestoredJobTest(testtools.TestCase):
    """A job with two occurrences, both due."""

    def test_occurrence_without_progress_is_restored(self) -> None:
        # Guards against losing an occurrence of a repeating job when the owner
        # changes: the earlier occurrence has no recorded progress yet, but
        # the later one has.
        spec = harness.job(
            harness.step(),
            repetitions=2,
            first_due_ms=harness.START_MS,
            interval_ms=1,
        )
        previous_owner = harness.Cell()
        previous_owner.clock.advance(1_000)
        job = previous_owner.submit(spec)
        previous_owner.jobs.mark_done(job.steps[1][0].tasks[0])
        progress = records.decode(
            records.ProgressRecord, records.encode(job.progress())
        )
        new_owner = harness.Cell()
        new_owner.clock.advance(1_000)
        restored = new_owner.jobs.add(spec, 1_000, progress)
        self.assertEqual([0, 1], sorted(restored.steps))
        self.assertFalse(restored.is_complete)


class RecordSizeTest(testtools.TestCase):
    """Records of large jobs, which the store refuses if they are too long."""

    # Guards against owners that repeat a refused append for ever: a rack
    # crashes under a wide step.
    def test_progress_of_a_wide_step_fits(self) -> None:
        cell = harness.Cell()
        job = cell.submit(harness.job(harness.step(860)))
        crash = records.CrashRecord(1, "i-652d1146", 1, "10.200.1.7:8169", 500)
        for task in job.steps[0][0].tasks:
            task.crashes = (crash,)
            task.trial = records.TrialRecord(
                2, crash.worker_id, 1, crash.machine, 500, True, False, 1
            )
        cell.jobs.mark_changed(job)
        self.assert_fits(cell)

    # Guards against the same by the occurrences of a job that repeats.
    def test_progress_of_many_occurrences_fits(self) -> None:
        cell = harness.Cell()
        spec = harness.job(
            *(harness.step() for _ in range(4)),
            repetitions=2_000,
            first_due_ms=harness.START_MS,
            interval_ms=1,
        )
        job = cell.submit(spec)
        cell.clock.advance(800)
        cell.jobs.create_due_occurrences()
        for instance in list(job.all_steps()):
            cell.jobs.mark_done(instance.tasks[0])
        self.assert_fits(cell)

    def assert_fits(self, cell: harness.Cell) -> None:
        """Checks the length of the records to be written."""
        for key, value in cell.jobs.drain_writes().work.items():
            size = len(key) + len(value or b"")
            self.assertLess(size, record_store.RECORD_BYTES)

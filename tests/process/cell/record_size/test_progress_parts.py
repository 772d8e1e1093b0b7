"""Tests of progress that is too long for one record."""

from __future__ import annotations

from typing import Any

import testtools

from comfreylatch._process.cell import job_table
from comfreylatch._process.cell import records
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import specs
from comfreylatch._process.cell.record_size import limits
from comfreylatch._process.cell.record_size import progress_parts
from testing.fakes import clock as fake_clock
from tests.process.cell import harness

VALUE_BYTES = 12_000
CRASH = records.CrashRecord(1, "w1", 1, "127.0.0.1:1", 500)
TRIAL = records.TrialRecord(2, "w2", 1, "127.0.0.1:2", 500, True, False, 1)


class ProgressPartsTest(testtools.TestCase):
    """Progress as two owners write and read it."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = fake_clock.FakeClock(harness.START_MS)
        self.stored: dict[str, bytes] = {}
        self.jobs = self.make_table()

    def make_table(self) -> job_table.JobTable:
        """Returns the table of a new owner."""
        overhead = limits.RECORD_OVERHEAD_BYTES
        return job_table.JobTable(
            1, self.clock, limits.StoreLimits(VALUE_BYTES + overhead)
        )

    def store(self) -> dict[str, bytes | None]:
        """Stores pending records; returns them."""
        writes = self.jobs.drain_writes().work
        for key, value in writes.items():
            self.assertLessEqual(len(value or b""), VALUE_BYTES)
            if value is None:
                self.stored.pop(key, None)
            else:
                self.stored[key] = value
        return writes

    def recover(self, spec: specs.JobSpec) -> runs_module.ActiveJob:
        """Returns a job as the next owner restores it."""
        parts = [
            records.decode(records.ProgressRecord, value)
            for value in self.stored.values()
        ]
        self.jobs = self.make_table()
        job = self.jobs.add(
            spec,
            progress=progress_parts.merge(parts),
            progress_keys=[key for key in self.stored if key != spec.job_id],
        )
        assert job is not None
        return job

    def add(
        self, *steps: specs.StepSpec, **fields: Any
    ) -> runs_module.ActiveJob:
        """Adds a job."""
        job = self.jobs.add(harness.job(*steps, **fields))
        assert job is not None
        return job

    def suspect(self, job: runs_module.ActiveJob, count: int) -> None:
        """Records a crash and a trial of some tasks."""
        for task in job.steps[0][0].tasks[:count]:
            task.crashes = (CRASH,)
            task.trial = TRIAL
        self.jobs.mark_changed(job)

    def test_short_progress_is_a_single_record(self) -> None:
        job = self.add(harness.step(200))
        self.suspect(job, 5)
        self.assertEqual([job.spec.job_id], list(self.store()))

    # Guards against a record that the store refuses for ever: a rack crashes
    # under a wide step, and every task has a crash and a trial.
    def test_crashes_and_trials_of_a_wide_step_are_restored(self) -> None:
        job = self.add(harness.step(200))
        self.suspect(job, 5)
        self.store()
        self.suspect(job, 150)
        self.jobs.mark_done(job.steps[0][0].tasks[160])
        expected = job.progress()
        self.store()
        self.assertLess(1, len(self.stored))
        self.assertEqual(expected, self.recover(job.spec).progress())

    def test_only_parts_that_have_changed_are_written(self) -> None:
        job = self.add(harness.step(200))
        self.suspect(job, 150)
        self.store()
        self.jobs.end_trial(job.steps[0][0].tasks[40], TRIAL.run)
        job_id = job.spec.job_id
        self.assertEqual([f"{job_id}/0.0.1", job_id], list(self.store()))

    def test_part_without_progress_is_dropped(self) -> None:
        job = self.add(harness.step(200))
        self.suspect(job, 150)
        self.store()
        for task in job.steps[0][0].tasks[:32]:
            task.crashes = ()
            task.trial = None
        self.jobs.mark_changed(job)
        writes = self.store()
        self.assertIsNone(writes[f"{job.spec.job_id}/0.0.0"])
        self.assertEqual(job.progress(), self.recover(job.spec).progress())

    # Guards against the same for a job that repeats: each occurrence that had
    # ended made its record longer.
    def test_ended_occurrences_take_no_room(self) -> None:
        job = self.add(
            harness.step(), harness.step(), repetitions=500, interval_ms=1
        )
        self.clock.advance(500)
        self.jobs.create_due_occurrences()
        for occurrence in range(400):
            for step in job.steps[occurrence]:
                self.jobs.mark_done(step.tasks[0])
        self.jobs.mark_done(job.steps[450][1].tasks[0])
        self.store()
        self.assertEqual(2, len(self.stored))
        self.assertLess(sum(map(len, self.stored.values())), 400)
        restored = self.recover(job.spec)
        self.assertEqual(job.progress(), restored.progress())

    def test_parts_of_occurrences_that_end_are_dropped_after_that(self) -> None:
        job = self.add(harness.step(150), repetitions=3, interval_ms=1)
        self.suspect(job, 100)
        self.store()
        left = dict(self.stored)
        for task in list(job.steps[0][0].tasks):
            self.jobs.mark_done(task)
        writes = list(self.store().items())
        dropped = [key for key, value in writes if value is None]
        self.assertEqual(dropped, [key for key, _ in writes[1:]])
        # An owner that ends between two appends leaves them.
        self.stored = {**left, **self.stored}
        restored = self.recover(job.spec)
        self.assertEqual(job.progress(), restored.progress())
        self.jobs.mark_changed(restored)
        self.store()
        self.assertEqual([job.spec.job_id], list(self.stored))

    def test_job_that_ends_leaves_no_parts(self) -> None:
        job = self.add(harness.step(200))
        self.suspect(job, 150)
        self.store()
        self.recover(job.spec)
        self.jobs.cancel(job.spec.job_id)
        self.store()
        self.assertEqual({}, self.stored)

"""Tests of the account of crashes under each task."""

from __future__ import annotations

import attrs
import testtools

from comfreylatch._process.cell import records
from testing.fakes import cell_workers as fake_workers
from tests.process.cell import harness

LEASE_MS = 3_000


class CrashLedgerTest(testtools.TestCase):
    """A cell of six workers, each with one lasting task of its own."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = harness.Cell(workers=6, cpu_millicores=2_000)
        self.entries = {
            name: fake_workers.entry(name, 2_000)
            for name in self.cell.workers.by_id()
        }
        for name in self.entries:
            self.cell.answer_hold(name, lease_ms=LEASE_MS)

    def start(self, count: int = 1) -> list[object]:
        """Submits and starts a job of tasks as large as a worker."""
        self.job = self.cell.submit(
            harness.job(harness.step(count, cpu_millicores=2_000))
        )
        return self.cell.place()

    def crash(self, *worker_ids: str) -> None:
        """Crashes workers; others are listed at their addresses."""
        for worker_id in worker_ids:
            self.cell.fail_hold(worker_id)
        self.cell.clock.advance(2_000)
        for worker_id in worker_ids:
            former = self.entries.pop(worker_id)
            self.entries[worker_id + "b"] = attrs.evolve(
                former,
                worker_id=worker_id + "b",
                born_ms=self.cell.clock.wall_ms(),
            )
        self.cell.apply_listing(self.entries)

    def crashes(self) -> tuple[records.CrashRecord, ...]:
        """Returns the crashes under the job's first task."""
        return self.job.steps[0][0].tasks[0].crashes

    def test_crash_is_attributed_to_a_run_that_has_just_started(self) -> None:
        (run,) = self.start()
        self.crash(run.worker_id)
        (crash,) = self.crashes()
        self.assertTrue(crash.was_alone)
        self.assertTrue(crash.is_confirmed)
        self.assertFalse(crash.is_excused)

    # Guards against a power cut whose workers are all back in one listing.
    def test_power_cut_is_excused(self) -> None:
        runs = self.start(4)
        self.cell.clock.advance(400)
        self.crash(*(run.worker_id for run in runs))
        self.assertTrue(self.crashes()[0].is_excused)

    def test_worker_that_was_to_leave_has_not_crashed(self) -> None:
        (run,) = self.start()
        entry = self.entries[run.worker_id]
        self.entries[run.worker_id] = attrs.evolve(entry, is_draining=True)
        self.cell.apply_listing(self.entries)
        self.crash(run.worker_id)
        self.assertEqual((), self.crashes())

    def test_run_of_several_seconds_is_no_suspect(self) -> None:
        (run,) = self.start()
        self.cell.clock.advance(6_000)
        self.crash(run.worker_id)
        self.assertEqual((), self.crashes())

    # Guards against blame for a worker that was only unreachable for longer
    # than its lease.
    def test_crash_is_withdrawn_when_the_worker_answers(self) -> None:
        (run,) = self.start()
        self.cell.fail_hold(run.worker_id)
        self.cell.clock.advance(2 * LEASE_MS)
        self.cell.expire()
        (crash,) = self.crashes()
        self.assertFalse(crash.is_confirmed)
        self.cell.answer_hold(run.worker_id)
        self.assertEqual((), self.crashes())

    # Guards against a deadly task that is no longer suspected after a crash
    # that the owner saw late: only a report of the run shows that it lasted.
    def test_crash_seen_late_refutes_no_earlier_one(self) -> None:
        (first,) = self.start()
        self.crash(first.worker_id)
        self.cell.workers.allow_starts(self.cell.workers.incarnations())
        _, second = self.cell.place_and_store()
        self.cell.clock.advance(1_000)
        self.crash(second.worker_id)
        self.assertEqual([1, 2], [crash.run for crash in self.crashes()])

    def test_crash_is_confirmed_when_another_worker_is_listed(self) -> None:
        (run,) = self.start()
        self.cell.fail_hold(run.worker_id)
        self.cell.clock.advance(2 * LEASE_MS)
        self.cell.expire()
        self.crash(run.worker_id)
        self.assertTrue(self.crashes()[0].is_confirmed)

    # Guards against a start that no later owner knows of.
    # Guards against giving up a task for two crashes of bad machines, the first
    # of which only a previous owner has seen.
    def test_unexplained_crash_before_a_takeover_calls_for_more_evidence(
        self,
    ) -> None:
        job = self.cell.submit(harness.job(harness.step(cpu_millicores=2_000)))
        (task,) = job.steps[0][0].tasks
        task.crashes = (
            records.CrashRecord(
                1, "gone", 1, "gone:1", 180, is_prime=True, is_confirmed=True
            ),
        )
        task.last_run = 1
        self.cell.crashes.restore(job)
        self.job = job
        (run,) = self.cell.place()
        self.crash(run.worker_id)
        self.assertEqual(2, len(self.crashes()))
        self.assertIsNotNone(self.cell.jobs.find(job.spec.job_id))

    def test_suspected_task_is_recorded_before_it_starts(self) -> None:
        (run,) = self.start()
        self.crash(run.worker_id)
        self.cell.workers.allow_starts(self.cell.workers.incarnations())
        stored: dict[str, bytes] = {}
        started_before_stored = []
        self.cell.on_stored = lambda work: (
            started_before_stored.extend(
                run
                for session in self.cell.sessions.values()
                for run in session.starts
                if run.number == 2
            ),
            stored.update(work),
        )
        _, trial = self.cell.place_and_store()
        progress = records.decode(
            records.ProgressRecord, stored[self.job.spec.job_id]
        )
        self.assertEqual([], started_before_stored)
        self.assertEqual(2, progress.steps[0].trials[0].run)
        self.assertEqual(1, len(progress.steps[0].crashes[0]))
        self.assertNotEqual(run.worker_id, trial.worker_id)

"""Tests of the workers on which suspected tasks are tried."""

from __future__ import annotations

import testtools

from comfreylatch._process.cell import records
from comfreylatch._process.cell import runs
from comfreylatch._process.cell import worker_view
from comfreylatch._process.cell.crashes import trials
from tests.process.cell import harness


class TrialsTest(testtools.TestCase):
    """Three workers; a task that has crashed a fourth one."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = harness.Cell(workers=3, cpu_millicores=4_000)
        self.task = self.suspect("a")

    def suspect(self, digit: str, machine: str = "10.0.9.9:1") -> runs.Task:
        """Returns a pending task that has crashed a machine once."""
        job = self.cell.submit(harness.job(job_id=digit * 16))
        task = job.steps[0][0].tasks[0]
        task.crashes = (
            records.CrashRecord(
                0, "w9", 1, machine, 30, is_prime=True, is_confirmed=True
            ),
        )
        task.pending_since_ms = self.cell.clock.now_ms
        return task

    def fill(self, count: int, job_id: str = "f" * 16) -> None:
        """Starts harmless tasks of one core each, in the order of workers."""
        step = harness.step(count, estimated_ms=10_000)
        self.cell.submit(harness.job(step, job_id=job_id))
        now_ms = self.cell.clock.now_ms
        for view in list(self.cell.workers)[:count]:
            view.avoided_until_ms = 0
        self.cell.planner.place(
            [s for s in self.cell.jobs.ready_steps() if s.spec is step], now_ms
        )

    def choose(
        self, task: runs.Task | None = None
    ) -> worker_view.WorkerView | trials.TrialOutcome:
        """Chooses a worker for a task."""
        return trials.choose_worker(
            task or self.task,
            list(self.cell.workers),
            lambda worker: 0.0 if worker.free_cpu >= 1_000 else None,
            lambda _: False,
            self.cell.clock.now_ms,
        )

    def test_empty_worker_is_chosen(self) -> None:
        self.fill(2)
        chosen = self.choose()
        assert isinstance(chosen, worker_view.WorkerView)
        self.assertEqual({}, chosen.runs)

    def test_machine_that_the_task_crashed_is_not_chosen(self) -> None:
        views = list(self.cell.workers)
        self.task.crashes = tuple(
            records.CrashRecord(run, "w9", 1, view.entry.address, 30)
            for run, view in enumerate(views[:2])
        )
        self.assertEqual(views[2], self.choose())

    def test_task_waits_for_an_empty_worker_before_it_shares_one(self) -> None:
        self.fill(12)
        for view in self.cell.workers:
            view.free_cpu = 1_000
        self.assertEqual(trials.TrialOutcome.WAIT, self.choose())
        self.cell.clock.advance(trials.FIRST_ALONE_WAIT_MS)
        self.assertIsInstance(self.choose(), worker_view.WorkerView)

    def test_task_that_finds_no_worker_is_placed_anywhere(self) -> None:
        for view in self.cell.workers:
            view.free_cpu = 0
        self.cell.clock.advance(trials.APART_WAIT_MS)
        self.assertEqual(trials.TrialOutcome.PLACE_ANYWHERE, self.choose())

    def test_nothing_else_starts_beside_a_trial(self) -> None:
        (trial,) = self.cell.place()
        self.fill(12)
        view = self.cell.workers.find(trial.worker_id)
        self.assertEqual([trial], list(view.runs.values()))

    def test_worker_opens_once_the_trial_has_lasted(self) -> None:
        (trial,) = self.cell.place_and_store()
        self.cell.clock.advance(600)
        self.cell.answer_hold(
            trial.worker_id, running=(harness.running_task(trial),)
        )
        view = self.cell.workers.find(trial.worker_id)
        self.assertEqual(None, view.trial_run)
        self.assertEqual((), self.task.crashes)

    # Guards against reservations that stay while more are made: in the end no
    # worker was left for other work.
    def test_reservations_do_not_add_up(self) -> None:
        views = list(self.cell.workers)
        for view in views:
            waiting = [self.suspect("abc"[views.index(view)] * 3 + "0" * 13)]
            waiting[0].crashes = (
                records.CrashRecord(0, "w9", 1, view.entry.address, 30),
            )
            trials.reserve_workers(
                views, waiting, lambda _: False, self.cell.clock.now_ms
            )
        self.assertEqual(1, sum(view.is_reserved for view in views))

    def test_reservation_ends_when_no_task_waits(self) -> None:
        views = list(self.cell.workers)
        now_ms = self.cell.clock.now_ms
        trials.reserve_workers(views, [self.task], lambda _: False, now_ms)
        self.assertEqual(1, sum(view.is_reserved for view in views))
        trials.reserve_workers(views, [], lambda _: False, now_ms)
        self.assertEqual(0, sum(view.is_reserved for view in views))

    def test_worker_with_a_limit_on_unavailable_tasks_is_not_emptied(
        self,
    ) -> None:
        step = harness.step(3, is_lasting=True, max_unavailable=1)
        self.cell.submit(harness.job(step, job_id="b" * 16))
        for view in self.cell.workers:
            view.free_cpu = 1_000
        self.task.step.pending_tasks.clear()
        self.cell.place()
        moving = trials.reserve_workers(
            list(self.cell.workers),
            [self.task],
            lambda _: False,
            self.cell.clock.now_ms,
        )
        self.assertEqual([], moving)
        self.assertFalse(any(v.is_reserved for v in self.cell.workers))

"""Tests of tasks that crash the workers that start them."""

from __future__ import annotations

import testtools

from comfreylatch._process.cell import records
from tests.process.cell import harness
from tests.process.cell.crashes import crash_world

DEADLY_JOB = "d" * 16
DEADLY_TASK = f"{DEADLY_JOB}.0.0.0"
# Crashes that a task may cause before it has to be given up.
MAX_CRASHES = 3


class DeadlyTaskTest(testtools.TestCase):
    """A cell of eight machines, three quarters of it in use."""

    def setUp(self) -> None:
        super().setUp()
        self.world = crash_world.CrashWorld(machines=8, seed=1)
        self.world.deadly[DEADLY_TASK] = 20
        self.job_count = 0

    def submit_harmless(self, count: int = 1) -> None:
        """Submits jobs of six short tasks each."""
        for _ in range(count):
            self.job_count += 1
            self.world.submit(
                harness.job(
                    harness.step(6, estimated_ms=800),
                    job_id=f"{self.job_count:016x}",
                )
            )

    def run_with_load(self, for_ms: int) -> None:
        """Lets time pass while harmless jobs arrive."""
        for _ in range(for_ms // 100):
            self.submit_harmless()
            self.world.run(100)

    def run_until_started_again(self) -> None:
        """Lets time pass until the deadly task is started or given up."""
        known = len(self.world.starts_of(DEADLY_TASK))
        while (
            len(self.world.starts_of(DEADLY_TASK)) == known
            and DEADLY_JOB not in self.world.states
        ):
            self.run_with_load(100)

    def submit_deadly(self) -> None:
        """Submits a job of one deadly and one harmless task."""
        self.world.submit(harness.job(harness.step(2), job_id=DEADLY_JOB))

    def assert_given_up(self) -> None:
        """Checks that the deadly job failed, in time."""
        crashes = [c for c in self.world.crashes if DEADLY_TASK in c[2]]
        self.assertLessEqual(len(crashes), MAX_CRASHES)
        self.assertEqual(
            records.JobState.FAILED, self.world.states.get(DEADLY_JOB)
        )
        self.world.run(5_000)
        self.assertEqual(len(crashes), len(self.world.starts_of(DEADLY_TASK)))

    def assert_others_complete(self) -> None:
        """Checks that all harmless jobs complete."""
        states = dict(self.world.states)
        states.pop(DEADLY_JOB, None)
        self.assertEqual(
            [records.JobState.COMPLETED] * self.job_count,
            list(states.values()),
        )

    # Guards against runs that are lost with their worker and counted nowhere:
    # a task that crashed each worker was started again without end.
    def test_task_that_crashes_its_workers_is_given_up(self) -> None:
        self.run_with_load(500)
        self.submit_deadly()
        self.run_with_load(25_000)
        self.world.run(6_000)
        self.assert_given_up()
        self.assert_others_complete()

    # Guards against crashes that only one owner knows of: each new owner
    # counted anew.
    def test_crashes_are_counted_over_changes_of_owner(self) -> None:
        self.run_with_load(500)
        self.submit_deadly()
        for _ in range(6):
            self.run_until_started_again()
            self.run_with_load(600)
            self.world.change_owner()
        # Each change of owner leaves a backlog of some seconds.
        self.world.run(30_000)
        self.assert_given_up()
        self.assert_others_complete()

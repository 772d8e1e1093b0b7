"""Random histories of crashes, cuts and changes of owner."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import random

import testtools

from comfreylatch._process.cell import records
from tests.process.cell import harness
from tests.process.cell.crashes import crash_world

SEEDS = range(24)
LENGTH_MS = 16_000
DRAIN_MS = 40_000
STEP_MS = 100
# Starts that the users allow: three crashes, and two starts more.
MAX_STARTS = 5


class History:
    """One random history, the same for the same seed.

    Attributes:
        deadly_jobs: Ids of the jobs with a deadly task.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.world = crash_world.CrashWorld(machines=10, seed=seed)
        self.world.back_after_ms = self.random.choice((1_500, 3_000, 5_000))
        self.deadly_jobs: list[str] = []
        self._job_count = 0
        self._deadly_share = self.random.choice((0.0, 0.01, 0.03))
        self._events = [
            *self._draw(self._crash_one, 3),
            *self._draw(self._crash_many, 2),
            *self._draw(self._cut_one, 3),
            *self._draw(self.world.change_owner, 3),
        ]
        if self.random.random() < 0.2:
            self.world.machines[0].is_faulty = True

    def _draw(
        self, action: Callable[[], None], most: int
    ) -> list[tuple[int, Callable[[], None]]]:
        """Draws up to `most` times at which something happens."""
        return [
            (self.random.randrange(LENGTH_MS // STEP_MS), action)
            for _ in range(self.random.randint(0, most))
        ]

    def play(self) -> None:
        """Plays the history and what follows until nothing is left to do."""
        for step in range(LENGTH_MS // STEP_MS):
            self._submit()
            for at_step, action in self._events:
                if at_step == step:
                    action()
            self.world.run(STEP_MS)
        self.world.machines[0].is_faulty = False
        self.world.run(DRAIN_MS)

    def _submit(self) -> None:
        self._job_count += 1
        job_id = f"{self._job_count:016x}"
        if self.random.random() < self._deadly_share:
            self.deadly_jobs.append(job_id)
            after_ms = self.random.choice((20, 20, 60, 140))
            self.world.deadly[f"{job_id}.0.0.0"] = after_ms
        step = harness.step(
            self.random.randint(1, 6),
            estimated_ms=self.random.randint(200, 2_000),
        )
        self.world.submit(harness.job(step, job_id=job_id))

    def _any_machine(self) -> crash_world.Machine:
        return self.random.choice(self.world.machines)

    def _crash_one(self) -> None:
        machine = self._any_machine()
        if machine.is_up:
            self.world.crash(machine)

    def _crash_many(self) -> None:
        self.world.crash_together(self.random.randint(4, 6))

    def _cut_one(self) -> None:
        machine = self._any_machine()
        if machine.is_up and not machine.is_silent:
            self.world.cut(machine, self.random.randint(500, 6_000))

    def failed_harmless_jobs(self) -> list[str]:
        """Returns the jobs without a deadly task that were given up."""
        return [
            job_id
            for job_id, state in self.world.states.items()
            if state is records.JobState.FAILED
            and job_id not in self.deadly_jobs
        ]

    def starts_of_deadly_tasks(self) -> list[int]:
        """Returns how often each deadly task was started."""
        return [
            len(self.world.starts_of(f"{job_id}.0.0.0"))
            for job_id in self.deadly_jobs
        ]

    def unfinished_jobs(self) -> int:
        """Returns the number of jobs that have not ended."""
        return self._job_count - len(self.world.states)


class CrashHistoriesTest(testtools.TestCase):
    """Histories of 16 s on ten machines with about 30 tasks a second."""

    def play_all(self) -> Iterator[tuple[int, History]]:
        """Yields each seed with its history, played to the end."""
        for seed in SEEDS:
            history = History(seed)
            history.play()
            yield seed, history

    # Guards against deadly tasks that are started again and again, and against
    # trials that leave other work without workers.
    def test_deadly_tasks_are_given_up_in_time(self) -> None:
        for seed, history in self.play_all():
            starts = history.starts_of_deadly_tasks()
            self.assertLessEqual(max(starts, default=0), MAX_STARTS, seed)
            self.assertEqual(0, history.unfinished_jobs(), seed)

    # Guards against harmless tasks that are given up for crashes that were not
    # their doing.
    def test_harmless_tasks_are_not_given_up(self) -> None:
        for seed, history in self.play_all():
            self.assertEqual([], history.failed_harmless_jobs(), seed)

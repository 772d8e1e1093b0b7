"""Tests of picking workers for many similar tasks."""

from __future__ import annotations

import testtools

from comfreylatch._process.cell import worker_view
from comfreylatch._process.cell.planning import candidates
from testing.fakes import cell_workers as fake_workers

WORKERS = 250


class CandidatesTest(testtools.TestCase):
    """Workers with capacity for two tasks each."""

    def setUp(self) -> None:
        super().setUp()
        self.workers = [
            worker_view.WorkerView(fake_workers.entry(f"w{n}"))
            for n in range(WORKERS)
        ]
        self.task_counts: dict[str, int] = {}
        self.cost_calls = 0

    def cost(self, worker: worker_view.WorkerView) -> float | None:
        """Returns the number of tasks placed; None if two are placed."""
        self.cost_calls += 1
        count = self.task_counts.get(worker.worker_id, 0)
        return None if count >= 2 else float(count)

    def place_task(
        self, candidate_workers: candidates.Candidates, *avoided: str
    ) -> str | None:
        """Places a task on the worker picked; returns the worker's id."""
        worker = candidate_workers.pick(avoided)
        if worker is None:
            return None
        worker_id = worker.worker_id
        self.task_counts[worker_id] = self.task_counts.get(worker_id, 0) + 1
        return worker_id

    def test_each_task_gets_the_cheapest_worker_left(self) -> None:
        candidate_workers = candidates.Candidates(self.workers[:3], self.cost)
        picked = [self.place_task(candidate_workers) for _ in range(7)]
        self.assertEqual({"w0", "w1", "w2"}, set(picked[:3]))
        self.assertEqual({"w0", "w1", "w2"}, set(picked[3:6]))
        self.assertIsNone(picked[6])

    def test_avoided_worker_is_the_last_resort(self) -> None:
        candidate_workers = candidates.Candidates(self.workers[:2], self.cost)
        picked = [self.place_task(candidate_workers, "w0") for _ in range(3)]
        self.assertEqual(["w1", "w1", "w0"], picked)

    def test_excluded_worker_is_never_picked(self) -> None:
        candidate_workers = candidates.Candidates(self.workers[:1], self.cost)
        self.assertIsNone(candidate_workers.pick(excluded=("w0",)))
        self.assertIsNotNone(candidate_workers.pick())

    def test_cost_calls_do_not_grow_with_tasks_times_workers(self) -> None:
        # Each task used to compute the cost of each worker, so that a pass over
        # 42 waiting steps and 246 workers took 177 ms.
        candidate_workers = candidates.Candidates(self.workers, self.cost)
        for _ in range(WORKERS):
            self.place_task(candidate_workers)
        self.assertLess(self.cost_calls, 4 * WORKERS)

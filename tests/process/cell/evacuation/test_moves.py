"""Tests of which runs leave workers that leave or take no more work."""

from __future__ import annotations

import attrs
import testtools

from comfreylatch._ports import cell_workers
from comfreylatch._process.cell.evacuation import moves
from tests.process.cell import harness


class DrainingWorkerTest(testtools.TestCase):
    """A worker that drains while it has runs."""

    def drain(self, cell: harness.Cell, worker_id: str) -> None:
        """Marks the worker as draining."""
        worker = cell.workers.find(worker_id)
        assert worker is not None
        worker.entry = attrs.evolve(worker.entry, is_draining=True)
        cell.reconciler.move_runs(cell.clock.now_ms)

    def count_stops(self, step: object, percent: float = 10.0) -> int:
        """Returns how many runs of a step stop once their worker drains."""
        cell = harness.Cell(workers=1)
        cell.submit(harness.job(step))  # type: ignore[arg-type]
        (run,) = cell.place()
        cell.answer_hold("w1", running=(harness.running_task(run, percent),))
        self.drain(cell, "w1")
        return len(cell.sessions["w1"].stops)

    def test_lasting_task_moves(self) -> None:
        self.assertEqual(1, self.count_stops(harness.step(is_lasting=True)))

    def test_long_task_with_checkpoints_moves(self) -> None:
        step = harness.step(estimated_ms=9_000, has_checkpoints=True)
        self.assertEqual(1, self.count_stops(step))

    def test_task_that_will_end_in_time_stays(self) -> None:
        step = harness.step(estimated_ms=9_000, has_checkpoints=True)
        self.assertEqual(0, self.count_stops(step, percent=90.0))

    def test_task_without_checkpoints_stays(self) -> None:
        self.assertEqual(0, self.count_stops(harness.step(estimated_ms=9_000)))


class EmptiedWorkerTest(testtools.TestCase):
    """A worker that is emptied for its machine's maintenance."""

    def count_stops(self, **fields: object) -> int:
        """Returns how many of three lasting tasks are stopped right away."""
        cell = harness.Cell(workers=1)
        step = harness.step(3, is_lasting=True, **fields)
        cell.submit(harness.job(step))
        runs = cell.place()
        cell.answer_hold(
            "w1",
            running=tuple(harness.running_task(run, 100.0) for run in runs),
        )
        worker = cell.workers.find("w1")
        assert worker is not None
        worker.is_being_emptied = True
        cell.reconciler.move_runs(cell.clock.now_ms)
        cell.reconciler.move_runs(cell.clock.now_ms)
        return len(cell.sessions["w1"].stops)

    def test_lasting_tasks_move_at_once(self) -> None:
        self.assertEqual(3, self.count_stops())

    def test_limit_on_unavailable_tasks_is_kept(self) -> None:
        self.assertEqual(1, self.count_stops(max_unavailable=1))


class EvacuatedZoneTest(testtools.TestCase):
    """Two workers, of which one is in a zone that operators evacuate."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = harness.Cell(workers=2, cpu_millicores=8_000)

    def start(self, percent: float = 10.0, **fields: object) -> list[object]:
        """Runs a job's tasks on the worker that is evacuated then."""
        other = self.cell.workers.find("w2")
        assert other is not None
        other.is_being_emptied = True
        self.cell.submit(harness.job(harness.step(**fields)))  # type: ignore[arg-type]
        runs = self.cell.place()
        other.is_being_emptied = False
        self.cell.answer_hold(
            "w1",
            running=tuple(harness.running_task(run, percent) for run in runs),
        )
        self.evacuate("w1")
        return runs

    def evacuate(self, worker_id: str) -> None:
        """Marks the zone of a worker as evacuated."""
        worker = self.cell.workers.find(worker_id)
        assert worker is not None
        worker.is_evacuated = True
        worker.may_get_starts = False

    def moved(self) -> int:
        """Checks once what moves; returns the number of runs stopped."""
        self.cell.reconciler.move_runs(self.cell.clock.now_ms)
        return len(self.cell.sessions["w1"].stops)

    def test_new_tasks_go_elsewhere(self) -> None:
        self.evacuate("w1")
        self.cell.submit(harness.job(harness.step(3)))
        runs = self.cell.place()
        self.assertEqual({"w2"}, {run.worker_id for run in runs})

    def test_lasting_tasks_move_a_few_at_a_time(self) -> None:
        self.start(count=6, is_lasting=True, percent=100.0)
        self.assertEqual(moves.MAX_ZONE_MOVES, self.moved())
        self.assertEqual(6, self.moved())

    def test_limit_on_unavailable_tasks_is_kept(self) -> None:
        self.start(count=3, is_lasting=True, percent=100.0, max_unavailable=1)
        self.moved()
        self.assertEqual(1, self.moved())

    def test_task_without_checkpoints_stays(self) -> None:
        self.start(estimated_ms=9_000)
        self.assertEqual(0, self.moved())

    def test_task_that_will_end_soon_stays(self) -> None:
        self.start(estimated_ms=9_000, has_checkpoints=True, percent=90.0)
        self.assertEqual(0, self.moved())

    # Guards against work that is thrown away for a place in a queue.
    def test_nothing_moves_while_other_tasks_wait_for_room(self) -> None:
        self.start(is_lasting=True, percent=100.0)
        self.cell.submit(
            harness.job(harness.step(cpu_millicores=9_000), job_id="f" * 16)
        )
        self.cell.clock.advance(moves.MAX_WAIT_BESIDE_MOVES_MS + 1)
        self.assertEqual(0, self.moved())

    def test_nothing_moves_without_room_elsewhere(self) -> None:
        self.start(cpu_millicores=8_000, is_lasting=True, percent=100.0)
        other = self.cell.workers.find("w2")
        assert other is not None
        other.free_cpu = 7_000
        self.assertEqual(0, self.moved())

    # Guards against a task that is moved from zone to zone.
    def test_run_that_has_left_one_zone_stays_in_the_next(self) -> None:
        (run,) = self.start(is_lasting=True, percent=100.0)
        self.moved()
        end = harness.ended_run(run, cell_workers.RunEnd.STOPPED)
        self.cell.answer_hold("w1", ended=(end,))
        (second,) = self.cell.place()
        self.assertEqual("w2", second.worker_id)
        self.cell.answer_hold(
            "w2", running=(harness.running_task(second, 100.0),)
        )
        self.evacuate("w2")
        first = self.cell.workers.find("w1")
        assert first is not None
        first.is_evacuated, first.may_get_starts = False, True
        self.moved()
        self.assertEqual([], self.cell.sessions["w2"].stops)

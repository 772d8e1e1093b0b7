"""Tests of runs on a worker that starts again under its id."""

from __future__ import annotations

from typing import Any

import attrs
import result
import testtools

from comfreylatch._ports import cell_workers
from comfreylatch._process.cell import events
from comfreylatch._process.cell import reasons
from comfreylatch._process.cell.listing import incarnations
from testing.fakes import cell_workers as fake_workers
from tests.process.cell import harness

# A worker that has crashed is back after so long.
AWAY_MS = 3_000


class RestartedWorkerTest(testtools.TestCase):
    """A worker that starts again, while another one is free."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = harness.Cell(workers=2)
        self.cell.submit(harness.job())

    def restart(self, worker_id: str) -> list[Any]:
        """Lists the worker's next incarnation, which has just started."""
        entries = {
            view.worker_id: view.entry
            for view in self.cell.workers
            if view.worker_id != worker_id
        }
        born_ms = self.cell.clock.wall_ms()
        entries[worker_id] = fake_workers.entry(worker_id, born_ms=born_ms)
        return self.cell.workers.apply_listing(entries)

    # Guards against a task in two places: the next incarnation had
    # accepted the start, but the run was given up and started elsewhere.
    def test_run_that_the_next_incarnation_has_accepted_goes_on(self) -> None:
        (run,) = self.cell.place()
        self.assertEqual([], self.restart(run.worker_id))
        self.assertEqual([], self.cell.place())
        listed = harness.running_task(run)
        self.cell.answer_hold(run.worker_id, running=(listed,))
        self.assertFalse(run.is_in_doubt)
        self.assertEqual([], self.cell.place())
        self.assertEqual([run], run.task.runs)

    # Guards against the same while the order is still being sent.
    def test_start_under_way_is_in_doubt(self) -> None:
        now_ms = self.cell.clock.monotonic_ms()
        (placed,) = self.cell.planner.place(
            self.cell.jobs.ready_steps(), now_ms
        )
        self.cell.dispatcher.send_start(placed.run)
        self.cell.clock.advance(AWAY_MS)
        self.assertEqual([], self.restart(placed.run.worker_id))
        self.assertEqual([placed.run], placed.run.task.runs)

    # Guards against a task that waits for good for a run that is nowhere.
    def test_run_that_the_next_incarnation_lacks_is_started_again(
        self,
    ) -> None:
        (run,) = self.cell.place()
        self.restart(run.worker_id)
        session = self.cell.sessions[run.worker_id]
        self.cell.answer_hold(run.worker_id)
        self.assertEqual([(run.task.name, run.number)], session.stops)
        self.cell.clock.advance(10)
        self.cell.dispatcher.handle_stop(
            events.StopReturned(run.worker_id, run, result.Ok(0))
        )
        self.cell.clock.advance(10)
        self.cell.answer_hold(run.worker_id)
        (again,) = self.cell.place()
        self.assertGreater(again.number, run.number)

    # Guards against a crash that is not counted against the task that caused
    # it, so that the task brings down one worker after the other.
    def test_run_that_was_started_before_the_crash_is_lost(self) -> None:
        (run,) = self.cell.place()
        self.cell.clock.advance(AWAY_MS)
        (lost,) = self.restart(run.worker_id)
        self.assertEqual((run,), lost.runs)
        self.assertIs(reasons.LossReason.REBORN, lost.reason)

    # Guards against runs that are kept although the next incarnation is over.
    def test_worker_replaced_under_another_id_since_is_dropped(self) -> None:
        (run,) = self.cell.place()
        former = self.cell.workers.find(run.worker_id).entry
        now_ms = self.cell.clock.wall_ms()
        second = attrs.evolve(former, born_ms=now_ms)
        third = attrs.evolve(former, worker_id="w9", born_ms=now_ms + 1)
        (lost,) = self.cell.workers.apply_listing(
            {former.worker_id: second, "w9": third}
        )
        self.assertEqual((run,), lost.runs)
        self.assertIs(None, self.cell.workers.find(former.worker_id))

    def test_slack_is_shorter_than_a_restart(self) -> None:
        self.assertLess(incarnations.CLOCK_SLACK_MS, AWAY_MS)

    # Guards against capacity that is given away twice.
    def test_run_in_doubt_keeps_its_capacity(self) -> None:
        (run,) = self.cell.place()
        self.restart(run.worker_id)
        worker = self.cell.workers.find(run.worker_id)
        need = run.task.step.spec.need
        self.assertEqual(
            worker.entry.capacity.cpu_millicores - need.cpu_millicores,
            worker.free_cpu,
        )
        end = harness.ended_run(run, cell_workers.RunEnd.DONE)
        self.cell.answer_hold(run.worker_id, ended=(end,))
        self.assertEqual(worker.entry.capacity.cpu_millicores, worker.free_cpu)

"""Tests of maintenance waves: which machines are maintained, and when."""

from __future__ import annotations

from typing import Any

import result
import testtools

from comfreylatch._ports import cell_workers
from comfreylatch._ports import machines as machines_port
from comfreylatch._process import metrics
from comfreylatch._process.cell import events
from comfreylatch._process.cell import maintenance
from comfreylatch._process.cell import records
from comfreylatch._process.cell import wave_state
from tests.process.cell import harness

DONE = cell_workers.RunEnd.DONE
UP = machines_port.MachineState.UP
IN_MAINTENANCE = machines_port.MachineState.MAINTENANCE
WAVE = machines_port.Wave(1, ("m1", "m2", "m3"), 60_000, 2)
TIGHT_WAVE = machines_port.Wave(1, ("m1", "m2", "m3"), 8_000, 2)


class ConcurrentMachinesTest(testtools.TestCase):
    """Number of machines that are in maintenance at the same time."""

    def test_one_machine_at_a_time_while_there_is_time(self) -> None:
        self.assertEqual(1, maintenance.concurrent_machines(WAVE, 3, 0))

    def test_limit_of_the_wave_is_reached_when_time_is_short(self) -> None:
        self.assertEqual(2, maintenance.concurrent_machines(TIGHT_WAVE, 3, 0))
        self.assertEqual(2, maintenance.concurrent_machines(WAVE, 3, 90_000))


class WaveTest(testtools.TestCase):
    """Three machines with one worker each."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = harness.Cell(workers=3)
        self.planner = self.new_planner()
        self.reports: list[wave_state.ReportWave] = []
        self.states = dict.fromkeys(WAVE.machines, UP)

    def new_planner(
        self,
        handover_ms: int = 0,
        recorded: records.WaveRecord | None = None,
    ) -> maintenance.MaintenancePlanner:
        """Returns the planner of an owner that starts now."""
        return maintenance.MaintenancePlanner(
            {} if recorded is None else {1: recorded},
            self.cell.clock.monotonic_ms() + handover_ms,
            self.cell.tenure,
            metrics.Metrics(),
        )

    def plan_and_list_machines(
        self, wave: machines_port.Wave = WAVE
    ) -> list[Any]:
        """Returns the actions due now, except for listing the machines.

        A listing is answered at once with the states of this test.
        """
        now_ms = self.cell.clock.monotonic_ms()
        actions = self.plan_actions(wave)
        self.reports += [
            action
            for action in actions
            if isinstance(action, wave_state.ReportWave)
        ]
        if wave_state.ListMachines() not in actions:
            return actions
        listed_machines = tuple(
            machines_port.Machine(name, state, name.replace("m", "w"))
            for name, state in self.states.items()
        )
        self.planner.handle_machines_listed(
            events.MachinesListed(now_ms, result.Ok(listed_machines)),
            self.cell.workers.by_id(),
            now_ms,
        )
        return [
            action for action in actions if action != wave_state.ListMachines()
        ]

    def plan_actions(self, wave: machines_port.Wave) -> list[Any]:
        """Returns the actions due now."""
        return self.planner.plan(
            (wave,),
            self.cell.workers.by_id(),
            self.cell.clock.monotonic_ms(),
            self.cell.clock.wall_ms(),
        )

    def next_orders(self, wave: machines_port.Wave = WAVE) -> list[str]:
        """Returns the machines sent to maintenance within the next second."""
        ordered_machines = []
        for _ in range(10):
            self.cell.clock.advance(100)
            self.cell.reconciler.move_runs(self.cell.clock.monotonic_ms())
            ordered_machines += [
                action.machine_id
                for action in self.plan_and_list_machines(wave)
                if isinstance(action, wave_state.OrderMaintenance)
            ]
        return ordered_machines

    def return_outcome(self, machine_id: str, outcome: Any) -> None:
        """Applies the outcome of a maintenance order."""
        self.planner.handle_maintenance_returned(
            events.MaintenanceReturned(machine_id, 1, outcome),
            self.cell.workers.by_id(),
            self.cell.clock.monotonic_ms(),
        )

    def test_empty_machines_are_maintained_one_after_the_other(self) -> None:
        (first,) = self.next_orders()
        self.assertEqual([], self.next_orders())
        self.return_outcome(first, result.Ok(None))
        self.states[first] = IN_MAINTENANCE
        self.assertEqual([], self.next_orders())
        self.states[first] = UP
        (second,) = self.next_orders()
        self.assertNotEqual(first, second)

    def test_no_more_at_once_than_the_wave_allows(self) -> None:
        ordered = self.next_orders(TIGHT_WAVE)
        self.assertEqual(2, len(ordered))
        self.return_outcome(ordered[0], result.Ok(None))
        self.states[ordered[0]] = IN_MAINTENANCE
        self.assertEqual([], self.next_orders(TIGHT_WAVE))

    def test_emptied_worker_gets_no_work_and_finishes_its_runs(self) -> None:
        self.cell.submit(harness.job(harness.step(3, cpu_millicores=5_000)))
        runs = {run.worker_id: run for run in self.cell.place()}
        self.assertEqual([], self.next_orders())
        (worker_id,) = (
            view.worker_id
            for view in self.cell.workers
            if view.is_being_emptied
        )
        self.cell.submit(harness.job(harness.step(9), job_id="b" * 16))
        placed = {run.worker_id for run in self.cell.place()}
        self.assertNotIn(worker_id, placed)
        self.cell.answer_hold(
            worker_id, ended=(harness.ended_run(runs[worker_id], DONE),)
        )
        self.assertEqual([worker_id.replace("w", "m")], self.next_orders())

    def test_stuck_task_does_not_block_the_wave(self) -> None:
        self.cell.submit(harness.job(harness.step(3, cpu_millicores=5_000)))
        self.cell.place()
        self.next_orders()
        self.cell.clock.advance(maintenance.MAX_EVACUATION_MS)
        self.assertEqual(1, len(self.next_orders()))

    def submit_bounded(self, count: int) -> list[Any]:
        """Starts lasting tasks of which one may be away; one on each worker."""
        step = harness.step(
            count, cpu_millicores=5_000, is_lasting=True, max_unavailable=1
        )
        self.cell.submit(harness.job(step))
        runs = self.cell.place()
        for run in runs:
            at_work = harness.running_task(run, percent=100.0)
            self.cell.answer_hold(run.worker_id, running=(at_work,))
        return runs

    # Guards against maintenance that ends a lasting task while as many of its
    # step are away as may be: another worker is lost, and nothing has room.
    def test_maintenance_waits_for_the_limit_of_a_step(self) -> None:
        lost, *others = self.submit_bounded(3)
        self.cell.dispatcher.discard(lost)
        self.cell.workers.find(lost.worker_id).may_get_starts = False
        wave = machines_port.Wave(
            1, (others[0].worker_id.replace("w", "m"),), 60_000, 1
        )
        self.assertEqual([], self.next_orders(wave))
        self.cell.clock.advance(maintenance.MAX_EVACUATION_MS)
        self.assertEqual([], self.next_orders(wave))
        # The task is back at work elsewhere.
        self.cell.workers.find(lost.worker_id).may_get_starts = True
        (back,) = self.cell.place()
        at_work = harness.running_task(back, percent=100.0)
        self.cell.answer_hold(back.worker_id, running=(at_work,))
        self.assertEqual(1, len(self.next_orders(wave)))

    # Guards against the same by an order that is repeated later.
    def test_repeated_order_keeps_the_limit_of_a_step(self) -> None:
        (first,) = self.next_orders()
        overloaded = machines_port.MaintenanceRefused(
            machines_port.Refusal.OVERLOADED
        )
        self.return_outcome(first, result.Err(overloaded))
        worker = self.cell.workers.find(first.replace("m", "w"))
        worker.is_being_emptied = False
        lost = next(
            run
            for run in self.submit_bounded(3)
            if run.worker_id != worker.worker_id
        )
        self.cell.dispatcher.discard(lost)
        self.assertEqual([], self.next_orders())

    def test_unanswered_order_is_repeated_for_the_same_machine(self) -> None:
        (first,) = self.next_orders()
        lost = machines_port.MaintenanceUnanswered("lost")
        self.return_outcome(first, result.Err(lost))
        self.assertEqual([first], self.next_orders())

    def test_worker_of_busy_machine_is_readmitted_and_order_retried(
        self,
    ) -> None:
        (first,) = self.next_orders()
        busy = machines_port.MaintenanceRefused(machines_port.Refusal.BUSY)
        self.return_outcome(first, result.Err(busy))
        self.assertFalse(
            any(worker.is_being_emptied for worker in self.cell.workers)
        )
        self.assertEqual(1, len(self.next_orders()))

    def test_wave_is_completed_when_all_machines_are_back_or_removed(
        self,
    ) -> None:
        del self.states["m3"]
        for _ in range(6):
            for machine_id in self.next_orders():
                self.return_outcome(machine_id, result.Ok(None))
        self.assertIn(wave_state.ReportWave(1, True), self.reports)
        record = self.planner.drain_writes()[records.WAVE_PREFIX + "1"]
        self.assertTrue(records.decode(records.WaveRecord, record).is_completed)

    def test_wave_is_not_completed_before_all_machines_have_begun(self) -> None:
        for machine_id in self.next_orders():
            self.return_outcome(machine_id, result.Ok(None))
        self.next_orders()
        self.assertNotIn(wave_state.ReportWave(1, True), self.reports)

    def test_next_owner_resumes_the_wave(self) -> None:
        self.planner = self.new_planner(
            recorded=records.WaveRecord(
                self.cell.clock.wall_ms(), ("m1",), ("m2",)
            )
        )
        self.assertEqual(["m3"], self.next_orders())

    def test_begun_maintenance_is_recorded_before_it_is_finished(self) -> None:
        # Without a record of the order, a new owner emptied the workers of
        # machines again that had just come back.
        (first,) = self.next_orders()
        self.return_outcome(first, result.Ok(None))
        record = self.planner.drain_writes()[records.WAVE_PREFIX + "1"]
        begun = records.decode(records.WaveRecord, record).begun
        self.assertEqual((first,), begun)

    def test_worker_is_readmitted_where_maintenance_was_already_done(
        self,
    ) -> None:
        # A worker emptied for a machine that a previous owner had ordered
        # stayed closed to new work.
        (first,) = self.next_orders()
        self.return_outcome(first, result.Ok(None))
        self.next_orders()
        worker = self.cell.workers.find(first.replace("m", "w"))
        self.assertFalse(worker.is_being_emptied)

    # Guards against more machines away than the wave allows: the previous owner
    # had ordered one, and was replaced before it had recorded that.
    def test_machine_in_maintenance_counts_whoever_ordered_it(self) -> None:
        self.states["m1"] = IN_MAINTENANCE
        self.assertEqual([], self.next_orders())
        self.states["m1"] = UP
        self.assertEqual(1, len(self.next_orders()))

    # Guards against maintenance of a machine whose worker has not answered the
    # new owner: its runs aren't known here, so that it seemed to be empty.
    def test_worker_with_unknown_runs_is_not_taken_for_empty(self) -> None:
        for worker in self.cell.workers:
            worker.answered_ms = 0
            worker.has_listed_all = False
            worker.release_after_ms = harness.START_MS + 1_500
        self.assertEqual([], self.next_orders())
        self.assertEqual(1, len(self.next_orders()))

    def test_workers_that_have_answered_are_maintained_first(self) -> None:
        worker = self.cell.workers.find("w1")
        worker.answered_ms = 0
        worker.has_listed_all = False
        worker.release_after_ms = harness.START_MS + 60_000
        self.assertEqual(["m2"], self.next_orders())

    def test_next_owner_waits_before_its_first_order(self) -> None:
        self.planner = self.new_planner(handover_ms=3_000)
        self.assertEqual([], self.next_orders())
        self.cell.clock.advance(3_000)
        self.assertEqual(1, len(self.next_orders()))

    def test_failed_report_is_repeated(self) -> None:
        first_actions = self.plan_actions(WAVE)
        self.assertIn(wave_state.ReportWave(1, False), first_actions)
        self.assertNotIn(
            wave_state.ReportWave(1, False), self.plan_actions(WAVE)
        )
        self.planner.handle_report_failed(1)
        self.assertIn(wave_state.ReportWave(1, False), self.plan_actions(WAVE))

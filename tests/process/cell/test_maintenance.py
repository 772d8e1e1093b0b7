"""Waves of maintenance: which machines when, and what must be over before."""

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
AWAY = machines_port.MachineState.MAINTENANCE
WAVE = machines_port.Wave(1, ("m1", "m2", "m3"), 60_000, 2)
TIGHT = machines_port.Wave(1, ("m1", "m2", "m3"), 8_000, 2)


class AtOnceTest(testtools.TestCase):
    """How many machines are away at the same time."""

    def test_one_at_a_time_while_there_is_time(self) -> None:
        self.assertEqual(1, maintenance.concurrent_machines(WAVE, 3, 0))

    def test_bound_of_the_wave_is_kept_when_time_is_short(self) -> None:
        self.assertEqual(2, maintenance.concurrent_machines(TIGHT, 3, 0))
        self.assertEqual(2, maintenance.concurrent_machines(WAVE, 3, 90_000))


class WaveTest(testtools.TestCase):
    """Three machines under three workers."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = harness.Cell(workers=3)
        self.plan = self.new_plan()
        self.reports: list[wave_state.ReportWave] = []
        self.states = dict.fromkeys(WAVE.machines, UP)

    def new_plan(
        self,
        handover_ms: int = 0,
        recorded: records.WaveRecord | None = None,
    ) -> maintenance.MaintenancePlanner:
        """The plan of an owner that begins now."""
        return maintenance.MaintenancePlanner(
            {} if recorded is None else {1: recorded},
            self.cell.clock.monotonic_ms() + handover_ms,
            metrics.Metrics(),
        )

    def step(self, wave: machines_port.Wave = WAVE) -> list[Any]:
        """Lists the machines where asked to; returns the other actions."""
        now_ms = self.cell.clock.monotonic_ms()
        actions = self.ask(wave)
        self.reports += [
            one for one in actions if isinstance(one, wave_state.ReportWave)
        ]
        if wave_state.ListMachines() not in actions:
            return actions
        found = tuple(
            machines_port.Machine(name, state, name.replace("m", "w"))
            for name, state in self.states.items()
        )
        self.plan.handle_machines_listed(
            events.MachinesListed(now_ms, result.Ok(found)),
            self.cell.workers.by_id(),
            now_ms,
        )
        return [one for one in actions if one != wave_state.ListMachines()]

    def ask(self, wave: machines_port.Wave) -> list[Any]:
        """What has to be done now."""
        return self.plan.plan(
            (wave,),
            self.cell.workers.by_id(),
            self.cell.clock.monotonic_ms(),
            self.cell.clock.wall_ms(),
        )

    def orders(self, wave: machines_port.Wave = WAVE) -> list[str]:
        """Machines that are ordered in the next second."""
        found = []
        for _ in range(10):
            self.cell.clock.advance(100)
            self.cell.reconciler.move_runs(self.cell.clock.monotonic_ms())
            found += [
                one.machine_id
                for one in self.step(wave)
                if isinstance(one, wave_state.OrderMaintenance)
            ]
        return found

    def answer(self, machine_id: str, outcome: Any) -> None:
        """Something comes of an order."""
        self.plan.handle_maintenance_returned(
            events.MaintenanceReturned(machine_id, 1, outcome),
            self.cell.workers.by_id(),
            self.cell.clock.monotonic_ms(),
        )

    def test_empty_machines_go_one_after_the_other(self) -> None:
        (first,) = self.orders()
        self.assertEqual([], self.orders())
        self.answer(first, result.Ok(None))
        self.states[first] = AWAY
        self.assertEqual([], self.orders())
        self.states[first] = UP
        (second,) = self.orders()
        self.assertNotEqual(first, second)

    def test_no_more_at_once_than_the_wave_allows(self) -> None:
        ordered = self.orders(TIGHT)
        self.assertEqual(2, len(ordered))
        self.answer(ordered[0], result.Ok(None))
        self.states[ordered[0]] = AWAY
        self.assertEqual([], self.orders(TIGHT))

    def test_worker_takes_nothing_new_and_ends_what_it_has(self) -> None:
        self.cell.submit(harness.job(harness.step(3, cpu_millicores=5_000)))
        runs = {run.worker_id: run for run in self.cell.place()}
        self.assertEqual([], self.orders())
        (worker_id,) = (
            view.worker_id
            for view in self.cell.workers
            if view.is_being_emptied
        )
        self.cell.submit(harness.job(harness.step(9), job_id="b" * 16))
        placed = {run.worker_id for run in self.cell.place()}
        self.assertNotIn(worker_id, placed)
        self.cell.hold(worker_id, ended=(harness.ended(runs[worker_id], DONE),))
        self.assertEqual([worker_id.replace("w", "m")], self.orders())

    def test_task_that_stands_still_does_not_hold_up_the_wave(self) -> None:
        self.cell.submit(harness.job(harness.step(3, cpu_millicores=5_000)))
        self.cell.place()
        self.orders()
        self.cell.clock.advance(maintenance.MAX_EVACUATION_MS)
        self.assertEqual(1, len(self.orders()))

    def test_order_without_an_answer_is_repeated_for_the_machine(self) -> None:
        (first,) = self.orders()
        lost = machines_port.MaintenanceUnanswered("lost")
        self.answer(first, result.Err(lost))
        self.assertEqual([first], self.orders())

    def test_busy_machine_works_on_and_is_tried_again(self) -> None:
        (first,) = self.orders()
        busy = machines_port.MaintenanceRefused(machines_port.Refusal.BUSY)
        self.answer(first, result.Err(busy))
        self.assertFalse(any(one.is_being_emptied for one in self.cell.workers))
        self.assertEqual(1, len(self.orders()))

    def test_wave_is_completed_when_all_are_back_or_have_left(self) -> None:
        del self.states["m3"]
        for _ in range(6):
            for machine_id in self.orders():
                self.answer(machine_id, result.Ok(None))
        self.assertIn(wave_state.ReportWave(1, True), self.reports)
        record = self.plan.drain_writes()[records.WAVE_PREFIX + "1"]
        self.assertTrue(records.decode(records.WaveRecord, record).is_completed)

    def test_wave_is_not_completed_before_all_have_begun(self) -> None:
        for machine_id in self.orders():
            self.answer(machine_id, result.Ok(None))
        self.orders()
        self.assertNotIn(wave_state.ReportWave(1, True), self.reports)

    def test_next_owner_does_not_begin_anew(self) -> None:
        self.plan = self.new_plan(
            recorded=records.WaveRecord(
                self.cell.clock.wall_ms(), ("m1",), ("m2",)
            )
        )
        self.assertEqual(["m3"], self.orders())

    def test_begun_maintenance_is_recorded_before_it_is_finished(self) -> None:
        # Found by a day: a new owner emptied workers anew of which the
        # machines had just come back.
        (first,) = self.orders()
        self.answer(first, result.Ok(None))
        record = self.plan.drain_writes()[records.WAVE_PREFIX + "1"]
        begun = records.decode(records.WaveRecord, record).begun
        self.assertEqual((first,), begun)

    def test_worker_works_on_where_the_maintenance_was_over_already(
        self,
    ) -> None:
        # Found by a day: workers emptied for machines that an owner before had
        # ordered took no work any more.
        (first,) = self.orders()
        self.answer(first, result.Ok(None))
        self.orders()
        worker = self.cell.workers.find(first.replace("m", "w"))
        self.assertFalse(worker.is_being_emptied)

    def test_next_owner_waits_before_its_first_order(self) -> None:
        self.plan = self.new_plan(handover_ms=3_000)
        self.assertEqual([], self.orders())
        self.cell.clock.advance(3_000)
        self.assertEqual(1, len(self.orders()))

    def test_report_that_failed_is_made_again(self) -> None:
        first = self.ask(WAVE)
        self.assertIn(wave_state.ReportWave(1, False), first)
        self.assertNotIn(wave_state.ReportWave(1, False), self.ask(WAVE))
        self.plan.handle_report_failed(1)
        self.assertIn(wave_state.ReportWave(1, False), self.ask(WAVE))

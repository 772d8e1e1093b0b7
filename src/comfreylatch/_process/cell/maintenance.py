"""Takes machines through their maintenance, a few at a time.

A machine's worker gets no new work, what it runs ends or is moved, and only
then is its maintenance ordered, which would end everything. How many machines
are away at once follows from the time that is left, within the wave's bound.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

import logbook
import result

from comfreylatch._ports import machines as machines_port
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.cell import events
from comfreylatch._process.cell import maintenance_progress
from comfreylatch._process.cell import records
from comfreylatch._process.cell import worker_view

LIST_INTERVAL_MS = 700
# Tasks without checkpoints take some seconds; what still runs then stands
# still, and would hold up the wave.
MOST_EVACUATION_MS = 9_000
# Emptying a worker, its maintenance of two seconds, and coming back.
USUAL_ROUND_MS = 7_000
# Part of a wave's time that is planned for.
PLANNED_SHARE = 0.75
RETRY_PAUSE_MS = 500

_logger = logbook.Logger(__name__)


@final
class MaintenancePlanner:
    """Decides what to do about waves. Only the owner's thread uses it.

    Args:
        recorded: Waves as an owner before recorded them, by number.
        not_before_ms: Monotonic time of the first order; hosts must not take
            turns at a machine within the platform's lease.
        metrics: Counts maintenances and refusals.
    """

    def __init__(
        self,
        recorded: dict[int, records.WaveRecord],
        not_before_ms: int,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._recorded = recorded
        self._not_before_ms = not_before_ms
        self._metrics = metrics
        self._waves: dict[int, maintenance_progress.WaveWork] = {}
        self._machines: dict[str, machines_port.Machine] | None = None
        self._listed_ms = -(10**9)
        self._is_listing = False
        self._dirty: set[int] = set()

    def plan(
        self,
        waves: Iterable[machines_port.Wave],
        workers: dict[str, worker_view.WorkerView],
        now_ms: int,
        wall_ms: int,
    ) -> list[maintenance_progress.Action]:
        """What has to be done now; marks workers that have to be emptied."""
        actions: list[maintenance_progress.Action] = []
        for wave in waves:
            if wave.number not in self._waves:
                self._open(wave, wall_ms)
        running = [one for one in self._waves.values() if not one.is_completed]
        for work in running:
            self._advance(work, workers, now_ms, wall_ms, actions)
        for work in self._waves.values():
            if work.reported is not work.is_completed:
                work.reported = work.is_completed
                actions.append(
                    maintenance_progress.Report(
                        work.wave.number, work.is_completed
                    )
                )
        is_due = now_ms - self._listed_ms >= LIST_INTERVAL_MS
        if running and is_due and not self._is_listing:
            self._is_listing = True
            self._listed_ms = now_ms
            actions.append(maintenance_progress.ListMachines())
        return actions

    def _open(self, wave: machines_port.Wave, wall_ms: int) -> None:
        before = self._recorded.get(wave.number)
        began_wall_ms = wall_ms if before is None else before.began_wall_ms
        work = maintenance_progress.WaveWork(
            wave,
            began_wall_ms,
            {
                name: maintenance_progress.MachineWork(name)
                for name in wave.machines
            },
        )
        if before is not None:
            work.is_completed = before.is_completed
            for name in work.machines.keys() & set(before.begun):
                work.machines[name].phase = maintenance_progress.Phase.AWAY
            for name in work.machines.keys() & set(before.finished):
                work.machines[name].phase = maintenance_progress.Phase.FINISHED
        self._waves[wave.number] = work
        self._dirty.add(wave.number)
        logs.event(
            _logger,
            "wave-opened",
            wave=wave.number,
            machines=len(wave.machines),
            finished=0 if before is None else len(before.finished),
            most_at_once=wave.most_at_once,
            duration_ms=wave.duration_ms,
        )

    def _advance(
        self,
        work: maintenance_progress.WaveWork,
        workers: dict[str, worker_view.WorkerView],
        now_ms: int,
        wall_ms: int,
        actions: list[maintenance_progress.Action],
    ) -> None:
        if self._machines is None:
            return
        for one in work.machines.values():
            if (
                one.phase is maintenance_progress.Phase.EMPTYING
                and self._is_empty(one, workers, now_ms)
            ):
                self._enter(one, maintenance_progress.Phase.ORDERED, now_ms)
                actions.append(
                    maintenance_progress.Maintain(
                        one.machine_id, work.wave.number
                    )
                )
            elif (
                one.phase is maintenance_progress.Phase.ORDERED
                and now_ms >= one.not_before_ms > 0
            ):
                one.not_before_ms = 0
                actions.append(
                    maintenance_progress.Maintain(
                        one.machine_id, work.wave.number
                    )
                )
        if now_ms >= self._not_before_ms:
            self._begin_more(work, workers, now_ms, wall_ms)
        if all(
            one.phase is maintenance_progress.Phase.FINISHED
            for one in work.machines.values()
        ):
            work.is_completed = True
            self._dirty.add(work.wave.number)
            logs.event(_logger, "wave-completed", wave=work.wave.number)

    def _begin_more(
        self,
        work: maintenance_progress.WaveWork,
        workers: dict[str, worker_view.WorkerView],
        now_ms: int,
        wall_ms: int,
    ) -> None:
        """Has the workers of the next machines emptied."""
        waiting = [
            one
            for one in work.machines.values()
            if one.phase is maintenance_progress.Phase.WAITING
            and now_ms >= one.not_before_ms
        ]
        busy = sum(
            one.phase
            in (
                maintenance_progress.Phase.EMPTYING,
                maintenance_progress.Phase.ORDERED,
                maintenance_progress.Phase.AWAY,
            )
            for one in work.machines.values()
        )
        room = at_once(
            work.wave, len(waiting) + busy, wall_ms - work.began_wall_ms
        )
        assert self._machines is not None
        ready = []
        for one in waiting:
            machine = self._machines.get(one.machine_id)
            if machine and machine.state is machines_port.MachineState.UP:
                view = workers.get(machine.worker_id)
                load = 0 if view is None else len(view.runs)
                ready.append((load, one.machine_id, one, machine.worker_id))
        for _, _, one, worker_id in sorted(ready)[: max(room - busy, 0)]:
            one.worker_id = worker_id
            view = workers.get(worker_id)
            if view is not None:
                view.is_being_emptied = True
            self._enter(one, maintenance_progress.Phase.EMPTYING, now_ms)

    def _is_empty(
        self,
        one: maintenance_progress.MachineWork,
        workers: dict[str, worker_view.WorkerView],
        now_ms: int,
    ) -> bool:
        """Whether a machine's maintenance would end nothing."""
        view = workers.get(one.worker_id)
        if view is None:
            return True
        # The owner may have been told of the worker anew.
        view.is_being_emptied = True
        return not view.runs or now_ms - one.since_ms > MOST_EVACUATION_MS

    def _enter(
        self,
        one: maintenance_progress.MachineWork,
        phase: maintenance_progress.Phase,
        now_ms: int,
    ) -> None:
        one.phase = phase
        one.since_ms = now_ms
        logs.event(
            _logger,
            "maintenance",
            machine=one.machine_id,
            worker=one.worker_id,
            phase=phase.value,
        )

    def handle_machines_listed(
        self,
        event: events.MachinesListed,
        workers: dict[str, worker_view.WorkerView],
        now_ms: int,
    ) -> None:
        """Takes in a list of machines, or that there was none."""
        self._is_listing = False
        match event.outcome:
            case result.Err(machines_port.MachinesUnavailable(detail)):
                logs.warning(_logger, "machines-missing", detail=detail)
                return
            case result.Ok(found):
                self._machines = {one.machine_id: one for one in found}
        for work in self._waves.values():
            for one in work.machines.values():
                if self._is_finished(one, event.sent_ms):
                    self._finish(work, one, workers, now_ms)

    def _is_finished(
        self, one: maintenance_progress.MachineWork, listed_ms: int
    ) -> bool:
        """Whether a list shows a machine back, or gone."""
        assert self._machines is not None
        machine = self._machines.get(one.machine_id)
        if machine is None:
            # It has left, and needs nothing any more.
            return one.phase is not maintenance_progress.Phase.FINISHED
        is_up = machine.state is machines_port.MachineState.UP
        return (
            one.phase is maintenance_progress.Phase.AWAY
            and is_up
            and listed_ms > one.since_ms
        )

    def _finish(
        self,
        work: maintenance_progress.WaveWork,
        one: maintenance_progress.MachineWork,
        workers: dict[str, worker_view.WorkerView],
        now_ms: int,
    ) -> None:
        self._enter(one, maintenance_progress.Phase.FINISHED, now_ms)
        self._dirty.add(work.wave.number)
        self._reopen(one, workers)

    def _reopen(
        self,
        one: maintenance_progress.MachineWork,
        workers: dict[str, worker_view.WorkerView],
    ) -> None:
        """Lets a machine's worker take work, if it is still the same one."""
        view = workers.get(one.worker_id)
        if view is not None:
            view.is_being_emptied = False

    def handle_maintenance_returned(
        self,
        event: events.MaintenanceReturned,
        workers: dict[str, worker_view.WorkerView],
        now_ms: int,
    ) -> None:
        """Takes in what came of an order."""
        work = self._waves.get(event.wave)
        one = work.machines.get(event.machine_id) if work else None
        if (
            work is None
            or one is None
            or one.phase is not maintenance_progress.Phase.ORDERED
        ):
            return
        match event.outcome:
            case result.Ok(_):
                self._metrics.count(metrics_module.Counter.MAINTENANCES)
                self._enter(one, maintenance_progress.Phase.AWAY, now_ms)
                self._dirty.add(event.wave)
            case result.Err(machines_port.MaintenanceUnanswered(detail)):
                # The same order again changes nothing if it was carried out.
                one.not_before_ms = now_ms + RETRY_PAUSE_MS
                logs.event(
                    _logger,
                    "maintenance-unanswered",
                    machine=one.machine_id,
                    detail=detail,
                )
            case result.Err(machines_port.MaintenanceRefused(reason)):
                self._take_refusal(work, one, reason, workers, now_ms)

    def _take_refusal(
        self,
        work: maintenance_progress.WaveWork,
        one: maintenance_progress.MachineWork,
        reason: machines_port.Refusal,
        workers: dict[str, worker_view.WorkerView],
        now_ms: int,
    ) -> None:
        logs.event(
            _logger,
            "maintenance-refused",
            machine=one.machine_id,
            reason=reason,
        )
        self._metrics.count(metrics_module.Counter.MAINTENANCE_REFUSALS, reason)
        match reason:
            case machines_port.Refusal.OVERLOADED:
                one.not_before_ms = now_ms + RETRY_PAUSE_MS
                return
            case (
                machines_port.Refusal.OTHER_WAVE
                | machines_port.Refusal.NO_SUCH_MACHINE
            ):
                self._finish(work, one, workers, now_ms)
            case _:
                one.not_before_ms = now_ms + RETRY_PAUSE_MS
                self._enter(one, maintenance_progress.Phase.WAITING, now_ms)
                self._reopen(one, workers)

    def drain_writes(self) -> dict[str, bytes]:
        """Records of the waves that have changed, by key."""
        writes = {}
        for number in self._dirty:
            work = self._waves[number]
            writes[f"{records.WAVE_PREFIX}{number}"] = records.encode(
                records.WaveRecord(
                    work.began_wall_ms,
                    work.in_phase(maintenance_progress.Phase.AWAY),
                    work.in_phase(maintenance_progress.Phase.FINISHED),
                    work.is_completed,
                )
            )
        self._dirty.clear()
        return writes

    def handle_report_failed(self, wave: int) -> None:
        """A report could not be written; it is made again."""
        work = self._waves.get(wave)
        if work is not None:
            work.reported = None


def at_once(wave: machines_port.Wave, left: int, elapsed_ms: int) -> int:
    """How many machines of a wave should be away at the same time.

    As few as end in time, as each takes its room from the tasks; never more
    than the wave's bound.

    Args:
        wave: The wave.
        left: Machines that have not come back from their maintenance.
        elapsed_ms: Time since the wave was seen first.
    """
    time_ms = PLANNED_SHARE * wave.duration_ms - elapsed_ms
    rounds = max(int(time_ms // USUAL_ROUND_MS), 1)
    return min(-(-left // rounds), wave.most_at_once)

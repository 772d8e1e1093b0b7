"""Plans the maintenance of machines in waves, a few machines at a time.

Maintenance ends everything that runs on a machine. So its worker first gets no
new work and its runs end or move; only then is the maintenance ordered. How
many machines are away at once depends on the time left, within the limit of the
wave.
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
from comfreylatch._process.cell import records
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import wave_state
from comfreylatch._process.cell import worker_view
from comfreylatch._process.cell.evacuation import moves
from comfreylatch._process.cell.succession import confirmed_tenure

MACHINE_LIST_INTERVAL_MS = 700
# Longest wait until a worker has no runs. Tasks without checkpoints take some
# seconds; a run that takes longer is stuck and would block the wave.
MAX_EVACUATION_MS = 9_000
# Time to empty a worker, maintain its machine (two seconds) and bring it back.
EXPECTED_ROUND_MS = 7_000
# Share of a wave's duration that the plan uses.
PLANNED_DURATION_SHARE = 0.75
RETRY_PAUSE_MS = 500

_logger = logbook.Logger(__name__)


@final
class MaintenancePlanner:
    """Decides on the actions for waves. Used by the owner's thread only.

    Args:
        recorded: Waves as a previous owner recorded them, by number.
        not_before_ms: Earliest monotonic time of the first order; within the
            platform's lease, a second host must not order maintenance of the
            same machine.
        tenure: Tells whether leases on silent workers have ended.
        metrics: Counts maintenances and refusals.
    """

    def __init__(
        self,
        recorded: dict[int, records.WaveRecord],
        not_before_ms: int,
        tenure: confirmed_tenure.ConfirmedTenure,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._recorded = recorded
        self._not_before_ms = not_before_ms
        self._tenure = tenure
        self._metrics = metrics
        self._waves: dict[int, wave_state.WaveProgress] = {}
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
    ) -> list[wave_state.Action]:
        """Returns the actions due now, and marks workers to be emptied."""
        actions: list[wave_state.Action] = []
        for wave in waves:
            if wave.number not in self._waves:
                self._open_wave(wave, wall_ms)
        running = [
            wave_progress
            for wave_progress in self._waves.values()
            if not wave_progress.is_completed
        ]
        for wave_progress in running:
            self._advance(wave_progress, workers, now_ms, wall_ms, actions)
        for wave_progress in self._waves.values():
            if wave_progress.reported is not wave_progress.is_completed:
                wave_progress.reported = wave_progress.is_completed
                actions.append(
                    wave_state.ReportWave(
                        wave_progress.wave.number, wave_progress.is_completed
                    )
                )
        is_due = now_ms - self._listed_ms >= MACHINE_LIST_INTERVAL_MS
        if running and is_due and not self._is_listing:
            self._is_listing = True
            self._listed_ms = now_ms
            actions.append(wave_state.ListMachines())
        return actions

    def _open_wave(self, wave: machines_port.Wave, wall_ms: int) -> None:
        """Adds a wave with the progress that a previous owner recorded."""
        recorded = self._recorded.get(wave.number)
        began_wall_ms = wall_ms if recorded is None else recorded.began_wall_ms
        wave_progress = wave_state.WaveProgress(
            wave,
            began_wall_ms,
            {name: wave_state.MachineProgress(name) for name in wave.machines},
        )
        if recorded is not None:
            wave_progress.is_completed = recorded.is_completed
            for name in wave_progress.machines.keys() & set(recorded.begun):
                wave_progress.machines[
                    name
                ].phase = wave_state.MachinePhase.AWAY
            for name in wave_progress.machines.keys() & set(recorded.finished):
                wave_progress.machines[
                    name
                ].phase = wave_state.MachinePhase.FINISHED
        self._waves[wave.number] = wave_progress
        self._dirty.add(wave.number)
        logs.event(
            _logger,
            "wave-opened",
            wave=wave.number,
            machines=len(wave.machines),
            finished=0 if recorded is None else len(recorded.finished),
            most_at_once=wave.most_at_once,
            duration_ms=wave.duration_ms,
        )

    def _advance(
        self,
        wave_progress: wave_state.WaveProgress,
        workers: dict[str, worker_view.WorkerView],
        now_ms: int,
        wall_ms: int,
        actions: list[wave_state.Action],
    ) -> None:
        """Moves the machines of a wave to their next phases.

        Adds the maintenance orders that are due to the actions.
        """
        if self._machines is None:
            return
        for progress in wave_progress.machines.values():
            if (
                progress.phase is wave_state.MachinePhase.EMPTYING
                and self._is_evacuated(progress, workers, now_ms)
            ):
                self._enter_phase(
                    progress, wave_state.MachinePhase.ORDERED, now_ms
                )
                actions.append(
                    wave_state.OrderMaintenance(
                        progress.machine_id, wave_progress.wave.number
                    )
                )
            elif (
                progress.phase is wave_state.MachinePhase.ORDERED
                and now_ms >= progress.not_before_ms > 0
                and _may_end_all_runs(workers.get(progress.worker_id))
            ):
                progress.not_before_ms = 0
                actions.append(
                    wave_state.OrderMaintenance(
                        progress.machine_id, wave_progress.wave.number
                    )
                )
        if now_ms >= self._not_before_ms:
            self._start_evacuations(wave_progress, workers, now_ms, wall_ms)
        if all(
            progress.phase is wave_state.MachinePhase.FINISHED
            for progress in wave_progress.machines.values()
        ):
            wave_progress.is_completed = True
            self._dirty.add(wave_progress.wave.number)
            logs.event(
                _logger, "wave-completed", wave=wave_progress.wave.number
            )

    def _start_evacuations(
        self,
        wave_progress: wave_state.WaveProgress,
        workers: dict[str, worker_view.WorkerView],
        now_ms: int,
        wall_ms: int,
    ) -> None:
        """Starts to empty the workers of the next machines."""
        waiting = [
            progress
            for progress in wave_progress.machines.values()
            if progress.phase is wave_state.MachinePhase.WAITING
            and now_ms >= progress.not_before_ms
        ]
        in_progress_count = sum(
            self._is_in_progress(progress)
            for progress in wave_progress.machines.values()
        )
        limit = concurrent_machines(
            wave_progress.wave,
            len(waiting) + in_progress_count,
            wall_ms - wave_progress.began_wall_ms,
        )
        assert self._machines is not None
        ready = []
        for progress in waiting:
            machine = self._machines.get(progress.machine_id)
            if machine and machine.state is machines_port.MachineState.UP:
                view = workers.get(machine.worker_id)
                load = 0 if view is None else len(view.runs)
                is_unknown = view is not None and view.may_have_unknown_runs(
                    self._tenure
                )
                order = (is_unknown, load, progress.machine_id)
                ready.append((order, progress, machine.worker_id))
        ready.sort(key=lambda candidate: candidate[0])
        for _, progress, worker_id in ready[
            : max(limit - in_progress_count, 0)
        ]:
            progress.worker_id = worker_id
            view = workers.get(worker_id)
            if view is not None:
                view.is_being_emptied = True
            self._enter_phase(
                progress, wave_state.MachinePhase.EMPTYING, now_ms
            )

    def _is_in_progress(self, progress: wave_state.MachineProgress) -> bool:
        """Whether a machine is away, about to be, or being emptied."""
        match progress.phase:
            case wave_state.MachinePhase.WAITING:
                # A previous owner may have ordered it and not recorded that.
                machine = (self._machines or {}).get(progress.machine_id)
                return machine is not None and (
                    machine.state is machines_port.MachineState.MAINTENANCE
                )
            case wave_state.MachinePhase.FINISHED:
                return False
            case _:
                return True

    def _is_evacuated(
        self,
        progress: wave_state.MachineProgress,
        workers: dict[str, worker_view.WorkerView],
        now_ms: int,
    ) -> bool:
        """Whether maintenance may be ordered: nothing runs, or time is up."""
        view = workers.get(progress.worker_id)
        if view is None:
            return True
        # The view may be a new one, of a worker that was listed again.
        view.is_being_emptied = True
        if not (view.runs or view.may_have_unknown_runs(self._tenure)):
            return True
        if now_ms - progress.since_ms <= MAX_EVACUATION_MS:
            return False
        return _may_end_all_runs(view)

    def _enter_phase(
        self,
        progress: wave_state.MachineProgress,
        phase: wave_state.MachinePhase,
        now_ms: int,
    ) -> None:
        progress.phase = phase
        progress.since_ms = now_ms
        logs.event(
            _logger,
            "maintenance",
            machine=progress.machine_id,
            worker=progress.worker_id,
            phase=phase.value,
        )

    def handle_machines_listed(
        self,
        event: events.MachinesListed,
        workers: dict[str, worker_view.WorkerView],
        now_ms: int,
    ) -> None:
        """Applies a list of machines, or logs that the call failed."""
        self._is_listing = False
        match event.outcome:
            case result.Err(machines_port.MachinesUnavailable(detail)):
                logs.warning(_logger, "machines-missing", detail=detail)
                return
            case result.Ok(machines):
                self._machines = {
                    machine.machine_id: machine for machine in machines
                }
        for wave_progress in self._waves.values():
            for progress in wave_progress.machines.values():
                if self._is_finished(progress, event.sent_ms):
                    self._finish(wave_progress, progress, workers, now_ms)

    def _is_finished(
        self, progress: wave_state.MachineProgress, listing_sent_ms: int
    ) -> bool:
        """Whether the list shows that a machine is back or no longer exists."""
        assert self._machines is not None
        machine = self._machines.get(progress.machine_id)
        if machine is None:
            # The machine was removed and needs no maintenance.
            return progress.phase is not wave_state.MachinePhase.FINISHED
        is_up = machine.state is machines_port.MachineState.UP
        return (
            progress.phase is wave_state.MachinePhase.AWAY
            and is_up
            and listing_sent_ms > progress.since_ms
        )

    def _finish(
        self,
        wave_progress: wave_state.WaveProgress,
        progress: wave_state.MachineProgress,
        workers: dict[str, worker_view.WorkerView],
        now_ms: int,
    ) -> None:
        self._enter_phase(progress, wave_state.MachinePhase.FINISHED, now_ms)
        self._dirty.add(wave_progress.wave.number)
        self._readmit_worker(progress, workers)

    def _readmit_worker(
        self,
        progress: wave_state.MachineProgress,
        workers: dict[str, worker_view.WorkerView],
    ) -> None:
        """Lets a machine's worker accept work again, if it is still listed."""
        view = workers.get(progress.worker_id)
        if view is not None:
            view.is_being_emptied = False

    def handle_maintenance_returned(
        self,
        event: events.MaintenanceReturned,
        workers: dict[str, worker_view.WorkerView],
        now_ms: int,
    ) -> None:
        """Applies the outcome of a maintenance order."""
        wave_progress = self._waves.get(event.wave)
        progress = (
            wave_progress.machines.get(event.machine_id)
            if wave_progress
            else None
        )
        if (
            wave_progress is None
            or progress is None
            or progress.phase is not wave_state.MachinePhase.ORDERED
        ):
            return
        match event.outcome:
            case result.Ok(_):
                self._metrics.count(metrics_module.Counter.MAINTENANCES)
                self._enter_phase(
                    progress, wave_state.MachinePhase.AWAY, now_ms
                )
                self._dirty.add(event.wave)
            case result.Err(machines_port.MaintenanceUnanswered(detail)):
                # Orders are idempotent, so the same one is sent again.
                progress.not_before_ms = now_ms + RETRY_PAUSE_MS
                logs.event(
                    _logger,
                    "maintenance-unanswered",
                    machine=progress.machine_id,
                    detail=detail,
                )
            case result.Err(machines_port.MaintenanceRefused(reason)):
                self._handle_refusal(
                    wave_progress, progress, reason, workers, now_ms
                )

    def _handle_refusal(
        self,
        wave_progress: wave_state.WaveProgress,
        progress: wave_state.MachineProgress,
        reason: machines_port.Refusal,
        workers: dict[str, worker_view.WorkerView],
        now_ms: int,
    ) -> None:
        logs.event(
            _logger,
            "maintenance-refused",
            machine=progress.machine_id,
            reason=reason,
        )
        self._metrics.count(metrics_module.Counter.MAINTENANCE_REFUSALS, reason)
        match reason:
            case machines_port.Refusal.OVERLOADED:
                progress.not_before_ms = now_ms + RETRY_PAUSE_MS
                return
            case (
                machines_port.Refusal.OTHER_WAVE
                | machines_port.Refusal.NO_SUCH_MACHINE
            ):
                self._finish(wave_progress, progress, workers, now_ms)
            case _:
                progress.not_before_ms = now_ms + RETRY_PAUSE_MS
                self._enter_phase(
                    progress, wave_state.MachinePhase.WAITING, now_ms
                )
                self._readmit_worker(progress, workers)

    def drain_writes(self) -> dict[str, bytes]:
        """Returns the records of the waves that have changed, by key."""
        writes = {}
        for number in self._dirty:
            wave_progress = self._waves[number]
            writes[f"{records.WAVE_PREFIX}{number}"] = records.encode(
                records.WaveRecord(
                    wave_progress.began_wall_ms,
                    wave_progress.in_phase(wave_state.MachinePhase.AWAY),
                    wave_progress.in_phase(wave_state.MachinePhase.FINISHED),
                    wave_progress.is_completed,
                )
            )
        self._dirty.clear()
        return writes

    def handle_report_failed(self, wave: int) -> None:
        """Has the next plan repeat a report that failed."""
        wave_progress = self._waves.get(wave)
        if wave_progress is not None:
            wave_progress.reported = None


def concurrent_machines(
    wave: machines_port.Wave, unfinished: int, elapsed_ms: int
) -> int:
    """Returns how many machines of a wave should be away at the same time.

    As few as finish in time, as each takes capacity from tasks, and never more
    than the wave's limit.

    Args:
        wave: The wave.
        unfinished: Machines that have not come back from their maintenance.
        elapsed_ms: Time since the wave was first seen.
    """
    time_ms = PLANNED_DURATION_SHARE * wave.duration_ms - elapsed_ms
    rounds = max(int(time_ms // EXPECTED_ROUND_MS), 1)
    return min(-(-unfinished // rounds), wave.most_at_once)


def _may_end_all_runs(view: worker_view.WorkerView | None) -> bool:
    """Whether the limits of their steps allow a worker's runs to end at once.

    An order for maintenance ends them all, however long the machine is due.
    """
    if view is None:
        return True
    limited = [
        run
        for run in view.runs.values()
        if run.task.step.spec.max_unavailable
        and run.phase is runs_module.RunPhase.RUNNING
        and run.percent >= runs_module.FULL_PROGRESS_PERCENT
    ]
    return len(moves.limit_per_step(limited)) == len(limited)

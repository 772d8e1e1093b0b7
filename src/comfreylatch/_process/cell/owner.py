"""Runs a cell as its owner: schedules tasks, dispatches and records them."""

from __future__ import annotations

from collections.abc import Callable
import queue
import types
from typing import final
from typing import Self

import logbook
import result

from comfreylatch._ports import cell_workers
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.cell import advice as advice_module
from comfreylatch._process.cell import advice_fetcher
from comfreylatch._process.cell import cell_report
from comfreylatch._process.cell import duration_model as duration_model_module
from comfreylatch._process.cell import events
from comfreylatch._process.cell import fenced_writer as fenced_writer_module
from comfreylatch._process.cell import interference
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import job_table as job_table_module
from comfreylatch._process.cell import lease_ends
from comfreylatch._process.cell import machine_caller
from comfreylatch._process.cell import maintenance
from comfreylatch._process.cell import model_persistence
from comfreylatch._process.cell import owner_dependencies
from comfreylatch._process.cell import reasons
from comfreylatch._process.cell import recorded_workers
from comfreylatch._process.cell import records
from comfreylatch._process.cell import recovered_state as recovered_state_module
from comfreylatch._process.cell import run_dispatcher
from comfreylatch._process.cell import run_reconciler as run_reconciler_module
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import worker_session
from comfreylatch._process.cell import worker_table as worker_table_module
from comfreylatch._process.cell.crashes import (
    crash_ledger as crash_ledger_module,
)
from comfreylatch._process.cell.crashes import (
    stored_starts as stored_starts_module,
)
from comfreylatch._process.cell.crashes import trials
from comfreylatch._process.cell.evacuation import guard
from comfreylatch._process.cell.explaining import explanation
from comfreylatch._process.cell.listing import service_filter
from comfreylatch._process.cell.locality import near_places
from comfreylatch._process.cell.numbering import run_numbers
from comfreylatch._process.cell.planning import planner as planner_module
from comfreylatch._process.cell.planning import preemption
from comfreylatch._process.cell.planning import ranking as ranking_module
from comfreylatch._process.cell.succession import confirmed_tenure

# Interval between two checks of what changes without an event: repetitions that
# fall due, leases that expire, stalled runs and maintenance.
TICK_INTERVAL_MS = 100
# Shortest interval between two placement passes over more than
# BUSY_STEP_COUNT steps, as the cost of a pass grows with the number of steps.
# A pass over fewer steps is made at once.
BUSY_PASS_INTERVAL_MS = 25
BUSY_STEP_COUNT = 24
# The interval is at least this multiple of the duration of the last pass, so
# that the thread spends most of its time on handling the answers of workers.
PASS_INTERVAL_FACTOR = 3
# Interval between two log lines on the load of the cell.
REPORT_INTERVAL_MS = 1_000

_logger = logbook.Logger(__name__)


@final
class Owner:
    """Schedules a cell while this host owns it. A context manager.

    Args:
        recovered: State recovered from the previous owner.
        writer: Writes the owner's records.
        deps: Collaborators that the host provides.
        host_name: Name of the host.
    """

    def __init__(
        self,
        recovered: recovered_state_module.RecoveredState,
        writer: fenced_writer_module.FencedWriter,
        deps: owner_dependencies.OwnerDependencies,
        host_name: str,
    ) -> None:
        clock, metrics = deps.clock, deps.metrics
        self._recovered = recovered
        self._lease_ms = deps.lease_ms
        self._writer = writer
        self._metrics = metrics
        self._clock = clock
        self._events: queue.SimpleQueue[events.Event] = queue.SimpleQueue()
        self._jobs = job_table_module.JobTable(
            recovered.token, clock, deps.store_limits
        )
        self._durations = duration_model_module.DurationModel()
        self._ranker = ranking_module.Ranker(self._durations)
        self._evacuation_guard = guard.EvacuationGuard(
            deps.evacuations, metrics
        )
        lease_parameters = worker_session.LeaseParameters(
            recovered.token,
            deps.lease_ms,
            writer.may_act,
            self._evacuation_guard.permits_start,
        )
        tenure = confirmed_tenure.ConfirmedTenure(
            lambda: writer.confirmed_ms, writer.request_heartbeat, clock
        )
        self._workers = worker_table_module.WorkerTable(
            lambda entry: worker_session.WorkerSession(
                entry,
                deps.connect(entry),
                lease_parameters,
                self._events.put,
                clock,
            ),
            clock,
            recovered.known_workers,
            tenure,
            deps.max_workers,
            deps.max_lease_ms,
        )
        self._service_filter = service_filter.ServiceFilter(
            deps.configured_services,
            self._jobs.services,
            recovered.known_workers,
        )
        model = interference.InterferenceModel(deps.max_disruption_ms)
        self._interference = model
        self._dispatcher = run_dispatcher.RunDispatcher(
            self._jobs, self._workers, model, metrics, clock
        )
        self._crashes = crash_ledger_module.CrashLedger(
            self._jobs, self._workers, self._dispatcher, metrics, clock
        )
        self._stored_starts = stored_starts_module.StoredStarts(
            self._jobs, self._dispatcher, metrics, self._events.put, clock
        )
        self._reconciler = run_reconciler_module.RunReconciler(
            self._dispatcher,
            self._jobs,
            self._workers,
            self._durations,
            model,
            self._crashes,
            metrics,
            clock,
        )
        self._planner = planner_module.Planner(
            self._workers,
            self._ranker,
            model,
            self._crashes.crashed_lately,
            near_places.NearPlaces(
                self._durations, deps.remote_penalty, metrics
            ),
        )
        self._advice_planner = advice_module.AdvicePlanner(
            metrics, self._planner.count_startable
        )
        self._waves = deps.waves
        self._guards_capacity = deps.guards_capacity
        self._listing_age_ms: Callable[[], int] = lambda: 0
        self._maintenance_planner = maintenance.MaintenancePlanner(
            recovered.waves,
            clock.monotonic_ms() + deps.handover_ms,
            tenure,
            metrics,
        )
        self._create_platform_clients(deps, host_name)
        self._started_ms = clock.monotonic_ms()
        self._is_settled = False
        self._last_tick_ms = 0
        self._last_report_ms = 0
        self._last_pass_ms = 0
        self._pass_duration_ms = 0
        self._stop_reason: reasons.OwnershipEnd | None = None
        self._unacknowledged_workers: set[str] = set()
        self._recorded_workers = recorded_workers.RecordedWorkers(
            self._workers, recovered.known_workers, self._events.put
        )
        self._model_persistence = model_persistence.ModelPersistence(
            model,
            self._durations,
            self._planner.near_places.calibration,
            recovered.learned,
            clock,
            deps.store_limits.value_bytes,
        )

    def _create_platform_clients(
        self, deps: owner_dependencies.OwnerDependencies, host_name: str
    ) -> None:
        """Creates clients for those platform services that are configured."""
        self._advice_fetcher = None
        if deps.advice_service is not None:
            self._advice_fetcher = advice_fetcher.AdviceFetcher(
                deps.advice_service, self._events.put, deps.clock
            )
        self._machine_caller = None
        if deps.machines is not None:
            self._machine_caller = machine_caller.MachineCaller(
                deps.machines,
                host_name,
                self._recovered.token,
                self._writer.may_act,
                self._events.put,
                deps.clock,
            )

    def __enter__(self) -> Self:
        self._workers.__enter__()
        for entry in self._recovered.jobs:
            assert entry.spec is not None
            progress = self._recovered.progress.get(entry.spec.job_id)
            job = self._jobs.add(
                entry.spec,
                run_numbers.first_floor(self._recovered.token, progress),
                progress,
                entry.state,
                self._recovered.progress_keys.get(entry.spec.job_id, ()),
            )
            if job is not None:
                self._ranker.add_job(job)
                self._crashes.restore(job)
            if entry.is_cancelled:
                self._jobs.cancel(entry.spec.job_id)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._workers.__exit__(exc_type, exc, traceback)
        if self._advice_fetcher is not None:
            self._advice_fetcher.__exit__(exc_type, exc, traceback)
        if self._machine_caller is not None:
            self._machine_caller.__exit__(exc_type, exc, traceback)

    def post(self, event: events.Event) -> None:
        """Queues an event for the owner. Thread-safe."""
        self._events.put(event)

    def post_change(self, change: job_replica.JobChange) -> None:
        """Queues the event that a job was accepted or cancelled."""
        self._events.put(events.JobChanged(change))

    def follow_listing(self, age_ms: Callable[[], int]) -> None:
        """Sets how old the newest complete reading of the workers is."""
        self._listing_age_ms = age_ms

    def _note_start_limits(self) -> None:
        """Notes on the workers what limits the starts they may get."""
        self._evacuation_guard.update(self._workers)
        self._workers.note_capacity_limits(
            self._guards_capacity, self._listing_age_ms()
        )

    def remaining_leases(self) -> records.RemainingLeases:
        """How long leases last; only once this host renews none any more."""
        return self._workers.remaining_leases(
            lease_ends.longest_lease_ms(self._lease_ms)
        )

    @property
    def is_isolated(self) -> bool:
        """Whether this host can't reach most of the listed workers."""
        return self._workers.are_mostly_unreachable

    def run(
        self, must_stop: Callable[[], reasons.OwnershipEnd | None]
    ) -> reasons.OwnershipEnd:
        """Runs the owner's loop until it has to stop.

        Args:
            must_stop: Polled once per iteration; returns the reason to stop,
                or None to continue.

        Returns:
            Why the loop ended.
        """
        while True:
            self._process_events()
            reason = self._stop_reason or must_stop()
            if reason is not None:
                return reason
            now_ms = self._clock.monotonic_ms()
            if now_ms - self._last_tick_ms >= TICK_INTERVAL_MS:
                self._last_tick_ms = now_ms
                self._tick(now_ms)
            self._run_placement_pass(now_ms)
            self._write_records()

    def _process_events(self) -> None:
        """Waits up to one tick for an event, then handles all queued ones."""
        try:
            self._handle(self._events.get(timeout=TICK_INTERVAL_MS / 1_000))
            while True:
                self._handle(self._events.get_nowait())
        except queue.Empty:
            return

    def _handle(self, event: events.Event) -> None:
        match event:
            case events.JobChanged(change):
                self._handle_change(change)
            case events.WorkersListed(entries):
                self._apply_listing(self._service_filter.select(entries))
            case events.HoldReturned():
                self._handle_hold(event)
            case events.StartReturned() | events.StopReturned():
                self._handle_order(event)
            case events.WorkersRecorded() | events.StartsRecorded():
                self._handle_recorded(event)
            case events.AdviceReturned():
                self._advice_planner.handle_advice_returned(
                    event, self._clock.monotonic_ms()
                )
            case (
                events.MachinesListed()
                | events.MaintenanceReturned()
                | events.ReportFailed()
            ):
                self._handle_maintenance(event)
            case events.PlacementAsked():
                self._answer_placement(event)
            case events.Fenced():
                self._stop_reason = reasons.OwnershipEnd.FENCED

    def _apply_listing(
        self, entries: dict[str, cell_workers.WorkerEntry]
    ) -> None:
        self._crashes.handle_lost(self._workers.apply_listing(entries))
        self._crashes.confirm_replaced()
        self._note_start_limits()

    def _answer_placement(self, question: events.PlacementAsked) -> None:
        explanation.answer(
            question,
            self._planner,
            self._ranker,
            self._durations,
            self._workers,
            self._jobs.ready_steps(),
            self._clock.monotonic_ms(),
        )

    def _handle_order(
        self, event: events.StartReturned | events.StopReturned
    ) -> None:
        match event:
            case events.StartReturned():
                self._dispatcher.handle_start(event)
            case events.StopReturned():
                self._dispatcher.handle_stop(event)

    def _handle_recorded(
        self, event: events.WorkersRecorded | events.StartsRecorded
    ) -> None:
        match event:
            case events.WorkersRecorded(born_ms):
                self._recorded_workers.mark_recorded(born_ms)
            case events.StartsRecorded():
                self._stored_starts.handle_recorded(event)

    def _handle_change(self, change: job_replica.JobChange) -> None:
        match change:
            case job_replica.JobAdded(spec):
                job = self._jobs.add(spec)
                if job is not None:
                    self._ranker.add_job(job)
            case job_replica.JobCancelled(job_id):
                self._cancel(job_id)

    def _handle_maintenance(
        self,
        event: events.MachinesListed
        | events.MaintenanceReturned
        | events.ReportFailed,
    ) -> None:
        now_ms = self._clock.monotonic_ms()
        match event:
            case events.MachinesListed():
                self._maintenance_planner.handle_machines_listed(
                    event, self._workers.by_id(), now_ms
                )
            case events.MaintenanceReturned():
                self._maintenance_planner.handle_maintenance_returned(
                    event, self._workers.by_id(), now_ms
                )
            case events.ReportFailed(wave):
                self._maintenance_planner.handle_report_failed(wave)

    def _cancel(self, job_id: str) -> None:
        job = self._jobs.cancel(job_id)
        if job is not None:
            self._dispatcher.stop_all(job)

    def _handle_hold(self, event: events.HoldReturned) -> None:
        if not self._workers.handle_hold(event):
            return
        match event.outcome:
            case result.Ok(answer):
                if self._reconciler.handle_hold(event, answer):
                    self._unacknowledged_workers.add(event.worker_id)
            case result.Err(cell_workers.OrderRefused(reason)):
                if reason is cell_workers.Refusal.FENCED:
                    self._stop_reason = reasons.OwnershipEnd.FENCED

    def _tick(self, now_ms: int) -> None:
        self._jobs.create_due_occurrences()
        entries = self._service_filter.reselect()
        if entries is not None:
            self._apply_listing(entries)
        self._crashes.handle_lost(self._workers.expire())
        self._note_start_limits()
        self._reserve_workers(now_ms)
        self._run_maintenance(now_ms)
        self._reconciler.move_runs(now_ms)
        if self._is_settled and self._writer.may_act():
            for placement in self._planner.place_speculative_runs(
                self._jobs, now_ms
            ):
                self._stored_starts.start(placement)
        if not self._is_settled:
            self._check_settled(now_ms)
        if now_ms - self._last_report_ms >= REPORT_INTERVAL_MS:
            self._last_report_ms = now_ms
            self._log_load(now_ms)

    def _reserve_workers(self, now_ms: int) -> None:
        """Empties workers for tasks that may crash theirs."""
        for run in trials.reserve_workers(
            self._workers,
            self._crashes.awaiting_trial(),
            self._crashes.crashed_lately,
            now_ms,
        ):
            self._dispatcher.stop(run, reasons.StopReason.WORKER_RESERVED)

    def _log_load(self, now_ms: int) -> None:
        cell_report.log_load(
            self._recovered.token,
            self._workers,
            self._jobs,
            self._interference.summary(),
            self._writer.append_age_ms,
            now_ms,
        )
        if not self._is_settled:
            cell_report.log_takeover_wait(
                self._recovered.token,
                self._workers.unknown(),
                self._workers.older_leases(),
                self._jobs,
            )

    def _check_settled(self, now_ms: int) -> None:
        """Ends the takeover once all runs of the previous owner are known.

        Runs on a worker that hasn't answered by its `release_after_ms` have
        ended.
        """
        waited_ms = now_ms - self._started_ms
        if self._workers.unknown():
            return
        self._is_settled = True
        if self._workers.are_known_workers_missing:
            self._stored_starts.note_missing_runs()
        self._crashes.resolve_trials()
        logs.event(
            _logger,
            "takeover-settled",
            token=self._recovered.token,
            waited_ms=waited_ms,
            workers=len(self._workers),
            jobs=len(self._jobs),
        )

    def _run_placement_pass(self, now_ms: int) -> None:
        if not self._writer.may_act():
            return
        steps = self._jobs.ready_steps()
        if not self._is_settled:
            # A second run of a task could be started.
            steps = [step for step in steps if not step.may_have_unknown_runs]
        if not steps:
            return
        since_last_pass_ms = now_ms - self._last_pass_ms
        interval_ms = max(
            BUSY_PASS_INTERVAL_MS, PASS_INTERVAL_FACTOR * self._pass_duration_ms
        )
        if len(steps) > BUSY_STEP_COUNT and since_last_pass_ms < interval_ms:
            return
        self._last_pass_ms = now_ms
        self._request_advice(steps, now_ms)
        for placement in self._planner.place(steps, now_ms):
            self._stored_starts.start(placement)
        remaining = [step for step in steps if step.pending_tasks]
        for victim in preemption.choose_victims(
            remaining, self._workers, self._ranker, now_ms
        ):
            self._dispatcher.stop(victim, reasons.StopReason.SHORT_TASK)
        for run in self._planner.clear_worker(remaining, now_ms):
            self._dispatcher.stop(run, reasons.StopReason.WORKER_CLEARED)
        self._pass_duration_ms = self._clock.monotonic_ms() - now_ms

    def _request_advice(
        self, steps: list[runs_module.StepInstance], now_ms: int
    ) -> None:
        """Requests advice for those steps whose queue requires it.

        Also for steps that will be ready soon.
        """
        upcoming_steps = steps + self._jobs.nearly_ready_steps()
        for request in self._advice_planner.plan_requests(
            upcoming_steps, self._workers, now_ms
        ):
            if self._advice_fetcher is not None:
                self._advice_fetcher.fetch(request)
                continue
            self._advice_planner.report_missing(
                request.step,
                reasons.MissingAdvice.NO_SERVICE,
                "no advice service is configured",
            )

    def _run_maintenance(self, now_ms: int) -> None:
        """Carries out the maintenance actions that are due."""
        waves = self._waves()
        if not waves or self._machine_caller is None:
            return
        for action in self._maintenance_planner.plan(
            waves, self._workers.by_id(), now_ms, self._clock.wall_ms()
        ):
            self._machine_caller.submit(action)

    def _end_recorded_timer(self) -> Callable[[], None]:
        """Returns a callback that measures the time until ends are stored."""
        started_ms = self._clock.monotonic_ms()

        def observe() -> None:
            took_ms = self._clock.monotonic_ms() - started_ms
            self._metrics.observe(
                metrics_module.Latency.END_RECORDED, took_ms * 1_000
            )

        return observe

    def _write_records(self) -> None:
        writes = self._jobs.drain_writes()
        on_stored: list[Callable[[], None]] = []
        self._recorded_workers.add_writes(
            writes.work, on_stored, self._is_settled
        )
        self._model_persistence.add_writes(writes.work)
        writes.work.update(self._maintenance_planner.drain_writes())
        self._stored_starts.add_callback(on_stored)
        if self._unacknowledged_workers:
            on_stored.append(self._end_recorded_timer())
        for worker_id in self._unacknowledged_workers:
            acknowledge = self._workers.acknowledger(worker_id)
            if acknowledge is not None:
                on_stored.append(acknowledge)
        self._unacknowledged_workers.clear()
        self._writer.write(writes.jobs, writes.work, on_stored)

"""Sends orders for runs to workers and handles their outcomes."""

from __future__ import annotations

from typing import final

import logbook
import result

from comfreylatch._ports import cell_workers
from comfreylatch._ports import clock as clock_port
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.cell import events
from comfreylatch._process.cell import interference
from comfreylatch._process.cell import job_table as job_table_module
from comfreylatch._process.cell import reasons
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import worker_table as worker_table_module
from comfreylatch._process.cell import worker_view

# Time for which a worker gets no new runs after it has refused one for lack of
# capacity that the owner thought free. Meanwhile the worker can report
# ends that the owner doesn't know of.
NO_ROOM_PAUSE_MS = 300
# The same after a refusal because the worker is unhealthy.
UNHEALTHY_PAUSE_MS = 1_000
# Pace, in percent, at or below which a filling task counts as slow. A run that
# stays slow is moved if it can resume from a checkpoint.
SLOW_PACE_PERCENT = 20

_logger = logbook.Logger(__name__)


@final
class RunDispatcher:
    """Starts, stops and paces runs. Only the owner's thread uses it."""

    def __init__(
        self,
        jobs: job_table_module.JobTable,
        workers: worker_table_module.WorkerTable,
        model: interference.InterferenceModel,
        metrics: metrics_module.Metrics,
        clock: clock_port.Clock,
    ) -> None:
        self._jobs = jobs
        self._workers = workers
        self._interference = model
        self._metrics = metrics
        self._clock = clock

    def send_start(self, run: runs_module.Run) -> None:
        """Orders a worker to start a run."""
        step = run.task.step
        session = self._workers.session(run.worker_id)
        if session is None:
            self.discard(run)
            return
        job = step.job
        now_ms = self._clock.monotonic_ms()
        run.was_ordered = True
        run.ordered_ms = now_ms
        waited_ms = now_ms - run.task.waiting_since_ms
        if job.first_start_ms == 0:
            job.first_start_ms = now_ms
            self._observe(
                metrics_module.Latency.FIRST_START, now_ms - job.accepted_ms
            )
        elif run.number == 1:
            self._observe(metrics_module.Latency.STEP_GAP, waited_ms)
        ticket = (step.tickets or {}).get(run.worker_id)
        session.start(
            run,
            job.spec.payload,
            run.task.checkpoint,
            "" if ticket is None else ticket.text,
        )
        worker = self._workers.find(run.worker_id)
        if worker is None:
            return
        logs.event(
            _logger,
            "run-placed",
            task=run.task.name,
            run=run.number,
            worker=run.worker_id,
            waited_ms=waited_ms,
            free_cpu_after=worker.free_cpu,
            worker_seen_ago_ms=now_ms - worker.answered_ms,
            has_checkpoint=bool(run.task.checkpoint),
        )
        self._metrics.count(metrics_module.Counter.RUN_STARTS)
        if step.spec.fills_idle:
            self.update_paces(worker)

    def _observe(self, latency: metrics_module.Latency, took_ms: int) -> None:
        self._metrics.observe(latency, took_ms * 1_000)

    def stop(
        self,
        run: runs_module.Run,
        reason: reasons.StopReason,
        detail: str = "",
    ) -> None:
        """Orders a worker to stop a run."""
        if run.phase is runs_module.RunPhase.STOPPING:
            return
        run.phase = runs_module.RunPhase.STOPPING
        run.confirmed_ms = 0
        logs.event(
            _logger,
            "stop-ordered",
            task=run.task.name,
            run=run.number,
            worker=run.worker_id,
            reason=reason,
            detail=detail,
            percent=run.percent,
            pace_percent=run.pace_percent,
        )
        self._metrics.count(metrics_module.Counter.RUN_STOPS, reason)
        self.send_stop(run)

    def send_stop(self, run: runs_module.Run) -> None:
        """Sends the stop order of a run, which may be a repeat."""
        session = self._workers.session(run.worker_id)
        if session is not None:
            session.stop(run, run.task.name, run.number)

    def stop_all(self, job: runs_module.ActiveJob) -> None:
        """Stops every run of a job that has ended."""
        for run in list(job.all_runs()):
            self.stop(run, reasons.StopReason.JOB_ENDED, job.state)
        for step in job.all_steps():
            self._interference.discard_step(step)

    def handle_lost(self, lost: worker_table_module.LostRuns) -> None:
        """Removes runs that are certainly over without a reported end."""
        for run in lost.runs:
            logs.event(
                _logger,
                "run-lost",
                task=run.task.name,
                run=run.number,
                worker=run.worker_id,
                reason=lost.reason,
                phase=run.phase.value,
                ran_ms=lost.failed_ms - run.ordered_ms,
                neighbours=len(lost.runs) - 1,
                machine=lost.entry.address,
                is_planned=lost.is_planned,
            )
            self._metrics.count(metrics_module.Counter.RUNS_LOST, lost.reason)
            run.task.step.remove_run(run, self._clock.monotonic_ms())

    def handle_start(self, event: events.StartReturned) -> None:
        """Handles the outcome of a start order."""
        run = event.run
        worker = self._workers.find(run.worker_id)
        if worker is None or run not in run.task.runs:
            return
        now_ms = self._clock.monotonic_ms()
        run.start_returned_ms = now_ms
        run.unanswered_tries += event.unanswered_tries
        match event.outcome:
            case result.Ok(_):
                self.confirm(run, now_ms)
            case result.Err(cell_workers.OrderRefused(reason)):
                self._handle_refusal(run, worker, reason, event)
            case result.Err(cell_workers.OrderNotSent(detail)):
                if event.tries <= 1 and not run.is_in_doubt:
                    self.discard(run)
                else:
                    run.is_in_doubt = True
                if event.tries:
                    self._workers.mark_failing(worker, detail)
            case result.Err(cell_workers.OrderUnanswered(detail)):
                run.is_in_doubt = True
                logs.event(
                    _logger,
                    "start-unanswered",
                    task=run.task.name,
                    run=run.number,
                    worker=run.worker_id,
                    tries=event.tries,
                    detail=detail,
                )

    def confirm(self, run: runs_module.Run, now_ms: int) -> None:
        """Records that the worker has confirmed the start of a run."""
        run.is_in_doubt = False
        run.confirmed_ms = now_ms
        run.progressed_ms = now_ms
        if run.phase is runs_module.RunPhase.STARTING:
            run.phase = runs_module.RunPhase.RUNNING
        self._jobs.mark_started(run.task.step.job)

    def _handle_refusal(
        self,
        run: runs_module.Run,
        worker: worker_view.WorkerView,
        reason: cell_workers.Refusal,
        event: events.StartReturned,
    ) -> None:
        now_ms = self._clock.monotonic_ms()
        logs.event(
            _logger,
            "start-refused",
            task=run.task.name,
            run=run.number,
            worker=run.worker_id,
            reason=reason,
            free_cpu=worker.free_cpu,
            answered_ago_ms=now_ms - worker.answered_ms,
        )
        match reason:
            case cell_workers.Refusal.OLD_RUN:
                # The run has ended there or was stopped. The worker's next
                # answer to a hold call shows which, and lists the end if any.
                run.is_in_doubt = False
                run.confirmed_ms = now_ms
                return
            case cell_workers.Refusal.NO_TICKET:
                # The ticket has expired; a new one is requested.
                (run.task.step.tickets or {}).pop(run.worker_id, None)
            case cell_workers.Refusal.NO_ROOM:
                worker.avoided_until_ms = now_ms + NO_ROOM_PAUSE_MS
            case cell_workers.Refusal.UNHEALTHY:
                worker.avoided_until_ms = now_ms + UNHEALTHY_PAUSE_MS
        if event.tries > 1 or run.is_in_doubt:
            # The worker may still carry out an earlier try.
            self.stop(run, reasons.StopReason.START_REFUSED, reason)
        else:
            self.discard(run)

    def discard(self, run: runs_module.Run) -> None:
        """Removes a run that is certainly over or was never started."""
        worker = self._workers.find(run.worker_id)
        if worker is not None:
            worker.remove(run)
        self._jobs.end_trial(run.task, run.number)
        run.task.step.remove_run(run, self._clock.monotonic_ms())

    def handle_stop(self, event: events.StopReturned) -> None:
        """Handles the outcome of a stop order."""
        run = event.run
        if run is None or run not in run.task.runs:
            return
        match event.outcome:
            case result.Ok(_):
                run.confirmed_ms = self._clock.monotonic_ms()
                run.is_in_doubt = False
            case result.Err(
                cell_workers.OrderRefused(cell_workers.Refusal.UNHEALTHY)
            ):
                # The worker did nothing, so a late start may still arrive.
                run.is_in_doubt = True
            case result.Err(cell_workers.OrderRefused(_)):
                run.confirmed_ms = self._clock.monotonic_ms()
            case result.Err(_):
                run.is_in_doubt = True

    def update_paces(self, worker: worker_view.WorkerView) -> None:
        """Slows filling tasks that interfere too much with lasting tasks."""
        session = self._workers.session(worker.worker_id)
        if session is None:
            return
        for change in self._interference.pace_changes(worker):
            run = change.run
            if run.phase is runs_module.RunPhase.STOPPING:
                continue
            logs.event(
                _logger,
                "pace",
                task=run.task.name,
                run=run.number,
                worker=worker.worker_id,
                before=run.pace_percent,
                percent=change.percent,
            )
            run.pace_percent = change.percent
            run.is_pace_known = True
            run.pace_changed_ms = self._clock.monotonic_ms()
            if change.percent > SLOW_PACE_PERCENT:
                run.slow_since_ms = 0
            elif run.slow_since_ms == 0:
                run.slow_since_ms = self._clock.monotonic_ms()
            session.pace(run.task.name, run.number, change.percent)

    def resolve_doubt(self, run: runs_module.Run) -> None:
        """Handles a run whose last order got no answer.

        Repeats a stop order; stops a run that may have been started.
        """
        if run.phase is runs_module.RunPhase.STOPPING:
            run.is_in_doubt = False
            self.send_stop(run)
        else:
            self.stop(run, reasons.StopReason.START_UNANSWERED)

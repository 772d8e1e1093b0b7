"""Starts of runs that are recorded before they are ordered."""

from __future__ import annotations

from collections.abc import Callable
from typing import final

import logbook

from comfreylatch._ports import clock as clock_port
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.cell import events
from comfreylatch._process.cell import job_table as job_table_module
from comfreylatch._process.cell import records
from comfreylatch._process.cell import run_dispatcher
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell.crashes import blame
from comfreylatch._process.cell.numbering import run_numbers
from comfreylatch._process.cell.planning import placement_pass

_logger = logbook.Logger(__name__)


@final
class StoredStarts:
    """Orders starts, some of them only once they are recorded.

    Those are starts that may crash their worker, and those with run numbers
    beyond the range of the owner. An owner that ends right after such a start
    leaves a record of it, so that the next one counts the crash and uses other
    numbers. Only the owner's thread uses it.
    """

    def __init__(
        self,
        jobs: job_table_module.JobTable,
        dispatcher: run_dispatcher.RunDispatcher,
        metrics: metrics_module.Metrics,
        post: Callable[[events.Event], None],
        clock: clock_port.Clock,
    ) -> None:
        self._jobs = jobs
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._post = post
        self._clock = clock
        self._unsent: list[runs_module.Run] = []
        self._are_runs_missing = False

    def note_missing_runs(self) -> None:
        """Notes that workers of the previous owner are gone.

        Any task of its jobs may have crashed one of them.
        """
        self._are_runs_missing = True

    def start(self, placement: placement_pass.Placement) -> None:
        """Orders a run to start, at once or after it has been recorded."""
        run = placement.run
        is_trial = self._must_store(run.task)
        if is_trial:
            self._record_trial(placement)
        if run_numbers.needs_reservation(run):
            self._reserve_number(run)
        elif not is_trial:
            self._dispatcher.send_start(run)
            return
        self._unsent.append(run)

    def _reserve_number(self, run: runs_module.Run) -> None:
        job = run.task.step.job
        # Also if it is reserved already, as that record may not be stored yet.
        self._jobs.mark_changed(job)
        if run_numbers.reserve(job, run.number):
            logs.event(
                _logger,
                "run-numbers-reserved",
                task=run.task.name,
                run=run.number,
                reserved_run=job.reserved_run,
            )

    def _record_trial(self, placement: placement_pass.Placement) -> None:
        run, worker = placement.run, placement.worker
        task = run.task
        is_alone = worker.trial_run is run and len(worker.runs) == 1
        task.trial = records.TrialRecord(
            run.number,
            worker.worker_id,
            worker.entry.born_ms,
            worker.entry.address,
            blame.probation_ms(task.crashes),
            is_apart=worker.trial_run is run,
            is_alone=is_alone,
            wall_ms=self._clock.wall_ms(),
        )
        self._jobs.mark_changed(task.step.job)
        if not task.crashes:
            return
        logs.event(
            _logger,
            "trial",
            task=task.name,
            run=run.number,
            worker=worker.worker_id,
            crashes=len(task.crashes),
            is_apart=task.trial.is_apart,
            is_alone=is_alone,
            probation_ms=task.trial.probation_ms,
        )
        kind = "alone" if is_alone else "beside-others"
        self._metrics.count(metrics_module.Counter.TRIALS, kind)

    def _must_store(self, task: runs_module.Task) -> bool:
        return bool(task.crashes) or (
            self._are_runs_missing and task.step.may_have_unknown_runs
        )

    def add_callback(self, on_stored: list[Callable[[], None]]) -> None:
        """Has the waiting starts ordered once the next write is stored."""
        if not self._unsent:
            return
        runs = tuple(self._unsent)
        self._unsent.clear()
        # What the write that follows reserves.
        reserved = {
            run.task.step.job: run.task.step.job.reserved_run for run in runs
        }

        def post() -> None:
            self._post(events.StartsRecorded(runs, reserved))

        on_stored.append(post)

    def handle_recorded(self, event: events.StartsRecorded) -> None:
        """Orders recorded runs to start, unless they are over meanwhile."""
        for job, reserved_run in event.reserved.items():
            job.run_number_limit = max(job.run_number_limit, reserved_run)
        for run in event.runs:
            if run.should_start and run in run.task.runs:
                self._dispatcher.send_start(run)

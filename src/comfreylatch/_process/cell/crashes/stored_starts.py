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
from comfreylatch._process.cell.planning import placement_pass

_logger = logbook.Logger(__name__)


@final
class StoredStarts:
    """Orders starts; those that may crash their worker only once recorded.

    An owner that ends right after such a start leaves a record of it, so that
    the next one counts the crash. Only the owner's thread uses it.
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
        run, worker = placement.run, placement.worker
        task = run.task
        if not self._must_store(task):
            self._dispatcher.send_start(run)
            return
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
        self._unsent.append(run)
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
        on_stored.append(lambda: self._post(events.StartsRecorded(runs)))

    def handle_recorded(self, runs: tuple[runs_module.Run, ...]) -> None:
        """Orders recorded runs to start, unless they are over meanwhile."""
        for run in runs:
            if run.should_start and run in run.task.runs:
                self._dispatcher.send_start(run)

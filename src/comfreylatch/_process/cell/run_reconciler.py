"""Reconciles the owner's state of runs with what workers report."""

from __future__ import annotations

import statistics
from typing import final

import logbook

from comfreylatch._ports import cell_workers
from comfreylatch._ports import clock as clock_port
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.cell import duration_model as duration_model_module
from comfreylatch._process.cell import events
from comfreylatch._process.cell import interference
from comfreylatch._process.cell import job_table as job_table_module
from comfreylatch._process.cell import reasons
from comfreylatch._process.cell import run_dispatcher
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import worker_table as worker_table_module
from comfreylatch._process.cell import worker_view
from comfreylatch._process.cell.crashes import (
    crash_ledger as crash_ledger_module,
)
from comfreylatch._process.cell.evacuation import moves
from comfreylatch._process.cell.succession import exclusive_reports

# Consecutive failed runs, of any jobs, after which a worker is considered
# faulty and avoided for a while. By chance, this happens once in ten thousand.
FAILURES_BEFORE_AVOIDANCE = 3
FAILING_WORKER_AVOIDANCE_MS = 5_000
# Time without progress in a worker's reports after which a run is considered
# stalled. The durations of an image's tasks vary by half.
STALL_TIMEOUT_MS = 2_500
# Time at a low pace after which a run with checkpoints is moved.
SLOW_TIMEOUT_MS = 1_200
# Weight of the newest run in the exponential average of a worker's slowness.
SLOWNESS_SMOOTHING = 0.3

_logger = logbook.Logger(__name__)


@final
class RunReconciler:
    """Reconciles runs with what workers report.

    Only the owner's thread uses it.
    """

    def __init__(
        self,
        dispatcher: run_dispatcher.RunDispatcher,
        jobs: job_table_module.JobTable,
        workers: worker_table_module.WorkerTable,
        durations: duration_model_module.DurationModel,
        model: interference.InterferenceModel,
        crashes: crash_ledger_module.CrashLedger,
        metrics: metrics_module.Metrics,
        clock: clock_port.Clock,
    ) -> None:
        self._dispatcher = dispatcher
        self._jobs = jobs
        self._workers = workers
        self._durations = durations
        self._interference = model
        self._crashes = crashes
        self._metrics = metrics
        self._evacuation = moves.EvacuationPolicy(durations)
        self._clock = clock

    def handle_hold(
        self, event: events.HoldReturned, answer: cell_workers.HoldAnswer
    ) -> bool:
        """Applies an answer to a hold call: running tasks and ended runs.

        Returns:
            Whether there are new ends to record.
        """
        worker = self._workers.find(event.worker_id)
        assert worker is not None
        self._crashes.handle_answer(worker)
        ended = self._workers.new_ends(event.worker_id, answer)
        for end in ended:
            self._handle_end(worker, end)
        listed_keys = set()
        for running_task in answer.running:
            listed_keys.add(
                worker_view.run_key(running_task.task, running_task.run)
            )
            self._handle_running(worker, running_task, event.received_ms)
        worker.stray_count = len(listed_keys - worker.runs.keys())
        # Else the end of a run that is missing may not be listed yet.
        if answer.lists_all_ends:
            self._handle_missing(worker, listed_keys, event.sent_ms)
        self._interference.learn(worker, event.received_ms)
        worker.revision += 1
        self._dispatcher.update_paces(worker)
        return bool(ended)

    def _handle_end(
        self, worker: worker_view.WorkerView, end: cell_workers.EndedRun
    ) -> None:
        run = worker.runs.get(worker_view.run_key(end.task, end.run))
        task = run.task if run else self._jobs.find_task(end.task)
        logs.event(
            _logger,
            "run-ended",
            task=end.task,
            run=end.run,
            worker=worker.worker_id,
            how=end.how,
            number=end.number,
            known=run is not None,
        )
        self._metrics.count(metrics_module.Counter.RUN_ENDS, end.how)
        if run is not None:
            worker.remove(run)
            run.task.step.remove_run(run, self._clock.monotonic_ms())
        if task is None:
            return
        task.last_run = max(task.last_run, end.run)
        self._jobs.end_trial(task, end.run)
        is_unfinished_job = (
            self._jobs.find(task.step.job.spec.job_id) is not None
        )
        if task.is_done or not is_unfinished_job:
            return
        match end.how:
            case cell_workers.RunEnd.DONE if task.step.spec.is_lasting:
                self._handle_lasting_done(worker, task)
            case cell_workers.RunEnd.DONE:
                self._handle_done(worker, task, run)
            case cell_workers.RunEnd.FAILED:
                self._handle_failed(worker, task, end)
            case _:
                self._jobs.record_checkpoint(task, end.checkpoint)

    def _handle_done(
        self,
        worker: worker_view.WorkerView,
        task: runs_module.Task,
        run: runs_module.Run | None,
    ) -> None:
        worker.recent_failures = 0
        self._jobs.mark_started(task.step.job)
        if run is not None and not task.checkpoint:
            self._observe_duration(worker, run)
        self._jobs.mark_done(task)
        for other_run in list(task.runs):
            self._dispatcher.stop(other_run, reasons.StopReason.DONE_ELSEWHERE)
        if task.step.spec.is_gang:
            for member in task.step.tasks:
                for other_run in list(member.runs):
                    self._dispatcher.discard(other_run)

    def _handle_lasting_done(
        self, worker: worker_view.WorkerView, task: runs_module.Task
    ) -> None:
        """Has a lasting task, or its whole gang, started again."""
        worker.recent_failures = 0
        self._jobs.mark_started(task.step.job)
        members = task.step.tasks if task.step.spec.is_gang else [task]
        for member in members:
            # The end of one member stands for all of them.
            for other_run in list(member.runs):
                self._dispatcher.discard(other_run)
            self._jobs.delay_restart(member)

    def _observe_duration(
        self, worker: worker_view.WorkerView, run: runs_module.Run
    ) -> None:
        """Adds a completed run to the duration model and the worker's slowness.

        Only for tasks without a checkpoint, as others may have been resumed.
        Skips filling tasks and gangs.
        """
        step = run.task.step
        if step.spec.fills_idle or step.spec.is_gang or not run.confirmed_ms:
            return
        took_ms = self._clock.monotonic_ms() - run.confirmed_ms
        queue = step.job.spec.queue.name
        self._durations.observe(queue, step.spec, took_ms)
        step.durations_ms.append(took_ms)
        if len(step.durations_ms) >= 3:
            median_ms = max(statistics.median(step.durations_ms), 1)
            worker.slowness += SLOWNESS_SMOOTHING * (
                took_ms / median_ms - worker.slowness
            )

    def _handle_failed(
        self,
        worker: worker_view.WorkerView,
        task: runs_module.Task,
        end: cell_workers.EndedRun,
    ) -> None:
        worker.recent_failures += 1
        task.avoided_workers |= {worker.worker_id}
        if worker.recent_failures >= FAILURES_BEFORE_AVOIDANCE:
            now_ms = self._clock.monotonic_ms()
            worker.avoided_until_ms = now_ms + FAILING_WORKER_AVOIDANCE_MS
            logs.warning(
                _logger,
                "worker-avoided",
                worker=worker.worker_id,
                failures=worker.recent_failures,
                for_ms=FAILING_WORKER_AVOIDANCE_MS,
            )
        if end.checkpoint:
            self._jobs.record_checkpoint(task, end.checkpoint)
        job = task.step.job
        self._jobs.record_failure(task, end.run)
        if job.state.is_final:
            self._dispatcher.stop_all(job)

    def _handle_running(
        self,
        worker: worker_view.WorkerView,
        running_task: cell_workers.RunningTask,
        now_ms: int,
    ) -> None:
        key = worker_view.run_key(running_task.task, running_task.run)
        run = worker.runs.get(key)
        if run is None:
            self._handle_unknown(worker, running_task, now_ms)
            return
        if run.phase is runs_module.RunPhase.STARTING:
            self._dispatcher.confirm(run, now_ms)
        if not run.is_exclusive and exclusive_reports.is_exclusive(
            worker.first_clock_ms, worker.clock_ms
        ):
            run.task.step.note_exclusive(run)
        if running_task.percent > run.percent or run.progressed_ms == 0:
            run.percent = running_task.percent
            run.progressed_ms = now_ms
        if run.task.crashes or run.task.trial is not None:
            self._crashes.handle_running(worker, run, now_ms)
        run.reading = running_task.reading
        if running_task.checkpoint and run.number == run.task.last_run:
            run.task.keep_checkpoint(running_task.checkpoint)
        if run.phase is runs_module.RunPhase.STOPPING and run.is_in_doubt:
            run.is_in_doubt = False
            self._dispatcher.send_stop(run)

    def _handle_unknown(
        self,
        worker: worker_view.WorkerView,
        running_task: cell_workers.RunningTask,
        now_ms: int,
    ) -> None:
        """Adopts a previous owner's run if its task needs it, else stops it."""
        task = self._jobs.find_task(running_task.task)
        should_adopt = (
            task is not None
            and not task.is_done
            and (not task.runs or task.step.spec.is_speculative)
        )
        if task is not None and should_adopt:
            run = runs_module.Run(
                task,
                running_task.run,
                worker.worker_id,
                runs_module.RunPhase.RUNNING,
                now_ms,
                confirmed_ms=now_ms,
                progressed_ms=now_ms,
                percent=running_task.percent,
                is_pace_known=not task.step.spec.fills_idle,
                was_ordered=True,
                is_adopted=True,
            )
            task.last_run = max(task.last_run, running_task.run)
            task.step.add_run(run)
            worker.add(run)
            self._jobs.mark_started(task.step.job)
            return
        logs.event(
            _logger,
            "stray-stopped",
            task=running_task.task,
            run=running_task.run,
            worker=worker.worker_id,
        )
        session = self._workers.session(worker.worker_id)
        if session is not None:
            session.stop(None, running_task.task, running_task.run)

    def _handle_missing(
        self,
        worker: worker_view.WorkerView,
        listed_keys: set[str],
        sent_ms: int,
    ) -> None:
        """Handles runs that the worker lists neither as running nor ended."""
        for key, run in list(worker.runs.items()):
            if key in listed_keys:
                continue
            if run.confirmed_ms and run.confirmed_ms < sent_ms:
                logs.event(
                    _logger,
                    "run-missing",
                    task=run.task.name,
                    run=run.number,
                    worker=worker.worker_id,
                    phase=run.phase.value,
                )
                self._metrics.count(
                    metrics_module.Counter.RUNS_LOST,
                    reasons.LossReason.NOT_LISTED,
                )
                self._dispatcher.discard(run)
            elif run.is_in_doubt:
                self._dispatcher.resolve_doubt(run)

    def move_runs(self, now_ms: int) -> None:
        """Stops runs that should continue on another worker."""
        for run in self._evacuation.runs_to_move_off_zones(
            self._workers, self._jobs.ready_steps(), now_ms
        ):
            self._dispatcher.stop(run, reasons.StopReason.ZONE_EVACUATED)
        for worker in self._workers:
            if not worker.is_answering:
                continue
            for run in self._evacuation.runs_to_move(worker):
                self._dispatcher.stop(run, reasons.StopReason.WORKER_LEAVES)
            for run in list(worker.runs.values()):
                reason = self._reason_to_move(worker, run, now_ms)
                if reason is not None:
                    self._dispatcher.stop(run, reason)

    def _reason_to_move(
        self,
        worker: worker_view.WorkerView,
        run: runs_module.Run,
        now_ms: int,
    ) -> reasons.StopReason | None:
        """Returns why a run should move to another worker; None if not."""
        if run.phase is not runs_module.RunPhase.RUNNING:
            return None
        if self._is_stalled(worker, run):
            run.task.avoided_workers |= {run.worker_id}
            return reasons.StopReason.STALLED
        is_slow = (
            run.slow_since_ms > 0
            and now_ms - run.slow_since_ms > SLOW_TIMEOUT_MS
            and run.task.step.spec.has_checkpoints
        )
        return reasons.StopReason.SLOWED_DOWN if is_slow else None

    def _is_stalled(
        self, worker: worker_view.WorkerView, run: runs_module.Run
    ) -> bool:
        """Whether a worker's reports show no progress of a run.

        A worker that is silent or slow to report says nothing of its progress.
        """
        spec = run.task.step.spec
        return (
            not spec.is_lasting
            and not spec.fills_idle
            and not spec.is_gang
            and run.progressed_ms > 0
            and worker.answered_ms - run.progressed_ms > STALL_TIMEOUT_MS
        )

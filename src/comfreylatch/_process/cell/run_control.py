"""Follows each run from its start order to its recorded end."""

from __future__ import annotations

import statistics
from typing import final

import logbook
import result

from comfreylatch._ports import cell_workers
from comfreylatch._ports import clock as clock_port
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.cell import disturbance
from comfreylatch._process.cell import durations as durations_module
from comfreylatch._process.cell import evacuation
from comfreylatch._process.cell import events
from comfreylatch._process.cell import job_table as job_table_module
from comfreylatch._process.cell import reasons
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import worker_table as worker_table_module
from comfreylatch._process.cell import worker_view

# A worker that refuses for want of room that we think it has gets a pause to
# report the ends that we don't know of.
NO_ROOM_PAUSE_MS = 300
UNHEALTHY_PAUSE_MS = 1_000
# Failures in a row, of different jobs' tasks, after which a worker is taken
# to be at fault; by chance this happens once in ten thousand.
FAILING_WORKER_RUNS = 3
FAILING_WORKER_PAUSE_MS = 5_000
# An image's tasks vary by half; one that has made no progress for this long
# while its worker reports others stands still.
STALLED_MS = 2_500
# A task that fills and has worked at this pace or less for so long is moved,
# if it can go on from a checkpoint.
SLOW_PACE = 20
SLOW_MS = 1_200
# Smoothing of a worker's slowness over its tasks.
SLOWNESS_SMOOTHING = 0.3
# A hold answer lists at most this many ends, so that a full one proves
# nothing of runs that it doesn't list.
FULL_ENDS_LIST = 500

_logger = logbook.Logger(__name__)


@final
class RunControl:
    """Keeps runs, workers and jobs in step. Only the owner's thread uses it."""

    def __init__(
        self,
        jobs: job_table_module.JobTable,
        workers: worker_table_module.WorkerTable,
        durations: durations_module.Durations,
        model: disturbance.DisturbanceModel,
        metrics: metrics_module.Metrics,
        clock: clock_port.Clock,
    ) -> None:
        self._jobs = jobs
        self._workers = workers
        self._durations = durations
        self._disturbance = model
        self._metrics = metrics
        self._evacuation = evacuation.Evacuation(durations)
        self._clock = clock

    def send_start(self, run: runs_module.Run) -> None:
        """Orders a worker to start a run."""
        step = run.task.step
        session = self._workers.session(run.worker_id)
        if session is None:
            self._drop(run)
            return
        job = step.job
        now_ms = self._clock.monotonic_ms()
        waited_ms = now_ms - max(run.task.open_since_ms, step.ready_ms)
        if job.first_start_ms == 0:
            job.first_start_ms = now_ms
            self._observe(
                metrics_module.Latency.FIRST_START, now_ms - job.accepted_ms
            )
        elif run.number == 1:
            self._observe(metrics_module.Latency.STEP_GAP, waited_ms)
        ticket = (step.tickets or {}).get(run.worker_id, "")
        session.start(run, job.spec.payload, run.task.checkpoint, ticket)
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
            self._set_paces(worker)

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
        self._send_stop(run)

    def _send_stop(self, run: runs_module.Run) -> None:
        session = self._workers.session(run.worker_id)
        if session is not None:
            session.stop(run, run.task.name, run.number)

    def stop_all(self, job: runs_module.JobRun) -> None:
        """Stops every run of a job that has ended."""
        for run in list(job.all_runs()):
            self.stop(run, reasons.StopReason.JOB_ENDED, job.state)
        for step in job.all_steps():
            self._disturbance.forget(step)

    def take_lost(self, lost: worker_table_module.LostRuns) -> None:
        """Takes in runs that are surely over, without an end."""
        for run in lost.runs:
            logs.event(
                _logger,
                "run-lost",
                task=run.task.name,
                run=run.number,
                worker=run.worker_id,
                reason=lost.reason,
                phase=run.phase.value,
            )
            self._metrics.count(metrics_module.Counter.RUNS_LOST, lost.reason)
            run.task.step.note_gone(run, self._clock.monotonic_ms())

    def take_start(self, event: events.StartReturned) -> None:
        """Takes in what came of a start order."""
        run = event.run
        worker = self._workers.find(run.worker_id)
        if worker is None or run not in run.task.runs:
            return
        now_ms = self._clock.monotonic_ms()
        match event.outcome:
            case result.Ok(_):
                self._confirm(run, now_ms)
            case result.Err(cell_workers.OrderRefused(reason)):
                self._take_refusal(run, worker, reason, event)
            case result.Err(cell_workers.OrderNotSent(detail)):
                if event.tries <= 1 and not run.is_in_doubt:
                    self._drop(run)
                else:
                    run.is_in_doubt = True
                if event.tries:
                    self._workers.note_failing(worker, detail)
            case result.Err(cell_workers.OrderUnanswered(detail)):
                run.is_in_doubt = True
                run.unanswered += event.tries
                logs.event(
                    _logger,
                    "start-unanswered",
                    task=run.task.name,
                    run=run.number,
                    worker=run.worker_id,
                    tries=event.tries,
                    detail=detail,
                )

    def _confirm(self, run: runs_module.Run, now_ms: int) -> None:
        run.is_in_doubt = False
        run.confirmed_ms = now_ms
        run.moved_ms = now_ms
        if run.phase is runs_module.RunPhase.STARTING:
            run.phase = runs_module.RunPhase.RUNNING
        self._jobs.note_started(run.task.step.job)

    def _take_refusal(
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
                # It has run and ended there, or was stopped; the worker's
                # next answer tells, and lists the end if there is one.
                run.is_in_doubt = False
                run.confirmed_ms = now_ms
                return
            case cell_workers.Refusal.NO_ROOM:
                worker.avoided_until_ms = now_ms + NO_ROOM_PAUSE_MS
            case cell_workers.Refusal.UNHEALTHY:
                worker.avoided_until_ms = now_ms + UNHEALTHY_PAUSE_MS
        if event.tries > 1 or run.is_in_doubt:
            # An earlier sending may still be carried out.
            self.stop(run, reasons.StopReason.START_REFUSED, reason)
        else:
            self._drop(run)

    def _drop(self, run: runs_module.Run) -> None:
        """Forgets a run that is surely over, or never was."""
        worker = self._workers.find(run.worker_id)
        if worker is not None:
            worker.remove(run)
        run.task.step.note_gone(run, self._clock.monotonic_ms())

    def take_stop(self, event: events.StopReturned) -> None:
        """Takes in what came of a stop order."""
        run = event.run
        if run is None or run not in run.task.runs:
            return
        match event.outcome:
            case result.Ok(_):
                run.confirmed_ms = self._clock.monotonic_ms()
                run.is_in_doubt = False
            case result.Err(cell_workers.OrderRefused(_)):
                run.confirmed_ms = self._clock.monotonic_ms()
            case result.Err(_):
                run.is_in_doubt = True

    def take_hold(
        self, event: events.HoldReturned, answer: cell_workers.HoldAnswer
    ) -> bool:
        """Takes in a worker's lists; whether there are ends to record."""
        worker = self._workers.find(event.worker_id)
        assert worker is not None
        ended = self._workers.new_ends(event.worker_id, answer)
        for end in ended:
            self._take_end(worker, end)
        listed = set()
        for task in answer.running:
            listed.add(worker_view.run_key(task.task, task.run))
            self._take_running(worker, task, event.received_ms)
        if len(answer.ended) < FULL_ENDS_LIST:
            self._take_missing(worker, listed, event.sent_ms)
        self._disturbance.learn(worker, event.received_ms)
        self._set_paces(worker)
        return bool(ended)

    def _set_paces(self, worker: worker_view.WorkerView) -> None:
        """Slows tasks that fill where they disturb lasting ones too much."""
        session = self._workers.session(worker.worker_id)
        if session is None:
            return
        for change in self._disturbance.pace_changes(worker):
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
            if change.percent > SLOW_PACE:
                run.slow_since_ms = 0
            elif run.slow_since_ms == 0:
                run.slow_since_ms = self._clock.monotonic_ms()
            session.pace(run.task.name, run.number, change.percent)

    def _take_end(
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
            run.task.step.note_gone(run, self._clock.monotonic_ms())
        if task is None:
            return
        task.last_run = max(task.last_run, end.run)
        is_open_job = self._jobs.find(task.step.job.spec.job_id) is not None
        if task.is_done or not is_open_job:
            return
        match end.how:
            case cell_workers.RunEnd.DONE:
                self._take_done(worker, task, run)
            case cell_workers.RunEnd.FAILED:
                self._take_failed(worker, task, end)
            case _:
                self._jobs.note_checkpoint(task, end.checkpoint)

    def _take_done(
        self,
        worker: worker_view.WorkerView,
        task: runs_module.Task,
        run: runs_module.Run | None,
    ) -> None:
        worker.recent_failures = 0
        self._jobs.note_started(task.step.job)
        if run is not None and not task.checkpoint:
            self._learn(worker, run)
        self._jobs.note_done(task)
        for other in list(task.runs):
            self.stop(other, reasons.StopReason.DONE_ELSEWHERE)
        if task.step.spec.is_gang:
            for member in task.step.tasks:
                for other in list(member.runs):
                    self._drop(other)

    def _learn(
        self, worker: worker_view.WorkerView, run: runs_module.Run
    ) -> None:
        """Learns durations and slowness from a run from begin to end."""
        step = run.task.step
        if step.spec.fills_idle or step.spec.is_gang or not run.confirmed_ms:
            return
        took_ms = self._clock.monotonic_ms() - run.confirmed_ms
        queue = step.job.spec.queue.name
        self._durations.note(queue, step.spec, took_ms)
        step.durations_ms.append(took_ms)
        if len(step.durations_ms) >= 3:
            usual_ms = max(statistics.median(step.durations_ms), 1)
            worker.slowness += SLOWNESS_SMOOTHING * (
                took_ms / usual_ms - worker.slowness
            )

    def _take_failed(
        self,
        worker: worker_view.WorkerView,
        task: runs_module.Task,
        end: cell_workers.EndedRun,
    ) -> None:
        worker.recent_failures += 1
        task.shunned |= {worker.worker_id}
        if worker.recent_failures >= FAILING_WORKER_RUNS:
            now_ms = self._clock.monotonic_ms()
            worker.avoided_until_ms = now_ms + FAILING_WORKER_PAUSE_MS
            logs.warning(
                _logger,
                "worker-avoided",
                worker=worker.worker_id,
                failures=worker.recent_failures,
                for_ms=FAILING_WORKER_PAUSE_MS,
            )
        if end.checkpoint:
            self._jobs.note_checkpoint(task, end.checkpoint)
        job = task.step.job
        self._jobs.note_failed(task, end.run)
        if job.state.is_final:
            self.stop_all(job)

    def _take_running(
        self,
        worker: worker_view.WorkerView,
        listed: cell_workers.RunningTask,
        now_ms: int,
    ) -> None:
        key = worker_view.run_key(listed.task, listed.run)
        run = worker.runs.get(key)
        if run is None:
            self._take_unknown(worker, listed, now_ms)
            return
        if run.phase is runs_module.RunPhase.STARTING:
            self._confirm(run, now_ms)
        if listed.percent > run.percent or run.moved_ms == 0:
            run.percent = listed.percent
            run.moved_ms = now_ms
        run.reading = listed.reading
        if listed.checkpoint and run.number == run.task.last_run:
            run.task.checkpoint = listed.checkpoint
        if run.phase is runs_module.RunPhase.STOPPING and run.is_in_doubt:
            run.is_in_doubt = False
            self._send_stop(run)

    def _take_unknown(
        self,
        worker: worker_view.WorkerView,
        listed: cell_workers.RunningTask,
        now_ms: int,
    ) -> None:
        """Takes over a run that an earlier owner started, or stops it."""
        task = self._jobs.find_task(listed.task)
        wanted = (
            task is not None
            and not task.is_done
            and (not task.runs or task.step.spec.is_speculative)
        )
        if task is not None and wanted:
            run = runs_module.Run(
                task,
                listed.run,
                worker.worker_id,
                runs_module.RunPhase.RUNNING,
                now_ms,
                confirmed_ms=now_ms,
                moved_ms=now_ms,
                percent=listed.percent,
            )
            task.last_run = max(task.last_run, listed.run)
            task.step.note_run(run)
            worker.add(run)
            self._jobs.note_started(task.step.job)
            return
        logs.event(
            _logger,
            "stray-stopped",
            task=listed.task,
            run=listed.run,
            worker=worker.worker_id,
        )
        session = self._workers.session(worker.worker_id)
        if session is not None:
            session.stop(None, listed.task, listed.run)

    def _take_missing(
        self,
        worker: worker_view.WorkerView,
        listed: set[str],
        sent_ms: int,
    ) -> None:
        """Deals with runs that the worker lists neither way."""
        for key, run in list(worker.runs.items()):
            if key in listed:
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
                self._drop(run)
            elif run.is_in_doubt:
                self._resolve(run)

    def _resolve(self, run: runs_module.Run) -> None:
        """Sends the order again whose answer did not come."""
        run.is_in_doubt = False
        if run.phase is runs_module.RunPhase.STOPPING:
            self._send_stop(run)
        else:
            run.is_in_doubt = True
            self.stop(run, reasons.StopReason.START_UNANSWERED)

    def look_after(self, now_ms: int) -> None:
        """Stops runs that should go on elsewhere."""
        for worker in self._workers:
            if not worker.is_answering:
                continue
            for run in self._evacuation.to_move(worker):
                self.stop(run, reasons.StopReason.WORKER_LEAVES)
            for run in list(worker.runs.values()):
                reason = self._reason_to_move(run, now_ms)
                if reason is not None:
                    self.stop(run, reason)

    def _reason_to_move(
        self, run: runs_module.Run, now_ms: int
    ) -> reasons.StopReason | None:
        """Why a run should go on elsewhere; None when it should not."""
        if run.phase is not runs_module.RunPhase.RUNNING:
            return None
        if self._is_stalled(run, now_ms):
            run.task.shunned |= {run.worker_id}
            return reasons.StopReason.STALLED
        is_slow = (
            run.slow_since_ms > 0
            and now_ms - run.slow_since_ms > SLOW_MS
            and run.task.step.spec.has_checkpoints
        )
        return reasons.StopReason.SLOWED_DOWN if is_slow else None

    def _is_stalled(self, run: runs_module.Run, now_ms: int) -> bool:
        spec = run.task.step.spec
        return (
            not spec.is_lasting
            and not spec.fills_idle
            and not spec.is_gang
            and run.moved_ms > 0
            and now_ms - run.moved_ms > STALLED_MS
        )

"""Keeps account of the workers that crashed under each task."""

from __future__ import annotations

import collections
from collections.abc import Sequence
from typing import final

import attrs
import logbook

from comfreylatch._ports import clock as clock_port
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.cell import job_table as job_table_module
from comfreylatch._process.cell import reasons
from comfreylatch._process.cell import records
from comfreylatch._process.cell import run_dispatcher
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import worker_table as worker_table_module
from comfreylatch._process.cell import worker_view
from comfreylatch._process.cell.crashes import blame

_logger = logbook.Logger(__name__)


@attrs.frozen
class _Incarnation:
    """An incarnation of a worker."""

    worker_id: str
    born_ms: int


@attrs.frozen
class _Failure:
    """A machine whose worker failed.

    Attributes:
        failed_ms: Monotonic time of the first failed call.
        machine: Its address.
        is_explained: Whether a run had just been started there.
    """

    failed_ms: int
    machine: str
    is_explained: bool


@final
class CrashLedger:
    """Attributes lost runs to their workers' crashes; gives up deadly tasks.

    Only the owner's thread uses it.
    """

    def __init__(
        self,
        jobs: job_table_module.JobTable,
        workers: worker_table_module.WorkerTable,
        dispatcher: run_dispatcher.RunDispatcher,
        metrics: metrics_module.Metrics,
        clock: clock_port.Clock,
    ) -> None:
        self._jobs = jobs
        self._workers = workers
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._clock = clock
        self._suspects: set[runs_module.Task] = set()
        self._unconfirmed: dict[_Incarnation, set[runs_module.Task]] = {}
        self._failures: collections.deque[_Failure] = collections.deque()
        self._machine_crashes: dict[str, list[int]] = {}
        self._restored: set[_Incarnation] = set()

    def awaiting_trial(self) -> list[runs_module.Task]:
        """Returns the tasks that need a trial and have no run."""
        ended = [task for task in self._suspects if not self._is_open(task)]
        self._suspects.difference_update(ended)
        return [
            task
            for task in self._suspects
            if task.is_pending and blame.needs_trial(task.crashes)
        ]

    def _is_open(self, task: runs_module.Task) -> bool:
        """Whether a task is not done and its job has not ended."""
        job = task.step.job
        is_unfinished = self._jobs.find(job.spec.job_id) is job
        return is_unfinished and not task.is_done

    def handle_lost(
        self, losses: Sequence[worker_table_module.LostRuns]
    ) -> None:
        """Attributes the losses of workers' runs; removes these."""
        unplanned = [lost for lost in losses if not lost.is_planned]
        # All of them first, as workers that failed together have one cause.
        self._failures.extend(
            _Failure(
                lost.failed_ms,
                lost.entry.address,
                blame.is_explained(lost.runs, lost.failed_ms),
            )
            for lost in unplanned
        )
        for lost in unplanned:
            self._attribute(lost)
        for lost in losses:
            self._remove(lost)

    def _remove(self, lost: worker_table_module.LostRuns) -> None:
        """Removes lost runs and judges their tasks."""
        for run in lost.runs:
            self._jobs.end_trial(run.task, run.number)
        self._dispatcher.handle_lost(lost)
        for run in lost.runs:
            self._judge(run.task)

    def _attribute(self, lost: worker_table_module.LostRuns) -> None:
        ordered = [run for run in lost.runs if run.was_ordered]
        suspects = [
            run for run in ordered if blame.is_suspect(run, lost.failed_ms)
        ]
        primes = blame.prime_runs(suspects, lost.failed_ms)
        cause = self._cause(lost, bool(suspects))
        is_confirmed = lost.reason is reasons.LossReason.REBORN
        logs.event(
            _logger,
            "worker-crashed",
            worker=lost.entry.worker_id,
            machine=lost.entry.address,
            born_ms=lost.entry.born_ms,
            cause=cause,
            is_confirmed=is_confirmed,
            runs=len(ordered),
            suspects=len(suspects),
            primes=[run.task.name for run in primes],
            failed_ago_ms=self._clock.monotonic_ms() - lost.failed_ms,
        )
        self._metrics.count(metrics_module.Counter.WORKER_CRASHES, cause)
        for run in suspects:
            crash = records.CrashRecord(
                run.number,
                lost.entry.worker_id,
                lost.entry.born_ms,
                lost.entry.address,
                max(lost.failed_ms - blame.started_ms(run), 0),
                was_alone=len(ordered) == 1,
                was_on_trial=_is_apart(run),
                is_prime=run in primes,
                is_confirmed=is_confirmed,
                is_excused=cause is not reasons.CrashCause.ITS_RUNS,
            )
            self._add(run.task, crash)

    def _cause(
        self, lost: worker_table_module.LostRuns, has_suspects: bool
    ) -> reasons.CrashCause:
        """Returns what may have crashed a worker."""
        is_faulty = self._is_faulty(lost.entry.address, lost.failed_ms)
        if self._failed_together(lost.failed_ms):
            return reasons.CrashCause.MANY_WORKERS
        if is_faulty:
            return reasons.CrashCause.FAULTY_MACHINE
        if not has_suspects:
            return reasons.CrashCause.OLD_RUNS
        return reasons.CrashCause.ITS_RUNS

    def _failed_together(self, failed_ms: int) -> bool:
        """Whether many machines failed about when one did."""
        failures = [
            *self._failures,
            *(
                _Failure(
                    worker.failing_since_ms,
                    worker.entry.address,
                    blame.is_explained(
                        worker.runs.values(), worker.failing_since_ms
                    ),
                )
                for worker in self._workers
                if worker.failing_since_ms
            ),
        ]
        return any(
            len(
                {
                    failure.machine
                    for failure in failures
                    if abs(failure.failed_ms - failed_ms) <= window_ms
                    and not (failure.is_explained and skips_explained)
                }
            )
            >= blame.MASS_FAILURE_COUNT
            for window_ms, skips_explained in (
                (blame.MASS_FAILURE_WINDOW_MS, True),
                (blame.MASS_BURST_WINDOW_MS, False),
            )
        )

    def _are_workers_noisy(self) -> bool:
        """Whether workers crashed lately that no run seems to have crashed."""
        earliest_ms = self._clock.monotonic_ms() - blame.NOISE_WINDOW_MS
        while self._failures and self._failures[0].failed_ms < earliest_ms:
            self._failures.popleft()
        noise = sum(not failure.is_explained for failure in self._failures)
        return noise >= blame.NOISE_CRASHES

    def _is_faulty(self, machine: str, failed_ms: int) -> bool:
        """Adds a crash of a machine; returns whether it crashes often."""
        earliest_ms = failed_ms - blame.FAULTY_MACHINE_WINDOW_MS
        crashes = [
            crashed_ms
            for crashed_ms in self._machine_crashes.get(machine, [])
            if crashed_ms >= earliest_ms
        ]
        self._machine_crashes[machine] = [*crashes, failed_ms]
        return len(crashes) >= blame.FAULTY_MACHINE_CRASHES

    def crashed_lately(self, machine: str) -> bool:
        """Whether a machine has crashed within the last half minute."""
        crashes = self._machine_crashes.get(machine)
        if not crashes:
            return False
        age_ms = self._clock.monotonic_ms() - crashes[-1]
        return age_ms <= blame.FAULTY_MACHINE_WINDOW_MS

    def _add(self, task: runs_module.Task, crash: records.CrashRecord) -> None:
        """Adds a crash to a task; for a member of a gang, to the whole gang."""
        step = task.step
        for member in step.tasks if step.spec.is_gang else [task]:
            if any(known.run == crash.run for known in member.crashes):
                continue
            self._set(member, (*member.crashes, crash))

    def _set(
        self,
        task: runs_module.Task,
        crashes: tuple[records.CrashRecord, ...],
    ) -> None:
        task.crashes = crashes
        task.suspected_since_ms = self._clock.monotonic_ms()
        self._jobs.mark_changed(task.step.job)
        if crashes:
            self._suspects.add(task)
        else:
            self._suspects.discard(task)
        for crash in crashes:
            if not crash.is_confirmed:
                incarnation = _Incarnation(crash.worker_id, crash.born_ms)
                self._unconfirmed.setdefault(incarnation, set()).add(task)

    def _judge(self, task: runs_module.Task) -> None:
        """Fails a task's job if the task crashes its workers."""
        if not self._is_open(task):
            self._suspects.discard(task)
            return
        job = task.step.job
        verdict = blame.verdict(task.crashes, self._are_workers_noisy())
        if verdict is None:
            return
        logs.warning(
            _logger,
            "task-given-up",
            task=task.name,
            job=job.spec.job_id,
            verdict=verdict,
            crashes=[attrs.asdict(crash) for crash in task.crashes],
        )
        self._metrics.count(metrics_module.Counter.TASKS_GIVEN_UP, verdict)
        self._suspects.discard(task)
        self._jobs.finish(job, records.JobState.FAILED)
        self._dispatcher.stop_all(job)

    def confirm_replaced(self) -> None:
        """Confirms the crashes of workers that others have replaced."""
        for incarnation, tasks in list(self._unconfirmed.items()):
            for task in list(tasks):
                if self._confirm(task, incarnation):
                    self._unconfirmed.pop(incarnation, None)
                    self._judge(task)

    def _confirm(
        self, task: runs_module.Task, incarnation: _Incarnation
    ) -> bool:
        """Confirms a task's crashes of a worker if it has been replaced."""
        crashes = tuple(
            blame.confirm(crash, self._workers.newest_born_ms(crash.machine))
            if _is_of(crash, incarnation)
            and self._workers.is_replaced(crash.machine, crash.born_ms)
            else crash
            for crash in task.crashes
        )
        if crashes == task.crashes:
            return False
        self._set(task, crashes)
        return True

    def handle_answer(self, worker: worker_view.WorkerView) -> None:
        """Withdraws the crash of a worker that was only unreachable."""
        incarnation = _Incarnation(worker.worker_id, worker.entry.born_ms)
        tasks = self._unconfirmed.pop(incarnation, None)
        if not tasks:
            return
        logs.event(
            _logger,
            "crash-withdrawn",
            worker=worker.worker_id,
            tasks=len(tasks),
        )
        for task in tasks:
            self._set(
                task,
                tuple(
                    crash
                    for crash in task.crashes
                    if not _is_of(crash, incarnation)
                ),
            )

    def handle_running(
        self,
        worker: worker_view.WorkerView,
        run: runs_module.Run,
        now_ms: int,
    ) -> None:
        """Ends the suspicion of a task whose run has lasted long enough."""
        if not run.confirmed_ms:
            return
        task = run.task
        ran_ms = now_ms - run.confirmed_ms
        if task.crashes:
            kept = blame.without_refuted(task.crashes, ran_ms)
            if len(kept) < len(task.crashes):
                logs.event(
                    _logger,
                    "suspicion-ended",
                    task=task.name,
                    run=run.number,
                    worker=worker.worker_id,
                    ran_ms=ran_ms,
                    kept=len(kept),
                )
                self._set(task, kept)
        trial = task.trial
        if trial is None or trial.run != run.number:
            return
        if ran_ms > trial.probation_ms:
            self._jobs.end_trial(task, run.number)
            if worker.trial_run is run:
                worker.trial_run = None

    def restore(self, job: runs_module.ActiveJob) -> None:
        """Takes over the crashes of a job that a previous owner recorded."""
        for step in job.all_steps():
            for task in step.tasks:
                if not task.crashes:
                    continue
                self._set(task, task.crashes)
                for crash in task.crashes:
                    self._restore_failure(crash)

    def _restore_failure(self, crash: records.CrashRecord) -> None:
        """Takes over a recorded crash as a failure of its machine.

        The record doesn't tell when it was. It counts as one before the
        takeover, so that it doesn't look like a part of a mass failure after.
        """
        incarnation = _Incarnation(crash.worker_id, crash.born_ms)
        if incarnation in self._restored:
            return
        self._restored.add(incarnation)
        failed_ms = (
            self._clock.monotonic_ms() - 2 * blame.MASS_FAILURE_WINDOW_MS
        )
        is_explained = crash.is_prime and crash.ran_ms <= blame.QUICK_CRASH_MS
        self._failures.append(_Failure(failed_ms, crash.machine, is_explained))
        self._is_faulty(crash.machine, failed_ms)

    def resolve_trials(self) -> None:
        """Decides on the trials of a previous owner once its runs are known.

        Only now suspected tasks of its jobs may start.

        A worker that was replaced, or that can't be reached, has crashed. One
        that answers has never been told to start the run.
        """
        for task in self._suspects:
            task.suspected_since_ms = self._clock.monotonic_ms()
        unresolved = [
            task
            for job in self._jobs
            for step in job.all_steps()
            for task in step.tasks
            if task.trial is not None
            and all(run.number != task.trial.run for run in task.runs)
        ]
        for task in unresolved:
            trial = task.trial
            assert trial is not None
            task.trial = None
            self._jobs.mark_changed(task.step.job)
            if not self._workers.has_listed_runs(
                trial.worker_id, trial.born_ms
            ):
                self._add(task, self._crash_of(trial))
        self.confirm_replaced()

    def _crash_of(self, trial: records.TrialRecord) -> records.CrashRecord:
        return records.CrashRecord(
            trial.run,
            trial.worker_id,
            trial.born_ms,
            trial.machine,
            trial.probation_ms - blame.SURVIVAL_MARGIN_MS,
            was_alone=trial.is_alone,
            was_on_trial=trial.is_apart,
            is_prime=True,
            is_excused=self._were_replaced_together(trial.machine),
            recorded_wall_ms=trial.wall_ms,
        )

    def _were_replaced_together(self, machine: str) -> bool:
        """Whether many workers were replaced about when one was.

        They failed together, before this owner could see it.
        """
        born_ms = self._workers.newest_born_ms(machine)
        together = [
            other_ms
            for other_ms in self._workers.successors_born_ms()
            if abs(other_ms - born_ms) <= blame.MASS_FAILURE_WINDOW_MS
        ]
        return len(together) >= blame.MASS_FAILURE_COUNT


def _is_apart(run: runs_module.Run) -> bool:
    """Whether a run was on trial, with nothing else started beside it."""
    trial = run.task.trial
    return trial is not None and trial.run == run.number and trial.is_apart


def _is_of(crash: records.CrashRecord, incarnation: _Incarnation) -> bool:
    return (crash.worker_id, crash.born_ms) == (
        incarnation.worker_id,
        incarnation.born_ms,
    )

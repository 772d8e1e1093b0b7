"""The owner's table of unfinished jobs, their ready steps and records."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from typing import final

import attrs
import logbook

from comfreylatch._ports import clock as clock_port
from comfreylatch._process import logs
from comfreylatch._process.cell import records
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import specs
from comfreylatch._process.cell.numbering import run_numbers
from comfreylatch._process.cell.record_size import limits as limits_module
from comfreylatch._process.cell.record_size import progress_parts

# Delay before a lasting task that has ended is started again. It bounds the
# rate of starts of a task that always ends at once.
LASTING_RESTART_DELAY_MS = 50

_logger = logbook.Logger(__name__)


@attrs.frozen
class PendingWrites:
    """Records to be written to the topics of jobs and of work, by key."""

    jobs: dict[str, bytes | None]
    work: dict[str, bytes | None]


@final
class JobTable:
    """All unfinished jobs of a cell. Only the owner's thread uses it.

    Attributes:
        services: Services of the queues of all jobs added so far.
    """

    def __init__(
        self,
        token: int,
        clock: clock_port.Clock,
        limits: limits_module.StoreLimits | None = None,
    ) -> None:
        self.services: set[str] = set()
        self._progress_records = progress_parts.ProgressRecords(
            (limits or limits_module.StoreLimits()).value_bytes
        )
        self._token = token
        self._clock = clock
        self._jobs: dict[str, runs_module.ActiveJob] = {}
        self._ready: dict[str, runs_module.StepInstance] = {}
        self._repeating: set[str] = set()
        self._state_writes: dict[str, bytes | None] = {}
        self._work_writes: dict[str, bytes | None] = {}
        self._dirty: set[str] = set()

    def __len__(self) -> int:
        return len(self._jobs)

    def __iter__(self) -> Iterator[runs_module.ActiveJob]:
        return iter(self._jobs.values())

    def find(self, job_id: str) -> runs_module.ActiveJob | None:
        """Returns an unfinished job; None if there is none with this id."""
        return self._jobs.get(job_id)

    def find_task(self, name: str) -> runs_module.Task | None:
        """Returns a task of an unfinished job by its id; None if unknown."""
        parsed = runs_module.parse_task_name(name)
        if parsed is None:
            return None
        job = self._jobs.get(parsed.job_id)
        if job is None:
            return None
        if parsed.occurrence not in job.steps and (
            parsed.occurrence < job.occurrence_count
        ):
            # A previous owner created the occurrence, which isn't known here.
            job.create_occurrence(parsed.occurrence)
            self._add_ready_steps(job, parsed.occurrence)
        return job.find(parsed.occurrence, parsed.step, parsed.index)

    def add(
        self,
        spec: specs.JobSpec,
        run_number_floor: int = 0,
        progress: records.ProgressRecord | None = None,
        state: records.JobState = records.JobState.QUEUED,
        progress_keys: Iterable[str] = (),
    ) -> runs_module.ActiveJob | None:
        """Adds an accepted job; returns None if it is in the table already.

        Args:
            spec: The job.
            run_number_floor: Highest run number that a previous owner may have
                used; 0 for a job that none had.
            progress: What a previous owner recorded of it.
            state: Its state as last recorded.
            progress_keys: Keys of the parts that its progress is divided into.
        """
        if spec.job_id in self._jobs:
            return None
        now_ms = self._clock.monotonic_ms()
        age_ms = max(self._clock.wall_ms() - spec.accepted_wall_ms, 0)
        job = runs_module.ActiveJob(
            spec,
            now_ms - age_ms,
            run_number_floor=run_number_floor,
            run_number_limit=run_numbers.initial_limit(
                self._token, run_number_floor
            ),
            state=state,
        )
        self._jobs[spec.job_id] = job
        self._progress_records.restore(spec.job_id, progress_keys)
        self.services.add(spec.queue.service)
        if spec.repetitions:
            self._repeating.add(spec.job_id)
        else:
            job.create_occurrence(0)
        if progress is not None:
            job.restore(progress)
        self.create_due_occurrences()
        for occurrence in job.steps:
            self._add_ready_steps(job, occurrence)
        if job.is_complete:
            self.finish(job, records.JobState.COMPLETED)
        return job

    def create_due_occurrences(self) -> None:
        """Creates the occurrences that are due, with their steps."""
        now_ms = self._clock.wall_ms()
        for job_id in list(self._repeating):
            job = self._jobs[job_id]
            while (
                job.next_occurrence < job.occurrence_count
                and job.due_wall_ms(job.next_occurrence) <= now_ms
            ):
                occurrence = job.next_occurrence
                job.create_occurrence(occurrence)
                self._add_ready_steps(job, occurrence)
            if job.next_occurrence >= job.occurrence_count:
                self._repeating.discard(job_id)

    def _add_ready_steps(
        self, job: runs_module.ActiveJob, occurrence: int
    ) -> None:
        for step in job.steps[occurrence]:
            if step.unfinished_count and job.is_ready(step):
                step.is_first_started_here = any(
                    dependency.is_end_exclusive
                    for dependency in job.dependencies(step)
                )
                step.ready_ms = step.ready_ms or self._ready_since_ms(step)
                self._ready[step.name] = step

    def _ready_since_ms(self, step: runs_module.StepInstance) -> int:
        """Monotonic time since which a step that is ready may have been so.

        A lasting task of a previous owner's job may have had no run for as long
        as the job is old. The steps of others are ranked by their job's age.
        """
        job = step.job
        if step.spec.is_lasting and job.run_number_floor > 0:
            return job.accepted_ms
        return self._clock.monotonic_ms()

    def ready_steps(self) -> list[runs_module.StepInstance]:
        """Returns the steps that may run and have pending tasks."""
        return [step for step in self._ready.values() if step.pending_tasks]

    def nearly_ready_steps(self) -> list[runs_module.StepInstance]:
        """Returns steps that wait only for tasks that are at least half done.

        Only for queues that require advice, so that it can be requested before
        the step is ready.
        """
        return [
            step
            for job in self._jobs.values()
            if job.spec.queue.advice is not None
            for step in job.all_steps()
            if step.unfinished_count
            and not job.is_ready(step)
            and job.is_nearly_ready(step)
        ]

    def mark_started(self, job: runs_module.ActiveJob) -> None:
        """Marks a job as running once a worker has started one of its tasks."""
        if job.state is records.JobState.QUEUED:
            job.state = records.JobState.RUNNING
            self._record_state(job)

    def mark_done(self, task: runs_module.Task) -> None:
        """Marks a task as done; for a member of a gang, the whole gang."""
        step = task.step
        members = step.tasks if step.spec.is_gang else [task]
        for member in members:
            step.mark_done(member)
        job = step.job
        self._dirty.add(job.spec.job_id)
        if step.unfinished_count:
            return
        self._ready.pop(step.name, None)
        if job.is_complete:
            self.finish(job, records.JobState.COMPLETED)
        else:
            self._add_ready_steps(job, step.occurrence)

    def record_failure(self, task: runs_module.Task, run: int) -> None:
        """Records a failed run; fails the job after its last attempt."""
        step = task.step
        job = step.job
        if step.spec.is_lasting:
            self.delay_restart(task)
            return
        members = step.tasks if step.spec.is_gang else [task]
        for member in members:
            member.failed_runs |= {run}
        self._dirty.add(job.spec.job_id)
        if task.failures >= job.spec.queue.max_attempts:
            self.finish(job, records.JobState.FAILED)

    def delay_restart(self, task: runs_module.Task) -> None:
        """Delays the next start of a lasting task that has ended."""
        task.not_before_ms = (
            self._clock.monotonic_ms() + LASTING_RESTART_DELAY_MS
        )

    def record_checkpoint(
        self, task: runs_module.Task, checkpoint: str
    ) -> None:
        """Records the checkpoint of a run that ended before it was done."""
        if checkpoint and checkpoint != task.checkpoint:
            task.keep_checkpoint(checkpoint)
            self._dirty.add(task.step.job.spec.job_id)

    def mark_changed(self, job: runs_module.ActiveJob) -> None:
        """Has the progress of an unfinished job recorded."""
        self._dirty.add(job.spec.job_id)

    def end_trial(self, task: runs_module.Task, run: int) -> None:
        """Notes that a run did not crash its worker, or that it is counted."""
        if task.trial is not None and task.trial.run == run:
            task.trial = None
            self.mark_changed(task.step.job)

    def cancel(self, job_id: str) -> runs_module.ActiveJob | None:
        """Cancels a job; returns it if it was unfinished, else None."""
        job = self._jobs.get(job_id)
        if job is not None:
            job.is_cancelled = True
            self.finish(job, records.JobState.CANCELLED)
        return job

    def finish(
        self, job: runs_module.ActiveJob, state: records.JobState
    ) -> None:
        """Removes a job in its final state; its runs may not have ended yet."""
        job_id = job.spec.job_id
        if self._jobs.pop(job_id, None) is None:
            return
        job.state = state
        self._repeating.discard(job_id)
        for step in job.all_steps():
            self._ready.pop(step.name, None)
        self._dirty.discard(job_id)
        self._record_state(job)
        # The spec is dropped after the state in the same append, so that hosts
        # that restart read the specs of unfinished jobs only.
        self._state_writes[records.JOB_PREFIX + job_id] = None
        self._work_writes.update(self._progress_records.drop(job_id))
        logs.event(
            _logger,
            "job-ended",
            job=job_id,
            state=state,
            queue=job.spec.queue.name,
            age_ms=self._clock.monotonic_ms() - job.accepted_ms,
            first_start_ms=(job.first_start_ms or job.accepted_ms)
            - job.accepted_ms,
            token=self._token,
        )

    def _record_state(self, job: runs_module.ActiveJob) -> None:
        record = records.StateRecord(job.state, self._token)
        key = records.STATE_PREFIX + job.spec.job_id
        self._state_writes[key] = records.encode(record)

    def drain_writes(self) -> PendingWrites:
        """Returns the records to be written since the last call."""
        for job_id in self._dirty:
            job = self._jobs.get(job_id)
            if job is not None:
                self._work_writes.update(self._progress_records.encode(job))
        self._dirty.clear()
        writes = PendingWrites(self._state_writes, self._work_writes)
        self._state_writes = {}
        self._work_writes = {}
        return writes

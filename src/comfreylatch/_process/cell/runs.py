"""The owner's state of unfinished jobs, their steps, tasks and runs.

Only the owner's thread uses these objects, except where stated.
"""

from __future__ import annotations

from collections.abc import Iterator
import enum

import attrs

from comfreylatch._process.cell import records
from comfreylatch._process.cell import specs

# Intensity (see `Run`) assumed of a filling task until its usage has been
# reported: the average of filling tasks. Typically three fifths of them are
# near 1, the others near two thirds.
DEFAULT_INTENSITY = 0.88

# Progress, in percent, that a lasting task reports while it is serving.
FULL_PROGRESS_PERCENT = 100.0


class RunPhase(enum.Enum):
    """Phase of a run."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@attrs.frozen
class Ticket:
    """Permits starts of a step's tasks on one incarnation of a worker.

    Attributes:
        text: Opaque text that a start order has to carry.
        born_ms: Identifies the incarnation of the worker.
        expires_ms: Monotonic time from which the ticket is no longer used.
    """

    text: str
    born_ms: int
    expires_ms: int


@attrs.define(eq=False)
class Run:
    """One run of a task on a worker, until it is known to have ended.

    Attributes:
        task: The task.
        number: Run number; rises with each run of the task.
        worker_id: The worker that it was placed on.
        phase: Its phase.
        ordered_ms: Monotonic time of its start order.
        confirmed_ms: Monotonic time at which the worker confirmed the current
            start or stop order; 0 before.
        percent: Progress as last reported.
        progressed_ms: Monotonic time at which the progress last rose.
        reading: Tail latency in milliseconds of a task with a tail target, else
            the millicores in use, as last reported.
        pace_percent: Pace that was last ordered, by this owner.
        is_pace_known: Whether that is its pace; a previous owner may have
            ordered another.
        slow_since_ms: Monotonic time since which its pace has been too low for
            useful progress; 0 while it isn't.
        intensity: Share of its request that a filling task uses at full pace;
            tasks alternate between heavy and light phases.
        pace_changed_ms: Monotonic time of the last change of pace; 0 before.
        over_target_since_ms: Monotonic time since which all its readings have
            been over its tail target; 0 while they aren't.
        unanswered_tries: Tries of its start order that got no answer.
        is_in_doubt: Whether an order is unconfirmed that the worker may have
            carried out or may still carry out.
        start_returned_ms: Monotonic time at which its start order came to an
            end, answered or not; 0 before.
        is_over: Whether it is known to have ended or was given up. A start
            order that is still queued must not be sent then, as its task may
            have another run.
        was_ordered: Whether its start order was passed on to be sent.
        is_adopted: Whether a previous owner started it, at an unknown time.
        is_exclusive: Whether no previous owner can learn how it ends.
    """

    task: Task
    number: int
    worker_id: str
    phase: RunPhase
    ordered_ms: int
    confirmed_ms: int = 0
    percent: float = 0.0
    progressed_ms: int = 0
    reading: int = 0
    pace_percent: int = 100
    is_pace_known: bool = True
    slow_since_ms: int = 0
    intensity: float = DEFAULT_INTENSITY
    pace_changed_ms: int = 0
    over_target_since_ms: int = 0
    unanswered_tries: int = 0
    is_in_doubt: bool = False
    start_returned_ms: int = 0
    is_over: bool = False
    was_ordered: bool = False
    is_adopted: bool = False
    is_exclusive: bool = False

    @property
    def should_start(self) -> bool:
        """Whether it is to be started if it hasn't been. Thread-safe."""
        return (
            not self.is_over
            and self.phase is not RunPhase.STOPPING
            and not self.task.is_done
        )


@attrs.define(eq=False)
class Task:
    """A task with its runs that have not ended.

    Attributes:
        name: Its id, `job.occurrence.step.index`.
        index: Its index within the step.
        step: The step it belongs to.
        last_run: Highest run number used.
        checkpoint: Checkpoint that the next run resumes from; empty to start
            from the beginning.
        failed_runs: Numbers of the failed runs. A set, as a worker may report
            the same end again to a later owner.
        is_done: Whether a run has completed it.
        runs: Runs that may not have ended.
        not_before_ms: Monotonic time before which it is not started again.
        avoided_workers: Workers on which it failed or stalled.
        pending_since_ms: Monotonic time since which it has been pending.
        crashes: Workers that crashed under it, and that no longer run of it
            has refuted.
        suspected_since_ms: Monotonic time of the last change of `crashes`, or
            of the takeover.
        near_wait_since_ms: Monotonic time since which it waits for a worker
            near its data or its group; 0 while it doesn't.
        has_left_zone: Whether a run of it was moved off an evacuated zone.
        trial: Its recorded run, see `TrialRecord`; None if it has none.
    """

    name: str
    index: int
    step: StepInstance
    last_run: int = 0
    checkpoint: str = ""
    failed_runs: frozenset[int] = frozenset()
    is_done: bool = False
    runs: list[Run] = attrs.field(factory=list)
    not_before_ms: int = 0
    avoided_workers: frozenset[str] = frozenset()
    pending_since_ms: int = 0
    crashes: tuple[records.CrashRecord, ...] = ()
    suspected_since_ms: int = 0
    near_wait_since_ms: int = 0
    has_left_zone: bool = False
    trial: records.TrialRecord | None = None

    @property
    def failures(self) -> int:
        """Number of its runs that have failed."""
        return len(self.failed_runs)

    @property
    def is_pending(self) -> bool:
        """Whether it is not done and has no run."""
        return not self.is_done and not self.runs

    def keep_checkpoint(self, checkpoint: str) -> None:
        """Keeps a checkpoint, which is valid for all members of a gang.

        All members have to resume from the same one: members that carry others
        do not work together.
        """
        members = self.step.tasks if self.step.spec.is_gang else [self]
        for member in members:
            member.checkpoint = checkpoint

    @property
    def waiting_since_ms(self) -> int:
        """Monotonic time since which it could run and has had no run."""
        return max(self.pending_since_ms, self.step.ready_ms)


@attrs.define(eq=False)
class StepInstance:
    """One step in one occurrence of a job.

    Attributes:
        job: The job it belongs to.
        occurrence: Number of the occurrence.
        number: Number of the step.
        spec: The step as submitted.
        tasks: Its tasks in the order of their indexes.
        pending_tasks: Tasks that are not done and have no run, by index.
        unfinished_count: Number of tasks that are not done.
        runs_per_worker: Number of runs by worker.
        tickets: Tickets by worker if the queue requires advice, else None.
        ready_ms: Monotonic time at which the steps that it depends on were
            done; 0 before.
        durations_ms: Durations of its runs that ran from start to end without
            an interruption.
        is_end_exclusive: Whether no previous owner has learned, or can learn,
            that it is done.
        is_first_started_here: Whether no previous owner has started it, or can
            start it, as none knows that a step that it depends on is done.
    """

    job: ActiveJob
    occurrence: int
    number: int
    spec: specs.StepSpec
    tasks: list[Task] = attrs.field(factory=list)
    pending_tasks: dict[int, Task] = attrs.field(factory=dict)
    unfinished_count: int = 0
    runs_per_worker: dict[str, int] = attrs.field(factory=dict)
    tickets: dict[str, Ticket] | None = None
    ready_ms: int = 0
    durations_ms: list[int] = attrs.field(factory=list)
    is_end_exclusive: bool = False
    is_first_started_here: bool = False

    @property
    def may_have_unknown_runs(self) -> bool:
        """Whether a previous owner's runs of it may still be unknown."""
        return self.job.run_number_floor > 0 and not self.is_first_started_here

    @property
    def unavailable_count(self) -> int:
        """Number of its tasks that are not serving, for whatever reason."""
        return sum(
            not any(
                run.phase is RunPhase.RUNNING
                and run.percent >= FULL_PROGRESS_PERCENT
                for run in task.runs
            )
            for task in self.tasks
        )

    @property
    def oldest_pending_ms(self) -> int:
        """Monotonic time since which its oldest pending task has waited."""
        return min(
            (task.waiting_since_ms for task in self.pending_tasks.values()),
            default=0,
        )

    @property
    def name(self) -> str:
        """Its id, `job.occurrence.step`."""
        return f"{self.job.spec.job_id}.{self.occurrence}.{self.number}"

    def add_run(self, run: Run) -> None:
        """Adds a run of one of its tasks."""
        run.task.runs.append(run)
        self.pending_tasks.pop(run.task.index, None)
        self.runs_per_worker[run.worker_id] = (
            self.runs_per_worker.get(run.worker_id, 0) + 1
        )

    def remove_run(self, run: Run, now_ms: int) -> None:
        """Removes a run that has ended; its task may become pending."""
        task = run.task
        run.is_over = True
        if run not in task.runs:
            return
        task.runs.remove(run)
        remaining = self.runs_per_worker.get(run.worker_id, 0) - 1
        if remaining > 0:
            self.runs_per_worker[run.worker_id] = remaining
        else:
            self.runs_per_worker.pop(run.worker_id, None)
        if task.is_pending:
            task.pending_since_ms = now_ms
            self.pending_tasks[task.index] = task

    def note_exclusive(self, run: Run) -> None:
        """Notes that no previous owner can learn how a run ends.

        Nor that the step is done, as that takes each of its tasks. But the end
        of one member stands for a whole gang, and that of a copy for its task.
        """
        run.is_exclusive = True
        if self.spec.is_speculative:
            return
        members = self.tasks if self.spec.is_gang else [run.task]
        self.is_end_exclusive |= all(
            any(
                other.is_exclusive and other.number == run.number
                for other in member.runs
            )
            for member in members
        )

    def mark_done(self, task: Task) -> None:
        """Marks a task as done."""
        if not task.is_done:
            task.is_done = True
            self.unfinished_count -= 1
            self.pending_tasks.pop(task.index, None)


@attrs.define(eq=False)
class ActiveJob:
    """A job that has not ended.

    Its steps run once in each occurrence; a job without repetitions has one
    occurrence.

    Attributes:
        spec: The job as submitted.
        accepted_ms: When it was accepted, on this host's monotonic clock.
        steps: Steps of the occurrences created so far, by occurrence.
        next_occurrence: The lowest occurrence that has not been created. Later
            ones may exist, as a previous owner may have created them.
        state: State as last recorded.
        is_cancelled: Whether a caller has cancelled it.
        run_number_floor: Run numbers start above it; previous owners may have
            used the numbers up to it.
        run_number_limit: Highest run number that may be used without another
            reservation, see `numbering.run_numbers`.
        reserved_run: Highest run number that a record reserves; 0 if none does.
        first_start_ms: Monotonic time at which its first task was started; 0
            before.
    """

    spec: specs.JobSpec
    accepted_ms: int
    steps: dict[int, list[StepInstance]] = attrs.field(factory=dict)
    next_occurrence: int = 0
    state: records.JobState = records.JobState.QUEUED
    is_cancelled: bool = False
    run_number_floor: int = 0
    run_number_limit: int = 1 << 53
    reserved_run: int = 0
    first_start_ms: int = 0

    @property
    def occurrence_count(self) -> int:
        """Number of times that its steps run."""
        return max(self.spec.repetitions, 1)

    def due_wall_ms(self, occurrence: int) -> int:
        """Wall time at which an occurrence is due; 0 for at once."""
        if self.spec.repetitions == 0:
            return 0
        return self.spec.first_due_ms + occurrence * self.spec.interval_ms

    def create_occurrence(self, occurrence: int) -> list[StepInstance]:
        """Creates the steps of an occurrence."""
        steps = []
        for number, spec in enumerate(self.spec.steps):
            step = StepInstance(self, occurrence, number, spec)
            if self.spec.queue.advice is not None:
                step.tickets = {}
            for index in range(spec.task_count):
                name = f"{step.name}.{index}"
                task = Task(name, index, step, last_run=self.run_number_floor)
                step.tasks.append(task)
                step.pending_tasks[index] = task
            step.unfinished_count = spec.task_count
            steps.append(step)
        self.steps[occurrence] = steps
        while self.next_occurrence in self.steps:
            self.next_occurrence += 1
        return steps

    def all_steps(self) -> Iterator[StepInstance]:
        """Yields the steps of all occurrences created so far."""
        for steps in self.steps.values():
            yield from steps

    def all_runs(self) -> Iterator[Run]:
        """Yields all runs that may not have ended."""
        for step in self.all_steps():
            for task in step.tasks:
                yield from task.runs

    def find(self, occurrence: int, step: int, index: int) -> Task | None:
        """Returns the task with these numbers; None if there is none."""
        steps = self.steps.get(occurrence)
        if steps is None or not 0 <= step < len(steps):
            return None
        tasks = steps[step].tasks
        return tasks[index] if 0 <= index < len(tasks) else None

    @property
    def is_complete(self) -> bool:
        """Whether every task of every occurrence is done."""
        if self.next_occurrence < self.occurrence_count:
            return False
        return all(step.unfinished_count == 0 for step in self.all_steps())

    def dependencies(self, step: StepInstance) -> list[StepInstance]:
        """Returns the steps of the same occurrence that a step depends on."""
        siblings = self.steps[step.occurrence]
        return [
            siblings[number]
            for number in step.spec.depends_on
            if number < len(siblings)
        ]

    def is_ready(self, step: StepInstance) -> bool:
        """Whether all steps that a step depends on are done."""
        return all(
            dependency.unfinished_count == 0
            for dependency in self.dependencies(step)
        )

    def is_nearly_ready(self, step: StepInstance) -> bool:
        """Whether all tasks that a step depends on are at least half done."""
        return all(
            task.is_done or any(run.percent >= 50 for run in task.runs)
            for dependency in self.dependencies(step)
            for task in dependency.tasks
        )

    def progress(self) -> records.ProgressRecord:
        """Returns the progress that the next owner needs."""
        steps = []
        for step in self.all_steps():
            done = tuple(task.index for task in step.tasks if task.is_done)
            failed_runs = {
                task.index: tuple(sorted(task.failed_runs))
                for task in step.tasks
                if task.failed_runs and not task.is_done
            }
            checkpoints = {
                task.index: task.checkpoint
                for task in step.tasks
                if task.checkpoint and not task.is_done
            }
            crashes = {
                task.index: task.crashes
                for task in step.tasks
                if task.crashes and not task.is_done
            }
            trials = {
                task.index: task.trial
                for task in step.tasks
                if task.trial is not None and not task.is_done
            }
            if done or failed_runs or checkpoints or crashes or trials:
                steps.append(
                    records.StepProgress(
                        step.occurrence,
                        step.number,
                        done,
                        failed_runs,
                        checkpoints,
                        crashes,
                        trials,
                    )
                )
        return records.ProgressRecord(tuple(steps), self.reserved_run)

    def restore(self, progress: records.ProgressRecord) -> None:
        """Restores the progress that a previous owner recorded."""
        self.reserved_run = progress.reserved_run
        for first, last in progress.ended:
            self._restore_ended(max(first, 0), last)
        for recorded in progress.steps:
            if 0 <= recorded.occurrence < self.occurrence_count:
                self._restore_step(recorded)

    def _restore_step(self, recorded: records.StepProgress) -> None:
        if recorded.occurrence not in self.steps:
            self.create_occurrence(recorded.occurrence)
        self._restore_crashes(recorded)
        for index in recorded.done:
            task = self.find(recorded.occurrence, recorded.step, index)
            # Earlier versions recorded lasting tasks as done, too.
            if task is not None and not task.step.spec.is_lasting:
                task.step.mark_done(task)
        for index, failed_runs in recorded.failed_runs.items():
            task = self.find(recorded.occurrence, recorded.step, index)
            if task is not None:
                task.failed_runs = frozenset(failed_runs)
        for index, checkpoint in recorded.checkpoints.items():
            task = self.find(recorded.occurrence, recorded.step, index)
            if task is not None:
                # Earlier versions recorded one for each member of a gang.
                task.keep_checkpoint(checkpoint)

    def _restore_ended(self, first: int, last: int) -> None:
        for occurrence in range(first, min(last + 1, self.occurrence_count)):
            if occurrence not in self.steps:
                self.create_occurrence(occurrence)
            for step in self.steps[occurrence]:
                for task in step.tasks:
                    step.mark_done(task)

    def _restore_crashes(self, recorded: records.StepProgress) -> None:
        for index, crashes in recorded.crashes.items():
            task = self.find(recorded.occurrence, recorded.step, index)
            if task is not None:
                task.crashes = tuple(crashes)
        for index, trial in recorded.trials.items():
            task = self.find(recorded.occurrence, recorded.step, index)
            if task is not None:
                task.trial = trial


@attrs.frozen
class TaskName:
    """The components of a task's id."""

    job_id: str
    occurrence: int
    step: int
    index: int


def parse_task_name(name: str) -> TaskName | None:
    """Parses a task's id; returns None if it is malformed."""
    parts = name.split(".")
    if len(parts) != 4 or not all(part.isdigit() for part in parts[1:]):
        return None
    return TaskName(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))

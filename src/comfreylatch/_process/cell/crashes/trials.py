"""Chooses workers for tasks that are suspected of crashing theirs."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import enum

import attrs

from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import worker_view
from comfreylatch._process.cell.crashes import blame
from comfreylatch._process.cell.planning import candidates

# How long a task waits for a worker of its own: after its first crash, and
# after others. Then it may share one, but not with another trial. The waits are
# shorter than the time after which a job without a run counts as lost.
FIRST_ALONE_WAIT_MS = 1_000
ALONE_WAIT_MS = 2_000
APART_WAIT_MS = 2_500
# Workers are reserved for one in so many suspected tasks, as most are tried one
# after the other within the wait.
TASKS_PER_RESERVED_WORKER = 3
MAX_RESERVED_SHARE = 0.15
# Time from a worker's first failed call until one is emptied for the trials. A
# worker that has crashed is back after some three seconds.
EMPTYING_DELAY_MS = 1_500
# Workers that would be empty within the same step are told apart by the lasting
# tasks on them.
EMPTYING_STEP_MS = 500

CrashedLately = Callable[[str], bool]


class TrialOutcome(enum.Enum):
    """What to do with a suspected task that got no worker of its own."""

    WAIT = "wait"
    PLACE_ANYWHERE = "place-anywhere"


@attrs.frozen
class _Cost:
    """Cost of a worker for a trial; compared field by field."""

    is_occupied: bool
    has_crashed_lately: bool
    lasting_millicores: int
    is_unreserved: bool
    run_count: int


def choose_worker(
    task: runs_module.Task,
    workers: Iterable[worker_view.WorkerView],
    cost: candidates.CostFunction,
    crashed_lately: CrashedLately,
    now_ms: int,
) -> worker_view.WorkerView | TrialOutcome:
    """Chooses the worker for a task's next run, which is its only trial.

    An empty one is best, as a crash then proves the task's fault. Otherwise the
    worker is the one whose loss costs least.

    Args:
        task: The suspected task.
        workers: Workers that accept a trial.
        cost: Cost of a worker for the task's step; None if it doesn't fit.
        crashed_lately: Whether a machine has crashed lately, by its address.
        now_ms: Monotonic time.
    """
    machines = {crash.machine for crash in task.crashes}
    waited_ms = now_ms - max(task.waiting_since_ms, task.suspected_since_ms)
    if (
        blame.awaits_confirmation(task.crashes)
        and waited_ms < blame.CONFIRMATION_WAIT_MS
    ):
        return TrialOutcome.WAIT
    alone_wait_ms = ALONE_WAIT_MS
    if len(task.crashes) == 1:
        alone_wait_ms = FIRST_ALONE_WAIT_MS
    suitable = [
        worker
        for worker in workers
        if worker.entry.address not in machines and cost(worker) is not None
    ]
    if waited_ms < alone_wait_ms:
        suitable = [worker for worker in suitable if not worker.runs]
    if suitable:
        return min(
            suitable,
            key=lambda worker: attrs.astuple(
                _cost_of_loss(worker, crashed_lately)
            ),
        )
    if waited_ms < APART_WAIT_MS:
        return TrialOutcome.WAIT
    return TrialOutcome.PLACE_ANYWHERE


def _cost_of_loss(
    worker: worker_view.WorkerView, crashed_lately: CrashedLately
) -> _Cost:
    return _Cost(
        bool(worker.runs),
        crashed_lately(worker.entry.address),
        worker.lasting_millicores,
        not worker.is_reserved,
        len(worker.runs),
    )


def reserve_workers(
    workers: Iterable[worker_view.WorkerView],
    waiting: Sequence[runs_module.Task],
    crashed_lately: CrashedLately,
    now_ms: int,
) -> list[runs_module.Run]:
    """Reserves as many workers for trials as are needed soon.

    Args:
        workers: All workers.
        waiting: Suspected tasks that have no run.
        crashed_lately: Whether a machine has crashed lately, by its address.
        now_ms: Monotonic time.

    Returns:
        Runs to be moved off the reserved workers.
    """
    views = list(workers)
    expected_count = len(waiting) + _expected_count(views, now_ms)
    wanted = min(
        -(-expected_count // TASKS_PER_RESERVED_WORKER),
        max(int(len(views) * MAX_RESERVED_SHARE), 1),
    )
    if wanted == 0:
        _release_surplus(views, (), 0, now_ms)
        return []
    usable = [view for view in views if _can_be_emptied(view, now_ms)]
    crashed = {crash.machine for task in waiting for crash in task.crashes}
    if crashed.issuperset(view.entry.address for view in usable):
        crashed = set()
    reserved_count = _release_surplus(views, crashed, wanted, now_ms)
    usable.sort(
        key=lambda view: (
            view.entry.address in crashed,
            crashed_lately(view.entry.address),
            _cost_of_emptying(view, now_ms),
        )
    )
    moving: list[runs_module.Run] = []
    for view in usable[: wanted - reserved_count]:
        view.is_reserved = True
        moving.extend(run for run in view.runs.values() if _must_move(run))
    return moving


def _release_surplus(
    views: Iterable[worker_view.WorkerView],
    crashed: Collection[str],
    wanted: int,
    now_ms: int,
) -> int:
    """Ends reservations that are of no use; returns how many are left.

    Args:
        views: All workers.
        crashed: Machines on which waiting tasks are not tried again.
        wanted: How many workers may stay reserved.
        now_ms: Monotonic time.
    """
    kept = 0
    for view in views:
        if not view.is_reserved:
            continue
        can_try = view.accepts_trial(now_ms) or view.trial_run is not None
        view.is_reserved = (
            can_try and view.entry.address not in crashed and kept < wanted
        )
        kept += view.is_reserved
    return kept


def _cost_of_emptying(
    view: worker_view.WorkerView, now_ms: int
) -> tuple[int, int, int]:
    """Cost of emptying a worker; compared field by field."""
    return (
        _emptying_steps(view, now_ms),
        view.lasting_millicores,
        len(view.runs),
    )


def _can_be_emptied(view: worker_view.WorkerView, now_ms: int) -> bool:
    """Whether a worker may be reserved and the runs on it moved."""
    return view.accepts_work(now_ms) and not any(
        run.task.step.spec.max_unavailable or run.task.step.spec.is_gang
        for run in view.runs.values()
    )


def _emptying_steps(view: worker_view.WorkerView, now_ms: int) -> int:
    """Returns how long the runs last that can't be moved, in steps."""
    return max(
        (
            max(run.task.step.spec.estimated_ms - (now_ms - run.ordered_ms), 0)
            // EMPTYING_STEP_MS
            for run in view.runs.values()
            if not _must_move(run)
        ),
        default=0,
    )


def _must_move(run: runs_module.Run) -> bool:
    """Whether a run has to be moved rather than to end by itself."""
    spec = run.task.step.spec
    return run.phase is runs_module.RunPhase.RUNNING and (
        spec.is_lasting or spec.has_checkpoints
    )


def _expected_count(
    views: Iterable[worker_view.WorkerView], now_ms: int
) -> int:
    """Counts the runs that are suspected if the failing workers crashed."""
    failing = [
        view
        for view in views
        if view.failing_since_ms
        and view.runs
        and EMPTYING_DELAY_MS
        <= now_ms - view.failing_since_ms
        < blame.SUSPECT_RUN_MS
    ]
    if len(failing) >= blame.MASS_FAILURE_COUNT:
        return 0
    return sum(
        len(blame.prime_runs(view.runs.values(), view.failing_since_ms))
        for view in failing
    )

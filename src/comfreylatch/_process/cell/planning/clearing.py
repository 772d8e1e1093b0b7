"""Clears workers of lasting tasks for filling tasks that interfere.

The filling tasks of some images interfere so much that they can't share a
worker with any lasting task, while nearly every worker has lasting tasks. So
one worker's lasting tasks are stopped for a few seconds. This costs them a
small share of their time; meanwhile all of its processors are free for jobs
that would otherwise wait forever.
"""

from __future__ import annotations

from collections.abc import Iterable

from comfreylatch._process.cell import interference
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import worker_view
from comfreylatch._process.cell.planning import placement

# How long a worker stays cleared.
CLEARED_DURATION_MS = 4_000
# A lasting task without a run for this long may use a cleared worker if there
# is no other; after six seconds it counts as lost if a worker has capacity.
LASTING_OVERDUE_MS = 4_500
# Time from the end of a worker's clearing until it may be cleared again, so
# that the load is spread over all workers.
RECLEARING_DELAY_MS = 6_000
# How long a task has to wait for a worker before it counts as demand.
MIN_FILLING_WAIT_MS = 400
# Share of a worker's processors that must be in demand to clear it.
MIN_DEMAND_SHARE = 0.4
# A cleared worker used less than this is reopened when no task waits.
MIN_USE_SHARE = 0.25
# Share of all workers that may be cleared at once.
MAX_CLEARED_SHARE = 0.35


def waiting_millicores(
    steps: Iterable[runs_module.StepInstance],
    model: interference.InterferenceModel,
    now_ms: int,
) -> int:
    """Sums the processors that waiting tasks of harmful images request.

    Harmless images are left out: they can use idle processors, so that stopping
    a lasting task gains hardly more than the task is worth.
    """
    return sum(
        len(step.pending_tasks) * step.spec.cpu_millicores
        for step in steps
        if step.spec.fills_idle
        and now_ms - step.ready_ms >= MIN_FILLING_WAIT_MS
        and model.common_coefficient(step.spec.image)
        >= placement.MIN_HARMFUL_COEFFICIENT
    )


def is_overdue(task: runs_module.Task, now_ms: int) -> bool:
    """Whether a lasting task may also use a cleared worker."""
    return now_ms - task.waiting_since_ms > LASTING_OVERDUE_MS


def reopen_unused(
    workers: Iterable[worker_view.WorkerView], now_ms: int
) -> None:
    """Reopens cleared workers with little use; called when no task waits."""
    for worker in workers:
        if now_ms >= worker.cleared_until_ms:
            continue
        used_millicores = worker.fill_millicores
        if (
            used_millicores
            < MIN_USE_SHARE * worker.entry.capacity.cpu_millicores
        ):
            worker.cleared_until_ms = now_ms


def choose_worker(
    workers: list[worker_view.WorkerView], demand_millicores: int, now_ms: int
) -> worker_view.WorkerView | None:
    """Returns the worker to clear next; None if clearing isn't justified."""
    cleared = [worker for worker in workers if now_ms < worker.cleared_until_ms]
    if len(cleared) >= max(MAX_CLEARED_SHARE * len(workers), 1):
        return None
    demand_millicores -= sum(
        max(worker.idle_millicores, 0) for worker in cleared
    )
    candidates = [worker for worker in workers if _may_clear(worker, now_ms)]
    if not candidates:
        return None
    best = max(candidates, key=_benefit_ratio)
    if (
        demand_millicores
        < MIN_DEMAND_SHARE * best.entry.capacity.cpu_millicores
    ):
        return None
    return best


def _benefit_ratio(worker: worker_view.WorkerView) -> float:
    """Processors gained for each one taken from lasting tasks."""
    gained = worker.free_cpu + worker.lasting_millicores
    return gained / max(worker.lasting_millicores, 1)


def _may_clear(worker: worker_view.WorkerView, now_ms: int) -> bool:
    if now_ms < worker.cleared_until_ms + RECLEARING_DELAY_MS:
        return False
    lasting = [
        run for run in worker.runs.values() if run.task.step.spec.is_lasting
    ]
    return bool(lasting) and not any(
        run.task.step.spec.max_unavailable
        or run.phase is runs_module.RunPhase.STARTING
        for run in lasting
    )

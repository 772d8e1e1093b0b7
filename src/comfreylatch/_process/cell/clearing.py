"""When a worker is cleared of lasting tasks for tasks that disturb too much.

Some images press so hard on lasting tasks that they find no place beside
any, while nearly every worker has some. Clearing one worker for a few seconds
costs the lasting tasks there a small share of their time; in it, the worker
does a whole worker's share of jobs that would wait without end.
"""

from __future__ import annotations

from collections.abc import Iterable

from comfreylatch._process.cell import interference
from comfreylatch._process.cell import placement
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import worker_view

# How long a worker stays cleared.
CLEARED_MS = 4_000
# A lasting task that has been away for this long goes on a cleared worker if
# there is no other; after six seconds it counts as lost where it has room.
OVERDUE_MS = 4_500
# A worker is not cleared again so soon, so that all bear their part.
CLEARING_INTERVAL_MS = 6_000
# How long a task waits for a place beside lasting tasks before it counts.
MIN_WAIT_MS = 400
# Share of a worker's processors that must be asked for to clear it.
MIN_DEMAND_SHARE = 0.4
# A cleared worker that is used less than this is opened when nothing waits.
MIN_USE_SHARE = 0.25
# Share of all workers that may be cleared at once.
MAX_CLEARED_SHARE = 0.35


def waiting_millicores(
    steps: Iterable[runs_module.StepInstance],
    model: interference.InterferenceModel,
    now_ms: int,
) -> int:
    """Processors asked for by harmful tasks that have waited in vain.

    Harmless ones wait for idle processors, of which a lasting task that is
    away leaves hardly more than it takes in worth.
    """
    return sum(
        len(step.pending_tasks) * step.spec.cpu_millicores
        for step in steps
        if step.spec.fills_idle
        and now_ms - step.ready_ms >= MIN_WAIT_MS
        and model.common_coefficient(step.spec.image)
        >= placement.MAX_HARMLESS_COEFFICIENT
    )


def is_overdue(task: runs_module.Task, now_ms: int) -> bool:
    """Whether a lasting task may go on a cleared worker, too."""
    since_ms = max(task.pending_since_ms, task.step.ready_ms)
    return now_ms - since_ms > OVERDUE_MS


def reopen_unused(
    workers: Iterable[worker_view.WorkerView], now_ms: int
) -> None:
    """Opens cleared workers that are hardly used; for when nothing waits."""
    for worker in workers:
        if now_ms >= worker.cleared_until_ms:
            continue
        used = worker.fill_millicores
        if used < MIN_USE_SHARE * worker.entry.capacity.cpu_millicores:
            worker.cleared_until_ms = now_ms


def choose_worker(
    workers: list[worker_view.WorkerView], demand: int, now_ms: int
) -> worker_view.WorkerView | None:
    """The worker to be cleared next; None when there is no cause."""
    cleared = [one for one in workers if now_ms < one.cleared_until_ms]
    if len(cleared) >= max(MAX_CLEARED_SHARE * len(workers), 1):
        return None
    demand -= sum(max(one.idle_millicores, 0) for one in cleared)
    candidates = [one for one in workers if _may_clear(one, now_ms)]
    if not candidates:
        return None
    best = max(candidates, key=_benefit_ratio)
    if demand < MIN_DEMAND_SHARE * best.entry.capacity.cpu_millicores:
        return None
    return best


def _benefit_ratio(worker: worker_view.WorkerView) -> float:
    """Processors won for each one taken from lasting tasks."""
    gained = worker.free_cpu + worker.lasting_millicores
    return gained / max(worker.lasting_millicores, 1)


def _may_clear(worker: worker_view.WorkerView, now_ms: int) -> bool:
    if now_ms < worker.cleared_until_ms + CLEARING_INTERVAL_MS:
        return False
    lasting = [
        run for run in worker.runs.values() if run.task.step.spec.is_lasting
    ]
    return bool(lasting) and not any(
        run.task.step.spec.max_unavailable for run in lasting
    )

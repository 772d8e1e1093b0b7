"""Which worker a task goes to. Pure decisions on plain data."""

from __future__ import annotations

from collections.abc import Iterable

from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import specs
from comfreylatch._process.cell import worker_view

# Weights of a worker's drawbacks, in millicores of leftover capacity that
# they are worth: another rack multiplies a task's duration, a slow worker
# does so by its slowness.
OFF_RACK_COST = 60_000.0
SLOWNESS_COST = 40_000.0
FILL_BESIDE_LASTING_COST = 8_000.0


def is_allowed(
    worker: worker_view.WorkerView,
    task: runs_module.Task,
    service: str,
) -> bool:
    """Whether a worker may run a task at all, room aside."""
    step = task.step
    spec = step.spec
    if worker.entry.service != service:
        return False
    if spec.required_label and spec.required_label not in worker.entry.labels:
        return False
    placed = step.per_worker.get(worker.worker_id, 0)
    if spec.max_per_worker and placed >= spec.max_per_worker:
        return False
    return step.tickets is None or worker.worker_id in step.tickets


def cost_of(
    worker: worker_view.WorkerView,
    task: runs_module.Task,
    wanted_rack: str,
) -> float:
    """How bad a worker that has room would be for a task."""
    spec = task.step.spec
    cost = SLOWNESS_COST * max(worker.slowness - 1.0, 0.0)
    if wanted_rack and worker.rack != wanted_rack:
        cost += OFF_RACK_COST
    if spec.fills_idle:
        cost -= worker.idle_millicores
        if worker.lasting_millicores:
            cost += FILL_BESIDE_LASTING_COST
    else:
        cost += worker.free_cpu - spec.cpu_millicores
    if worker.worker_id in task.shunned:
        cost += OFF_RACK_COST
    return cost


def wanted_rack(step: runs_module.StepRun, racks: dict[str, str]) -> str:
    """The rack that a step's tasks are faster on; empty for any.

    `racks` gives the rack of each worker.
    """
    if step.spec.data_rack:
        return step.spec.data_rack
    if not step.spec.needs_one_rack:
        return ""
    counts: dict[str, int] = {}
    for worker_id, count in step.per_worker.items():
        rack = racks.get(worker_id, "")
        counts[rack] = counts.get(rack, 0) + count
    return max(counts, key=lambda rack: counts[rack]) if counts else ""


def roomiest_rack(
    workers: Iterable[worker_view.WorkerView], spec: specs.StepSpec
) -> str:
    """The rack on which most tasks of a step would fit now."""
    fitting: dict[str, int] = {}
    for worker in workers:
        if not worker.fits(spec.need):
            continue
        each = max(spec.need.cpu_millicores, 1)
        fitting[worker.rack] = (
            fitting.get(worker.rack, 0) + worker.free_cpu // each
        )
    if not fitting:
        return ""
    return max(sorted(fitting), key=lambda rack: fitting[rack])


def choose(
    task: runs_module.Task,
    workers: Iterable[worker_view.WorkerView],
    service: str,
    rack: str,
) -> worker_view.WorkerView | None:
    """The best worker with room for a task; None when there is none."""
    need = task.step.spec.need
    best: worker_view.WorkerView | None = None
    best_cost = 0.0
    for worker in workers:
        if not worker.fits(need) or not is_allowed(worker, task, service):
            continue
        cost = cost_of(worker, task, rack)
        if best is None or cost < best_cost:
            best, best_cost = worker, cost
    return best

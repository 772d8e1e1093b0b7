"""Which worker a task goes to. Pure decisions on plain data."""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

from comfreylatch._process.cell import disturbance
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import specs
from comfreylatch._process.cell import worker_view

# Weights of a worker's drawbacks, in millicores of leftover capacity that
# they are worth: another rack multiplies a task's duration, a slow worker
# does so by its slowness.
OFF_RACK_COST = 60_000.0
SLOWNESS_COST = 40_000.0
# For each millicore that tasks which fill would lose, or lasting ones lack.
CROWDING_COST = 2.0
# Worth of each task of the same step on a worker, for lasting ones.
TOGETHER_WORTH = 20_000.0
# The same for a task that fills, in room to the targets of lasting tasks.
FILL_SLOWNESS_COST = 0.5
# The same where a run of the task has failed or stood still.
SHUNNED_COST = 0.1
# An image with a higher coefficient counts as harmful: a few of its tasks bring
# the lasting ones beside them to their targets.
HARMLESS = 0.5
# A task that fills idle processors is placed only where it would get at least
# this share of what it asks for.
FILL_SHARE = 0.7


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
    cost += worker.free_cpu - spec.cpu_millicores
    taken = spec.cpu_millicores * (
        worker_view.LASTING_USE_SHARE if spec.is_lasting else 1
    )
    cost += CROWDING_COST * max(taken - worker.idle_millicores, 0)
    if spec.is_lasting:
        cost -= TOGETHER_WORTH * _fitting_together(worker, task.step)
    if worker.worker_id in task.shunned:
        cost += OFF_RACK_COST
    return cost


def _fitting_together(
    worker: worker_view.WorkerView, step: runs_module.StepRun
) -> int:
    """How many tasks of a step a worker would have in the end.

    Lasting tasks of a step have their load at the same times. Beside them
    alone, others can fill the idle times; beside tasks whose loads take
    turns, somebody is always busy.
    """
    spec = step.spec
    placed = step.per_worker.get(worker.worker_id, 0)
    room = worker.free_cpu // max(spec.cpu_millicores, 1)
    room = min(room, worker.free_memory // max(spec.memory_mb, 1))
    together = placed + min(room, len(step.open_tasks))
    if spec.max_per_worker:
        together = min(together, spec.max_per_worker)
    return together


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


@final
class FillRooms:
    """Room to the targets of lasting tasks, for one pass of placing."""

    def __init__(self, model: disturbance.DisturbanceModel) -> None:
        self._model = model
        self._slacks: dict[str, tuple[disturbance.Slack, ...]] = {}

    def forget(self, worker: worker_view.WorkerView) -> None:
        """A task was placed on a worker."""
        self._slacks.pop(worker.worker_id, None)

    def _room(
        self, worker: worker_view.WorkerView, spec: specs.StepSpec
    ) -> float:
        """Least slack that a task would leave; negative for none."""
        slacks = self._slacks_of(worker)
        cpu = max(worker.entry.capacity.cpu_millicores, 1)
        return self._model.head_room(
            slacks, spec.image, spec.cpu_millicores / cpu
        )

    def _slacks_of(
        self, worker: worker_view.WorkerView
    ) -> tuple[disturbance.Slack, ...]:
        slacks = self._slacks.get(worker.worker_id)
        if slacks is None:
            slacks = self._model.slacks(worker)
            self._slacks[worker.worker_id] = slacks
        return slacks

    def _worth(
        self, worker: worker_view.WorkerView, task: runs_module.Task
    ) -> float | None:
        """How well a worker suits a task; None where it does harm.

        A worker without lasting tasks is left to the images that can work
        nowhere else.
        """
        spec = task.step.spec
        room = self._room(worker, spec)
        if room < 0:
            return None
        worth = room
        if not self._slacks_of(worker):
            worth = self._model.harm(spec.image) - HARMLESS
        worth -= FILL_SLOWNESS_COST * max(worker.slowness - 1.0, 0.0)
        if worker.worker_id in task.shunned:
            worth -= SHUNNED_COST
        return worth

    def choose(
        self,
        task: runs_module.Task,
        workers: Iterable[worker_view.WorkerView],
        service: str,
    ) -> worker_view.WorkerView | None:
        """The worker whose idle processors a task should fill.

        Beside lasting tasks it is the one where these are left with the most
        room to their targets; none where one would come over its target.
        """
        spec = task.step.spec
        need = spec.need
        least = int(spec.cpu_millicores * FILL_SHARE)
        best: worker_view.WorkerView | None = None
        best_worth = 0.0
        for worker in workers:
            if worker.idle_millicores < least or not worker.fits(need):
                continue
            if not is_allowed(worker, task, service):
                continue
            worth = self._worth(worker, task)
            if worth is None:
                continue
            if best is None or worth >= best_worth:
                best, best_worth = worker, worth
        return best

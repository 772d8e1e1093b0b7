"""Which worker a task goes to. Pure decisions on plain data."""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

import attrs

from comfreylatch._process.cell import candidates
from comfreylatch._process.cell import interference
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
COLOCATION_BONUS = 20_000.0
# The same for a task that fills, in room to the targets of lasting tasks.
FILLING_SLOWNESS_COST = 0.5
# An image with a higher coefficient counts as harmful: a few of its tasks bring
# the lasting ones beside them to their targets.
MAX_HARMLESS_COEFFICIENT = 0.5
# A task that fills idle processors is placed only where it would get at least
# this share of what it asks for.
MIN_FILLING_CPU_SHARE = 0.7


def is_allowed(
    worker: worker_view.WorkerView, step: runs_module.StepInstance
) -> bool:
    """Whether a worker may run a task of a step at all, room aside."""
    if not is_eligible(worker, step):
        return False
    limit = step.spec.max_per_worker
    if limit and step.runs_per_worker.get(worker.worker_id, 0) >= limit:
        return False
    return step.tickets is None or worker.worker_id in step.tickets


def is_eligible(
    worker: worker_view.WorkerView, step: runs_module.StepInstance
) -> bool:
    """Whether a worker may run a step's tasks, policy and room aside."""
    label = step.spec.required_label
    return worker.entry.service == step.job.spec.queue.service and (
        not label or label in worker.entry.labels
    )


def reservation_cost(
    step: runs_module.StepInstance, preferred_rack: str
) -> candidates.CostFunction:
    """The cost of workers for tasks that reserve what they need."""
    spec = step.spec
    need = spec.need
    expected_use = spec.cpu_millicores
    if spec.is_lasting:
        expected_use = int(expected_use * worker_view.ASSUMED_LASTING_USE_SHARE)

    def cost(worker: worker_view.WorkerView) -> float | None:
        if not worker.fits(need) or not is_allowed(worker, step):
            return None
        cost = SLOWNESS_COST * max(worker.slowness - 1.0, 0.0)
        if preferred_rack and worker.rack != preferred_rack:
            cost += OFF_RACK_COST
        cost += worker.free_cpu - spec.cpu_millicores
        cost += CROWDING_COST * max(expected_use - worker.idle_millicores, 0)
        if spec.is_lasting:
            cost -= COLOCATION_BONUS * _count_colocated(worker, step)
        return cost

    return cost


def _count_colocated(
    worker: worker_view.WorkerView, step: runs_module.StepInstance
) -> int:
    """How many tasks of a step a worker would have in the end.

    Lasting tasks of a step have their load at the same times. Beside them
    alone, others can fill the idle times; beside tasks whose loads take
    turns, somebody is always busy.
    """
    spec = step.spec
    placed = step.runs_per_worker.get(worker.worker_id, 0)
    room = worker.free_cpu // max(spec.cpu_millicores, 1)
    room = min(room, worker.free_memory // max(spec.memory_mb, 1))
    colocated = placed + min(room, len(step.pending_tasks))
    if spec.max_per_worker:
        colocated = min(colocated, spec.max_per_worker)
    return colocated


def preferred_rack(
    step: runs_module.StepInstance, racks: dict[str, str]
) -> str:
    """The rack that a step's tasks are faster on; empty for any.

    `racks` gives the rack of each worker.
    """
    if step.spec.data_rack:
        return step.spec.data_rack
    if not step.spec.needs_one_rack:
        return ""
    counts: dict[str, int] = {}
    for worker_id, count in step.runs_per_worker.items():
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


@attrs.frozen
class _CachedSlacks:
    """Slacks of a worker as of one of its revisions."""

    revision: int
    slacks: tuple[interference.Slack, ...]


@final
class FillingCosts:
    """Room to the targets of lasting tasks, kept while nothing changes."""

    def __init__(self, model: interference.InterferenceModel) -> None:
        self._model = model
        self._cached: dict[str, _CachedSlacks] = {}

    def _get_slacks(
        self, worker: worker_view.WorkerView
    ) -> tuple[interference.Slack, ...]:
        cached = self._cached.get(worker.worker_id)
        if cached is None or cached.revision != worker.revision:
            cached = _CachedSlacks(worker.revision, self._model.slacks(worker))
            self._cached[worker.worker_id] = cached
        return cached.slacks

    def cost(self, step: runs_module.StepInstance) -> candidates.CostFunction:
        """The cost of workers for tasks that fill idle processors.

        Beside lasting tasks it is lower the more room these are left with to
        their targets; a worker where one would come over its target can't be
        had. A worker without lasting tasks is left to the images that can
        work nowhere else.
        """
        spec = step.spec
        need = spec.need
        min_millicores = int(spec.cpu_millicores * MIN_FILLING_CPU_SHARE)
        alone_cost = MAX_HARMLESS_COEFFICIENT - self._model.common_coefficient(
            spec.image
        )

        def cost(worker: worker_view.WorkerView) -> float | None:
            if worker.idle_millicores < min_millicores or not worker.fits(need):
                return None
            if not is_allowed(worker, step):
                return None
            slowness = max(worker.slowness - 1.0, 0.0)
            slacks = self._get_slacks(worker)
            if not slacks:
                return alone_cost + FILLING_SLOWNESS_COST * slowness
            cpu = max(worker.entry.capacity.cpu_millicores, 1)
            room = self._model.headroom(
                slacks, spec.image, spec.cpu_millicores / cpu
            )
            if room < 0:
                return None
            return FILLING_SLOWNESS_COST * slowness - room

        return cost

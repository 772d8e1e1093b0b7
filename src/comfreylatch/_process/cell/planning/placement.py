"""Eligibility and cost of workers for tasks, without side effects."""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

import attrs

from comfreylatch._process.cell import interference
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import specs
from comfreylatch._process.cell import worker_view
from comfreylatch._process.cell.planning import candidates

# Penalties for another rack and for a slow worker, in millicores of leftover
# capacity. Both multiply a task's duration, the latter by the slowness.
OFF_RACK_COST = 60_000.0
SLOWNESS_COST = 40_000.0
# Penalty for each millicore that filling tasks would lose or lasting ones lack.
CROWDING_COST_PER_MILLICORE = 2.0
# Bonus for each task of the same step on a worker, for lasting tasks.
COLOCATION_BONUS = 20_000.0
# Slowness penalty for a filling task, in headroom of the lasting tasks.
FILLING_SLOWNESS_COST = 0.5
# An image with this coefficient or more counts as harmful: a few of its tasks
# bring the lasting ones on their worker to their targets.
MIN_HARMFUL_COEFFICIENT = 0.5
# A filling task is placed only where it would get at least this share of the
# processors it requests.
MIN_FILLING_CPU_SHARE = 0.7
_NO_LIMIT = 1 << 30


def is_allowed(
    worker: worker_view.WorkerView, step: runs_module.StepInstance
) -> bool:
    """Whether a worker may run one more task of a step, if it has capacity."""
    if not is_eligible(worker, step):
        return False
    if remaining_per_worker(worker, step) <= 0:
        return False
    return step.tickets is None or worker.worker_id in step.tickets


def remaining_per_worker(
    worker: worker_view.WorkerView, step: runs_module.StepInstance
) -> int:
    """Returns how many more runs the step's limit allows on a worker."""
    limit = step.spec.max_per_worker
    if not limit:
        return _NO_LIMIT
    return limit - step.runs_per_worker.get(worker.worker_id, 0)


def count_fitting(
    worker: worker_view.WorkerView, step: runs_module.StepInstance
) -> int:
    """Counts the pending tasks that a worker has capacity for.

    Interference and tickets are left out.
    """
    need = step.spec.need
    count = min(len(step.pending_tasks), remaining_per_worker(worker, step))
    if need.cpu_millicores:
        count = min(count, worker.free_cpu // need.cpu_millicores)
    if need.memory_mb:
        count = min(count, worker.free_memory // need.memory_mb)
    if need.gpus:
        count = min(count, worker.free_gpus // need.gpus)
    return max(count, 0)


def is_eligible(
    worker: worker_view.WorkerView, step: runs_module.StepInstance
) -> bool:
    """Whether service and label match, regardless of tickets and capacity."""
    label = step.spec.required_label
    return worker.entry.service == step.job.spec.queue.service and (
        not label or label in worker.entry.labels
    )


def fits_when_empty(
    worker: worker_view.WorkerView, step: runs_module.StepInstance
) -> bool:
    """Whether a worker without runs could take a task of a step."""
    need, capacity = step.spec.need, worker.entry.capacity
    return (
        is_eligible(worker, step)
        and need.cpu_millicores <= capacity.cpu_millicores
        and need.memory_mb <= capacity.memory_mb
        and need.gpus <= capacity.gpus
    )


def reservation_cost(
    step: runs_module.StepInstance, preferred_rack: str
) -> candidates.CostFunction:
    """Returns the cost function for tasks that reserve what they need."""
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
        cost += CROWDING_COST_PER_MILLICORE * max(
            expected_use - worker.idle_millicores, 0
        )
        if spec.is_lasting:
            cost -= COLOCATION_BONUS * _count_colocated(worker, step)
        return cost

    return cost


def _count_colocated(
    worker: worker_view.WorkerView, step: runs_module.StepInstance
) -> int:
    """Counts the tasks of a step that a worker has and could still take.

    Lasting tasks of one step peak at the same times, so that filling tasks
    can use the idle times of a worker that has only these. Where tasks of
    several steps peak in turn, the worker is never idle.
    """
    spec = step.spec
    placed = step.runs_per_worker.get(worker.worker_id, 0)
    fitting = worker.free_cpu // max(spec.cpu_millicores, 1)
    fitting = min(fitting, worker.free_memory // max(spec.memory_mb, 1))
    colocated = placed + min(fitting, len(step.pending_tasks))
    if spec.max_per_worker:
        colocated = min(colocated, spec.max_per_worker)
    return colocated


def preferred_rack(
    step: runs_module.StepInstance, racks: dict[str, str]
) -> str:
    """Returns the rack on which a step's tasks run faster; empty for any.

    Args:
        step: The step to place.
        racks: The rack of each worker, by worker id.
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
    """Returns the rack on which most tasks of a step fit now."""
    fitting: dict[str, int] = {}
    for worker in workers:
        if not worker.fits(spec.need):
            continue
        millicores = max(spec.need.cpu_millicores, 1)
        fitting[worker.rack] = (
            fitting.get(worker.rack, 0) + worker.free_cpu // millicores
        )
    if not fitting:
        return ""
    return max(sorted(fitting), key=lambda rack: fitting[rack])


@attrs.frozen
class _CachedSlacks:
    """Slacks of a worker, valid for one of its revisions.

    Attributes:
        revision: The revision.
        slacks: The slacks of its lasting steps.
        headrooms: What is left beside one more filling task, by its image and
            millicores.
    """

    revision: int
    slacks: tuple[interference.Slack, ...]
    headrooms: dict[tuple[str, int], float] = attrs.field(factory=dict)


@final
class FillingCosts:
    """Costs of workers for filling tasks; caches slacks by worker revision."""

    def __init__(self, model: interference.InterferenceModel) -> None:
        self._model = model
        self._cached: dict[str, _CachedSlacks] = {}

    def _get_slacks(self, worker: worker_view.WorkerView) -> _CachedSlacks:
        cached = self._cached.get(worker.worker_id)
        if cached is None or cached.revision != worker.revision:
            cached = _CachedSlacks(worker.revision, self._model.slacks(worker))
            self._cached[worker.worker_id] = cached
        return cached

    def _headroom(
        self,
        worker: worker_view.WorkerView,
        cached: _CachedSlacks,
        spec: specs.StepSpec,
    ) -> float:
        """Returns what the lasting tasks keep beside one more filling task."""
        key = spec.image, spec.cpu_millicores
        headroom = cached.headrooms.get(key)
        if headroom is None:
            cpu = max(worker.entry.capacity.cpu_millicores, 1)
            headroom = self._model.headroom(
                cached.slacks, spec.image, spec.cpu_millicores / cpu
            )
            cached.headrooms[key] = headroom
        return headroom

    def cost(self, step: runs_module.StepInstance) -> candidates.CostFunction:
        """Returns the cost function for tasks that fill idle processors.

        The more headroom a worker's lasting tasks keep, the lower its cost. A
        worker where one of them would exceed its target is excluded. A worker
        without lasting tasks is left to images that fit nowhere else.
        """
        spec = step.spec
        alone_cost = MIN_HARMFUL_COEFFICIENT - self._model.common_coefficient(
            spec.image
        )

        def cost(worker: worker_view.WorkerView) -> float | None:
            if not _has_filling_capacity(worker, spec):
                return None
            if not is_allowed(worker, step):
                return None
            slowness = max(worker.slowness - 1.0, 0.0)
            cached = self._get_slacks(worker)
            if not cached.slacks:
                return alone_cost + FILLING_SLOWNESS_COST * slowness
            headroom = self._headroom(worker, cached, spec)
            if headroom < 0:
                return None
            return FILLING_SLOWNESS_COST * slowness - headroom

        return cost

    def count_fitting(
        self, worker: worker_view.WorkerView, step: runs_module.StepInstance
    ) -> int:
        """Counts the pending tasks that a worker can take, without tickets.

        Beside lasting tasks it is an upper bound, as each task that is placed
        leaves less headroom for the next one.
        """
        spec = step.spec
        if not _has_filling_capacity(worker, spec):
            return 0
        cached = self._get_slacks(worker)
        if cached.slacks and self._headroom(worker, cached, spec) < 0:
            return 0
        min_millicores = max(_min_filling_millicores(spec), 1)
        return min(
            count_fitting(worker, step),
            worker.idle_millicores // min_millicores,
        )


def _min_filling_millicores(spec: specs.StepSpec) -> int:
    """Returns the idle processors that a worker needs for a filling task."""
    return int(spec.cpu_millicores * MIN_FILLING_CPU_SHARE)


def _has_filling_capacity(
    worker: worker_view.WorkerView, spec: specs.StepSpec
) -> bool:
    """Whether a worker has memory and idle processors for a filling task."""
    return worker.idle_millicores >= _min_filling_millicores(
        spec
    ) and worker.fits(spec.need)

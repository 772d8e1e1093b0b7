"""Selection of lasting runs to preempt for short tasks that fit nowhere."""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

import attrs

from comfreylatch._ports import cell_workers
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import worker_view
from comfreylatch._process.cell.crashes import blame
from comfreylatch._process.cell.planning import placement
from comfreylatch._process.cell.planning import ranking as ranking_module

# How long a step of short tasks waits for capacity, in milliseconds, before
# it may preempt lasting runs.
PREEMPTION_DELAY_MS = 40
# Most tasks of a step for which one pass preempts lasting runs.
MAX_PREEMPTING_TASKS_PER_STEP = 8
# Share of the lasting runs that may be stopping at the same time.
MAX_STOPPING_SHARE = 0.08
_NOTHING = cell_workers.Resources(0, 0)


@attrs.define(eq=False)
class _ProjectedWorker:
    """Free capacity of a worker once its stopping runs have ended."""

    worker: worker_view.WorkerView
    free_cpu: int
    free_memory: int
    free_gpus: int

    def can_take(
        self,
        need: cell_workers.Resources,
        ended: cell_workers.Resources = _NOTHING,
    ) -> bool:
        """Whether a need is covered once a run with these resources ends."""
        return (
            need.cpu_millicores <= self.free_cpu + ended.cpu_millicores
            and need.memory_mb <= self.free_memory + ended.memory_mb
            and need.gpus <= self.free_gpus + ended.gpus
        )

    def replace(
        self,
        need: cell_workers.Resources,
        ended: cell_workers.Resources = _NOTHING,
    ) -> None:
        """Reserves a need and counts a run with these resources as ended."""
        self.free_cpu += ended.cpu_millicores - need.cpu_millicores
        self.free_memory += ended.memory_mb - need.memory_mb
        self.free_gpus += ended.gpus - need.gpus


@final
class ProjectedCapacity:
    """Free capacity of all workers, counting stopping runs as ended.

    Attributes:
        stopping_count: Lasting runs that are stopping or chosen as victims.
    """

    def __init__(self, workers: list[worker_view.WorkerView]) -> None:
        self._workers = [_project(worker) for worker in workers]
        self._victims: set[runs_module.Run] = set()
        self.stopping_count = sum(
            run.phase is runs_module.RunPhase.STOPPING
            and run.task.step.spec.is_lasting
            for worker in workers
            for run in worker.runs.values()
        )

    def reserve(self, task: runs_module.Task) -> bool:
        """Reserves capacity for a task; returns whether it fit."""
        need = task.step.spec.need
        for projected in self._workers:
            if projected.can_take(need) and self._is_allowed(projected, task):
                projected.replace(need)
                return True
        return False

    def find_victim(self, task: runs_module.Task) -> runs_module.Run | None:
        """Finds the smallest lasting run whose end lets a task fit.

        Counts that run as ended and reserves the task's capacity.
        """
        need = task.step.spec.need
        best: runs_module.Run | None = None
        best_worker: _ProjectedWorker | None = None
        for projected in self._workers:
            if not self._is_allowed(projected, task):
                continue
            for run in projected.worker.runs.values():
                spec = run.task.step.spec
                if not self._may_stop(run):
                    continue
                if not projected.can_take(need, spec.need):
                    continue
                if best is None or (
                    spec.cpu_millicores < best.task.step.spec.cpu_millicores
                ):
                    best, best_worker = run, projected
        if best is None or best_worker is None:
            return None
        self._victims.add(best)
        self.stopping_count += 1
        best_worker.replace(need, best.task.step.spec.need)
        return best

    def _may_stop(self, run: runs_module.Run) -> bool:
        spec = run.task.step.spec
        return (
            spec.is_lasting
            and not spec.max_unavailable
            and run.phase is runs_module.RunPhase.RUNNING
            and run not in self._victims
        )

    def _is_allowed(
        self, projected: _ProjectedWorker, task: runs_module.Task
    ) -> bool:
        return placement.is_allowed(projected.worker, task.step)


def _project(worker: worker_view.WorkerView) -> _ProjectedWorker:
    stopping = [
        run.task.step.spec.need
        for run in worker.runs.values()
        if run.phase is runs_module.RunPhase.STOPPING
    ]
    return _ProjectedWorker(
        worker,
        worker.free_cpu + sum(need.cpu_millicores for need in stopping),
        worker.free_memory + sum(need.memory_mb for need in stopping),
        worker.free_gpus + sum(need.gpus for need in stopping),
    )


def choose_victims(
    steps: Iterable[runs_module.StepInstance],
    workers: Iterable[worker_view.WorkerView],
    ranker: ranking_module.Ranker,
    now_ms: int,
) -> list[runs_module.Run]:
    """Chooses lasting runs to stop for short tasks that fit nowhere.

    A short job is worth as much as two seconds of a lasting one, for a
    fraction of the processors. The lasting task restarts once the short
    ones are done.
    """
    urgent = [step for step in steps if _may_preempt(step, ranker, now_ms)]
    if not urgent:
        return []
    available = [worker for worker in workers if worker.accepts_work(now_ms)]
    lasting_count = sum(
        run.task.step.spec.is_lasting
        for worker in available
        for run in worker.runs.values()
    )
    capacity = ProjectedCapacity(available)
    victims: list[runs_module.Run] = []
    for step in urgent:
        for task in list(step.pending_tasks.values())[
            :MAX_PREEMPTING_TASKS_PER_STEP
        ]:
            if blame.needs_trial(task.crashes) or capacity.reserve(task):
                continue
            if capacity.stopping_count >= lasting_count * MAX_STOPPING_SHARE:
                return victims
            victim = capacity.find_victim(task)
            if victim is None:
                break
            victims.append(victim)
    return victims


def _may_preempt(
    step: runs_module.StepInstance,
    ranker: ranking_module.Ranker,
    now_ms: int,
) -> bool:
    spec = step.spec
    if spec.is_lasting or spec.fills_idle or spec.is_gang:
        return False
    if now_ms - step.ready_ms < PREEMPTION_DELAY_MS:
        return False
    rank = ranker.rank(step, now_ms)
    return rank.timeliness is ranking_module.Timeliness.ON_TIME

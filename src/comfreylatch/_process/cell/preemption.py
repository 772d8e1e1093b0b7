"""Which lasting runs make way for short tasks that find no room."""

from __future__ import annotations

from typing import final

import attrs

from comfreylatch._process.cell import placement
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import worker_view


@attrs.define(eq=False)
class _Room:
    """What is free on a worker once its stopping runs have ended."""

    worker: worker_view.WorkerView
    cpu: int
    memory: int


@final
class VirtualRoom:
    """Free room of all workers, with that of runs that are being stopped."""

    def __init__(self, workers: list[worker_view.WorkerView]) -> None:
        self._rooms = [_room(worker) for worker in workers]
        self._chosen: set[runs_module.Run] = set()
        self.stopping_count = sum(
            run.phase is runs_module.RunPhase.STOPPING
            and run.task.step.spec.is_lasting
            for worker in workers
            for run in worker.runs.values()
        )

    def take(self, task: runs_module.Task) -> bool:
        """Reserves room for a task; whether there was some."""
        need = task.step.spec.need
        for room in self._rooms:
            fits = (
                room.cpu >= need.cpu_millicores
                and room.memory >= need.memory_mb
            )
            if fits and self._is_allowed(room, task):
                room.cpu -= need.cpu_millicores
                room.memory -= need.memory_mb
                return True
        return False

    def find_victim(self, task: runs_module.Task) -> runs_module.Run | None:
        """The smallest lasting run whose end makes room for a task.

        Its room is then counted as taken by the task.
        """
        need = task.step.spec.need
        best: runs_module.Run | None = None
        best_room: _Room | None = None
        for room in self._rooms:
            if not self._is_allowed(room, task):
                continue
            for run in room.worker.runs.values():
                spec = run.task.step.spec
                if not self._may_stop(run):
                    continue
                if room.cpu + spec.cpu_millicores < need.cpu_millicores:
                    continue
                if room.memory + spec.memory_mb < need.memory_mb:
                    continue
                if best is None or (
                    spec.cpu_millicores < best.task.step.spec.cpu_millicores
                ):
                    best, best_room = run, room
        if best is None or best_room is None:
            return None
        spec = best.task.step.spec
        self._chosen.add(best)
        self.stopping_count += 1
        best_room.cpu += spec.cpu_millicores - need.cpu_millicores
        best_room.memory += spec.memory_mb - need.memory_mb
        return best

    def _may_stop(self, run: runs_module.Run) -> bool:
        spec = run.task.step.spec
        return (
            spec.is_lasting
            and not spec.max_unavailable
            and run.phase is runs_module.RunPhase.RUNNING
            and run not in self._chosen
        )

    def _is_allowed(self, room: _Room, task: runs_module.Task) -> bool:
        return placement.is_allowed(room.worker, task.step)


def _room(worker: worker_view.WorkerView) -> _Room:
    stopping = [
        run.task.step.spec.need
        for run in worker.runs.values()
        if run.phase is runs_module.RunPhase.STOPPING
    ]
    return _Room(
        worker,
        worker.free_cpu + sum(need.cpu_millicores for need in stopping),
        worker.free_memory + sum(need.memory_mb for need in stopping),
    )

"""Gives ready tasks to workers with room, in the order of their rank."""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

import attrs

from comfreylatch._process.cell import clearing
from comfreylatch._process.cell import copies
from comfreylatch._process.cell import disturbance
from comfreylatch._process.cell import placement
from comfreylatch._process.cell import preemption
from comfreylatch._process.cell import ranking as ranking_module
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import worker_table as worker_table_module
from comfreylatch._process.cell import worker_view

# How long a short task waits for room before a lasting one makes way.
PREEMPT_AFTER_MS = 40
# Tasks of one step for which room is made at once.
MOST_TASKS_FOR = 8
# Share of the lasting runs that may be on their way out.
MOST_STOPPED_SHARE = 0.08


@attrs.frozen
class Placement:
    """A run that has been given a worker; its start is to be sent."""

    run: runs_module.Run
    worker: worker_view.WorkerView


@attrs.define(eq=False)
class _Pass:
    """One pass over the ready steps."""

    workers: list[worker_view.WorkerView]
    racks: dict[str, str]
    now_ms: int
    fill_rooms: placement.FillRooms
    smallest_unfit_cpu: int = 1 << 60


@final
class Planner:
    """Places tasks. Only the owner's thread uses it."""

    def __init__(
        self,
        workers: worker_table_module.WorkerTable,
        ranker: ranking_module.Ranker,
        model: disturbance.DisturbanceModel,
    ) -> None:
        self._workers = workers
        self._ranker = ranker
        self._disturbance = model

    def place(
        self, steps: list[runs_module.StepRun], now_ms: int
    ) -> list[Placement]:
        """Reserves room for as many tasks as fit; returns their runs."""
        taking = [
            worker for worker in self._workers if worker.takes_work(now_ms)
        ]
        if not taking or not steps:
            return []
        this_pass = self._new_pass(taking, now_ms)
        ranked = sorted(steps, key=lambda step: self._ranker.rank(step, now_ms))
        placements: list[Placement] = []
        for step in ranked:
            if step.spec.is_gang:
                placements.extend(self._place_gang(step, this_pass))
            else:
                placements.extend(self._place_step(step, this_pass))
        return placements

    def place_copies(
        self, jobs: Iterable[runs_module.JobRun], now_ms: int
    ) -> list[Placement]:
        """Places second runs of tasks that take much longer than the rest."""
        stragglers = [
            task
            for job in jobs
            for step in job.all_steps()
            if step.spec.is_speculative and step.undone
            for task in step.tasks
            if copies.is_straggling(task, now_ms)
        ]
        if not stragglers:
            return []
        taking = [
            worker for worker in self._workers if worker.takes_work(now_ms)
        ]
        this_pass = self._new_pass(taking, now_ms)
        placed = (
            self._place_task(task, this_pass, task.last_run + 1)
            for task in stragglers
        )
        return [one for one in placed if one is not None]

    def _new_pass(
        self, workers: list[worker_view.WorkerView], now_ms: int
    ) -> _Pass:
        return _Pass(
            workers,
            self._workers.racks(),
            now_ms,
            placement.FillRooms(self._disturbance),
        )

    def clear_worker(
        self, steps: list[runs_module.StepRun], now_ms: int
    ) -> list[runs_module.Run]:
        """Clears a worker where there is cause; returns runs to be stopped."""
        demand = clearing.waiting_millicores(steps, self._disturbance, now_ms)
        if not demand:
            clearing.end_early(self._workers, now_ms)
            return []
        taking = [
            worker for worker in self._workers if worker.takes_work(now_ms)
        ]
        worker = clearing.choose_worker(taking, demand, now_ms)
        if worker is None:
            return []
        worker.cleared_until_ms = now_ms + clearing.CLEARED_MS
        return [
            run for run in worker.runs.values() if run.task.step.spec.is_lasting
        ]

    def choose_victims(
        self, steps: list[runs_module.StepRun], now_ms: int
    ) -> list[runs_module.Run]:
        """Lasting runs to be stopped for short tasks that find no room.

        A short job earns as much as a lasting one does in two seconds, for a
        fraction of the processors; the lasting task starts again once the
        short ones are done.
        """
        urgent = [step for step in steps if self._may_preempt(step, now_ms)]
        if not urgent:
            return []
        taking = [
            worker for worker in self._workers if worker.takes_work(now_ms)
        ]
        lasting = sum(
            run.task.step.spec.is_lasting
            for worker in taking
            for run in worker.runs.values()
        )
        room = preemption.VirtualRoom(taking)
        victims: list[runs_module.Run] = []
        for step in urgent:
            for task in list(step.open_tasks.values())[:MOST_TASKS_FOR]:
                if room.take(task):
                    continue
                if room.stopping_count >= lasting * MOST_STOPPED_SHARE:
                    return victims
                victim = room.find_victim(task)
                if victim is None:
                    break
                victims.append(victim)
        return victims

    def _may_preempt(self, step: runs_module.StepRun, now_ms: int) -> bool:
        spec = step.spec
        if spec.is_lasting or spec.fills_idle or spec.is_gang:
            return False
        if now_ms - step.ready_ms < PREEMPT_AFTER_MS:
            return False
        rank = self._ranker.rank(step, now_ms)
        return rank.prospect is ranking_module.Prospect.ON_TIME

    def _place_step(
        self, step: runs_module.StepRun, this_pass: _Pass
    ) -> list[Placement]:
        placements = []
        spec = step.spec
        if not spec.fills_idle and (
            spec.cpu_millicores >= this_pass.smallest_unfit_cpu
        ):
            return []
        for task in list(step.open_tasks.values()):
            if task.not_before_ms > this_pass.now_ms:
                continue
            placed = self._place_task(task, this_pass, task.last_run + 1)
            if placed is None:
                self._note_unfit(step, this_pass)
                break
            placements.append(placed)
        return placements

    def _note_unfit(self, step: runs_module.StepRun, this_pass: _Pass) -> None:
        """Spares the rest of the pass a search that must fail, too."""
        spec = step.spec
        is_plain = not (
            spec.required_label
            or spec.max_per_worker
            or spec.gpus
            or spec.fills_idle
            or step.tickets is not None
        )
        if is_plain and not self._has_memory_bound(step, this_pass):
            this_pass.smallest_unfit_cpu = min(
                this_pass.smallest_unfit_cpu, spec.cpu_millicores
            )

    def _has_memory_bound(
        self, step: runs_module.StepRun, this_pass: _Pass
    ) -> bool:
        """Whether memory rather than processors kept a step out."""
        return any(
            worker.free_cpu >= step.spec.cpu_millicores
            for worker in this_pass.workers
        )

    def _place_task(
        self, task: runs_module.Task, this_pass: _Pass, number: int
    ) -> Placement | None:
        step = task.step
        workers = this_pass.workers
        rack = placement.wanted_rack(step, this_pass.racks)
        if step.spec.needs_one_rack and not rack:
            rack = placement.roomiest_rack(workers, step.spec)
        service = step.job.spec.queue.service
        # A copy is of use only where the first run is not.
        taken = {run.worker_id for run in task.runs}
        if taken:
            workers = [one for one in workers if one.worker_id not in taken]
        if step.spec.fills_idle:
            worker = this_pass.fill_rooms.choose(task, workers, service)
        else:
            if step.spec.is_lasting:
                workers = clearing.open_to_lasting(
                    workers, task, this_pass.now_ms
                )
            worker = placement.choose(task, workers, service, rack)
        if worker is None:
            return None
        run = runs_module.Run(
            task,
            number,
            worker.worker_id,
            runs_module.RunPhase.STARTING,
            this_pass.now_ms,
        )
        task.last_run = number
        step.note_run(run)
        worker.add(run)
        this_pass.fill_rooms.forget(worker)
        return Placement(run, worker)

    def _place_gang(
        self, step: runs_module.StepRun, this_pass: _Pass
    ) -> list[Placement]:
        """Places all tasks of a gang at once, or none."""
        if len(step.open_tasks) < len(step.tasks):
            return []
        if any(task.not_before_ms > this_pass.now_ms for task in step.tasks):
            return []
        number = max(task.last_run for task in step.tasks) + 1
        placements: list[Placement] = []
        for task in step.tasks:
            placed = self._place_task(task, this_pass, number)
            if placed is None:
                for made in placements:
                    made.worker.remove(made.run)
                    step.note_gone(made.run, this_pass.now_ms)
                return []
            placements.append(placed)
        return placements

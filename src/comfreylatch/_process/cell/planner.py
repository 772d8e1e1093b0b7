"""Assigns ready tasks to workers with free capacity, in rank order."""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

import attrs

from comfreylatch._process.cell import blame
from comfreylatch._process.cell import candidates as candidates_module
from comfreylatch._process.cell import clearing
from comfreylatch._process.cell import interference
from comfreylatch._process.cell import placement
from comfreylatch._process.cell import preemption
from comfreylatch._process.cell import ranking as ranking_module
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import speculation
from comfreylatch._process.cell import trials
from comfreylatch._process.cell import worker_table as worker_table_module
from comfreylatch._process.cell import worker_view
from comfreylatch._process.cell.locality import (
    near_places as near_places_module,
)

# How long a step of short tasks waits for capacity, in milliseconds, before
# it may preempt lasting runs.
PREEMPTION_DELAY_MS = 40
# Most tasks of a step for which one pass preempts lasting runs.
MAX_PREEMPTING_TASKS_PER_STEP = 8
# Share of the lasting runs that may be stopping at the same time.
MAX_STOPPING_SHARE = 0.08


@attrs.frozen
class Placement:
    """A run with an assigned worker; its start order is not sent yet."""

    run: runs_module.Run
    worker: worker_view.WorkerView


@attrs.frozen
class CostedWorker:
    """A worker that could take a task, and its cost."""

    worker: worker_view.WorkerView
    cost: float


@attrs.frozen
class StepView:
    """What a placement pass would see of a step.

    Attributes:
        candidates: Workers that could take a task, cheapest first.
        cleared: Workers that are closed to the step as cleared.
        rack: Rack on which the step runs faster; empty for any.
        waits_for_rack: Whether its first task would wait for that rack.
    """

    candidates: tuple[CostedWorker, ...]
    cleared: frozenset[str]
    rack: str
    waits_for_rack: bool


@attrs.define(eq=False)
class _PlacementPass:
    """State of one pass over the ready steps.

    Attributes:
        workers: Workers that accept work.
        cleared: Ids of the workers that are cleared for filling tasks; lasting
            tasks use them only if overdue.
        racks: The rack of each worker, by worker id.
        now_ms: Monotonic time of the pass.
        min_unplaceable_millicores: Smallest processor request of an
            unconstrained task that fit on no worker.
        min_unplaceable_filling_millicores: The same for filling tasks, by
            image.
        candidates: Candidate workers of each step tried so far.
        wanted_racks: Racks on which the steps tried so far run faster.
    """

    workers: list[worker_view.WorkerView]
    cleared: frozenset[str]
    racks: dict[str, str]
    now_ms: int
    min_unplaceable_millicores: int = 1 << 60
    min_unplaceable_filling_millicores: dict[str, int] = attrs.field(
        factory=dict
    )
    candidates: dict[runs_module.StepInstance, candidates_module.Candidates] = (
        attrs.field(factory=dict)
    )
    wanted_racks: dict[runs_module.StepInstance, str] = attrs.field(
        factory=dict
    )


@final
class Planner:
    """Places tasks on workers. Used by the owner's thread only."""

    def __init__(
        self,
        workers: worker_table_module.WorkerTable,
        ranker: ranking_module.Ranker,
        model: interference.InterferenceModel,
        crashed_lately: trials.CrashedLately = lambda _: False,
        near_places: near_places_module.NearPlaces | None = None,
    ) -> None:
        self.near_places = near_places
        self._crashed_lately = crashed_lately
        self._workers = workers
        self._ranker = ranker
        self._interference = model
        self._filling_costs = placement.FillingCosts(model)

    def place(
        self, steps: list[runs_module.StepInstance], now_ms: int
    ) -> list[Placement]:
        """Reserves capacity for as many tasks as fit; returns their runs."""
        available = [
            worker for worker in self._workers if worker.accepts_work(now_ms)
        ]
        if not available or not steps:
            return []
        this_pass = self._new_pass(available, now_ms)
        if self.near_places is not None:
            self.near_places.begin_pass(available, now_ms)
        ranked = sorted(steps, key=lambda step: self._ranker.rank(step, now_ms))
        placements = self._place_trials(steps, this_pass)
        for step in ranked:
            if step.spec.is_gang:
                placements.extend(self._place_gang(step, this_pass))
            else:
                placements.extend(self._place_step(step, this_pass))
        return placements

    def view_step(
        self, step: runs_module.StepInstance, now_ms: int
    ) -> StepView:
        """Returns what a pass would see of a step; changes nothing."""
        available = [
            worker for worker in self._workers if worker.accepts_work(now_ms)
        ]
        this_pass = self._new_pass(available, now_ms)
        cleared = this_pass.cleared if step.spec.is_lasting else frozenset()
        cost = self._cost_function(step, this_pass)
        costed = [
            CostedWorker(worker, worker_cost)
            for worker in available
            if worker.worker_id not in cleared
            and (worker_cost := cost(worker)) is not None
        ]
        # Like the heap of candidates, keeps the order of equal costs.
        costed.sort(key=lambda candidate: candidate.cost)
        rack = self._wanted_rack(step, this_pass)
        waits = False
        if costed and self.near_places is not None:
            self.near_places.begin_pass(available, now_ms)
            waits = self.near_places.would_wait(
                step.tasks[0], rack, costed[0].worker
            )
        return StepView(tuple(costed), cleared, rack, waits)

    def place_speculative_runs(
        self, jobs: Iterable[runs_module.ActiveJob], now_ms: int
    ) -> list[Placement]:
        """Places second runs of tasks that are much slower than their peers."""
        stragglers = [
            task
            for job in jobs
            for step in job.all_steps()
            if step.spec.is_speculative and step.unfinished_count
            for task in step.tasks
            if speculation.is_straggler(task, now_ms)
            and not self._may_crash_workers(task)
        ]
        if not stragglers:
            return []
        available = [
            worker for worker in self._workers if worker.accepts_work(now_ms)
        ]
        this_pass = self._new_pass(available, now_ms)
        placed = (
            self._place_task(task, this_pass, task.last_run + 1)
            for task in stragglers
        )
        return [placed_run for placed_run in placed if placed_run is not None]

    def _may_crash_workers(self, task: runs_module.Task) -> bool:
        """Whether a task has crashed its worker, or may just have done so."""
        if task.crashes:
            return True
        return any(
            worker is not None
            and worker.failing_since_ms > 0
            and run in blame.prime_runs([run], worker.failing_since_ms)
            for run in task.runs
            for worker in [self._workers.find(run.worker_id)]
        )

    def _new_pass(
        self, workers: list[worker_view.WorkerView], now_ms: int
    ) -> _PlacementPass:
        cleared = frozenset(
            worker.worker_id
            for worker in workers
            if now_ms < worker.cleared_until_ms
        )
        return _PlacementPass(workers, cleared, self._workers.racks(), now_ms)

    def clear_worker(
        self, steps: list[runs_module.StepInstance], now_ms: int
    ) -> list[runs_module.Run]:
        """Closes a worker to lasting tasks if waiting tasks justify it.

        See `clearing`.

        Returns:
            The worker's lasting runs, which have to be stopped.
        """
        demand = clearing.waiting_millicores(steps, self._interference, now_ms)
        if not demand:
            clearing.reopen_unused(self._workers, now_ms)
            return []
        available = [
            worker for worker in self._workers if worker.accepts_work(now_ms)
        ]
        worker = clearing.choose_worker(available, demand, now_ms)
        if worker is None:
            return []
        worker.cleared_until_ms = now_ms + clearing.CLEARED_DURATION_MS
        return [
            run for run in worker.runs.values() if run.task.step.spec.is_lasting
        ]

    def choose_victims(
        self, steps: list[runs_module.StepInstance], now_ms: int
    ) -> list[runs_module.Run]:
        """Chooses lasting runs to stop for short tasks that fit nowhere.

        A short job is worth as much as two seconds of a lasting one, for a
        fraction of the processors. The lasting task restarts once the short
        ones are done.
        """
        urgent = [step for step in steps if self._may_preempt(step, now_ms)]
        if not urgent:
            return []
        available = [
            worker for worker in self._workers if worker.accepts_work(now_ms)
        ]
        lasting_count = sum(
            run.task.step.spec.is_lasting
            for worker in available
            for run in worker.runs.values()
        )
        capacity = preemption.ProjectedCapacity(available)
        victims: list[runs_module.Run] = []
        for step in urgent:
            for task in list(step.pending_tasks.values())[
                :MAX_PREEMPTING_TASKS_PER_STEP
            ]:
                if blame.needs_trial(task.crashes) or capacity.reserve(task):
                    continue
                if (
                    capacity.stopping_count
                    >= lasting_count * MAX_STOPPING_SHARE
                ):
                    return victims
                victim = capacity.find_victim(task)
                if victim is None:
                    break
                victims.append(victim)
        return victims

    def _may_preempt(self, step: runs_module.StepInstance, now_ms: int) -> bool:
        spec = step.spec
        if spec.is_lasting or spec.fills_idle or spec.is_gang:
            return False
        if now_ms - step.ready_ms < PREEMPTION_DELAY_MS:
            return False
        rank = self._ranker.rank(step, now_ms)
        return rank.timeliness is ranking_module.Timeliness.ON_TIME

    def _place_step(
        self, step: runs_module.StepInstance, this_pass: _PlacementPass
    ) -> list[Placement]:
        placements: list[Placement] = []
        if self._is_known_unplaceable(step, this_pass):
            return placements
        for task in list(step.pending_tasks.values()):
            if task.not_before_ms > this_pass.now_ms:
                continue
            if task.crashes and blame.needs_trial(task.crashes):
                continue
            if self._should_wait_for_rack(task, this_pass):
                continue
            placed = self._place_task(task, this_pass, task.last_run + 1)
            if placed is None:
                self._record_unplaceable(step, this_pass)
                break
            self._note_placed(placed, this_pass)
            placements.append(placed)
        return placements

    def _should_wait_for_rack(
        self, task: runs_module.Task, this_pass: _PlacementPass
    ) -> bool:
        """Whether a task waits for a worker near its data or its group."""
        rack = self._wanted_rack(task.step, this_pass)
        if not rack or self.near_places is None:
            return False
        worker = self._pick_worker(task, this_pass)
        return worker is not None and self.near_places.should_wait(
            task, rack, worker
        )

    def _note_placed(
        self, placed: Placement, this_pass: _PlacementPass
    ) -> None:
        if self.near_places is not None:
            task = placed.run.task
            rack = self._wanted_rack(task.step, this_pass)
            self.near_places.note_placed(task, rack, placed.worker)

    def _wanted_rack(
        self, step: runs_module.StepInstance, this_pass: _PlacementPass
    ) -> str:
        """Returns the rack on which a step runs faster; empty for any."""
        spec = step.spec
        if not (spec.data_rack or spec.needs_one_rack):
            return ""
        rack = this_pass.wanted_racks.get(step)
        if rack is None:
            rack = placement.preferred_rack(step, this_pass.racks)
            if not rack:
                rack = placement.roomiest_rack(this_pass.workers, spec)
            this_pass.wanted_racks[step] = rack
        return rack

    def _is_known_unplaceable(
        self, step: runs_module.StepInstance, this_pass: _PlacementPass
    ) -> bool:
        """Whether a task of the same or a smaller size fit on no worker."""
        spec = step.spec
        unplaceable = this_pass.min_unplaceable_millicores
        if spec.fills_idle:
            unplaceable = this_pass.min_unplaceable_filling_millicores.get(
                spec.image, 1 << 60
            )
        return spec.cpu_millicores >= unplaceable

    def _record_unplaceable(
        self, step: runs_module.StepInstance, this_pass: _PlacementPass
    ) -> None:
        """Records that a task fit nowhere; the pass then skips such tasks."""
        spec = step.spec
        is_unconstrained = not (
            spec.required_label
            or spec.max_per_worker
            or spec.gpus
            or step.tickets is not None
        )
        if not is_unconstrained:
            return
        if spec.fills_idle:
            previous = this_pass.min_unplaceable_filling_millicores.get(
                spec.image, 1 << 60
            )
            this_pass.min_unplaceable_filling_millicores[spec.image] = min(
                previous, spec.cpu_millicores
            )
        elif not self._is_memory_bound(step, this_pass):
            this_pass.min_unplaceable_millicores = min(
                this_pass.min_unplaceable_millicores, spec.cpu_millicores
            )

    def _is_memory_bound(
        self, step: runs_module.StepInstance, this_pass: _PlacementPass
    ) -> bool:
        """Whether a worker has enough processors, so that memory is short."""
        return any(
            worker.free_cpu >= step.spec.cpu_millicores
            for worker in this_pass.workers
        )

    def _candidates(
        self, step: runs_module.StepInstance, this_pass: _PlacementPass
    ) -> candidates_module.Candidates:
        cached = this_pass.candidates.get(step)
        if cached is not None:
            return cached
        cached = candidates_module.Candidates(
            this_pass.workers, self._cost_function(step, this_pass)
        )
        this_pass.candidates[step] = cached
        return cached

    def _cost_function(
        self, step: runs_module.StepInstance, this_pass: _PlacementPass
    ) -> candidates_module.CostFunction:
        if step.spec.fills_idle:
            return self._filling_costs.cost(step)
        return placement.reservation_cost(
            step, self._wanted_rack(step, this_pass)
        )

    def _place_trials(
        self, steps: list[runs_module.StepInstance], this_pass: _PlacementPass
    ) -> list[Placement]:
        """Places the tasks that may crash their worker.

        The most suspected ones come first, as few workers are empty.
        """
        suspected = [
            task
            for step in steps
            if not step.spec.is_gang
            for task in step.pending_tasks.values()
            if task.crashes and blame.needs_trial(task.crashes)
        ]
        suspected.sort(
            key=lambda task: blame.suspicion(task.crashes), reverse=True
        )
        placed = (self._place_trial(task, this_pass) for task in suspected)
        return [placement for placement in placed if placement is not None]

    def _place_trial(
        self, task: runs_module.Task, this_pass: _PlacementPass
    ) -> Placement | None:
        """Places a task that may crash its worker, apart from other work."""
        chosen = trials.choose_worker(
            task,
            [
                worker
                for worker in self._workers
                if worker.accepts_trial(this_pass.now_ms)
            ],
            self._cost_function(task.step, this_pass),
            self._crashed_lately,
            this_pass.now_ms,
        )
        match chosen:
            case trials.TrialOutcome.WAIT:
                return None
            case trials.TrialOutcome.PLACE_ANYWHERE:
                return self._place_task(task, this_pass, task.last_run + 1)
            case worker_view.WorkerView():
                placed = _assign(
                    task, chosen, task.last_run + 1, this_pass.now_ms
                )
                chosen.trial_run = placed.run
                return placed

    def _place_task(
        self, task: runs_module.Task, this_pass: _PlacementPass, number: int
    ) -> Placement | None:
        worker = self._pick_worker(task, this_pass)
        if worker is None:
            return None
        return _assign(task, worker, number, this_pass.now_ms)

    def _pick_worker(
        self, task: runs_module.Task, this_pass: _PlacementPass
    ) -> worker_view.WorkerView | None:
        step = task.step
        # A speculative run has to be on another worker than the first run.
        excluded = frozenset(run.worker_id for run in task.runs)
        if step.spec.is_lasting and not clearing.is_overdue(
            task, this_pass.now_ms
        ):
            excluded |= this_pass.cleared
        return self._candidates(step, this_pass).pick(
            self._avoided_workers(task), excluded
        )

    def _avoided_workers(self, task: runs_module.Task) -> frozenset[str]:
        """Returns the workers that a task should use only if it has to."""
        if not task.crashes:
            return task.avoided_workers
        machines = {crash.machine for crash in task.crashes}
        return task.avoided_workers | {
            worker.worker_id
            for worker in self._workers
            if worker.entry.address in machines
        }

    def _place_gang(
        self, step: runs_module.StepInstance, this_pass: _PlacementPass
    ) -> list[Placement]:
        """Places all tasks of a gang together, or none."""
        if len(step.pending_tasks) < len(step.tasks):
            return []
        if any(task.not_before_ms > this_pass.now_ms for task in step.tasks):
            return []
        number = max(task.last_run for task in step.tasks) + 1
        placements: list[Placement] = []
        for task in step.tasks:
            placed = self._place_task(task, this_pass, number)
            if placed is None:
                for earlier in placements:
                    earlier.worker.remove(earlier.run)
                    step.remove_run(earlier.run, this_pass.now_ms)
                return []
            placements.append(placed)
        return placements


def _assign(
    task: runs_module.Task,
    worker: worker_view.WorkerView,
    number: int,
    now_ms: int,
) -> Placement:
    """Assigns a task's next run to a worker, which reserves its capacity."""
    run = runs_module.Run(
        task,
        number,
        worker.worker_id,
        runs_module.RunPhase.STARTING,
        now_ms,
    )
    task.last_run = number
    task.step.add_run(run)
    worker.add(run)
    return Placement(run, worker)

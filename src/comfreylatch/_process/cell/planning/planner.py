"""Assigns ready tasks to workers with free capacity, in rank order."""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

from comfreylatch._process.cell import interference
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import speculation
from comfreylatch._process.cell import worker_table as worker_table_module
from comfreylatch._process.cell import worker_view
from comfreylatch._process.cell.crashes import blame
from comfreylatch._process.cell.crashes import trials
from comfreylatch._process.cell.locality import (
    near_places as near_places_module,
)
from comfreylatch._process.cell.planning import candidates as candidates_module
from comfreylatch._process.cell.planning import clearing
from comfreylatch._process.cell.planning import placement
from comfreylatch._process.cell.planning import placement_pass
from comfreylatch._process.cell.planning import ranking as ranking_module
from comfreylatch._process.cell.planning import step_view


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
    ) -> list[placement_pass.Placement]:
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
    ) -> step_view.StepView:
        """Returns what a pass would see of a step; changes nothing."""
        available = [
            worker for worker in self._workers if worker.accepts_work(now_ms)
        ]
        this_pass = self._new_pass(available, now_ms)
        cleared = this_pass.cleared if step.spec.is_lasting else frozenset()
        cost = self._cost_function(step, this_pass)
        costed = [
            step_view.CostedWorker(worker, worker_cost)
            for worker in available
            if worker.worker_id not in cleared
            and (worker_cost := cost(worker)) is not None
        ]
        # Like the heap of candidates, keeps the order of equal costs.
        costed.sort(key=lambda candidate: candidate.cost)
        rack = this_pass.wanted_rack(step)
        waits = False
        if costed and self.near_places is not None:
            self.near_places.begin_pass(available, now_ms)
            waits = self.near_places.would_wait(
                step.tasks[0], rack, costed[0].worker
            )
        return step_view.StepView(tuple(costed), cleared, rack, waits)

    def count_startable(
        self,
        step: runs_module.StepInstance,
        worker: worker_view.WorkerView,
        now_ms: int,
    ) -> int:
        """Counts the pending tasks that a pass could place on a worker.

        Tickets are left out: advice is requested where this is above zero.

        Args:
            step: The step to start.
            worker: A worker that accepts work and is eligible for the step.
            now_ms: Monotonic time.
        """
        if step.spec.fills_idle:
            return self._filling_costs.count_fitting(worker, step)
        is_cleared = now_ms < worker.cleared_until_ms
        if step.spec.is_lasting and is_cleared:
            tasks = step.pending_tasks.values()
            if not any(clearing.is_overdue(task, now_ms) for task in tasks):
                return 0
        return placement.count_fitting(worker, step)

    def place_speculative_runs(
        self, jobs: Iterable[runs_module.ActiveJob], now_ms: int
    ) -> list[placement_pass.Placement]:
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
    ) -> placement_pass.PlacementPass:
        cleared = frozenset(
            worker.worker_id
            for worker in workers
            if now_ms < worker.cleared_until_ms
        )
        return placement_pass.PlacementPass(
            workers, cleared, self._workers.racks(), now_ms
        )

    def clear_worker(
        self, steps: list[runs_module.StepInstance], now_ms: int
    ) -> list[runs_module.Run]:
        """Closes a worker to lasting tasks if waiting tasks justify it.

        See `clearing`.

        Returns:
            The worker's lasting runs, which have to be stopped.
        """
        # An empty worker is of no use to a step that fits on none.
        servable = (
            step
            for step in steps
            if step.spec.fills_idle
            and any(
                placement.fits_when_empty(worker, step)
                for worker in self._workers
            )
        )
        demand = clearing.waiting_millicores(
            servable, self._interference, now_ms
        )
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

    def _place_step(
        self,
        step: runs_module.StepInstance,
        this_pass: placement_pass.PlacementPass,
    ) -> list[placement_pass.Placement]:
        placements: list[placement_pass.Placement] = []
        if this_pass.is_known_unplaceable(step):
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
                this_pass.record_unplaceable(step)
                break
            self._note_placed(placed, this_pass)
            placements.append(placed)
        return placements

    def _should_wait_for_rack(
        self, task: runs_module.Task, this_pass: placement_pass.PlacementPass
    ) -> bool:
        """Whether a task waits for a worker near its data or its group."""
        rack = this_pass.wanted_rack(task.step)
        if not rack or self.near_places is None:
            return False
        worker = self._pick_worker(task, this_pass)
        return worker is not None and self.near_places.should_wait(
            task, rack, worker
        )

    def _note_placed(
        self,
        placed: placement_pass.Placement,
        this_pass: placement_pass.PlacementPass,
    ) -> None:
        if self.near_places is not None:
            task = placed.run.task
            rack = this_pass.wanted_rack(task.step)
            self.near_places.note_placed(task, rack, placed.worker)

    def _candidates(
        self,
        step: runs_module.StepInstance,
        this_pass: placement_pass.PlacementPass,
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
        self,
        step: runs_module.StepInstance,
        this_pass: placement_pass.PlacementPass,
    ) -> candidates_module.CostFunction:
        if step.spec.fills_idle:
            return self._filling_costs.cost(step)
        return placement.reservation_cost(step, this_pass.wanted_rack(step))

    def _place_trials(
        self,
        steps: list[runs_module.StepInstance],
        this_pass: placement_pass.PlacementPass,
    ) -> list[placement_pass.Placement]:
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
        self, task: runs_module.Task, this_pass: placement_pass.PlacementPass
    ) -> placement_pass.Placement | None:
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
                placed = placement_pass.assign(
                    task, chosen, task.last_run + 1, this_pass.now_ms
                )
                chosen.trial_run = placed.run
                return placed

    def _place_task(
        self,
        task: runs_module.Task,
        this_pass: placement_pass.PlacementPass,
        number: int,
    ) -> placement_pass.Placement | None:
        worker = self._pick_worker(task, this_pass)
        if worker is None:
            return None
        return placement_pass.assign(task, worker, number, this_pass.now_ms)

    def _pick_worker(
        self, task: runs_module.Task, this_pass: placement_pass.PlacementPass
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
        self,
        step: runs_module.StepInstance,
        this_pass: placement_pass.PlacementPass,
    ) -> list[placement_pass.Placement]:
        """Places all tasks of a gang together, or none."""
        if len(step.pending_tasks) < len(step.tasks):
            return []
        if any(task.not_before_ms > this_pass.now_ms for task in step.tasks):
            return []
        number = max(task.last_run for task in step.tasks) + 1
        placements: list[placement_pass.Placement] = []
        for task in step.tasks:
            placed = self._place_task(task, this_pass, number)
            if placed is None:
                for earlier in placements:
                    placement_pass.withdraw(earlier)
                return []
            placements.append(placed)
        return placements

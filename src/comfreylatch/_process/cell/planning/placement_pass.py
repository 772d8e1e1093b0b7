"""State of one pass that places tasks, and what it yields."""

from __future__ import annotations

import attrs

from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import specs
from comfreylatch._process.cell import worker_view
from comfreylatch._process.cell.planning import candidates as candidates_module
from comfreylatch._process.cell.planning import placement


@attrs.frozen
class Placement:
    """A run with an assigned worker; its start order is not sent yet.

    Attributes:
        run: The run.
        worker: The worker.
        previous_run: Number of the task's last run before.
    """

    run: runs_module.Run
    worker: worker_view.WorkerView
    previous_run: int = 0


@attrs.frozen
class _FillingRequest:
    """What a filling task that fit nowhere requests.

    Attributes:
        cpu_millicores: Processors.
        memory_mb: Memory; 0 if every worker had enough.
    """

    cpu_millicores: int
    memory_mb: int

    def is_covered_by(self, spec: specs.StepSpec) -> bool:
        """Whether a task of a step requests at least as much."""
        return (
            spec.cpu_millicores >= self.cpu_millicores
            and spec.memory_mb >= self.memory_mb
        )


@attrs.define(eq=False)
class PlacementPass:
    """State of one pass over the ready steps.

    Attributes:
        workers: Workers that accept work.
        cleared: Ids of the workers that are cleared for filling tasks; lasting
            tasks use them only if overdue.
        racks: The rack of each worker, by worker id.
        now_ms: Monotonic time of the pass.
        min_unplaceable_millicores: Smallest processor request of an
            unconstrained task that fit on no worker.
        unplaceable_filling: Requests of unconstrained filling tasks that fit on
            no worker, by service and image.
        candidates: Candidate workers of each step tried so far.
        wanted_racks: Racks on which the steps tried so far run faster.
    """

    workers: list[worker_view.WorkerView]
    cleared: frozenset[str]
    racks: dict[str, str]
    now_ms: int
    min_unplaceable_millicores: int = 1 << 60
    unplaceable_filling: dict[tuple[str, str], list[_FillingRequest]] = (
        attrs.field(factory=dict)
    )
    candidates: dict[runs_module.StepInstance, candidates_module.Candidates] = (
        attrs.field(factory=dict)
    )
    wanted_racks: dict[runs_module.StepInstance, str] = attrs.field(
        factory=dict
    )

    def wanted_rack(self, step: runs_module.StepInstance) -> str:
        """Returns the rack on which a step runs faster; empty for any."""
        spec = step.spec
        if not (spec.data_rack or spec.needs_one_rack):
            return ""
        rack = self.wanted_racks.get(step)
        if rack is None:
            rack = placement.preferred_rack(step, self.racks)
            if not rack:
                rack = placement.roomiest_rack(self.workers, spec)
            self.wanted_racks[step] = rack
        return rack

    def is_known_unplaceable(self, step: runs_module.StepInstance) -> bool:
        """Whether a task of the same or a smaller size fit on no worker."""
        spec = step.spec
        if spec.fills_idle:
            return any(
                request.is_covered_by(spec)
                for request in self.unplaceable_filling.get(
                    _filling_key(step), ()
                )
            )
        return spec.cpu_millicores >= self.min_unplaceable_millicores

    def record_unplaceable(self, step: runs_module.StepInstance) -> None:
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
            # Where memory is short, a task that needs less of it may fit.
            memory_mb = spec.memory_mb if self._is_memory_short(step) else 0
            self.unplaceable_filling.setdefault(_filling_key(step), []).append(
                _FillingRequest(spec.cpu_millicores, memory_mb)
            )
        elif not self._is_memory_bound(step):
            self.min_unplaceable_millicores = min(
                self.min_unplaceable_millicores, spec.cpu_millicores
            )

    def _is_memory_short(self, step: runs_module.StepInstance) -> bool:
        """Whether a worker has too little memory for a task of a step."""
        return any(
            worker.free_memory < step.spec.memory_mb for worker in self.workers
        )

    def _is_memory_bound(self, step: runs_module.StepInstance) -> bool:
        """Whether a worker has enough processors, so that memory is short."""
        return any(
            worker.free_cpu >= step.spec.cpu_millicores
            for worker in self.workers
        )


def _filling_key(step: runs_module.StepInstance) -> tuple[str, str]:
    """Returns what decides, beside its size, where a filling task fits."""
    return step.job.spec.queue.service, step.spec.image


def assign(
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
    previous_run = task.last_run
    task.last_run = number
    task.step.add_run(run)
    worker.add(run)
    return Placement(run, worker, previous_run)


def withdraw(placement: Placement) -> None:
    """Undoes an assignment whose start was not ordered.

    The task has waited all the while, and its run number is free again: the
    numbers of an owner are limited.
    """
    run = placement.run
    placement.worker.remove(run)
    run.task.step.remove_run(run, run.task.pending_since_ms)
    run.task.last_run = placement.previous_run

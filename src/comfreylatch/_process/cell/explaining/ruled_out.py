"""Why a worker can't take a task of a step now."""

from __future__ import annotations

import enum

from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import worker_view
from comfreylatch._process.cell.planning import placement


class RuledOut(enum.StrEnum):
    """Why a worker can't take a task now."""

    NOT_LISTED = "not-listed"
    NOT_ANSWERING = "not-answering"
    NOT_RECORDED = "not-recorded"
    DRAINING = "draining"
    BEING_EMPTIED = "being-emptied"
    ZONE_EVACUATED = "zone-evacuated"
    STARTS_SUSPENDED = "starts-suspended"
    ON_TRIAL = "on-trial"
    RESERVED = "reserved-for-trials"
    AVOIDED = "avoided-after-failures"
    CAPACITY_UNKNOWN = "capacity-unknown"
    OTHER_SERVICE = "other-service"
    LABEL_MISSING = "label-missing"
    NO_ADVICE = "no-advice-yet"
    PER_WORKER_LIMIT = "limit-per-worker"
    TOO_LITTLE_CPU = "too-few-processors"
    TOO_LITTLE_MEMORY = "too-little-memory"
    TOO_FEW_GPUS = "too-few-gpus"
    CLEARED = "cleared-of-lasting-tasks"
    INTERFERENCE = "too-much-interference"


def reason(
    worker: worker_view.WorkerView,
    step: runs_module.StepInstance,
    now_ms: int,
) -> RuledOut:
    """Returns why a worker that is no candidate can't take a task.

    Args:
        worker: A worker that accepts no work, or that has no cost for the step.
        step: The step of the task.
        now_ms: Monotonic time.
    """
    return (
        _reason_of_state(worker, now_ms)
        or _reason_of_step(worker, step)
        or _reason_of_room(worker, step)
        or RuledOut.INTERFERENCE
    )


def _reason_of_state(
    worker: worker_view.WorkerView, now_ms: int
) -> RuledOut | None:
    """Returns why a worker takes no task of any step."""
    checks = (
        (not worker.is_listed, RuledOut.NOT_LISTED),
        (not worker.is_answering, RuledOut.NOT_ANSWERING),
        (not worker.is_recorded, RuledOut.NOT_RECORDED),
        (worker.entry.is_draining, RuledOut.DRAINING),
        (worker.is_being_emptied, RuledOut.BEING_EMPTIED),
        (worker.is_evacuated, RuledOut.ZONE_EVACUATED),
        (not worker.may_get_starts, RuledOut.STARTS_SUSPENDED),
        (worker.trial_run is not None, RuledOut.ON_TRIAL),
        (worker.is_reserved, RuledOut.RESERVED),
        (now_ms < worker.avoided_until_ms, RuledOut.AVOIDED),
        (not worker.accepts_work(now_ms), RuledOut.CAPACITY_UNKNOWN),
    )
    return next((reason for is_so, reason in checks if is_so), None)


def _reason_of_step(
    worker: worker_view.WorkerView, step: runs_module.StepInstance
) -> RuledOut | None:
    """Returns why a worker takes no task of this step."""
    if worker.entry.service != step.job.spec.queue.service:
        return RuledOut.OTHER_SERVICE
    if not placement.is_eligible(worker, step):
        return RuledOut.LABEL_MISSING
    if step.tickets is not None and worker.worker_id not in step.tickets:
        return RuledOut.NO_ADVICE
    if not placement.is_allowed(worker, step):
        return RuledOut.PER_WORKER_LIMIT
    return None


def _reason_of_room(
    worker: worker_view.WorkerView, step: runs_module.StepInstance
) -> RuledOut | None:
    """Returns which resource a worker has too little of."""
    need = step.spec.need
    if need.cpu_millicores > worker.free_cpu:
        return RuledOut.TOO_LITTLE_CPU
    if need.memory_mb > worker.free_memory:
        return RuledOut.TOO_LITTLE_MEMORY
    if need.gpus > worker.free_gpus:
        return RuledOut.TOO_FEW_GPUS
    return None

"""When workers of a rack are expected to have room for tasks of one size."""

from __future__ import annotations

from collections.abc import Iterable

from comfreylatch._ports import cell_workers
from comfreylatch._process.cell import duration_model as duration_model_module
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import worker_view

# A run that has outlasted its estimate is expected to need this share of it
# again.
OVERDUE_SHARE = 0.5
# Most expected starts that are computed for a rack; a task behind more of them
# would not wait for so long.
MAX_SLOTS = 64


def remaining_ms(
    run: runs_module.Run,
    durations: duration_model_module.DurationModel,
    now_ms: int,
) -> float | None:
    """Returns how much longer a run is expected to last; None if for good."""
    spec = run.task.step.spec
    if spec.is_lasting:
        return None
    queue = run.task.step.job.spec.queue.name
    expected_ms = durations.estimate_ms(queue, spec)
    left_ms = expected_ms - (now_ms - run.ordered_ms)
    return left_ms if left_ms > 0 else OVERDUE_SHARE * expected_ms


def expected_starts_ms(
    workers: Iterable[worker_view.WorkerView],
    need: cell_workers.Resources,
    durations: duration_model_module.DurationModel,
    now_ms: int,
) -> list[float]:
    """Returns the times until tasks of one size can start, in rising order.

    Args:
        workers: Workers of the rack that accept work.
        need: What a task reserves.
        durations: Expected durations of the runs.
        now_ms: Monotonic time.
    """
    starts_ms: list[float] = []
    for worker in workers:
        starts_ms.extend(_starts_on(worker, need, durations, now_ms))
    return sorted(starts_ms)[:MAX_SLOTS]


def _starts_on(
    worker: worker_view.WorkerView,
    need: cell_workers.Resources,
    durations: duration_model_module.DurationModel,
    now_ms: int,
) -> list[float]:
    ends = [
        (left_ms, run.task.step.spec.need)
        for run in worker.runs.values()
        if (left_ms := remaining_ms(run, durations, now_ms)) is not None
    ]
    ends.sort(key=lambda end: end[0])
    free_cpu, free_memory = worker.free_cpu, worker.free_memory
    free_gpus = worker.free_gpus
    starts_ms = []
    for left_ms, freed in [(0.0, cell_workers.Resources()), *ends]:
        free_cpu += freed.cpu_millicores
        free_memory += freed.memory_mb
        free_gpus += freed.gpus
        while (
            len(starts_ms) < MAX_SLOTS
            and free_cpu >= need.cpu_millicores
            and free_memory >= need.memory_mb
            and free_gpus >= need.gpus
        ):
            starts_ms.append(left_ms)
            free_cpu -= need.cpu_millicores
            free_memory -= need.memory_mb
            free_gpus -= need.gpus
    return starts_ms

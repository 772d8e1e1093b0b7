"""Selection of runs to move off workers that drain or are being emptied."""

from __future__ import annotations

from typing import final

from comfreylatch._process.cell import duration_model as duration_model_module
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import worker_view

# A run expected to end within this time is not moved: a draining worker keeps
# running for at least two seconds.
MAX_UNMOVED_REMAINING_MS = 1_500


@final
class EvacuationPolicy:
    """Chooses the runs to stop on workers that drain or are being emptied."""

    def __init__(self, durations: duration_model_module.DurationModel) -> None:
        self._durations = durations

    def runs_to_move(
        self, worker: worker_view.WorkerView
    ) -> list[runs_module.Run]:
        """Returns the runs that have to continue on other workers.

        Lasting tasks leave a draining worker all at once, and a worker that is
        being emptied as far as the `max_unavailable` of their step allows.
        Other tasks move if they have checkpoints and would not end in time;
        without checkpoints moving them gains nothing.
        """
        if not (worker.entry.is_draining or worker.is_being_emptied):
            return []
        moving = [
            run
            for run in worker.runs.values()
            if run.phase is runs_module.RunPhase.RUNNING
            and self._must_move(run)
        ]
        return moving if worker.entry.is_draining else _limit_per_step(moving)

    def _must_move(self, run: runs_module.Run) -> bool:
        spec = run.task.step.spec
        if spec.is_lasting:
            return True
        if not spec.has_checkpoints or spec.is_gang:
            return False
        queue = run.task.step.job.spec.queue.name
        expected_ms = self._durations.estimate_ms(queue, spec)
        remaining_ms = expected_ms * (100 - run.percent) / 100
        return remaining_ms > MAX_UNMOVED_REMAINING_MS


def _limit_per_step(moving: list[runs_module.Run]) -> list[runs_module.Run]:
    """Returns the runs that may stop now under their steps' limits."""
    allowed = []
    stopped: dict[runs_module.StepInstance, int] = {}
    for run in moving:
        step = run.task.step
        limit = step.spec.max_unavailable
        if limit:
            unavailable = step.unavailable_count + stopped.get(step, 0)
            if unavailable >= limit:
                continue
            stopped[step] = stopped.get(step, 0) + 1
        allowed.append(run)
    return allowed

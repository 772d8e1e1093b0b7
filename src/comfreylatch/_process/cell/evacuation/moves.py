"""Selection of runs to move off workers that leave or take no more work."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
from typing import final

from comfreylatch._process.cell import duration_model as duration_model_module
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import worker_view
from comfreylatch._process.cell.planning import preemption

# A run expected to end within this time is not moved: a draining worker keeps
# running for at least two seconds.
MAX_UNMOVED_REMAINING_MS = 1_500
# Runs that one check moves off evacuated zones, so that what they wait for is
# seen before more of them are moved.
MAX_ZONE_MOVES = 4
# A task that has waited for so long shows that there is no room for others.
MAX_WAIT_BESIDE_MOVES_MS = 300


@final
class EvacuationPolicy:
    """Chooses the runs to stop so that they continue on other workers."""

    def __init__(self, durations: duration_model_module.DurationModel) -> None:
        self._durations = durations

    def runs_to_move(
        self, worker: worker_view.WorkerView
    ) -> list[runs_module.Run]:
        """Returns the runs that have to leave a worker, as it leaves itself.

        Lasting tasks leave a draining worker all at once, and a worker that is
        being emptied as far as the `max_unavailable` of their step allows.
        Other tasks move if they have checkpoints and would not end in time;
        without checkpoints moving them gains nothing.
        """
        if not (worker.entry.is_draining or worker.is_being_emptied):
            return []
        moving = [run for run in worker.runs.values() if self._can_move(run)]
        return moving if worker.entry.is_draining else limit_per_step(moving)

    def runs_to_move_off_zones(
        self,
        workers: Iterable[worker_view.WorkerView],
        waiting: Iterable[runs_module.StepInstance],
        now_ms: int,
    ) -> list[runs_module.Run]:
        """Returns the runs that should leave evacuated zones now.

        Their workers go on running them, so they move only into room elsewhere
        that nothing waits for: runs with checkpoints first, which lose least,
        then lasting ones. A run that has left one zone stays in the next.

        Args:
            workers: All workers.
            waiting: Steps with pending tasks.
            now_ms: Monotonic time.
        """
        views = list(workers)
        moving = [
            run
            for view in views
            if view.is_evacuated and view.is_answering
            for run in view.runs.values()
            if not run.task.has_left_zone and self._can_move(run)
        ]
        if not moving or _is_room_short(waiting, now_ms):
            return []
        moving.sort(key=lambda run: run.task.step.spec.is_lasting)
        room = preemption.ProjectedCapacity(
            [view for view in views if view.accepts_work(now_ms)]
        )
        chosen: list[runs_module.Run] = []
        for run in limit_per_step(moving):
            if len(chosen) == MAX_ZONE_MOVES:
                break
            if room.reserve(run.task):
                run.task.has_left_zone = True
                chosen.append(run)
        return chosen

    def _can_move(self, run: runs_module.Run) -> bool:
        if run.phase is not runs_module.RunPhase.RUNNING:
            return False
        spec = run.task.step.spec
        if spec.is_lasting:
            return True
        if not spec.has_checkpoints or spec.is_gang:
            return False
        queue = run.task.step.job.spec.queue.name
        expected_ms = self._durations.estimate_ms(queue, spec)
        remaining_ms = expected_ms * (100 - run.percent) / 100
        return remaining_ms > MAX_UNMOVED_REMAINING_MS


def _is_room_short(
    waiting: Iterable[runs_module.StepInstance], now_ms: int
) -> bool:
    """Whether tasks wait longer than it takes to place them."""
    return any(
        step.pending_tasks
        and now_ms - step.oldest_pending_ms > MAX_WAIT_BESIDE_MOVES_MS
        for step in waiting
    )


def limit_per_step(
    moving: Sequence[runs_module.Run],
) -> list[runs_module.Run]:
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

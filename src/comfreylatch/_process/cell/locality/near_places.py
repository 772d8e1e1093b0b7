"""Applies the decision to wait for near workers to the tasks of a pass."""

from __future__ import annotations

from collections.abc import Sequence
from typing import final

import attrs
import logbook

from comfreylatch._ports import cell_workers
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.cell import duration_model as duration_model_module
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import worker_view
from comfreylatch._process.cell.locality import calibration
from comfreylatch._process.cell.locality import near_slots
from comfreylatch._process.cell.locality import near_wait

_logger = logbook.Logger(__name__)


@attrs.define(eq=False)
class _RackQueue:
    """Expected starts in a rack for one size, and the tasks ahead."""

    starts_ms: list[float]
    taken: int = 0


@final
class NearPlaces:
    """Decides for each task of a placement pass whether it waits.

    Used by the owner's thread only.

    Args:
        durations: Expected durations of tasks.
        remote_penalty: Factor by which tasks last longer away from their rack;
            at 1 no task waits.
        metrics: Counts the waits by how they end.
    """

    def __init__(
        self,
        durations: duration_model_module.DurationModel,
        remote_penalty: float,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._durations = durations
        self._remote_penalty = remote_penalty
        self._metrics = metrics
        self.calibration = calibration.Calibration()
        self._workers: Sequence[worker_view.WorkerView] = ()
        self._now_ms = 0
        self._queues: dict[tuple[str, cell_workers.Resources], _RackQueue] = {}

    def begin_pass(
        self, workers: Sequence[worker_view.WorkerView], now_ms: int
    ) -> None:
        """Starts a pass over steps, on the workers that accept work."""
        self._workers = workers
        self._now_ms = now_ms
        self._queues.clear()

    def should_wait(
        self,
        task: runs_module.Task,
        rack: str,
        worker: worker_view.WorkerView,
    ) -> bool:
        """Whether a task waits for its rack rather than take a far worker.

        Counts the wait among those of the pass.

        Args:
            task: The task.
            rack: The rack on which it runs faster.
            worker: The worker that it would be placed on now.
        """
        wait = self._wait(task, rack, worker)
        if wait is None or not near_wait.should_wait(wait):
            return False
        self._rack_queue(rack, task.step.spec.need).taken += 1
        if not task.near_wait_since_ms:
            task.near_wait_since_ms = self._now_ms
            _log_wait(task, rack, wait)
        return True

    def would_wait(
        self,
        task: runs_module.Task,
        rack: str,
        worker: worker_view.WorkerView,
    ) -> bool:
        """Whether a task would wait; like `should_wait`, without effect."""
        wait = self._wait(task, rack, worker)
        return wait is not None and near_wait.should_wait(wait)

    def _wait(
        self,
        task: runs_module.Task,
        rack: str,
        worker: worker_view.WorkerView,
    ) -> near_wait.NearWait | None:
        """Returns what is known of a wait; None if there is nothing to gain."""
        spec = task.step.spec
        if self._remote_penalty <= 1.0 or not rack or worker.rack == rack:
            return None
        if spec.is_lasting or spec.fills_idle or spec.is_gang:
            return None
        queue = self._rack_queue(rack, spec.need)
        near_start_ms = None
        if queue.taken < len(queue.starts_ms):
            near_start_ms = queue.starts_ms[queue.taken]
        return near_wait.NearWait(
            duration_ms=self._durations.estimate_ms(
                task.step.job.spec.queue.name, spec
            ),
            remote_penalty=self._remote_penalty,
            near_start_ms=near_start_ms,
            waited_ms=self._now_ms - task.waiting_since_ms,
            reliability=self.calibration.reliability(rack, self._now_ms),
            contention=queue.taken / max(len(queue.starts_ms), 1),
        )

    def _rack_queue(
        self, rack: str, need: cell_workers.Resources
    ) -> _RackQueue:
        queue = self._queues.get((rack, need))
        if queue is None:
            near = [worker for worker in self._workers if worker.rack == rack]
            queue = _RackQueue(
                near_slots.expected_starts_ms(
                    near, need, self._durations, self._now_ms
                )
            )
            self._queues[rack, need] = queue
        return queue

    def note_placed(
        self,
        task: runs_module.Task,
        rack: str,
        worker: worker_view.WorkerView,
    ) -> None:
        """Notes where a task was placed, which may end its wait."""
        if not task.near_wait_since_ms:
            return
        waited_ms = self._now_ms - task.near_wait_since_ms
        task.near_wait_since_ms = 0
        came = worker.rack == rack
        self.calibration.observe(rack, came, self._now_ms)
        outcome = "near" if came else "far"
        self._metrics.count(metrics_module.Counter.NEAR_WAITS, outcome)
        logs.event(
            _logger,
            "near-wait-ended",
            task=task.name,
            rack=rack,
            outcome=outcome,
            waited_ms=waited_ms,
        )


def _log_wait(
    task: runs_module.Task, rack: str, wait: near_wait.NearWait
) -> None:
    logs.event(
        _logger,
        "near-wait",
        task=task.name,
        rack=rack,
        near_start_ms=round(wait.near_start_ms or 0.0),
        duration_ms=round(wait.duration_ms),
        gain_ms=round(wait.gain_ms),
        reliability=round(wait.reliability, 2),
        contention=round(wait.contention, 2),
    )

"""Bounds how long filling tasks may keep a lasting task over its tail target.

The interference model may take a harmful image for a harmless one, or blame a
lasting task's own load, as readings far over a target teach it little. The
platform allows a lasting task to be over its target for a limited time while
filling tasks work beside it. Well before that, they are paused, whatever the
model says.
"""

from __future__ import annotations

from typing import final

from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import worker_view

# Share of the allowed time after which filling tasks are paused. The rest is
# for a report, an order and its effect on the readings.
PAUSE_AFTER_SHARE = 0.5


@final
class HarmGuard:
    """Decides when a worker's filling tasks have to be paused.

    Args:
        allowed_ms: How long the platform allows a lasting task to be over its
            target while filling tasks work beside it.
    """

    def __init__(self, allowed_ms: int) -> None:
        self._pause_after_ms = PAUSE_AFTER_SHARE * allowed_ms

    def observe(self, run: runs_module.Run, now_ms: int) -> None:
        """Notes whether the newest reading of a lasting run is over target."""
        if run.reading <= run.task.step.spec.tail_target_ms:
            run.over_target_since_ms = 0
        elif run.over_target_since_ms == 0:
            run.over_target_since_ms = now_ms

    def must_pause(self, worker: worker_view.WorkerView) -> bool:
        """Whether a lasting run of a worker was over its target for long."""
        return any(
            run.over_target_since_ms > 0
            and worker.answered_ms - run.over_target_since_ms
            >= self._pause_after_ms
            for run in worker.runs.values()
        )

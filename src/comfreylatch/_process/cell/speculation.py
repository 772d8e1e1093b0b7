"""Detection of stragglers, for which a step may allow a second run."""

from __future__ import annotations

import statistics

from comfreylatch._process.cell import runs as runs_module

# The durations of a step's tasks vary by a third. A task that takes this many
# times their median is more likely held up by its worker than long by itself.
STRAGGLER_FACTOR = 2.0
# The median of fewer durations says little.
MIN_DONE_TASKS = 2
# Shorter delays cost less than a second run.
MIN_DELAY_MS = 400


def is_straggler(task: runs_module.Task, now_ms: int) -> bool:
    """Whether a task's only run takes much longer than the others did."""
    if task.is_done or len(task.runs) != 1:
        return False
    durations_ms = task.step.durations_ms
    if len(durations_ms) < MIN_DONE_TASKS:
        return False
    (run,) = task.runs
    if run.phase is runs_module.RunPhase.STOPPING:
        return False
    median_ms = statistics.median(durations_ms)
    limit_ms = max(STRAGGLER_FACTOR * median_ms, median_ms + MIN_DELAY_MS)
    return now_ms - run.ordered_ms > limit_ms

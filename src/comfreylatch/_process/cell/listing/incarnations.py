"""What is known of a worker's runs once its next incarnation is listed."""

from __future__ import annotations

from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import worker_view
from comfreylatch._process.cell.carryover import delays

# How far the clocks of a host and a worker may differ. A worker that crashes is
# back after some three seconds, so a start that made it crash is earlier.
CLOCK_SLACK_MS = 1_000


def take_runs_in_doubt(
    view: worker_view.WorkerView, now_ms: int, alive_ms: int
) -> list[runs_module.Run]:
    """Removes the runs that the next incarnation under the same id may have.

    Orders name a worker by its id only. So the next incarnation accepts a start
    that was meant for the last one, if it is sent or repeated late enough.

    Args:
        view: The last incarnation.
        now_ms: Monotonic time.
        alive_ms: Time for which the next incarnation has been up.

    Returns:
        The runs, which stay in doubt until it has listed what it runs.
    """
    earliest_ms = now_ms - alive_ms - CLOCK_SLACK_MS
    in_doubt = [
        run
        for run in view.runs.values()
        if _was_starting_after(run, earliest_ms)
        or _may_be_started_late(run, now_ms)
    ]
    for run in in_doubt:
        view.remove(run)
        run.is_in_doubt = True
        run.confirmed_ms = 0
        # If it runs, it has been started anew.
        run.percent = 0.0
        run.progressed_ms = 0
        run.pace_percent = 100
        run.is_pace_known = not run.task.step.spec.fills_idle
        if run.phase is runs_module.RunPhase.RUNNING:
            run.phase = runs_module.RunPhase.STARTING
    return in_doubt


def _may_be_started_late(run: runs_module.Run, now_ms: int) -> bool:
    """Whether a try of a run's start may still be carried out."""
    if not run.unanswered_tries:
        return False
    returned_ago_ms = now_ms - run.start_returned_ms
    return returned_ago_ms <= delays.MAX_CALL_DELAY_MS


def _was_starting_after(run: runs_module.Run, earliest_ms: int) -> bool:
    """Whether a run's start order was still under way at a monotonic time."""
    if not run.was_ordered or run.is_adopted:
        return False
    return run.start_returned_ms == 0 or run.start_returned_ms >= earliest_ms

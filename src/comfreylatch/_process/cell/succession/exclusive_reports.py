"""Decides whether only this owner will learn how a run ends.

A worker that has answered this owner refuses the calls of previous ones. A hold
call that it had accepted before may still wait there and report an end. A run
that is listed once that call must have returned ends for this owner alone, so
a step that waits for it has not been started by another.
"""

from __future__ import annotations

from comfreylatch._process.cell import worker_session

# Added to how long a hold call waits, as timers fire late.
TIMER_MARGIN_MS = 100


def is_exclusive(first_clock_ms: int, clock_ms: int) -> bool:
    """Whether an answer lists what no previous owner can hear the end of.

    Args:
        first_clock_ms: Reading of the worker's clock in its first answer to
            this owner.
        clock_ms: Reading of its clock in the answer.
    """
    elapsed_ms = clock_ms - first_clock_ms
    return elapsed_ms > worker_session.HOLD_WAIT_MS + TIMER_MARGIN_MS

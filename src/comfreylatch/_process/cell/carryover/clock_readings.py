"""Tells by its clock which incarnation of a worker has answered.

Answers to orders state the worker's clock, but not its incarnation. The clock
of an incarnation starts anew.
"""

from __future__ import annotations

from typing import final

import attrs

from comfreylatch._process.cell import worker_view

# Rounding of the two readings, and delays of timers.
CLOCK_MARGIN_MS = 20


@final
@attrs.frozen
class ClockReading:
    """A worker's clock as an incarnation has stated it.

    Attributes:
        clock_ms: The worker's clock.
        read_ms: Monotonic time at which the statement arrived.
    """

    clock_ms: int
    read_ms: int

    def excludes(self, clock_ms: int, sent_ms: int) -> bool:
        """Whether another incarnation has stated a reading.

        Args:
            clock_ms: The reading in an answer.
            sent_ms: Monotonic time at which the call was sent, after this
                reading.
        """
        elapsed_ms = int(
            (sent_ms - self.read_ms) * (1 - worker_view.MAX_CLOCK_DRIFT)
        )
        return clock_ms < self.clock_ms + elapsed_ms - CLOCK_MARGIN_MS

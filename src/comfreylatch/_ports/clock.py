"""Interface to the clocks, so that tests can control time."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """A monotonic clock for durations and a wall clock for display."""

    def monotonic_ms(self) -> int:
        """Returns milliseconds on a clock that never goes back."""
        ...

    def wall_ms(self) -> int:
        """Returns milliseconds since the epoch; for display only."""
        ...


class SystemClock:
    """Clocks of the operating system."""

    def monotonic_ms(self) -> int:
        """See `Clock.monotonic_ms`; includes time spent suspended."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """See `Clock.wall_ms`."""
        return time.time_ns() // 1_000_000

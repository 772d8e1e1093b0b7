"""Time, as a port, so that tests can drive it."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """A monotonic clock for durations and a wall clock for display."""

    def monotonic_ms(self) -> int:
        """Milliseconds on a clock that never goes back."""
        ...

    def wall_ms(self) -> int:
        """Milliseconds since the epoch; never used to decide anything."""
        ...


class SystemClock:
    """The machine's own clocks."""

    def monotonic_ms(self) -> int:
        """See `Clock.monotonic_ms`; counts time the host was suspended."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """See `Clock.wall_ms`."""
        return time.time_ns() // 1_000_000

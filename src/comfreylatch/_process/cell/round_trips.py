"""How slow the store is at present, as this host's own calls show it.

A partition of the store carries out its appends one at a time. When the store
is slow, an append also waits for those before it, for up to two seconds.
"""

from __future__ import annotations

import collections
from typing import final

from comfreylatch._ports import clock as clock_port

# Older round trips say nothing about the present.
RECENT_MS = 3_000
# A store whose calls take no longer than this isn't slow.
USUAL_MS = 20
# Number of appends that may be waiting ahead of one.
QUEUED_APPENDS = 25
# Bounds the time for which a cell without an owner waits longer for a new one.
MAX_SLOW_MS = 2_500


@final
class RoundTrips:
    """Round trips of this host's last two calls to the store. Thread-safe.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: clock_port.Clock) -> None:
        self._clock = clock
        self._last: collections.deque[tuple[int, int]] = collections.deque(
            maxlen=2
        )

    def add(self, duration_ms: int) -> None:
        """Adds the duration of a call that the store answered without wait."""
        self._last.append((self._clock.monotonic_ms(), duration_ms))

    @property
    def slow_ms(self) -> int:
        """How much longer than usual an append may take now.

        One late answer alone has other causes, so the shorter one of the two
        round trips counts.
        """
        now_ms = self._clock.monotonic_ms()
        recent_ms = [
            duration_ms
            for added_ms, duration_ms in tuple(self._last)
            if now_ms - added_ms < RECENT_MS
        ]
        shorter_ms = min(recent_ms, default=0)
        queued_ms = QUEUED_APPENDS * max(shorter_ms - USUAL_MS, 0)
        return min(queued_ms, MAX_SLOW_MS)

"""Streaming estimate of one quantile, in constant space."""

from __future__ import annotations

from typing import final

INITIAL_ESTIMATE_MS = 50.0
RELATIVE_STEP = 0.05
MIN_ESTIMATE_MS = 0.5


@final
class LatencyQuantile:
    """Estimates a quantile by small steps up and down.

    Each value above the estimate raises it in proportion to the percentile p,
    each value below lowers it in proportion to 100 - p, so that the estimate
    settles where p percent of the values lie below it. Takes no lock; a race
    between threads loses at most a step.

    Args:
        percentile: The percentile p to estimate, 0 to 100.
        initial_ms: Estimate before the first value.
    """

    def __init__(
        self, percentile: int, initial_ms: float = INITIAL_ESTIMATE_MS
    ) -> None:
        self._percentile = percentile
        self._estimate_ms = initial_ms

    @property
    def estimate_ms(self) -> float:
        """The current estimate of the quantile."""
        return self._estimate_ms

    def add(self, elapsed_ms: float) -> None:
        """Moves the estimate towards one measured time."""
        step_ms = max(self._estimate_ms, MIN_ESTIMATE_MS) * RELATIVE_STEP
        if elapsed_ms > self._estimate_ms:
            self._estimate_ms += step_ms * self._percentile / 100
        else:
            self._estimate_ms -= step_ms * (100 - self._percentile) / 100
        self._estimate_ms = max(self._estimate_ms, MIN_ESTIMATE_MS)

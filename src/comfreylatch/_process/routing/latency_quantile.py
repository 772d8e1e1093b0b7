"""A running estimate of one quantile, in constant space."""

from __future__ import annotations

from typing import final

INITIAL_ESTIMATE_MS = 50.0
RELATIVE_STEP = 0.05
MIN_ESTIMATE_MS = 0.5


@final
class LatencyQuantile:
    """Follows a quantile by small steps up and down.

    Each value above the estimate raises it in proportion to the quantile,
    each below lowers it in proportion to the rest; they balance where the
    wanted share of values lies below. Races between threads cost a step.
    """

    def __init__(
        self, percentile: int, initial_ms: float = INITIAL_ESTIMATE_MS
    ) -> None:
        self._percentile = percentile
        self._estimate_ms = initial_ms

    @property
    def estimate_ms(self) -> float:
        """The estimate now."""
        return self._estimate_ms

    def add(self, elapsed_ms: float) -> None:
        """Takes one value into account."""
        step_ms = max(self._estimate_ms, MIN_ESTIMATE_MS) * RELATIVE_STEP
        if elapsed_ms > self._estimate_ms:
            self._estimate_ms += step_ms * self._percentile / 100
        else:
            self._estimate_ms -= step_ms * (100 - self._percentile) / 100
        self._estimate_ms = max(self._estimate_ms, MIN_ESTIMATE_MS)

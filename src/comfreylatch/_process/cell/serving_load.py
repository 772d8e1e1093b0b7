"""Follows the load of lasting tasks through noisy readings."""

from __future__ import annotations

import math

import attrs

# Until a task has shown its load; the middle of what loads have been seen.
PRIOR_LOAD = 0.45
PRIOR_LOAD_SD = 0.2
PRIOR_SLOPE_SD_PER_S = 0.1
# Scatter of a reading, as a share of capacity; fitted to a day of readings.
READING_SD = 0.05
# How fast the slope of a load wanders, in shares per second and root second:
# loads swing by a quarter within some five seconds.
SLOPE_NOISE = 0.1
# A slope is expected to fade within this time, as loads swing back.
SLOPE_DECAY_MS = 3_000
MIN_LOAD_VARIANCE = 1e-5


@attrs.define(eq=False)
class ServingLoad:
    """Load of a step's lasting tasks as a share of their capacity.

    A filter with two states, level and slope, for evenly scattered readings
    at uneven times.

    Attributes:
        load: Newest estimate.
        slope_per_s: Its change in a second.
        updated_ms: Monotonic time of the newest reading; 0 before the first.
    """

    load: float = PRIOR_LOAD
    slope_per_s: float = 0.0
    updated_ms: int = 0
    _load_variance: float = PRIOR_LOAD_SD**2
    _covariance: float = 0.0
    _slope_variance: float = PRIOR_SLOPE_SD_PER_S**2

    def update(
        self, error: float, now_ms: int, variance: float = READING_SD**2
    ) -> None:
        """Moves the estimate towards a reading.

        Args:
            error: What the reading has over the estimate as of `predict`.
            now_ms: Time of the reading.
            variance: Of the reading, whatever else it depends on included.
        """
        self.predict(now_ms)
        total = self._load_variance + variance
        level_gain = self._load_variance / total
        slope_gain = self._covariance / total
        self.load = min(max(self.load + level_gain * error, 0.0), 1.0)
        self.slope_per_s += slope_gain * error
        covariance = self._covariance
        self._slope_variance -= slope_gain * covariance
        self._covariance -= level_gain * covariance
        self._load_variance = max(
            (1 - level_gain) * self._load_variance, MIN_LOAD_VARIANCE
        )

    def predict(self, now_ms: int) -> None:
        """Carries the estimate on to a later time."""
        if self.updated_ms == 0:
            self.updated_ms = now_ms
        elapsed_s = (now_ms - self.updated_ms) / 1_000
        if elapsed_s <= 0:
            return
        self.updated_ms = now_ms
        noise = SLOPE_NOISE**2
        self.load = min(max(self.load + self.slope_per_s * elapsed_s, 0.0), 1.0)
        self.slope_per_s *= math.exp(-elapsed_s * 1_000 / SLOPE_DECAY_MS)
        self._load_variance += (
            2 * elapsed_s * self._covariance
            + elapsed_s**2 * self._slope_variance
            + noise * elapsed_s**3 / 3
        )
        self._covariance += (
            elapsed_s * self._slope_variance + noise * elapsed_s**2 / 2
        )
        self._slope_variance += noise * elapsed_s

    def forecast(self, horizon_ms: int) -> float:
        """The load expected soon; never below what it is now."""
        decay_s = SLOPE_DECAY_MS / 1_000
        rise = decay_s * (1 - math.exp(-horizon_ms / SLOPE_DECAY_MS))
        return min(self.load + max(self.slope_per_s * rise, 0.0), 1.0)

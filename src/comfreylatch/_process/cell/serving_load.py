"""Estimates the load of lasting tasks from noisy readings."""

from __future__ import annotations

import math

import attrs

# Estimate before the first reading: the middle of typical loads.
PRIOR_LOAD = 0.45
PRIOR_LOAD_SD = 0.2
PRIOR_SLOPE_SD_PER_S = 0.1
# Typical standard deviation of a reading, as a share of capacity.
READING_SD = 0.05
# Process noise of the slope, in shares per second and root second: loads swing
# by a quarter within about five seconds.
SLOPE_NOISE = 0.1
# Time constant of the decay of a slope, as loads swing back.
SLOPE_DECAY_TIME_CONSTANT_MS = 3_000
MIN_LOAD_VARIANCE = 1e-5


@attrs.define(eq=False)
class ServingLoad:
    """Load of a step's lasting tasks as a share of their capacity.

    A Kalman filter with two states, level and slope, for readings with equal
    noise at irregular times.

    Attributes:
        load: Estimated load as of `updated_ms`.
        slope_per_s: Estimated change of the load in a second.
        updated_ms: Monotonic time of the estimate; 0 before the first reading.
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
        """Corrects the estimate by a reading.

        Args:
            error: Difference of the reading from the predicted load.
            now_ms: Monotonic time of the reading.
            variance: Variance of the reading, from all of its sources.
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
        """Extrapolates the estimate to a later time."""
        if self.updated_ms == 0:
            self.updated_ms = now_ms
        elapsed_s = (now_ms - self.updated_ms) / 1_000
        if elapsed_s <= 0:
            return
        self.updated_ms = now_ms
        noise = SLOPE_NOISE**2
        self.load = min(max(self.load + self.slope_per_s * elapsed_s, 0.0), 1.0)
        self.slope_per_s *= math.exp(
            -elapsed_s * 1_000 / SLOPE_DECAY_TIME_CONSTANT_MS
        )
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
        """Returns the load expected after a time; never below the current."""
        decay_s = SLOPE_DECAY_TIME_CONSTANT_MS / 1_000
        rise = decay_s * (
            1 - math.exp(-horizon_ms / SLOPE_DECAY_TIME_CONSTANT_MS)
        )
        return min(self.load + max(self.slope_per_s * rise, 0.0), 1.0)

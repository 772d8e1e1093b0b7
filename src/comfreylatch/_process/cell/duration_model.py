"""Learns how task durations relate to the durations that jobs declare."""

from __future__ import annotations

from typing import final

from comfreylatch._process.cell import specs

# Weight of a new duration in the smoothed ratio: about the last ten count.
RATIO_SMOOTHING = 0.1
# Ratios outside these bounds indicate a fault rather than a property of the
# image.
MIN_RATIO = 0.05
MAX_RATIO = 20.0
# Estimate for a task without a declared duration.
DEFAULT_ESTIMATE_MS = 1_000


@final
class DurationModel:
    """Smoothed ratio of actual to declared duration by queue and image."""

    def __init__(self) -> None:
        self._ratios: dict[str, float] = {}

    def observe(
        self, queue: str, spec: specs.StepSpec, duration_ms: int
    ) -> None:
        """Adds the duration of a run that was not slowed or interrupted."""
        declared_ms = spec.estimated_ms or DEFAULT_ESTIMATE_MS
        ratio = min(max(duration_ms / declared_ms, MIN_RATIO), MAX_RATIO)
        for key in (queue, f"{queue}/{spec.image}"):
            mean = self._ratios.pop(key, ratio)
            self._ratios[key] = mean + RATIO_SMOOTHING * (ratio - mean)

    def export(self) -> dict[str, float]:
        """Returns the ratios, least recently observed first."""
        return dict(self._ratios)

    def restore(self, ratios: dict[str, float]) -> None:
        """Restores the ratios that a previous owner learned."""
        self._ratios.update(ratios)

    def estimate_ms(self, queue: str, spec: specs.StepSpec) -> float:
        """Returns the expected duration of one task."""
        declared_ms = spec.estimated_ms or DEFAULT_ESTIMATE_MS
        ratio = self._ratios.get(f"{queue}/{spec.image}")
        if ratio is None:
            ratio = self._ratios.get(queue, 1.0)
        return declared_ms * ratio

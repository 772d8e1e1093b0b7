"""How often waits for each rack were worth it."""

from __future__ import annotations

import math
from typing import final

import attrs

# Assumed of a rack that nothing has waited for yet.
PRIOR_RELIABILITY = 0.8
# Weight of a wait in the smoothed share: about the last seven count.
SMOOTHING = 0.15
# Time constant with which a share returns to the prior. Without it, a rack that
# nothing waits for any more would never be tried again.
FORGETTING_TIME_CONSTANT_MS = 10_000


@attrs.frozen
class _Share:
    """Share of the waits for a rack that were worth it, at one time."""

    value: float
    observed_ms: int


@final
class Calibration:
    """Smoothed share of the waits, by rack, that ended on a near worker."""

    def __init__(self) -> None:
        self._shares: dict[str, _Share] = {}

    def reliability(self, rack: str, now_ms: int) -> float:
        """Returns the share for a rack."""
        share = self._shares.get(rack)
        if share is None:
            return PRIOR_RELIABILITY
        elapsed_ms = max(now_ms - share.observed_ms, 0)
        memory = math.exp(-elapsed_ms / FORGETTING_TIME_CONSTANT_MS)
        return PRIOR_RELIABILITY + memory * (share.value - PRIOR_RELIABILITY)

    def observe(self, rack: str, came: bool, now_ms: int) -> None:
        """Adds a wait that ended on a near worker, or on a far one."""
        value = self.reliability(rack, now_ms)
        value += SMOOTHING * (float(came) - value)
        self._shares[rack] = _Share(value, now_ms)

    def export(self) -> dict[str, float]:
        """Returns the shares as last observed, for the next owner."""
        return {
            rack: round(share.value, 3) for rack, share in self._shares.items()
        }

    def restore(self, shares: dict[str, float], now_ms: int) -> None:
        """Takes over the shares that a previous owner learned."""
        for rack, value in shares.items():
            self._shares[rack] = _Share(min(max(value, 0.0), 1.0), now_ms)

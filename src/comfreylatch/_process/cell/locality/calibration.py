"""How often waits for each rack were worth it."""

from __future__ import annotations

from typing import final

# Assumed of a rack that nothing has waited for yet.
PRIOR_RELIABILITY = 0.8
# Weight of a wait in the smoothed share: about the last seven count.
SMOOTHING = 0.15


@final
class Calibration:
    """Smoothed share of the waits, by rack, that ended on a near worker."""

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}

    def reliability(self, rack: str) -> float:
        """Returns the share for a rack."""
        return self._shares.get(rack, PRIOR_RELIABILITY)

    def observe(self, rack: str, came: bool) -> None:
        """Adds a wait that ended on a near worker, or on a far one."""
        share = self.reliability(rack)
        self._shares[rack] = share + SMOOTHING * (float(came) - share)

    def export(self) -> dict[str, float]:
        """Returns the shares, for the next owner."""
        return {rack: round(share, 3) for rack, share in self._shares.items()}

    def restore(self, shares: dict[str, float]) -> None:
        """Takes over the shares that a previous owner learned."""
        self._shares.update(
            {rack: min(max(share, 0.0), 1.0) for rack, share in shares.items()}
        )

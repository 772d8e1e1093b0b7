"""Timeouts of an append that is tried again until its outcome is known.

A partition of the store carries out its appends one at a time. When the store
is slow, they queue up, and one that is sent again after a short timeout joins
the queue once more: the store gets several times the load that it can't take.
When an answer was lost, the next try is answered at once. So the first timeout
is short, and each further one is longer than the one before.
"""

from __future__ import annotations

from typing import final

import attrs


@final
@attrs.frozen
class GrowingTimeout:
    """A timeout that grows with the number of tries.

    Attributes:
        first_ms: Timeout of the first try.
        growth: Ratio of each further timeout to the one before.
        max_ms: Longest timeout. The store turns appends away when two seconds
            of work are waiting.
    """

    first_ms: int
    growth: float
    max_ms: int = 2_800

    def of_try(self, number: int) -> int:
        """Returns the timeout of a try, counted from 1, in milliseconds."""
        grown_ms = self.first_ms * self.growth ** (number - 1)
        return min(int(grown_ms), self.max_ms)

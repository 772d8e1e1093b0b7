"""Delays between retries of one operation."""

from __future__ import annotations

import random

import attrs


@attrs.frozen
class Backoff:
    """Exponential backoff with full jitter.

    Attributes:
        base_ms: Upper bound of the first delay.
        max_ms: Upper bound of every delay.
    """

    base_ms: int = 50
    max_ms: int = 2_000

    def delay_ms(self, failures: int, rng: random.Random) -> int:
        """Random delay after consecutive failures, at least 1 ms."""
        doublings = min(max(failures - 1, 0), 20)
        bound_ms = min(self.max_ms, self.base_ms << doublings)
        return rng.randint(1, max(bound_ms, 1))

"""Waiting times between tries of one thing."""

from __future__ import annotations

import random

import attrs


@attrs.frozen
class Backoff:
    """Exponential backoff with full jitter.

    Attributes:
        base_ms: Bound of the first wait.
        max_ms: Bound of every wait.
    """

    base_ms: int = 50
    max_ms: int = 2_000

    def delay_ms(self, failures: int, source: random.Random) -> int:
        """Wait after the given number of failures in a row, at least 1 ms."""
        doublings = min(max(failures - 1, 0), 20)
        bound_ms = min(self.max_ms, self.base_ms << doublings)
        return source.randint(1, max(bound_ms, 1))

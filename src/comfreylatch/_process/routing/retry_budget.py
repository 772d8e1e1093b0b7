"""Budget of retries and hedges, in proportion to first tries."""

from __future__ import annotations

import random
import threading
from typing import final

MAX_TOKENS = 20.0
INITIAL_TOKENS = 2.0
BASE_BACKOFF_MS = 10
MAX_BACKOFF_MS = 200


@final
class RetryBudget:
    """Token budget of one service: first tries earn, retries spend.

    Over any period, retries and hedges stay below the given percentage of
    first tries plus `MAX_TOKENS`. Thread-safe.

    Args:
        percent: Retries and hedges allowed per 100 first tries; 0 allows none.
    """

    def __init__(self, percent: int) -> None:
        self._lock = threading.Lock()
        self._percent = percent
        self._tokens = INITIAL_TOKENS if percent > 0 else 0.0

    def set_percent(self, percent: int) -> None:
        """Sets the percentage; 0 also removes the tokens earned so far."""
        with self._lock:
            self._percent = percent
            if percent == 0:
                self._tokens = 0.0

    def earn(self) -> None:
        """Adds the fraction of a token that a first try earns."""
        with self._lock:
            self._tokens = min(self._tokens + self._percent / 100, MAX_TOKENS)

    def try_spend(self) -> bool:
        """Spends a token on a retry or hedge; False if there is none."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True

    def refund(self) -> None:
        """Returns a token whose retry or hedge was not sent."""
        with self._lock:
            self._tokens = min(self._tokens + 1, MAX_TOKENS)


def backoff_ms(retry: int, rng: random.Random) -> int:
    """Returns a random delay in milliseconds, exponential with full jitter.

    Args:
        retry: Number of the retry, from 1.
        rng: Random number generator.
    """
    ceiling_ms = min(BASE_BACKOFF_MS << min(retry - 1, 10), MAX_BACKOFF_MS)
    return rng.randint(0, ceiling_ms)

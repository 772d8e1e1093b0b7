"""A clock that tests advance."""

from __future__ import annotations

from typing import final


@final
class FakeClock:
    """Implements `Clock`; monotonic and wall time are equal."""

    def __init__(self, now_ms: int = 1_000) -> None:
        self.now_ms = now_ms

    def monotonic_ms(self) -> int:
        """See `Clock.monotonic_ms`."""
        return self.now_ms

    def wall_ms(self) -> int:
        """See `Clock.wall_ms`."""
        return self.now_ms

    def advance(self, elapsed_ms: int) -> None:
        """Advances monotonic and wall time."""
        self.now_ms += elapsed_ms

"""Interface to this host's share of the endpoints' limits."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class SlotLedger(Protocol):
    """Slots and connections of endpoints that this host may use."""

    def try_acquire_slot(self, endpoint: str, duration_ms: int) -> bool:
        """Acquires a slot for a request of at most `duration_ms`.

        Returns False if no slot is available.
        """
        ...

    def report_demand(self, endpoint: str) -> None:
        """Reports that a request is waiting for a slot; never blocks."""
        ...

    def release_slot(self, endpoint: str) -> None:
        """Releases a slot once its request has ended."""
        ...

    def count_free(self, endpoint: str) -> int:
        """Returns the number of available slots; never below 0."""
        ...

    def on_free(self, callback: Callable[[str], None]) -> None:
        """Registers a callback for endpoints that have a slot again.

        It is never called from `try_acquire_slot` or `count_free`, as their
        callers hold locks.
        """
        ...

    def connection_share(self, endpoint: str) -> int:
        """Returns the number of connections this host may open."""
        ...

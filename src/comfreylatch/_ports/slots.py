"""This host's part of the endpoints' limits, as the router sees it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class SlotLedger(Protocol):
    """Slots and connections of endpoints this host may use now."""

    def try_take(self, endpoint: str, duration_ms: int) -> bool:
        """Takes a slot for a request that ends within `duration_ms`."""
        ...

    def want(self, endpoint: str) -> None:
        """Says that a request waits for a slot; never blocks."""
        ...

    def give_back(self, endpoint: str) -> None:
        """Gives back a taken slot, once its request has ended."""
        ...

    def free(self, endpoint: str) -> int:
        """Slots that can be taken now; never below 0."""
        ...

    def on_free(self, callback: Callable[[str], None]) -> None:
        """Calls back with an endpoint's name when it has a slot again.

        Never from within `try_take` or `free`, whose callers hold locks.
        """
        ...

    def connection_share(self, endpoint: str) -> int:
        """Connections this host may hold to the endpoint."""
        ...

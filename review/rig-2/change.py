"""Waits for a change of something that others modify."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import time


class Change:
    """Wakes those who wait for a condition, on one event loop."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Has all who wait look at their condition again."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait_for(
        self, condition: Callable[[], bool], timeout_s: float
    ) -> None:
        """Waits until a condition holds, for `timeout_s` at most."""
        deadline_s = time.monotonic() + timeout_s
        while not condition():
            left_s = deadline_s - time.monotonic()
            if left_s <= 0:
                return
            try:
                await asyncio.wait_for(self._event.wait(), left_s)
            except TimeoutError:
                return

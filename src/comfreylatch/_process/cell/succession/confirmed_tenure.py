"""Decides whether a lease on a silent worker has ended for every owner.

The lease that an owner knows of may have been renewed by its successor, which
reaches the worker and has adopted what it runs. A successor fences the store
before it acts. So an append of this owner that was first sent after the end of
the lease, and was accepted, shows that nobody has renewed it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import final

import logbook

from comfreylatch._ports import clock as clock_port
from comfreylatch._process import logs

_logger = logbook.Logger(__name__)


@final
class ConfirmedTenure:
    """Until when the store has confirmed that no other owner has followed.

    Only the owner's thread uses it.

    Args:
        confirmed_ms: Returns the latest monotonic time by which no other owner
            can have acted.
        request: Has a record written at once, whose acceptance confirms a
            later time.
        clock: Source of monotonic time.
    """

    def __init__(
        self,
        confirmed_ms: Callable[[], int],
        request: Callable[[], None],
        clock: clock_port.Clock,
    ) -> None:
        self._confirmed_ms = confirmed_ms
        self._request = request
        self._clock = clock
        self._requested_ms = -1

    def has_passed(self, end_ms: int) -> bool:
        """Whether a time has passed before another owner could act.

        Asks for a confirmation if the time has passed by this host's clock.
        """
        confirmed_ms = self._confirmed_ms()
        if confirmed_ms > end_ms:
            return True
        now_ms = self._clock.monotonic_ms()
        if now_ms > end_ms >= self._requested_ms:
            self._requested_ms = now_ms
            self._request()
            logs.event(
                _logger,
                "tenure-confirmation-requested",
                ended_ago_ms=now_ms - end_ms,
                confirmed_ago_ms=now_ms - confirmed_ms,
            )
        return False

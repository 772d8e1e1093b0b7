"""Starts without an answer, which a next incarnation may still carry out."""

from __future__ import annotations

import threading
from typing import final

import attrs

from comfreylatch._ports import clock as clock_port
from comfreylatch._process.cell.carryover import delays


@attrs.frozen
class RunId:
    """Id of a task and number of its run."""

    task: str
    number: int


@final
class LateStarts:
    """Starts of runs on one worker that got no answer. Thread-safe."""

    def __init__(self, clock: clock_port.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._given_up_ms: dict[RunId, int] = {}

    def add(self, run_id: RunId) -> None:
        """Adds a start whose call has just ended without an answer."""
        with self._lock:
            self._given_up_ms[run_id] = self._clock.monotonic_ms()

    def update(self, former: LateStarts) -> None:
        """Adds the starts that were sent to a former incarnation."""
        with former._lock:
            given_up_ms = dict(former._given_up_ms)
        with self._lock:
            self._given_up_ms = {**given_up_ms, **self._given_up_ms}

    def recent(self) -> frozenset[RunId]:
        """Returns the runs whose start may still be carried out."""
        earliest_ms = self._clock.monotonic_ms() - delays.MAX_CALL_DELAY_MS
        with self._lock:
            self._given_up_ms = {
                run_id: given_up_ms
                for run_id, given_up_ms in self._given_up_ms.items()
                if given_up_ms >= earliest_ms
            }
            return frozenset(self._given_up_ms)

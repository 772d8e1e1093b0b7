"""Keeps the stop of a host within the grace time of the platform.

The platform kills a process that is still there at the end of its grace time.
All phases of a stop share one deadline, and a guard ends the process if they
exceed it.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import os
import sys
import threading
import time
import types
from typing import final

import attrs
import logbook

from comfreylatch._ports import clock as clock_port
from comfreylatch._process import logs
from comfreylatch.platform import process_signals

# Parts of the grace time at which the phases end, at which a stop is reported
# as late, and at which the guard ends the process.
PLANNED_PART = 5 / 6
LATE_PART = 7 / 8
FORCED_PART = 11 / 12
GUARD_INTERVAL_S = 0.1
MAX_LOGGED_FRAMES = 3

_logger = logbook.Logger(__name__)


@final
@attrs.frozen
class StopDeadline:
    """The time that a stop may take.

    Attributes:
        clock: Source of monotonic time.
        requested_ms: Monotonic time at which the stop was requested.
        grace_ms: How long after that the platform kills the process.
    """

    clock: clock_port.Clock
    requested_ms: int
    grace_ms: int

    @property
    def elapsed_ms(self) -> int:
        """Time since the stop was requested."""
        return self.clock.monotonic_ms() - self.requested_ms

    def remaining_ms(self, reserved_ms: int = 0) -> int:
        """Returns the time left for a phase; 0 if there is none.

        Args:
            reserved_ms: Time that later phases need.
        """
        end_ms = int(self.grace_ms * PLANNED_PART)
        return max(end_ms - reserved_ms - self.elapsed_ms, 0)

    def wait_for_part(self, part: float) -> None:
        """Waits until a part of the grace time has passed."""
        while self.elapsed_ms < self.grace_ms * part:
            time.sleep(GUARD_INTERVAL_S)


@final
class StopPhases:
    """Runs the phases of a stop and logs how long each took."""

    def __init__(self, deadline: StopDeadline) -> None:
        self._deadline = deadline

    def run(self, name: str, action: Callable[[], object]) -> None:
        """Runs a phase; a failure is logged and ends only this phase."""
        began_ms = self._deadline.elapsed_ms
        try:
            action()
        except Exception:
            logs.exception(_logger, "stop-phase-failed", phase=name)
        logs.event(
            _logger,
            "stop-phase",
            phase=name,
            began_ms=began_ms,
            took_ms=self._deadline.elapsed_ms - began_ms,
        )

    def start(
        self, name: str, action: Callable[[], object]
    ) -> threading.Thread:
        """Starts a phase that runs beside others."""
        thread = threading.Thread(
            target=self.run,
            args=(name, action),
            name=f"stop-{name}",
            daemon=True,
        )
        thread.start()
        return thread


def start_guard(
    signals: process_signals.ProcessSignals,
    clock: clock_port.Clock,
    grace_ms: int,
) -> None:
    """Starts the thread that ends a stopping process before it is killed.

    It first logs which threads are still running, and where. A host may be
    told to stop while it starts, so the guard is started before it.
    """
    threading.Thread(
        target=_end_late_process,
        args=(signals, clock, grace_ms),
        name="stop-guard",
        daemon=True,
    ).start()


def _end_late_process(
    signals: process_signals.ProcessSignals,
    clock: clock_port.Clock,
    grace_ms: int,
) -> None:
    deadline = StopDeadline(clock, signals.wait_in_background(), grace_ms)
    deadline.wait_for_part(LATE_PART)
    logs.error(
        _logger,
        "stop-late",
        elapsed_ms=deadline.elapsed_ms,
        threads=describe_threads(),
    )
    deadline.wait_for_part(FORCED_PART)
    os._exit(0)


def describe_threads() -> list[str]:
    """Returns the names of the other threads, grouped by what they run."""
    names = {thread.ident: thread.name for thread in threading.enumerate()}
    groups: dict[str, list[str]] = collections.defaultdict(list)
    for ident, frame in sys._current_frames().items():
        if ident != threading.get_ident():
            groups[_describe(frame)].append(names.get(ident, "unnamed"))
    return [
        f"{len(group)} x {group[0]}: {position}"
        for position, group in groups.items()
    ]


def _describe(frame: types.FrameType) -> str:
    """Describes the innermost frames of a thread, the innermost first.

    Unlike `traceback`, it reads no source files.
    """
    positions: list[str] = []
    caller: types.FrameType | None = frame
    while caller is not None and len(positions) < MAX_LOGGED_FRAMES:
        code = caller.f_code
        file_name = os.path.basename(code.co_filename)
        positions.append(f"{file_name}:{caller.f_lineno} {code.co_name}")
        caller = caller.f_back
    return " < ".join(positions)

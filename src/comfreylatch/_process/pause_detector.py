"""Detects that this process was suspended for a while."""

from __future__ import annotations

from collections.abc import Callable
import threading
from typing import final
from typing import Self

import logbook

from comfreylatch._ports import clock as clock_port
from comfreylatch._process import logs

CHECK_INTERVAL_MS = 250
MIN_PAUSE_MS = 1_500

_logger = logbook.Logger(__name__)


@final
class PauseDetector:
    """Calls `on_pause(length_ms)` on its own thread after a pause."""

    def __init__(
        self, clock: clock_port.Clock, on_pause: Callable[[int], None]
    ) -> None:
        self._clock = clock
        self._on_pause = on_pause
        self._stop_requested = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="pause-watch", daemon=True
        )

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop_requested.set()
        self._thread.join()

    def _run(self) -> None:
        last_ms = self._clock.monotonic_ms()
        while not self._stop_requested.wait(CHECK_INTERVAL_MS / 1_000):
            now_ms = self._clock.monotonic_ms()
            if now_ms - last_ms > MIN_PAUSE_MS:
                logs.warning(_logger, "paused", length_ms=now_ms - last_ms)
                self._on_pause(now_ms - last_ms)
            last_ms = now_ms

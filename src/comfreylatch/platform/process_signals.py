"""Takes note of the signals of the process.

A signal may arrive while the program's modules are still being imported, which
takes a second on a slow core. This module imports little, so that its handlers
are installed before that.
"""

from __future__ import annotations

from collections.abc import Callable
import queue
import signal
from typing import final

from comfreylatch._ports import clock as clock_port

# Python runs handlers on the main thread only. The kernel may hand a signal to
# another thread, which does not end a wait of the main thread.
CHECK_INTERVAL_S = 0.2


@final
class ProcessSignals:
    """Receives SIGTERM, the request to stop, and SIGHUP.

    Attributes:
        stop_requested_ms: Monotonic time at which the first request to stop
            arrived; None before.
    """

    def __init__(self, clock: clock_port.Clock) -> None:
        self._clock = clock
        self.stop_requested_ms: int | None = None
        # Unlike an event or another queue, these may be used by a handler that
        # interrupts the thread that is using them.
        self._received: queue.SimpleQueue[int] = queue.SimpleQueue()
        self._stop_times_ms: queue.SimpleQueue[int] = queue.SimpleQueue()

    def install(self) -> None:
        """Installs the handlers. Only the main thread may call this."""
        signal.signal(signal.SIGTERM, lambda *_: self.request_stop())
        signal.signal(
            signal.SIGHUP, lambda *_: self._received.put(signal.SIGHUP)
        )

    def request_stop(self) -> None:
        """Takes note of a request to stop; further ones change nothing."""
        if self.stop_requested_ms is None:
            self.stop_requested_ms = self._clock.monotonic_ms()
            self._stop_times_ms.put(self.stop_requested_ms)
        self._received.put(signal.SIGTERM)

    @property
    def is_stop_requested(self) -> bool:
        """Whether the process was told to stop."""
        return self.stop_requested_ms is not None

    def wait_in_background(self) -> int:
        """Waits for a request to stop, on another thread than the main one.

        Only one thread may call this.

        Returns:
            Monotonic time at which the request arrived.
        """
        return self._stop_times_ms.get()

    def wait_for_stop(self, on_hangup: Callable[[], None]) -> int:
        """Waits for a request to stop.

        Args:
            on_hangup: Called after each SIGHUP until then.

        Returns:
            Monotonic time at which the request arrived.
        """
        while self.stop_requested_ms is None:
            try:
                received = self._received.get(timeout=CHECK_INTERVAL_S)
            except queue.Empty:
                continue
            if received == signal.SIGHUP:
                on_hangup()
        return self.stop_requested_ms

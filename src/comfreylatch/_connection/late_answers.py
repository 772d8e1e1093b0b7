"""Detects when abandoned requests have ended at their endpoints.

An endpoint keeps running a request after its caller has given up, so its slot
is freed only when the answer arrives. A request counts as running while its
connection is open and no answer has arrived, even past the time by which it
should have ended. That time decides only once the connection is closed.
"""

from __future__ import annotations

from collections.abc import Callable
import heapq
import itertools
import os
import selectors
import socket
import threading
from types import TracebackType
from typing import final
from typing import Self

import attrs
import logbook

from comfreylatch._ports import clock as clock_port

MAX_WAIT_S = 1.0
RECHECK_INTERVAL_MS = 1_000
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3

_logger = logbook.Logger("comfreylatch.late-answers")


@attrs.define(eq=False)
class _AbandonedRequest:
    """An abandoned request.

    Attributes:
        connection: None once it is closed.
        done: Whether `on_ended` has been called.
    """

    connection: socket.socket | None
    on_ended: Callable[[], None]
    done: bool = False


@final
class LateAnswerWatcher:
    """Runs a thread that waits for abandoned requests to end."""

    def __init__(self, clock: clock_port.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._selector = selectors.DefaultSelector()
        self._queue: list[tuple[int, int, _AbandonedRequest]] = []
        self._sequence = itertools.count()
        self._wake_read, self._wake_write = os.pipe()
        os.set_blocking(self._wake_read, False)
        os.set_blocking(self._wake_write, False)
        self._selector.register(self._wake_read, selectors.EVENT_READ)
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name="late-answers", daemon=True
        )

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stopping = True
        self._wake()
        self._thread.join()
        for key in list(self._selector.get_map().values()):
            if isinstance(key.fileobj, socket.socket):
                key.fileobj.close()
        self._selector.close()
        os.close(self._wake_read)
        os.close(self._wake_write)

    def watch(
        self,
        connection: socket.socket | None,
        hold_until_ms: int,
        on_ended: Callable[[], None],
    ) -> None:
        """Calls `on_ended` once the request has or must have ended.

        Takes ownership of `connection` and closes it. None means that it is
        closed already; the request then counts as ended at `hold_until_ms`, a
        monotonic time.
        """
        watched = _AbandonedRequest(connection, on_ended)
        with self._lock:
            self._push(hold_until_ms, watched)
            if connection is not None:
                _enable_keepalive(connection)
                self._selector.register(
                    connection, selectors.EVENT_READ, watched
                )
        self._wake()

    @property
    def watched_count(self) -> int:
        """Number of abandoned requests that may still be running."""
        with self._lock:
            return sum(not watched.done for _, _, watched in self._queue)

    def _push(self, due_ms: int, watched: _AbandonedRequest) -> None:
        heapq.heappush(self._queue, (due_ms, next(self._sequence), watched))

    def _wake(self) -> None:
        try:
            os.write(self._wake_write, b"\0")
        except BlockingIOError:
            pass

    def _run(self) -> None:
        while not self._stopping:
            for key, _ in self._selector.select(self._next_wait_s()):
                if key.data is None:
                    self._drain_wakes()
                else:
                    self._on_readable(key.data)
            self._process_due()

    def _next_wait_s(self) -> float:
        with self._lock:
            while self._queue and self._queue[0][2].done:
                heapq.heappop(self._queue)
            if not self._queue:
                return MAX_WAIT_S
            wait_ms = self._queue[0][0] - self._clock.monotonic_ms()
        return min(max(wait_ms, 1) / 1_000, MAX_WAIT_S)

    def _drain_wakes(self) -> None:
        try:
            while os.read(self._wake_read, 4_096):
                pass
        except BlockingIOError:
            pass

    def _on_readable(self, watched: _AbandonedRequest) -> None:
        answered = self._has_answer(watched.connection)
        self._close(watched)
        # The endpoint may still run a request whose connection is closed.
        if answered:
            self._notify_ended(watched)

    @staticmethod
    def _has_answer(connection: socket.socket | None) -> bool:
        if connection is None:
            return False
        try:
            connection.settimeout(0)
            return bool(connection.recv(1))
        except OSError:
            return False

    def _process_due(self) -> None:
        now_ms = self._clock.monotonic_ms()
        expired: list[_AbandonedRequest] = []
        with self._lock:
            while self._queue and self._queue[0][0] <= now_ms:
                watched = heapq.heappop(self._queue)[2]
                if watched.connection is None:
                    expired.append(watched)
                else:
                    self._push(now_ms + RECHECK_INTERVAL_MS, watched)
        for watched in expired:
            self._notify_ended(watched)

    def _close(self, watched: _AbandonedRequest) -> None:
        connection = watched.connection
        if connection is None:
            return
        watched.connection = None
        with self._lock:
            self._selector.unregister(connection)
        connection.close()

    def _notify_ended(self, watched: _AbandonedRequest) -> None:
        if watched.done:
            return
        watched.done = True
        try:
            watched.on_ended()
        except Exception:
            _logger.exception("end-of-request-failed")


def _enable_keepalive(connection: socket.socket) -> None:
    """Enables TCP keepalive, which detects that the remote host is gone."""
    tcp = socket.IPPROTO_TCP
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        connection.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        connection.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        connection.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    except OSError:
        _logger.debug("keepalive-not-set")

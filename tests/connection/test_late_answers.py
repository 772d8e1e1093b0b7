"""Tests of detecting when abandoned requests have ended."""

from __future__ import annotations

import socket
import threading

import testtools

from comfreylatch._connection import late_answers
from comfreylatch._ports import clock as clock_port

HOLD_MS = 100
SHORT_WAIT_S = 0.5
LONG_WAIT_S = 3.0


class LateAnswerWatcherTest(testtools.TestCase):
    """An abandoned request on an open connection."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = clock_port.SystemClock()
        self.watcher = self.enterContext(
            late_answers.LateAnswerWatcher(self.clock)
        )
        self.connection, self.endpoint = socket.socketpair()
        self.addCleanup(self.endpoint.close)
        self.ended = threading.Event()
        until_ms = self.clock.monotonic_ms() + HOLD_MS
        self.watcher.watch(self.connection, until_ms, self.ended.set)

    def test_request_on_open_connection_ends_with_its_answer(self) -> None:
        self.assertFalse(self.ended.wait(SHORT_WAIT_S))
        self.endpoint.send(b"HTTP/1.1 200 OK\r\n")
        self.assertTrue(self.ended.wait(LONG_WAIT_S))

    def test_request_on_closed_connection_ends_after_hold_time(self) -> None:
        self.endpoint.close()
        self.assertFalse(self.ended.wait(HOLD_MS / 2_000))
        self.assertTrue(self.ended.wait(LONG_WAIT_S))

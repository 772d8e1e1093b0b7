"""Tests of the bounds of one call to the platform."""

from __future__ import annotations

import socket
import time

import testtools

from comfreylatch._connection import json_call

LONG_TIMEOUT_MS = 4_000


class ConnectTest(testtools.TestCase):
    """A peer that takes no connection."""

    def test_connecting_takes_no_longer_than_its_own_bound(self) -> None:
        # Found by a day: a call that may wait for an answer for ten seconds
        # also waited that long for a connection over a path that was cut, and
        # went on waiting after the path had healed.
        with FullListener() as address:
            pool = json_call.open_pool(address)
            started_s = time.monotonic()
            outcome = json_call.call(pool, "GET", "/", None, LONG_TIMEOUT_MS)
            elapsed_ms = (time.monotonic() - started_s) * 1_000
        self.assertIsInstance(outcome.err(), json_call.NotSent)
        self.assertLess(elapsed_ms, 2 * json_call.CONNECT_TIMEOUT_MS)


class FullListener:
    """A listening socket whose queue of new connections is full."""

    def __enter__(self) -> str:
        self._server = socket.socket()
        self._server.bind(("127.0.0.1", 0))
        self._server.listen(0)
        address = self._server.getsockname()
        self._waiting = []
        for _ in range(4):
            waiting = socket.socket()
            waiting.setblocking(False)
            waiting.connect_ex(address)
            self._waiting.append(waiting)
        time.sleep(0.1)
        return f"127.0.0.1:{address[1]}"

    def __exit__(self, *_: object) -> None:
        for waiting in self._waiting:
            waiting.close()
        self._server.close()

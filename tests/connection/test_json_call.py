"""Tests of the timeouts of calls to the platform."""

from __future__ import annotations

import socket
import time

import testtools

from comfreylatch._connection import json_call
from testing.fakes import http_server

LONG_TIMEOUT_MS = 4_000
READ_TIMEOUT_MS = 300


class ConnectTest(testtools.TestCase):
    """A peer that accepts no connection."""

    def test_connecting_has_its_own_timeout(self) -> None:
        # Connecting must not use the whole timeout of a call: a call with a
        # timeout of 10 s over a path that was down kept waiting for its
        # connection after the path had recovered.
        with FullListener() as address:
            pool = json_call.open_pool(address)
            started_s = time.monotonic()
            outcome = json_call.call(pool, "GET", "/", None, LONG_TIMEOUT_MS)
            elapsed_ms = (time.monotonic() - started_s) * 1_000
        self.assertIsInstance(outcome.err(), json_call.NotSent)
        self.assertLess(elapsed_ms, 2 * json_call.CONNECT_TIMEOUT_MS)


class ReadTimeoutTest(testtools.TestCase):
    """Answers that arrive slowly, or not at all."""

    def _call(self, answer: http_server.Answer) -> object:
        with http_server.RawServer(answer) as server:
            return json_call.call(
                json_call.open_pool(server.address),
                "GET",
                "/",
                None,
                LONG_TIMEOUT_MS,
                read_timeout_ms=READ_TIMEOUT_MS,
            )

    def test_slow_answer_is_read_completely(self) -> None:
        # A slow answer must not time out while data arrives: a page of 1 MB
        # over 10 Mbit/s exceeded the timeout of a call, so restarted hosts
        # never got a view.
        outcome = self._call(
            _answer_slowly(parts=8, pause_ms=READ_TIMEOUT_MS // 2)
        )
        self.assertEqual(b"x" * 8, outcome.ok().body)

    def test_silent_peer_is_detected_before_the_total_timeout(self) -> None:
        started_s = time.monotonic()
        outcome = self._call(
            _answer_slowly(parts=2, pause_ms=3 * READ_TIMEOUT_MS)
        )
        self.assertIsInstance(outcome.err(), json_call.AnswerLost)
        self.assertLess((time.monotonic() - started_s) * 1_000, 2_000)


def _answer_slowly(parts: int, pause_ms: int) -> http_server.Answer:
    """Sends the answer one byte at a time."""

    def answer(connection: socket.socket) -> None:
        head = f"HTTP/1.1 200 X\r\nContent-Length: {parts}\r\n\r\n"
        connection.sendall(head.encode())
        for _ in range(parts):
            time.sleep(pause_ms / 1_000)
            connection.sendall(b"x")

    return answer


class FullListener:
    """A listening socket whose accept queue is full."""

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

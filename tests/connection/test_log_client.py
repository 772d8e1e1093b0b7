"""Tests of the client of the platform's log."""

from __future__ import annotations

import socket
import time

import result
import testtools

from comfreylatch._connection import log_client
from comfreylatch._ports import log as log_port
from testing.fakes import http_server

TIMEOUT_MS = 300
APPENDED = b'{"offset": 17}'


def free_address() -> str:
    """Returns an address at which nothing listens."""
    with socket.create_server(("127.0.0.1", 0)) as unused:
        return f"127.0.0.1:{unused.getsockname()[1]}"


def answer_slowly(connection: socket.socket) -> None:
    """Sends one byte at a time; the whole answer exceeds the timeout."""
    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n")
    for _ in range(50):
        connection.sendall(b" ")
        time.sleep(0.05)


class AppendTest(testtools.TestCase):
    """Results of appends by answer of the log."""

    def append(
        self, answer: http_server.Answer
    ) -> result.Result[int, log_port.AppendError]:
        with http_server.RawServer(answer) as server:
            with log_client.LogClient(server.address, TIMEOUT_MS) as client:
                outcome = client.append("zone.bole", [b"a", b"\xc3\xa9"])
            self.requests = server.requests
        return outcome

    def assert_lost(self, answer: http_server.Answer) -> None:
        outcome = self.append(answer)
        self.assertIsInstance(outcome.err(), log_port.LogAnswerLost)

    def test_answer_with_offset(self) -> None:
        outcome = self.append(http_server.reply(200, APPENDED))
        self.assertEqual(result.Ok(17), outcome)
        request = self.requests[0]
        self.assertTrue(
            request.startswith(b"POST /streams/zone.bole/records HTTP/1.1")
        )
        self.assertTrue(request.endswith('{"records":["a","é"]}'.encode()))

    def test_refused_connection_is_unavailable(self) -> None:
        with log_client.LogClient(free_address(), TIMEOUT_MS) as client:
            outcome = client.append("s", [b"a"])
        self.assertIsInstance(outcome.err(), log_port.LogUnavailable)

    def test_status_503_is_unavailable(self) -> None:
        outcome = self.append(http_server.reply(503, b"{}"))
        self.assertIsInstance(outcome.err(), log_port.LogUnavailable)

    def test_other_status_is_lost(self) -> None:
        self.assert_lost(http_server.reply(500, APPENDED))

    def test_connection_closed_after_the_request_is_lost(self) -> None:
        self.assert_lost(http_server.close)
        self.assertEqual(1, len(self.requests))

    def test_truncated_answer_is_lost(self) -> None:
        self.assert_lost(http_server.reply(200, APPENDED, length=50))

    def test_malformed_answer_is_lost(self) -> None:
        self.assert_lost(http_server.reply(200, b'{"offset": "x"}'))

    def test_late_answer_is_lost(self) -> None:
        self.assert_lost(lambda _: time.sleep(0.5))

    def test_slow_answer_is_lost_at_the_timeout(self) -> None:
        started = time.monotonic()
        with http_server.RawServer(answer_slowly) as server:
            with log_client.LogClient(server.address, TIMEOUT_MS) as client:
                outcome = client.append("s", [b"a"])
                elapsed_s = time.monotonic() - started
        self.assertIsInstance(outcome.err(), log_port.LogAnswerLost)
        self.assertLess(elapsed_s, 2 * TIMEOUT_MS / 1_000)


class ReadTest(testtools.TestCase):
    """Results of reads by answer of the log."""

    def read(
        self, answer: http_server.Answer
    ) -> result.Result[log_port.LogBatch, log_port.ReadError]:
        with http_server.RawServer(answer) as server:
            with log_client.LogClient(server.address, TIMEOUT_MS) as client:
                outcome = client.read("s", 5, 10, 20)
            self.requests = server.requests
        return outcome

    def test_entries(self) -> None:
        body = (
            b'{"first": 2, "next": 6, "records":'
            b' [{"offset": 5, "payload": "text"}]}'
        )
        outcome = self.read(http_server.reply(200, body))
        entry = log_port.LogEntry(5, b"text")
        self.assertEqual(result.Ok(log_port.LogBatch((entry,), 2, 6)), outcome)
        self.assertIn(b"?from=5&max=10&wait_ms=20 ", self.requests[0])

    def test_expired(self) -> None:
        outcome = self.read(http_server.reply(410, b'{"first": 9}'))
        self.assertEqual(result.Err(log_port.LogExpired(9)), outcome)

    def test_every_other_answer_is_unavailable(self) -> None:
        answers = [
            http_server.reply(503, b""),
            http_server.reply(200, b"{}"),
            http_server.reply(410, b"nothing"),
            http_server.reply(200, b"{", length=9),
            http_server.close,
        ]
        for answer in answers:
            outcome = self.read(answer)
            self.assertIsInstance(outcome.err(), log_port.LogUnavailable)

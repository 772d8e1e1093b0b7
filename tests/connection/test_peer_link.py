"""Tests of calls between entry hosts over real sockets."""

from __future__ import annotations

import socket
import threading
import time

import result
import testtools

from comfreylatch._connection import address
from comfreylatch._connection import peer_link
from comfreylatch._connection import peer_server
from comfreylatch._ports import peers
from comfreylatch._process import metrics
from comfreylatch._wire.gen.peer import ttypes

TIMEOUT_MS = 1_000
ANY_PORT = address.Address("127.0.0.1", 0)
REQUEST = ttypes.MarkRequest("r-1", "h-1", 1_000, False)


class _Handler:
    """Answers marks, with a configurable delay or refusal."""

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.refuse = False
        self.calls = 0

    def mark(self, request: ttypes.MarkRequest) -> ttypes.MarkReply:
        self.calls += 1
        time.sleep(self.delay_s)
        if self.refuse:
            raise ttypes.PeerRefused("stopping", "shutting down")
        return ttypes.MarkReply(ttypes.MarkVerdict.FRESH, request.request_id)


class PeerLinkTest(testtools.TestCase):
    """Calls from one link to one server."""

    def setUp(self) -> None:
        super().setUp()
        self.handler = _Handler()
        self.metrics = metrics.Metrics()
        self.server = peer_server.PeerServer(
            ANY_PORT, self.handler, self.metrics
        )
        self.server.__enter__()
        self.addCleanup(self.server.__exit__)
        self.link = peer_link.PeerLink(self.server.address, TIMEOUT_MS)
        self.addCleanup(self.link.__exit__)

    def _mark(self, timeout_ms: int = TIMEOUT_MS) -> result.Result:
        return self.link.call(lambda c: c.mark(REQUEST), timeout_ms)

    def test_call_is_answered(self) -> None:
        self.assertEqual("r-1", self._mark().unwrap().holder_host_id)

    def test_refusal_is_typed(self) -> None:
        self.handler.refuse = True
        self.assertEqual(
            result.Err(peers.PeerRefusal("stopping", "shutting down")),
            self._mark(),
        )

    def test_late_answer_reaches_no_other_call(self) -> None:
        self.handler.delay_s = 0.3
        lost = self._mark(timeout_ms=100)
        self.assertIsInstance(lost.unwrap_err(), peers.PeerAnswerLost)
        self.handler.delay_s = 0.0
        self.assertTrue(self._mark().is_ok())

    def test_closed_idle_connection_is_not_reused(self) -> None:
        self._mark()
        self.server.__exit__()
        time.sleep(0.05)
        again = self._mark()
        self.assertIsInstance(again.unwrap_err(), peers.PeerUnreachable)

    def test_parallel_calls_do_not_mix(self) -> None:
        replies: list[str] = []

        def call(number: int) -> None:
            request = ttypes.MarkRequest(f"r-{number}", "h", 1, False)
            reply = self.link.call(lambda c: c.mark(request), TIMEOUT_MS)
            if reply.unwrap().holder_host_id == f"r-{number}":
                replies.append(f"r-{number}")

        threads = [
            threading.Thread(target=call, args=(number,))
            for number in range(16)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(16, len(replies))

    def test_garbage_ends_only_its_own_connection(self) -> None:
        with socket.create_connection(
            (self.server.address.ip, self.server.address.port)
        ) as garbage:
            garbage.sendall(b"GET / HTTP/1.1\r\n\r\n")
            garbage.settimeout(2)
            self.assertEqual(b"", garbage.recv(1))
        self.assertTrue(self._mark().is_ok())
        self.assertEqual(
            1,
            self.metrics.value(metrics.Counter.BAD_PEER_MESSAGES, "bad-frame"),
        )

    def test_unknown_call_of_a_newer_peer_is_refused(self) -> None:
        lost = self.link.call(lambda c: c.explain("request", "r-1"), TIMEOUT_MS)
        self.assertIsInstance(lost.unwrap_err(), peers.PeerAnswerLost)
        self.assertTrue(self._mark().is_ok())

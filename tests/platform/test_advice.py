"""Tests of the advice client against a raw server."""

from __future__ import annotations

import json

import testtools

from comfreylatch._ports import advice as advice_port
from comfreylatch.platform import advice
from testing.fakes import http_server

TIMEOUT_MS = 1_000


class AdviceClientTest(testtools.TestCase):
    """Outcomes of a single call."""

    def call(self, answer: http_server.Answer) -> object:
        """Returns the outcome of a call and stores its request."""
        with http_server.RawServer(answer) as server:
            with advice.AdviceClient(server.address) as client:
                outcome = client.advise("a.0.1", ("i-1", "i-2"), TIMEOUT_MS)
            self.request = server.requests[0]
        return outcome.ok() if outcome.is_ok() else outcome.err()

    def test_allowed_workers_and_tickets_are_decoded(self) -> None:
        body = b'{"Allowed": [["i-2", "c81e"]], "ValidityMs": 3000.0}'
        self.assertEqual(
            advice_port.Advice({"i-2": "c81e"}, 3_000),
            self.call(http_server.reply(200, body)),
        )
        sent = json.loads(self.request.partition(b"\r\n\r\n")[2])
        self.assertEqual({"Step": "a.0.1", "Workers": ["i-1", "i-2"]}, sent)

    def test_rejected_call_returns_unavailable(self) -> None:
        outcome = self.call(http_server.reply(429, b""))
        self.assertEqual(advice_port.AdviceUnavailable("status 429"), outcome)

    def test_malformed_reply_returns_unavailable(self) -> None:
        outcome = self.call(http_server.reply(200, b'{"Allowed": [7]}'))
        self.assertIsInstance(outcome, advice_port.AdviceUnavailable)

    def test_broken_connection_returns_unavailable(self) -> None:
        outcome = self.call(http_server.close)
        self.assertIsInstance(outcome, advice_port.AdviceUnavailable)

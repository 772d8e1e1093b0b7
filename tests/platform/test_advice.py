"""Tests of the client for advice against a raw server."""

from __future__ import annotations

import json

import testtools

from comfreylatch._ports import advice as advice_port
from comfreylatch.platform import advice
from testing.fakes import http_server

TIMEOUT_MS = 1_000


class AdviceClientTest(testtools.TestCase):
    """One call, and what may come of it."""

    def call(self, answer: http_server.Answer) -> object:
        """What comes of a call; the request is kept."""
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

    def test_turned_away_call_is_no_advice(self) -> None:
        outcome = self.call(http_server.reply(429, b""))
        self.assertEqual(advice_port.AdviceUnavailable("status 429"), outcome)

    def test_unreadable_answer_is_no_advice(self) -> None:
        outcome = self.call(http_server.reply(200, b'{"Allowed": [7]}'))
        self.assertIsInstance(outcome, advice_port.AdviceUnavailable)

    def test_broken_connection_is_no_advice(self) -> None:
        outcome = self.call(http_server.close)
        self.assertIsInstance(outcome, advice_port.AdviceUnavailable)

"""Tests of the operator pages of a host."""

from __future__ import annotations

import json
import threading
from typing import Any

import result
import testtools

from comfreylatch._connection import http
from comfreylatch._connection import routes
from comfreylatch._ports import peers as peers_port
from comfreylatch._process import explanation
from comfreylatch._process import journal as journal_module
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import operator_pages
from comfreylatch._process import reasons

JOB = reasons.Subject.JOB


class FixedClock:
    """A clock that always returns the same time."""

    def __init__(self, now_ms: int) -> None:
        self._now_ms = now_ms

    def monotonic_ms(self) -> int:
        return self._now_ms

    def wall_ms(self) -> int:
        return self._now_ms


def make_journal(
    host: str, now_ms: int, *names: str, max_decisions: int = 10
) -> journal_module.Journal:
    journal = journal_module.Journal(host, FixedClock(now_ms), max_decisions)
    for name in names:
        journal.record(JOB, name, "placed", f"Job {name} was placed.")
    return journal


class FakePeers:
    """Peers that answer from a journal or with a fixed answer."""

    def __init__(self, **answers: Any) -> None:
        self._answers = answers

    def views(self) -> tuple[peers_port.PeerView, ...]:
        return tuple(
            peers_port.PeerView(seat, "bole", reachable=answer is not None)
            for seat, answer in self._answers.items()
        )

    def explain(
        self, seat: str, subject: str, name: str, timeout_ms: int
    ) -> result.Result[bytes, peers_port.PeerError]:
        answer = self._answers[seat]
        if answer is None:
            return result.Err(peers_port.PeerUnreachable("refused"))
        if isinstance(answer, threading.Event):
            answer.wait(10)
            return result.Err(peers_port.PeerAnswerLost("late"))
        if isinstance(answer, bytes):
            return result.Ok(answer)
        local_explanation = explanation.explain_locally(
            answer, reasons.Subject(subject), name
        )
        return result.Ok(explanation.encode(local_explanation))


class OperatorPagesTest(testtools.TestCase):
    """Requests to the pages through their routes."""

    def setUp(self) -> None:
        super().setUp()
        self.metrics = metrics_module.Metrics()
        self.is_ready = True

    def pages(self, **status_sources: Any) -> routes.Routes:
        pages = operator_pages.OperatorPages(
            make_journal("h1", 5),
            self.metrics,
            status_sources,
            lambda: self.is_ready,
            FakePeers(),
        )
        return routes.Routes(pages.routes())

    def get(self, path: str, **status_sources: Any) -> http.HttpReply:
        query = {"format": "text"} if path == "/metrics" else {}
        request = http.HttpRequest("GET", path, query, {}, b"")
        return self.pages(**status_sources).handle(request)

    def test_host_that_is_not_ready_replies_503(self) -> None:
        self.is_ready = False
        self.assertEqual(503, self.get("/health/ready").status)
        self.assertEqual(200, self.get("/health/live").status)

    def test_failing_component_does_not_hide_other_statuses(self) -> None:
        reply = self.get("/status", bad=lambda: 1 / 0, good=lambda: [1])
        page = json.loads(reply.body)
        self.assertEqual([1], page["good"])
        self.assertIn("ZeroDivisionError", page["bad"]["error"])

    def test_metrics_text_escapes_labels(self) -> None:
        self.metrics.count(metrics_module.Counter.LOG_APPENDS, 'a"\n')
        body = self.get("/metrics").body
        self.assertEqual(b'appends{label="a\\"\\n"} 1\n', body)

    def test_unknown_subject_is_404_and_lists_subjects(self) -> None:
        reply = self.get("/explain/planet/mars")
        self.assertEqual(404, reply.status)
        self.assertIn(b"request, job", reply.body)

    def test_id_with_slashes_is_explained(self) -> None:
        page = json.loads(self.get("/explain/request/a/b").body)
        self.assertEqual("a/b", page["name"])


class ExplainerTest(testtools.TestCase):
    """Merging of the journals of several hosts."""

    def explain(
        self, own: journal_module.Journal, **answers: Any
    ) -> explanation.Explanation:
        peers = FakePeers(**answers)
        return explanation.Explainer(own, peers, 200).explain(JOB, "j")

    def test_decisions_of_all_hosts_are_ordered_by_time(self) -> None:
        explained = self.explain(
            make_journal("h1", 20, "j"),
            b=make_journal("h2", 10, "j"),
            c=make_journal("h3", 30, "j", "other"),
        )
        hosts = [decision.host for decision in explained.decisions]
        self.assertEqual(["h2", "h1", "h3"], hosts)

    def test_subject_without_decisions_is_unknown(self) -> None:
        explained = self.explain(make_journal("h1", 1), b=make_journal("h2", 1))
        self.assertEqual(explanation.Verdict.UNKNOWN, explained.verdict)

    def test_full_journal_gives_may_be_forgotten(self) -> None:
        full = make_journal("h2", 1, "a", "b", max_decisions=1)
        explained = self.explain(make_journal("h1", 1), b=full)
        self.assertEqual(
            explanation.Verdict.MAY_BE_FORGOTTEN, explained.verdict
        )

    def test_unreachable_peer_gives_may_be_elsewhere(self) -> None:
        explained = self.explain(make_journal("h1", 1), b=None)
        self.assertEqual(
            explanation.Verdict.MAY_BE_ELSEWHERE, explained.verdict
        )
        self.assertEqual("b", explained.silent[0].seat)

    def test_slow_peer_times_out(self) -> None:
        slow = threading.Event()
        self.addCleanup(slow.set)
        explained = self.explain(make_journal("h1", 1, "j"), b=slow)
        self.assertEqual("no answer in time", explained.silent[0].detail)
        self.assertEqual(1, len(explained.decisions))

    def test_invalid_answer_of_a_peer_is_reported(self) -> None:
        explained = self.explain(make_journal("h1", 1), b=b"\xff{")
        self.assertIn("can't be read", explained.silent[0].detail)

"""Tests of the command `replay` against a fake entry host."""

from __future__ import annotations

import pathlib
import tempfile
import time
from typing import Any

import msgspec
import testtools
from typer import testing as typer_testing

from comfreylatch._commands import main
from comfreylatch._commands import trace as traces
from testing.standins import serving


class ReplayTest(testtools.TestCase):
    """Requests and jobs sent by a replay, and its report."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "trace.jsonl"
        self.jobs: dict[str, Any] = {}
        self.seen: list[serving.Call] = []
        self.host = serving.Listener(self.answer)
        self.host.start()
        self.addCleanup(self.host.refuse)

    def answer(self, call: serving.Call) -> serving.Answer:
        self.seen.append(call)
        if call.path == "/metrics":
            tries = sum(call.path.startswith("/services") for call in self.seen)
            line = {"latency": "try", "count": tries}
            return serving.json_reply(200, {"latencies": [line]})
        if call.path == "/jobs":
            self.jobs[call.json()["id"]] = call.json()
            return serving.json_reply(200, {})
        if call.path.startswith("/jobs/"):
            page = {"phase": "finished", "evictions": 1}
            return serving.json_reply(200, page)
        return self.answer_request(call)

    def answer_request(self, call: serving.Call) -> serving.Answer:
        name = call.headers["X-Request-Id"]
        path_name = call.path.rpartition("/")[2]
        outcome = {"busy": "not-run", "unknown": "unknown"}.get(
            path_name, "answered"
        )
        headers = {"X-Request-Id": name, "X-Outcome": outcome}
        match path_name:
            case "slow":
                time.sleep(0.2)
            case "busy":
                headers["X-Reason"] = "no-free-slot"
                headers["X-Retry-After-Ms"] = "50"
            case "other":
                headers["X-Request-Id"] = "other"
            case "dropped":
                return serving.Drop()
        return serving.Reply(200, b"", headers)

    def replay(
        self, *lines: traces.TraceLine, **outcomes: Any
    ) -> tuple[int, Any]:
        stated = traces.StatedOutcomes(**outcomes)
        header = traces.Header(traces.FORMAT, "t", 1, 1_000, stated)
        self.path.write_bytes(traces.encode(traces.Trace(header, lines)))
        arguments = ["replay", str(self.path), "--json", "--threads", "8"]
        arguments += ["--caller", self.host.address]
        arguments += ["--host", self.host.address]
        finished = typer_testing.CliRunner().invoke(main.app, arguments)
        return finished.exit_code, msgspec.json.decode(finished.stdout)

    def requests(self, *paths: str) -> list[traces.TracedRequest]:
        return [
            traces.TracedRequest(at_ms=10.0, service="s", path=path)
            for path in paths
        ]

    def test_outcomes_are_counted_as_observed_by_callers(self) -> None:
        lines = self.requests("/ok", "/busy", "/unknown", "/other", "/dropped")
        code, report = self.replay(*lines)
        (requests,) = report["requests"]
        expected = dict.fromkeys(
            ("answered", "not-run", "unknown", "mismatched", "lost"), 1
        )
        self.assertEqual(expected, requests["seen"])
        self.assertEqual(1, requests["reasons"]["no-free-slot"])
        self.assertEqual(1, requests["told_when_to_return"])
        self.assertEqual(1.0, report["tries_per_request"])
        self.assertEqual(0, code)

    def test_slow_answers_do_not_delay_later_requests(self) -> None:
        _, report = self.replay(*self.requests(*["/slow"] * 8))
        latency = report["requests"][0]["latency"]
        self.assertGreater(latency["p50_ms"], 200)
        self.assertLess(latency["max_ms"], 390)

    def test_missed_outcome_is_reported_and_exits_1(self) -> None:
        code, report = self.replay(
            *self.requests("/ok", "/busy"), answered_percent_min=60.0
        )
        self.assertEqual(1, code)
        (line,) = report["outcomes"]
        self.assertEqual((50.0, False), (line["measured"], line["kept"]))

    def test_jobs_are_submitted_and_polled_until_they_end(self) -> None:
        document = {
            "id": "j",
            "team": "t",
            "job_class": "c",
            "resources": {"processors_milli": 1_000, "memory_mib": 1},
            "run_time_ms": 5,
        }
        line = {"at_ms": 1.0, "job": document}
        code, report = self.replay(
            msgspec.convert(line, traces.TracedJob),
            jobs_finished_percent_min=100.0,
        )
        self.assertEqual(0, code)
        self.assertEqual({"finished": 1}, report["jobs"]["phases"])
        self.assertEqual(1, report["jobs"]["evictions"])
        (name,) = self.jobs
        self.assertTrue(name.endswith("-j"), name)

    def test_bad_trace_exits_2(self) -> None:
        self.path.write_text("{}")
        arguments = ["replay", str(self.path), "--caller", self.host.address]
        finished = typer_testing.CliRunner().invoke(main.app, arguments)
        self.assertEqual(2, finished.exit_code)
        self.assertIn("trace.jsonl:1:", finished.output)

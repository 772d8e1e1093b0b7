"""Tests that each check finds its violation in a journal that has one."""

from __future__ import annotations

from typing import Any

import attrs
import msgspec
import testtools
import xxhash

from comfreylatch._ports import workers
from testing import checker
from testing import client
from testing.standins import endpoint
from testing.standins import worker_records

CAPACITY = workers.Resources(4_000, 8_000, 0)


def request_event(name: str, **changes: Any) -> endpoint.EndpointEvent:
    event = endpoint.EndpointEvent(
        endpoint="ex-1",
        kind="request",
        request_id=name,
        idempotent="",
        received_ms=1.0,
        ended_ms=2.0,
        outcome="answered",
        running=1,
        violation=False,
    )
    return attrs.evolve(event, **changes)


def sent(name: str, outcome: str, body: bytes = b"") -> checker.SentRequest:
    answer = client.Answer(200, outcome, "", name, body, {}, 1.0)
    return checker.SentRequest(name, b"q", False, answer)


def worker_event(kind: str, at_ms: float, **changes: Any) -> Any:
    event = worker_records.WorkerEvent(
        at_ms=at_ms,
        worker="wk-1",
        boot="b",
        kind=kind,
        job="j",
        attempt=1,
        term=1,
        detail="",
        progress_ms=0,
        used=CAPACITY,
        capacity=CAPACITY,
    )
    return attrs.evolve(event, **changes)


def rules(violations: list[checker.Violation]) -> list[str]:
    return [violation.rule for violation in violations]


class RequestChecksTest(testtools.TestCase):
    """Checks of callers' requests."""

    def test_run_of_request_reported_as_not_run_is_found(self) -> None:
        violations = checker.check_requests(
            [sent("a", "not-run")], [request_event("a")]
        )
        self.assertEqual(["not-run-never-ran"], rules(violations))

    def test_busy_endpoint_does_not_count_as_run(self) -> None:
        events = [request_event("a", outcome="busy")]
        violations = checker.check_requests([sent("a", "not-run")], events)
        self.assertEqual([], violations)

    def test_second_run_of_a_request_is_found(self) -> None:
        events = [request_event("a"), request_event("a", outcome="reset")]
        violations = checker.check_requests([sent("a", "unknown")], events)
        self.assertEqual(["ran-at-most-once"], rules(violations))

    def test_mismatched_and_truncated_answers_are_found(self) -> None:
        digest = xxhash.xxh64_hexdigest(b"q")
        right = {"request_id": "a", "digest": digest}
        bodies = [
            msgspec.json.encode(right),
            msgspec.json.encode({**right, "request_id": "b"}),
            msgspec.json.encode(right)[:-4],
        ]
        rules_by_body = [
            rules(checker.answers_whole([sent("a", "answered", body)]))
            for body in bodies
        ]
        self.assertEqual(
            [[], ["answers-whole"], ["answers-whole"]], rules_by_body
        )


class JobChecksTest(testtools.TestCase):
    """Checks of batch work."""

    def test_overlap_on_two_workers_is_found(self) -> None:
        events = [
            worker_event("start", 1.0),
            worker_event("start", 2.0, worker="wk-2", attempt=2),
            worker_event("end", 3.0, detail="stopped"),
            worker_event(
                "end", 4.0, worker="wk-2", attempt=2, detail="finished"
            ),
        ]
        violations = checker.check_jobs(events, {"j"})
        self.assertEqual(["never-in-two-places"], rules(violations))

    def test_start_right_after_an_end_is_no_overlap(self) -> None:
        events = [
            worker_event("start", 1.0),
            worker_event("end", 2.0, detail="stopped"),
            worker_event("start", 2.0, worker="wk-2", attempt=2),
            worker_event(
                "end", 3.0, worker="wk-2", attempt=2, detail="finished"
            ),
        ]
        self.assertEqual([], checker.check_jobs(events, {"j"}))

    def test_lost_duplicate_and_unaccepted_jobs_are_found(self) -> None:
        events = [
            worker_event("start", 1.0),
            worker_event("end", 2.0, detail="finished"),
            worker_event("start", 3.0, attempt=2),
            worker_event("end", 4.0, attempt=2, detail="finished"),
            worker_event("start", 5.0, job="other"),
        ]
        violations = checker.finished_once(events, {"j", "lost"})
        self.assertEqual(
            ["j", "lost", "other"],
            [violation.subject for violation in violations],
        )

    def test_resume_beyond_the_checkpoint_is_found(self) -> None:
        events = [
            worker_event("checkpoint", 1.0, progress_ms=5),
            worker_event("start", 2.0, attempt=2, progress_ms=5),
            worker_event("start", 3.0, attempt=3, progress_ms=6),
        ]
        violations = checker.resumed_from_checkpoint(events)
        self.assertEqual(["resumed-from-checkpoint"], rules(violations))

    def test_worker_above_capacity_is_found(self) -> None:
        used = workers.Resources(4_001, 0, 0)
        violations = checker.capacity_kept(
            [worker_event("start", 1.0, used=used)]
        )
        self.assertEqual(["capacity-kept"], rules(violations))

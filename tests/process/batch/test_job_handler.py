"""Tests of the HTTP handler of jobs."""

from __future__ import annotations

from typing import Any

import msgspec
import testtools

from comfreylatch._connection import http
from comfreylatch._ports import workers
from comfreylatch._process.batch import job_handler
from comfreylatch._version import objects
from testing.fakes import zone as fake_zone

JOB = {
    "id": "stack-1",
    "team": "faculty",
    "job_class": "stack",
    "resources": {"processors_milli": 1_000, "memory_mib": 100},
    "run_time_ms": 1_000,
}


class JobHandlerTest(testtools.TestCase):
    """Replies of the job handler."""

    def setUp(self) -> None:
        """Creates a zone with a job handler on its first host."""
        super().setUp()
        teams = {
            "faculty": objects.Team(workers.Resources(10_000, 10_000)),
            "small": objects.Team(workers.Resources(500, 50), False),
        }
        self.zone = fake_zone.FakeZone(host_count=1, teams=teams)
        self.host = self.zone.hosts[0]
        self.handler = job_handler.JobHandler(
            fake_zone.ZONE,
            self.host.appender,
            self.host.follower,
            self.host.fold,
            self.zone.source,
            self.host.journal,
            self.host.metrics,
        )
        self.handler.update_host_list(self.zone.host_list)

    def _call(
        self, method: str, path: str = "/jobs", body: bytes = b""
    ) -> http.HttpReply:
        return self.handler.handle(http.HttpRequest(method, path, {}, {}, body))

    def _post(self, **changes: Any) -> http.HttpReply:
        return self._call("POST", body=msgspec.json.encode({**JOB, **changes}))

    def test_accepted_job_is_on_the_stream(self) -> None:
        """The record is appended before the job is acknowledged."""
        reply = self._post()
        self.assertEqual(200, reply.status)
        self.assertEqual(1, len(self.zone.stream.payloads))
        page = msgspec.json.decode(reply.body)
        self.assertEqual(
            ("queued", fake_zone.ZONE), (page["phase"], page["zone"])
        )

    def test_repeated_submission_is_the_same_job(self) -> None:
        """The second submission appends nothing."""
        self._post()
        self.assertEqual(200, self._post().status)
        self.assertEqual(1, len(self.zone.stream.payloads))

    def test_other_content_under_an_id_is_refused(self) -> None:
        """The reply is a conflict."""
        self._post()
        reply = self._post(run_time_ms=2_000)
        self.assertEqual(409, reply.status)
        self.assertEqual("job-id-taken", reply.headers["X-Reason"])

    def test_submission_is_refused_at_once_when_log_is_down(self) -> None:
        """The reply has a retry delay and nothing is appended."""
        self.zone.stream.cut.add(self.host.name)
        reply = self._post()
        self.assertEqual(503, reply.status)
        self.assertIn("X-Retry-After-Ms", reply.headers)
        self.assertEqual([], self.zone.stream.payloads)

    def test_lost_append_answer_makes_outcome_unknown(self) -> None:
        """Repeating the same submission then finds the job."""
        self.host.appender.lose_next = True
        self.assertEqual(504, self._post().status)
        self.host.follower.read()
        self.assertEqual(200, self._post().status)
        self.assertEqual(1, len(self.zone.stream.payloads))

    def test_refusal_of_too_large_job_names_the_dimensions(self) -> None:
        """Only dimensions in which it fits no worker are named."""
        size = {"processors_milli": 1_000, "memory_mib": 9_000}
        reply = self._post(resources=size)
        self.assertEqual(422, reply.status)
        self.assertIn(b"memory_mib 9000 is above 2000", reply.body)
        self.assertNotIn(b"processors_milli", reply.body)

    def test_job_above_its_quota_without_borrowing_is_refused(self) -> None:
        """It would wait in the queue forever."""
        reply = self._post(team="small")
        self.assertEqual("never-fits", reply.headers["X-Reason"])

    def test_refusals_have_specific_reasons(self) -> None:
        """Each kind of invalid job has its own reason."""
        expected = {
            "unknown-team": {"team": "nobody"},
            "unknown-zone": {"zone": "mars"},
            "urgent-not-allowed": {"urgent": True},
            "bad-job": {"id": "a b"},
        }
        for reason, changes in expected.items():
            reply = self._post(**changes)
            self.assertEqual(reason, reply.headers["X-Reason"])

    def test_invalid_bodies_are_refused(self) -> None:
        """They are answered with status 400."""
        bodies = [b"", b"[]", b"{}", b"\xff", b"[" * 5_000, b'{"id": 1}']
        for amount in (-1, 0, 10**12, 10**30):
            size = {"processors_milli": amount, "memory_mib": 1}
            bodies.append(msgspec.json.encode({**JOB, "resources": size}))
        for body in bodies:
            reply = self._call("POST", body=body)
            self.assertEqual(400, reply.status, body)

    def test_cancelled_job_is_shown_as_cancelled(self) -> None:
        """Cancelling twice has the same result."""
        self._post()
        for _ in range(2):
            reply = self._call("DELETE", "/jobs/stack-1")
            page = msgspec.json.decode(reply.body)
            self.assertEqual("cancelled", page["phase"])

    def test_unknown_job(self) -> None:
        """Any unknown id is answered with status 404."""
        for path in ("/jobs/none", "/jobs/\udce9", "/jobs/a/b"):
            self.assertEqual(404, self._call("GET", path).status)
            self.assertEqual(404, self._call("DELETE", path).status)

    def test_list_by_phase(self) -> None:
        """Only jobs of the requested phase are listed."""
        self._post()
        self._post(id="stack-2")
        self._call("DELETE", "/jobs/stack-1")
        request = http.HttpRequest("GET", "/jobs", {"phase": "queued"}, {}, b"")
        page = msgspec.json.decode(self.handler.handle(request).body)
        self.assertEqual(["stack-2"], [job["id"] for job in page["jobs"]])

"""Tests of the page that tells where a submission would go."""

from __future__ import annotations

import json
from typing import Any

import testtools

from comfreylatch._connection import http
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import records
from comfreylatch._process.cell import specs
from comfreylatch._process.cell.explaining import answers
from comfreylatch.platform import placement_page
from testing.fakes import clock as fake_clock

QUEUE = specs.QueueSpec("q", "a.example", "/q/", "skyproc")
JOB = {"JobSteps": [{"TaskCount": 2, "CpuMillicores": 500}]}


class PlacementPageTest(testtools.TestCase):
    """A host with one queue, which may own the cell."""

    def setUp(self) -> None:
        super().setUp()
        self.asked: list[specs.JobSpec] = []
        self.explained: answers.PlacementExplanation | None = (
            answers.PlacementExplanation((), (1,), 40)
        )
        heartbeat = records.HeartbeatRecord("owner-1", "boot", 1)
        self.page = placement_page.PlacementPage(
            lambda: specs.FleetConfiguration(3, (QUEUE,), ()),
            self.explain,
            lambda: job_replica.ObservedHeartbeat(heartbeat, 0, 0),
            fake_clock.FakeClock(0),
        )

    def explain(
        self, spec: specs.JobSpec, timeout_ms: int
    ) -> answers.PlacementExplanation | None:
        """Stands in for the owner."""
        del timeout_ms
        self.asked.append(spec)
        return self.explained

    def ask(self, **fields: Any) -> tuple[int, Any]:
        """Asks about a job; returns the status and the decoded reply."""
        body = {
            "queue_host": "a.example",
            "queue_path": "/q/",
            "job": JOB,
            **fields,
        }
        request = http.HttpRequest(
            "POST", placement_page.PATH, {}, {}, json.dumps(body).encode()
        )
        reply = self.page.handle(request)
        return reply.status, json.loads(reply.body)

    def test_question_reaches_the_owner_as_it_would_be_submitted(self) -> None:
        status, page = self.ask()
        self.assertEqual(200, status)
        self.assertEqual(("q", 40), (page["queue"], page["oldest_report_ms"]))
        self.assertEqual(500, self.asked[0].steps[0].cpu_millicores)

    def test_unknown_queue_and_invalid_jobs_are_named(self) -> None:
        status, page = self.ask(queue_path="/other/")
        self.assertEqual((404, "unknown-queue"), (status, page["reason"]))
        status, page = self.ask(job={"JobSteps": [{"TaskCount": 0}]})
        self.assertEqual((400, "bad-job"), (status, page["reason"]))
        self.assertIn("step 0", page["detail"])
        status, page = self.ask(job={"JobSteps": [{"CpuMillicores": "many"}]})
        self.assertIn("CpuMillicores", page["detail"])
        self.assertEqual(400, self.ask(queue_host=7)[0])
        self.assertEqual([], self.asked)

    # Guards against an answer from a host that can't know the cell's state.
    def test_host_without_the_cell_names_the_owner(self) -> None:
        self.explained = None
        status, page = self.ask()
        self.assertEqual(409, status)
        self.assertIn("owner-1", page["detail"])

"""Test that the journal explains a refused job."""

from __future__ import annotations

import json
from typing import Any

import testtools

from comfreylatch._connection import http
from comfreylatch._process import journal as journal_module
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import reasons
from comfreylatch._process.batch import job_handler
from comfreylatch._version import configuration
from comfreylatch._version import zone_fold
from testing.fakes import clock as fake_clock

JOB = {
    "id": "stack-1",
    "team": "nobody",
    "resources": {"processors_milli": 1, "memory_mib": 1},
    "run_time_ms": 1,
}


class EmptySource:
    """Source of an empty configuration."""

    def current(self) -> configuration.Configuration:
        return configuration.Configuration(offset=0)


class JobRefusalTest(testtools.TestCase):
    """Journal entries of refusals."""

    def test_refused_job_is_in_the_journal(self) -> None:
        journal = journal_module.Journal("h", fake_clock.FakeClock())
        unused: Any = None
        source: Any = EmptySource()
        handler = job_handler.JobHandler(
            "bole",
            unused,
            unused,
            zone_fold.ZoneFold(),
            source,
            journal,
            metrics_module.Metrics(),
        )
        body = json.dumps(JOB).encode()
        reply = handler.handle(http.HttpRequest("POST", "/jobs", {}, {}, body))
        self.assertEqual(422, reply.status)
        (decision,) = journal.about(reasons.Subject.JOB, "stack-1")
        self.assertEqual("unknown-team", decision.reason)

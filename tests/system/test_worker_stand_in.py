"""Tests that stand-in workers follow docs/PLATFORM.md."""

from __future__ import annotations

import time
from typing import Any

import msgspec
import testtools

from comfreylatch._ports import workers
from testing.standins import serving
from testing.standins import worker_host
from testing.standins import worker_model
from testing.standins import worker_records

CAPACITY = workers.Resources(4_000, 8_000, 0)
LEASE_MS = 5_000


def start(job: str, attempt: int = 1, **fields: Any) -> dict[str, Any]:
    resources = {"processors_milli": 2_000, "memory_mib": 1_000}
    return {
        "start": {
            "job": job,
            "attempt": attempt,
            "job_class": "stack",
            "resources": resources,
            "run_time_ms": 60_000,
            **fields,
        }
    }


class WorkerStandInTest(testtools.TestCase):
    """Leases, terms, stale reports and capacity."""

    def setUp(self) -> None:
        super().setUp()
        self.journal = serving.Journal()
        self.worker = worker_host.WorkerHost(
            worker_records.WorkerSpec("wk-1", CAPACITY),
            worker_model.WorkModel(),
            speed=1.0,
            journal=self.journal,
        )
        self.addCleanup(self.worker.listener.refuse)

    def exchange(
        self,
        quoted: int,
        *commands: dict[str, Any],
        term: int = 1,
        lease_ms: int = LEASE_MS,
    ) -> workers.WorkerReport:
        body = {
            "owner": "h",
            "term": term,
            "quoted_report": quoted,
            "lease_ms": lease_ms,
            "commands": commands,
        }
        call = serving.Call(
            "POST", "/exchange", {}, {}, msgspec.json.encode(body)
        )
        answer = self.worker._handle(call)
        return msgspec.json.decode(answer.body, type=workers.WorkerReport)

    def first_report(self) -> int:
        return self.exchange(0, lease_ms=0).report

    def test_start_needs_lease(self) -> None:
        report = self.exchange(self.first_report(), start("a"), lease_ms=0)
        self.assertEqual(("refused-lease",), report.statuses)

    def test_lower_term_has_no_effect(self) -> None:
        quoted = self.exchange(self.first_report(), term=2, lease_ms=0).report
        report = self.exchange(quoted, start("a"), term=1)
        self.assertEqual(("refused-term",), report.statuses)
        self.assertEqual(0, report.lease_left_ms)

    def test_unknown_report_has_no_effect(self) -> None:
        report = self.exchange(99, start("a"))
        self.assertEqual(("refused-stale",), report.statuses)
        self.assertEqual(0, report.lease_left_ms)

    def test_duplicate_and_oversize_starts_are_refused(self) -> None:
        report = self.exchange(
            self.first_report(), start("a"), start("a"), start("b"), start("c")
        )
        self.assertEqual(
            ("done", "refused-duplicate", "done", "refused-capacity"),
            report.statuses,
        )

    def test_expired_lease_stops_tasks_and_keeps_checkpoint(self) -> None:
        checkpoint = {"checkpoint": {"job": "a", "attempt": 1}}
        quoted = self.exchange(self.first_report(), start("a")).report
        time.sleep(0.02)
        quoted = self.exchange(quoted, checkpoint, lease_ms=20).report
        time.sleep(0.05)
        report = self.exchange(quoted, lease_ms=0)
        (status,) = report.tasks
        self.assertEqual(workers.TaskState.STOPPED, status.state)
        self.assertGreater(status.checkpoint_ms, 0)
        self.assertLessEqual(status.progress_ms, 60)

    def test_ended_task_is_reported_until_it_is_to_be_forgotten(self) -> None:
        quoted = self.exchange(
            self.first_report(), start("a", run_time_ms=1)
        ).report
        time.sleep(0.01)
        report = self.exchange(quoted)
        self.assertEqual(workers.TaskState.FINISHED, report.tasks[0].state)
        stop = {"stop": {"job": "a", "attempt": 1}}
        throttle = {"throttle": {"job": "a", "attempt": 1, "share_milli": 500}}
        report = self.exchange(report.report, stop, throttle)
        report = self.exchange(report.report)
        self.assertEqual(workers.TaskState.FINISHED, report.tasks[0].state)
        forget = {"forget": {"job": "a", "attempt": 1}}
        report = self.exchange(report.report, forget)
        self.assertEqual((), self.exchange(report.report).tasks)

    def test_running_task_is_not_forgotten(self) -> None:
        forget = {"forget": {"job": "a", "attempt": 1}}
        quoted = self.exchange(self.first_report(), start("a")).report
        report = self.exchange(quoted, forget)
        report = self.exchange(report.report)
        self.assertEqual(workers.TaskState.RUNNING, report.tasks[0].state)

    def test_kill_clears_all_state(self) -> None:
        before = self.exchange(self.first_report(), start("a"))
        self.worker.change({"kill": True})
        kinds = [event.kind for event in self.journal.page(0)["events"]]
        after = self.exchange(0, lease_ms=0)
        self.assertNotEqual(before.boot, after.boot)
        self.assertEqual((), after.tasks)
        self.assertEqual(
            ["boot", "term", "start", "end", "kill", "boot"], kinds
        )

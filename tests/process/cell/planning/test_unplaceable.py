"""Tests of what a task that fits nowhere means for the tasks behind it."""

from __future__ import annotations

from typing import Any

import attrs
import testtools

from comfreylatch._process.cell.planning import placement_pass
from testing.fakes import cell_workers as fake_workers
from tests.process.cell import harness

# No worker has that much.
TOO_MUCH_MEMORY_MB = 1_000_000
ROOM_MB = 64_000


class UnplaceableTest(testtools.TestCase):
    """A filling task that fits nowhere, and one of the same image behind it."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = harness.Cell(workers=2)

    def submit(
        self, job_id: str, priority: int, service: str = "", **fields: Any
    ) -> None:
        """Submits a job of one filling task."""
        step = harness.step(fills_idle=True, image="stack", **fields)
        job = harness.job(step, job_id=job_id * 16)
        queue = attrs.evolve(
            job.queue,
            name=f"queue-{priority}",
            priority=priority,
            service=service or job.queue.service,
        )
        self.cell.submit(attrs.evolve(job, queue=queue))

    def placed(self) -> list[str]:
        """Places tasks; returns the initials of their jobs."""
        return [run.task.name[0] for run in self.cell.place()]

    # Guards against jobs that never start, as one that asks for more memory
    # than any worker has comes before them and has the same image.
    def test_too_little_memory_for_one_keeps_no_other_waiting(self) -> None:
        self.submit("a", priority=0, memory_mb=TOO_MUCH_MEMORY_MB)
        self.submit("b", priority=1)
        self.assertEqual(["b"], self.placed())

    # Guards against the same where some workers have memory, but are busy.
    def test_busy_workers_with_memory_keep_no_other_waiting(self) -> None:
        self.cell.workers.find("w1").free_cpu = 0
        self.cell.workers.find("w2").free_memory = ROOM_MB // 2
        self.submit("a", priority=0, memory_mb=ROOM_MB)
        self.submit("b", priority=1, memory_mb=ROOM_MB // 4)
        self.assertEqual(["b"], self.placed())

    # Guards against jobs of a service that wait for workers of another one.
    def test_service_without_workers_keeps_no_other_waiting(self) -> None:
        self.submit("a", priority=0, service="other")
        self.submit("b", priority=1)
        self.assertEqual(["b"], self.placed())

    # Guards against jobs that wait behind one whose label no worker has.
    def test_missing_label_keeps_no_other_waiting(self) -> None:
        self.submit("a", priority=0, required_label="gpu-9")
        self.submit("b", priority=1)
        self.assertEqual(["b"], self.placed())

    # Guards against passes that look for a worker for each job of a backlog.
    def test_larger_tasks_are_skipped_when_all_workers_are_busy(self) -> None:
        for view in self.cell.workers:
            view.free_cpu = 0
        self.submit("a", priority=0)
        self.submit("b", priority=1)
        this_pass = placement_pass.PlacementPass(
            list(self.cell.workers), frozenset(), {}, harness.START_MS
        )
        first, second = self.cell.jobs.ready_steps()
        this_pass.record_unplaceable(first)
        self.assertTrue(this_pass.is_known_unplaceable(second))


class UnplaceableReservationTest(testtools.TestCase):
    """Tasks that reserve processors, behind one that fits nowhere."""

    # Guards against jobs that wait behind one that no worker can take.
    def test_no_dimension_of_one_task_keeps_others_waiting(self) -> None:
        for fields in (
            {"memory_mb": TOO_MUCH_MEMORY_MB},
            {"gpus": 8},
            {"required_label": "gpu-9"},
        ):
            cell = harness.Cell(workers=1)
            hopeless = harness.job(harness.step(**fields), job_id="a" * 16)
            cell.submit(hopeless)
            job = harness.job(job_id="b" * 16)
            queue = attrs.evolve(job.queue, name="later", priority=1)
            cell.submit(attrs.evolve(job, queue=queue))
            placed = [run.task.name[0] for run in cell.place()]
            self.assertEqual(["b"], placed, fields)

    # Guards against jobs of a service that wait for workers of another one.
    def test_service_without_workers_keeps_no_other_waiting(self) -> None:
        cell = harness.Cell(workers=1)
        job = harness.job(job_id="a" * 16)
        queue = attrs.evolve(job.queue, service="other")
        cell.submit(attrs.evolve(job, queue=queue))
        cell.submit(harness.job(job_id="b" * 16))
        self.assertEqual("skyproc", fake_workers.entry("w1").service)
        self.assertEqual(["b"], [run.task.name[0] for run in cell.place()])

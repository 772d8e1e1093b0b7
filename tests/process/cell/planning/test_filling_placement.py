"""Tests of the placement of filling tasks by their interference."""

from __future__ import annotations

from typing import Any
import unittest.mock

import testtools

from comfreylatch._process.cell import interference
from comfreylatch._process.cell import runs
from comfreylatch._process.cell.planning import clearing
from tests.process.cell import harness

CLEARED_FOR_MS = 10_000


class FillingPlacementTest(testtools.TestCase):
    """A worker with a lasting task, and one closed to lasting tasks."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = harness.Cell(workers=2)
        now_ms = self.cell.clock.monotonic_ms()
        self.cleared_worker = self.cell.workers.find("w2")
        self.cleared_worker.cleared_until_ms = now_ms + CLEARED_FOR_MS
        lasting_step = harness.step(
            is_lasting=True, image="serve", tail_target_ms=18
        )
        self.cell.submit(harness.job(lasting_step, job_id="a" * 16))
        (self.serving,) = self.cell.place()
        self.serving_worker = self.cell.workers.find(self.serving.worker_id)
        self._train_model()

    def _train_model(self) -> None:
        """Teaches the model one harmful and one harmless image."""
        pressures = self.cell.model.pressures
        for tick in range(60):
            for number, use in enumerate((0.0, 0.1, 0.2)):
                # The use of "idle" alternates in sign, so that it doesn't
                # correlate with the load.
                uses = {"press": use, "idle": use * ((tick % 2) * 2 - 1)}
                load = 0.4 + 2.0 * use
                pressures.observe(
                    "other", "serve", f"x{number}", load, uses, 500 * tick
                )

    def _place_filling(
        self, image: str, job_id: str, count: int = 1
    ) -> list[Any]:
        """Places a step of filling tasks; returns the workers' ids."""
        filling_step = harness.step(
            count, cpu_millicores=1_000, fills_idle=True, image=image
        )
        self.cell.submit(harness.job(filling_step, job_id=job_id))
        return [run.worker_id for run in self.cell.place()]

    def test_harmless_image_shares_the_worker_of_a_lasting_task(self) -> None:
        self.assertEqual(
            [self.serving.worker_id], self._place_filling("idle", "b" * 16)
        )

    def test_harmful_image_goes_to_the_cleared_worker(self) -> None:
        self.assertEqual(["w2"], self._place_filling("press", "b" * 16))

    # Guards against a lasting task that has waited for seconds and is stopped
    # before it was ever at work, and then waits as long again.
    # Guards against passes over a backlog that cost the owner's processor time
    # for each step and worker, although no worker has changed.
    def test_headroom_is_computed_once_while_a_worker_is_unchanged(
        self,
    ) -> None:
        with unittest.mock.patch.object(
            interference.InterferenceModel,
            "headroom",
            autospec=True,
            side_effect=lambda *_: -1.0,
        ) as headroom:
            for number in range(8):
                self._place_filling("idle", f"{number:x}" * 16)
            self.assertEqual(1, headroom.call_count)
            self.serving_worker.revision += 1
            self._place_filling("idle", "8" * 16)
            self.assertEqual(2, headroom.call_count)

    def test_worker_is_not_cleared_while_a_lasting_task_is_starting(
        self,
    ) -> None:
        worker = self.cell.workers.find(self.serving.worker_id)
        demand = worker.entry.capacity.cpu_millicores
        now_ms = self.cell.clock.monotonic_ms() + 2 * CLEARED_FOR_MS
        self.assertEqual(
            worker, clearing.choose_worker([worker], demand, now_ms)
        )
        self.serving.phase = runs.RunPhase.STARTING
        self.assertEqual(None, clearing.choose_worker([worker], demand, now_ms))

    def test_no_worker_is_cleared_for_harmless_images(self) -> None:
        self._place_filling("idle", "b" * 16, count=40)
        self.cell.clock.advance(2 * clearing.MIN_FILLING_WAIT_MS)
        steps = self.cell.jobs.ready_steps()
        now_ms = self.cell.clock.monotonic_ms()
        self.assertEqual(
            0, clearing.waiting_millicores(steps, self.cell.model, now_ms)
        )

    def test_filling_tasks_are_slowed_where_demand_exceeds_capacity(
        self,
    ) -> None:
        self._place_filling("idle", "b" * 16, count=3)
        short_step = harness.step(cpu_millicores=6_500)
        self.cell.submit(harness.job(short_step, job_id="c" * 16))
        self.cell.workers.find("w2").avoided_until_ms = 10**9
        self.cell.place()
        worker = self.cell.workers.find(self.serving.worker_id)
        changes = self.cell.model.pace_changes(worker)
        self.assertEqual(3, len(changes))
        self.assertTrue(all(change.percent < 100 for change in changes))

"""Tests of the interference model and of the paces that it sets."""

from __future__ import annotations

from typing import Any
import unittest.mock

import attrs
import testtools

from comfreylatch._process.cell import serving_load
from tests.process.cell import harness

BASE_MS = 4
TARGET_MS = 18


class SharedWorker:
    """A lasting and a filling task on one worker of eight cores.

    Args:
        load: True load of the lasting task.
        pressure: True coefficient of the filling task's pressure on it.
    """

    def __init__(self, load: float, pressure: float) -> None:
        self.load = load
        self.pressure = pressure
        self.cell = harness.Cell(workers=1)
        lasting_step = harness.step(
            is_lasting=True, image="serve", tail_target_ms=TARGET_MS
        )
        filling_step = harness.step(
            cpu_millicores=2_000, fills_idle=True, image="press"
        )
        self.cell.submit(harness.job(lasting_step, job_id="a" * 16))
        (self.serving,) = self.cell.place()
        self.cell.submit(harness.job(filling_step, job_id="b" * 16))
        self.filling: Any = None

    def tail_ms(self) -> int:
        """Returns the tail latency that the model implies for these loads."""
        total_load = self.load
        if self.filling is not None:
            used = 0.25 * self.filling.pace_percent / 100
            total_load += self.pressure * used
        return round(BASE_MS / max(1 - total_load, 0.01))

    def report(self, seconds: int) -> None:
        """Reports both tasks' readings twice a second for a while."""
        for _ in range(2 * seconds):
            self.cell.clock.advance(500)
            running = [
                harness.running_task(self.serving, 100.0, self.tail_ms())
            ]
            if self.filling is not None:
                used = 2_000 * self.filling.pace_percent // 100
                running.append(harness.running_task(self.filling, 50.0, used))
            self.cell.answer_hold("w1", running=tuple(running))


class InterferenceModelTest(testtools.TestCase):
    """Learning from readings that follow the model."""

    def test_load_is_learned_from_tails(self) -> None:
        shared = SharedWorker(0.3, 0.0)
        shared.report(10)
        learned = shared.cell.model.load_estimate(shared.serving).load
        self.assertAlmostEqual(0.3, learned, delta=0.06)

    def test_harmful_task_is_slowed_until_the_target_is_kept(self) -> None:
        shared = SharedWorker(0.45, 2.0)
        shared.report(4)
        (shared.filling,) = shared.cell.place()
        shared.report(8)
        self.assertLess(shared.filling.pace_percent, 100)
        self.assertLessEqual(shared.tail_ms(), TARGET_MS)

    def test_harmless_task_keeps_its_pace(self) -> None:
        shared = SharedWorker(0.3, 0.1)
        shared.report(4)
        (shared.filling,) = shared.cell.place()
        shared.report(8)
        self.assertEqual(100, shared.filling.pace_percent)

    def test_rising_load_is_extrapolated(self) -> None:
        estimate = serving_load.ServingLoad()
        for index in range(20):
            now_ms = 1_000 + 100 * index
            estimate.predict(now_ms)
            estimate.update(0.3 + 0.01 * index - estimate.load, now_ms)
        self.assertAlmostEqual(0.49, estimate.load, delta=0.03)
        self.assertGreater(estimate.forecast(700), estimate.load + 0.03)


class HarmGuardTest(testtools.TestCase):
    """A filling task that the model takes for harmless keeps tails high."""

    def setUp(self) -> None:
        super().setUp()
        self.worker = SharedWorker(load=0.3, pressure=0.0)
        self.worker.report(seconds=3)
        (self.worker.filling,) = self.worker.cell.place()
        harmless = unittest.mock.patch.object(
            self.worker.cell.model, "coefficient", lambda *_: 0.0
        )
        self.enterContext(harmless)
        self.worker.load = 0.95

    def test_filling_task_is_paused_in_time(self) -> None:
        self.worker.report(seconds=3)
        self.assertEqual(0, self.worker.filling.pace_percent)

    def test_short_excess_pauses_nothing(self) -> None:
        self.worker.report(seconds=1)
        self.assertLess(0, self.worker.filling.pace_percent)

    def test_filling_task_goes_on_when_tails_are_within_targets(self) -> None:
        self.worker.report(seconds=3)
        self.worker.load = 0.3
        self.worker.report(seconds=10)
        self.assertEqual(100, self.worker.filling.pace_percent)


class NoRequestTest(testtools.TestCase):
    """A filling task that requests no processors, beside a lasting one."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = harness.Cell(workers=1, cpu_millicores=1_000)
        lasting_step = harness.step(
            is_lasting=True, image="serve", tail_target_ms=TARGET_MS
        )
        filling_step = harness.step(
            cpu_millicores=0, fills_idle=True, image="press"
        )
        self.cell.submit(harness.job(lasting_step, job_id="a" * 16))
        (self.serving,) = self.cell.place()
        self.cell.submit(harness.job(filling_step, job_id="b" * 16))
        (self.filling,) = self.cell.place()

    def report(self, tail_ms: int) -> None:
        """Reports the tail of the lasting task and 700 millicores, once."""
        self.cell.clock.advance(500)
        running = (
            harness.running_task(self.serving, 100.0, tail_ms),
            harness.running_task(self.filling, 50.0, 700),
        )
        self.cell.answer_hold("w1", running=running)

    # Guards against an owner that ends when such a task reports its usage.
    def test_its_usage_is_no_share_of_a_request(self) -> None:
        intensity = self.filling.intensity
        for _ in range(4):
            self.report(BASE_MS)
        self.assertEqual(intensity, self.filling.intensity)
        self.assertEqual(100, self.filling.pace_percent)

    # Guards against an owner that ends when the lasting task needs more
    # processors than the worker has for it.
    def test_worker_without_idle_processors_leaves_its_pace(self) -> None:
        worker = self.cell.workers.find("w1")
        capacity = attrs.evolve(worker.entry.capacity, cpu_millicores=10)
        worker.update(attrs.evolve(worker.entry, capacity=capacity))
        self.report(TARGET_MS - 1)
        self.assertEqual(100, self.filling.pace_percent)

    # Guards against a lasting task that stays over its target as the task has
    # no request by which its pace could be lowered.
    def test_it_pauses_while_the_lasting_task_is_over_its_target(self) -> None:
        for _ in range(8):
            self.report(3 * TARGET_MS)
        self.assertEqual(0, self.filling.pace_percent)

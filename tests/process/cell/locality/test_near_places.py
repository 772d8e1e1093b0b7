"""Tests of tasks that wait for a rack, in placement passes."""

from __future__ import annotations

from typing import Any

import testtools

from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.cell.locality import near_places
from comfreylatch._process.cell.locality import near_wait
from testing.fakes import cell_workers as fake_workers
from tests.process.cell import harness

NEAR = "r1-1"
FAR = "r1-2"


class NearPlacesTest(testtools.TestCase):
    """One near worker and three far ones, each with room for two tasks."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = harness.Cell(workers=4, cpu_millicores=2_000)
        entries = {
            name: fake_workers.entry(name, 2_000, NEAR if name == "w1" else FAR)
            for name in ("w1", "w2", "w3", "w4")
        }
        self.cell.apply_listing(entries)
        self.metrics = metrics_module.Metrics()
        self.set_penalty(3.0)

    def set_penalty(self, remote_penalty: float) -> None:
        """Sets how many times as long tasks last away from their rack."""
        self.cell.planner.near_places = near_places.NearPlaces(
            self.cell.durations, remote_penalty, self.metrics
        )

    def submit(self, number: int, count: int = 1, **fields: Any) -> Any:
        """Submits a job with a step of tasks of a second near `w1`."""
        fields.setdefault("data_rack", NEAR)
        return self.cell.submit(
            harness.job(
                harness.step(count, **fields), job_id=f"{number:x}" * 16
            )
        )

    def place(self) -> list[str]:
        """Makes a pass; returns the workers of the runs placed."""
        return sorted(run.worker_id for run in self.cell.place())

    def waits(self, outcome: str) -> int:
        """Returns how many waits ended on a near or on a far worker."""
        return self.metrics.value(metrics_module.Counter.NEAR_WAITS, outcome)

    def test_tasks_start_near_while_there_is_room(self) -> None:
        self.submit(1, 2)
        self.assertEqual(["w1", "w1"], self.place())

    # The pattern: one rack that many jobs want at once, each second anew.
    def test_only_as_many_tasks_wait_as_the_rack_can_take_in_time(self) -> None:
        self.submit(1, 2)
        self.place()
        self.cell.clock.advance(600)
        self.submit(2, 8)
        far = self.place()
        self.assertEqual(6, len(far))
        self.assertNotIn("w1", far)

    def test_wait_ends_near_when_the_expected_room_comes(self) -> None:
        self.submit(1, 2)
        first, second = self.cell.place()
        self.cell.clock.advance(600)
        self.submit(2)
        self.assertEqual([], self.place())
        end = harness.ended_run(first, harness.cell_workers.RunEnd.DONE)
        self.cell.answer_hold(
            "w1",
            running=(harness.running_task(second),),
            ended=(end,),
        )
        self.assertEqual(["w1"], self.place())
        self.assertEqual(1, self.waits("near"))

    # Guards against estimates that are off by nine tenths: the runs near the
    # data last ten times as long as declared.
    def test_wait_for_room_that_never_comes_ends_in_time(self) -> None:
        self.submit(1, 2)
        self.place()
        self.cell.clock.advance(600)
        self.submit(2)
        waited_ms = 0
        while not (placed := self.place()):
            self.cell.clock.advance(100)
            waited_ms += 100
        self.assertLessEqual(waited_ms, near_wait.MAX_WAIT_MS)
        self.assertNotEqual(["w1"], placed)
        self.assertEqual(1, self.waits("far"))

    def test_no_task_waits_for_a_rack_that_is_evacuated_or_silent(self) -> None:
        self.submit(1, 2)
        self.place()
        self.cell.clock.advance(600)
        near = self.cell.workers.find("w1")
        near.may_get_starts = False
        self.submit(2)
        self.assertEqual(1, len(self.place()))

    # Guards against waits for lasting tasks, whose room frees up by chance.
    def test_no_task_waits_behind_lasting_tasks(self) -> None:
        self.submit(1, 2, is_lasting=True)
        self.assertEqual(["w1", "w1"], self.place())
        self.submit(2)
        self.assertEqual(1, len(self.place()))

    def test_no_task_waits_where_the_platform_states_no_penalty(self) -> None:
        self.set_penalty(1.0)
        self.submit(1, 2)
        self.place()
        self.cell.clock.advance(900)
        self.submit(2)
        self.assertEqual(1, len(self.place()))

    def test_group_that_has_not_begun_starts_where_there_is_room(self) -> None:
        self.submit(1, 2)
        self.place()
        self.submit(2, 2, data_rack="", needs_one_rack=True)
        workers = self.place()
        racks = {self.cell.workers.find(name).rack for name in workers}
        self.assertEqual({FAR}, racks)

    def test_group_waits_for_the_rack_where_it_has_begun(self) -> None:
        self.submit(1, 1)
        self.place()
        self.submit(2, 2, data_rack="", needs_one_rack=True)
        far = [self.cell.workers.find(f"w{n}") for n in (2, 3, 4)]
        for worker in far:
            worker.avoided_until_ms = self.cell.clock.now_ms + 1
        self.assertEqual(["w1"], self.place())
        self.cell.clock.advance(600)
        self.assertEqual([], self.place())


class DrawnHistoriesTest(testtools.TestCase):
    """Random waits never exceed the limit, whatever ends when."""

    # Guards against a wait that a later pass starts anew.
    def test_no_task_waits_beside_free_room_past_the_limit(self) -> None:
        for seed in range(20):
            case = NearPlacesTest("test_tasks_start_near_while_there_is_room")
            case.setUp()
            case.set_penalty(1.5 + seed % 4)
            case.submit(1, 2, estimated_ms=400 * (seed + 1))
            case.place()
            job = case.submit(2, 3, estimated_ms=300 * (seed + 1))
            for _ in range(near_wait.MAX_WAIT_MS // 100 + 1):
                case.place()
                case.cell.clock.advance(100)
            pending = job.steps[0][0].pending_tasks
            self.assertEqual({}, pending, seed)

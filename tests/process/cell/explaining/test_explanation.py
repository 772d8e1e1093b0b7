"""Tests that a placement is explained as it would be decided."""

from __future__ import annotations

import random
from typing import Any
import unittest.mock

import attrs
import testtools

from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.cell import events
from comfreylatch._process.cell.explaining import answers
from comfreylatch._process.cell.explaining import explanation
from comfreylatch._process.cell.explaining import ruled_out
from comfreylatch._process.cell.locality import near_places
from testing.fakes import cell_workers as fake_workers
from tests.process.cell import harness

RACKS = ("r1-1", "r1-2")
ASKED_ID = "e" * 16


def drawn_cell(source: random.Random) -> harness.Cell:
    """Returns a cell of six workers with random work and states."""
    cell = harness.Cell(workers=6, cpu_millicores=8_000)
    cell.apply_listing(
        {
            f"w{n}": fake_workers.entry(f"w{n}", 8_000, source.choice(RACKS))
            for n in range(1, 7)
        }
    )
    cell.planner.near_places = near_places.NearPlaces(
        cell.durations, source.choice((1.0, 1.5, 3.0)), metrics_module.Metrics()
    )
    for number in range(source.randint(0, 8)):
        step = harness.step(
            source.randint(1, 4),
            cpu_millicores=source.choice((500, 2_000, 4_000)),
            estimated_ms=source.choice((300, 1_000, 4_000)),
            is_lasting=source.random() < 0.3,
        )
        cell.submit(harness.job(step, job_id=f"{number:x}" * 16))
    cell.place()
    cell.clock.advance(source.randint(0, 900))
    for worker in cell.workers:
        if source.random() < 0.15:
            worker.may_get_starts, worker.is_evacuated = False, True
        elif source.random() < 0.15:
            worker.cleared_until_ms = cell.clock.now_ms + 5_000
    return cell


def drawn_step(source: random.Random) -> Any:
    """Returns a random step to ask about."""
    return harness.step(
        cpu_millicores=source.choice((500, 3_000, 7_000, 9_000)),
        estimated_ms=source.choice((300, 2_700)),
        is_lasting=source.random() < 0.3,
        data_rack=source.choice(("", RACKS[0])),
    )


def explain(cell: harness.Cell, step: Any) -> answers.StepExplanation:
    """Explains where a job with one step would go."""
    explained = explanation.explain(
        harness.job(step, job_id=ASKED_ID),
        cell.planner,
        cell.ranker,
        cell.durations,
        cell.workers,
        cell.jobs.ready_steps(),
        cell.clock.now_ms,
    )
    return explained.steps[0]


class ExplanationTest(testtools.TestCase):
    """A question where a job would go."""

    # Guards against an explanation that differs from the decision.
    def test_drawn_states_are_explained_as_they_are_decided(self) -> None:
        starts = waits = 0
        for seed in range(200):
            source = random.Random(seed)
            cell = drawn_cell(source)
            step = drawn_step(source)
            explained = explain(cell, step)
            job = cell.submit(harness.job(step, job_id=ASKED_ID))
            now_ms = cell.clock.now_ms
            placed = cell.planner.place([job.steps[0][0]], now_ms)
            worker_id = placed[0].worker.worker_id if placed else ""
            self.assertEqual(worker_id, explained.worker, seed)
            starts += bool(placed)
            waits += explained.decision == "waits for its rack"
        self.assertGreater(starts, 50)
        self.assertGreater(waits, 0)

    def test_every_worker_is_a_candidate_or_ruled_out(self) -> None:
        for seed in range(50):
            source = random.Random(seed)
            cell = drawn_cell(source)
            explained = explain(cell, drawn_step(source))
            ruled_out_count = sum(explained.ruled_out.values())
            self.assertEqual(6, explained.candidate_count + ruled_out_count)

    def test_question_changes_nothing(self) -> None:
        cell = drawn_cell(random.Random(1))
        before = [
            (worker.revision, worker.free_cpu, len(worker.runs))
            for worker in cell.workers
        ]
        explain(cell, harness.step(3))
        after = [
            (worker.revision, worker.free_cpu, len(worker.runs))
            for worker in cell.workers
        ]
        self.assertEqual(before, after)
        self.assertIsNone(cell.jobs.find(ASKED_ID))

    # Guards against a question that ends the owner.
    def test_fault_in_an_explanation_is_answered_with_none(self) -> None:
        cell = harness.Cell()
        given: list[Any] = []
        with unittest.mock.patch.object(
            explanation, "explain", side_effect=KeyError("queue")
        ):
            explanation.answer(
                events.PlacementAsked(harness.job(), given.append),
                cell.planner,
                cell.ranker,
                cell.durations,
                cell.workers,
                cell.jobs.ready_steps(),
                cell.clock.now_ms,
            )
        self.assertEqual([None], given)

    def test_reasons_name_what_rules_workers_out(self) -> None:
        cell = harness.Cell(workers=4, cpu_millicores=2_000)
        evacuated, draining, small, _ = cell.workers
        evacuated.is_evacuated, evacuated.may_get_starts = True, False
        draining.entry = attrs.evolve(draining.entry, is_draining=True)
        small.free_cpu = 500
        explained = explain(cell, harness.step())
        self.assertEqual(
            {
                ruled_out.RuledOut.ZONE_EVACUATED: 1,
                ruled_out.RuledOut.DRAINING: 1,
                ruled_out.RuledOut.TOO_LITTLE_CPU: 1,
            },
            explained.ruled_out,
        )
        self.assertEqual(1, explained.candidate_count)

    def test_wait_for_room_ends_with_the_run_that_makes_it(self) -> None:
        cell = harness.Cell(workers=1, cpu_millicores=1_000)
        cell.submit(harness.job(harness.step(estimated_ms=1_000)))
        cell.place()
        cell.clock.advance(400)
        explained = explain(cell, harness.step())
        self.assertEqual("waits for room", explained.decision)
        self.assertEqual(600, explained.expected_wait_ms)

    def test_job_that_fits_no_worker_has_no_expected_wait(self) -> None:
        cell = harness.Cell(workers=2, cpu_millicores=1_000)
        explained = explain(cell, harness.step(cpu_millicores=5_000))
        self.assertIsNone(explained.expected_wait_ms)
        self.assertEqual(0, explained.candidate_count)

"""Tests of jobs whose fields are 0 or left out.

Callers leave out fields whose value is 0. Each test plays one kind of step with
every choice of fields left out, through all that an owner decides.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import itertools
from typing import Any

import attrs
import logbook
import testtools

from comfreylatch._ports import cell_workers
from comfreylatch._process.cell import cell_report
from comfreylatch._process.cell import specs
from comfreylatch._process.cell.explaining import explanation
from comfreylatch._process.cell.planning import preemption
from tests.process.cell import harness

STEP_FIELDS = {
    "cpu_millicores": 1_000,
    "memory_mb": 100,
    "gpus": 1,
    "estimated_ms": 1_000,
    "tail_target_ms": 18,
    "max_per_worker": 2,
    "max_unavailable": 1,
}
QUEUE_FIELDS = {
    "slack_factor": 2.0,
    "target_ms": 250,
    "priority": 1,
    "max_attempts": 3,
}
# Millicores or milliseconds that a run reports.
READINGS = (0, 700)
TICK_MS = 600


def choices(fields: dict[str, Any]) -> Iterator[dict[str, Any]]:
    """Yields the fields with every choice of them set to 0."""
    for kept in itertools.product((True, False), repeat=len(fields)):
        yield {
            name: value if is_kept else type(value)(0)
            for (name, value), is_kept in zip(fields.items(), kept, strict=True)
        }


class _Play:
    """Plays two jobs of one step beside a lasting and a filling task."""

    def __init__(
        self, step: dict[str, Any], queue: dict[str, Any], job: dict[str, Any]
    ) -> None:
        self.cell = harness.Cell(workers=3, cpu_millicores=3_000)
        for worker in self.cell.workers:
            capacity = attrs.evolve(worker.entry.capacity, gpus=4)
            worker.update(attrs.evolve(worker.entry, capacity=capacity))
        self.queue = attrs.evolve(harness.QUEUE, **queue)
        beside = (
            {"is_lasting": True, "image": "serve", "tail_target_ms": 18},
            {"fills_idle": True, "image": "press"},
        )
        self._submit("c", harness.step(**beside[0]), {})
        self._submit("d", harness.step(**beside[1]), {})
        for job_id in ("a", "b"):
            self._submit(job_id, specs.StepSpec(2, **step), job)

    def _submit(
        self, letter: str, step: specs.StepSpec, job: dict[str, Any]
    ) -> None:
        spec = specs.JobSpec(letter * 16, self.queue, "text", (step,), **job)
        self.spec = spec
        self.cell.submit(spec)

    def tick(self, reading: int) -> None:
        """Makes all decisions of an owner once."""
        cell = self.cell
        cell.clock.advance(TICK_MS)
        now_ms = cell.clock.now_ms
        cell.jobs.create_due_occurrences()
        cell.expire()
        cell.reconciler.move_runs(now_ms)
        cell.planner.place_speculative_runs(cell.jobs, now_ms)
        cell.place()
        remaining = [s for s in cell.jobs.ready_steps() if s.pending_tasks]
        preemption.choose_victims(remaining, cell.workers, cell.ranker, now_ms)
        cell.planner.clear_worker(remaining, now_ms)
        explanation.explain(
            self.spec,
            cell.planner,
            cell.ranker,
            cell.durations,
            cell.workers,
            cell.jobs.ready_steps(),
            now_ms,
        )
        cell_report.log_load(
            1, cell.workers, cell.jobs, cell.model.summary(), 0, now_ms
        )
        for worker in list(cell.workers):
            running = tuple(
                harness.running_task(run, 50.0, reading)
                for run in worker.runs.values()
            )
            cell.answer_hold(worker.worker_id, running)

    def end(self, how: cell_workers.RunEnd, first_number: int) -> None:
        """Ends all runs."""
        for worker in list(self.cell.workers):
            ended = tuple(
                harness.ended_run(run, how, first_number + index)
                for index, run in enumerate(worker.runs.values())
            )
            self.cell.answer_hold(worker.worker_id, ended=ended)

    def play(self) -> None:
        """Plays the jobs until all tasks that end have ended."""
        for reading in READINGS:
            self.tick(reading)
            self.tick(reading)
        self.end(cell_workers.RunEnd.STOPPED, 1)
        self.tick(READINGS[1])
        self.end(cell_workers.RunEnd.DONE, 1_001)
        self.tick(READINGS[1])


class OmittedFieldsTest(testtools.TestCase):
    """Steps of each kind, with fields left out."""

    def setUp(self) -> None:
        super().setUp()
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)

    def play_all(
        self,
        kind: dict[str, Any],
        adapt: Callable[[dict[str, Any]], dict[str, Any]] = lambda step: step,
    ) -> None:
        """Plays a kind of step with every choice of fields left out."""
        for fields in choices(STEP_FIELDS):
            step = adapt({**fields, **kind})
            try:
                _Play(step, {}, {}).play()
            except Exception as error:
                error.add_note(f"step: {step}")
                raise

    def test_plain_steps(self) -> None:
        self.play_all({})

    # Guards against an owner that ends with a ZeroDivisionError, and all owners
    # after it: a filling task requested no processors and used some.
    def test_filling_steps(self) -> None:
        self.play_all({"fills_idle": True, "image": "fill"})

    def test_lasting_steps(self) -> None:
        self.play_all({"is_lasting": True, "image": "last"})

    def test_gangs(self) -> None:
        self.play_all({"is_gang": True, "needs_one_rack": True})

    def test_speculative_steps(self) -> None:
        self.play_all({"is_speculative": True, "has_checkpoints": True})

    def test_steps_near_their_data(self) -> None:
        self.play_all({"data_rack": "r1-1", "has_checkpoints": True})

    def test_queues(self) -> None:
        for queue in choices(QUEUE_FIELDS):
            for step in ({}, {"cpu_millicores": 1_000, "estimated_ms": 500}):
                _Play(step, queue, {}).play()

    # Guards against repetitions that are all due at once.
    def test_repetitions_without_an_interval(self) -> None:
        _Play({"cpu_millicores": 100}, {}, {"repetitions": 3}).play()

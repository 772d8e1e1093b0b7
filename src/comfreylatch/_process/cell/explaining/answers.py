"""Answers to the question where a job would go now."""

from __future__ import annotations

import attrs


@attrs.frozen
class Candidate:
    """A worker that could take a task now.

    Attributes:
        worker: Its id.
        zone: Its availability zone.
        rack: Its rack.
        cost: Its cost to the planner; the lowest is chosen.
        free_millicores: Processors that no run has reserved.
    """

    worker: str
    zone: str
    rack: str
    cost: float
    free_millicores: int


@attrs.frozen
class StepExplanation:
    """Where the tasks of a step would go now.

    Attributes:
        step: Number of the step.
        tasks: Number of its tasks.
        decision: What the first task would do.
        worker: Worker that it would start on; empty if it would wait.
        candidates: The cheapest workers, cheapest first.
        candidate_count: Number of workers that could take a task now.
        ruled_out: Number of workers by why they can't.
        wanted_rack: Rack on which the tasks run faster; empty for any.
        steps_ahead: Number of waiting steps that would be placed before it.
        timeliness: When its job could still end, relative to its objective.
        expected_wait_ms: Time until a running task is expected to make room;
            None if it could start now, or if no end is expected.
        expected_duration_ms: Expected duration of a task near its data.
    """

    step: int
    tasks: int
    decision: str
    worker: str
    candidates: tuple[Candidate, ...]
    candidate_count: int
    ruled_out: dict[str, int]
    wanted_rack: str
    steps_ahead: int
    timeliness: str
    expected_wait_ms: int | None
    expected_duration_ms: int


@attrs.frozen
class PlacementExplanation:
    """Where a job would go now.

    Attributes:
        steps: Its steps that depend on no other.
        later_steps: Numbers of the steps that become ready only later, so that
            their places can't be known.
        oldest_report_ms: Age of the oldest report of an answering worker that
            this was decided from.
    """

    steps: tuple[StepExplanation, ...]
    later_steps: tuple[int, ...]
    oldest_report_ms: int

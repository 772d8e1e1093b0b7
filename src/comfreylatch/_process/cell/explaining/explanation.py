"""Where the first steps of a job would go now, and why.

Uses the planner's own costs on the owner's live state and changes none of it.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable

import attrs
import logbook

from comfreylatch._process import logs
from comfreylatch._process.cell import duration_model as duration_model_module
from comfreylatch._process.cell import events
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import specs
from comfreylatch._process.cell import worker_view
from comfreylatch._process.cell.explaining import answers
from comfreylatch._process.cell.explaining import ruled_out
from comfreylatch._process.cell.locality import near_slots
from comfreylatch._process.cell.planning import planner as planner_module
from comfreylatch._process.cell.planning import ranking as ranking_module

MAX_CANDIDATES = 5

_logger = logbook.Logger(__name__)


def answer(
    question: events.PlacementAsked,
    planner: planner_module.Planner,
    ranker: ranking_module.Ranker,
    durations: duration_model_module.DurationModel,
    workers: Iterable[worker_view.WorkerView],
    waiting: Iterable[runs_module.StepInstance],
    now_ms: int,
) -> None:
    """Answers a question; a fault in that must not end the owner.

    See `explain` for the arguments.
    """
    explained = None
    try:
        explained = explain(
            question.spec, planner, ranker, durations, workers, waiting, now_ms
        )
    except Exception:
        logs.exception(_logger, "placement-not-explained")
    question.answer(explained)


def explain(
    spec: specs.JobSpec,
    planner: planner_module.Planner,
    ranker: ranking_module.Ranker,
    durations: duration_model_module.DurationModel,
    workers: Iterable[worker_view.WorkerView],
    waiting: Iterable[runs_module.StepInstance],
    now_ms: int,
) -> answers.PlacementExplanation:
    """Explains where a job would go if it were accepted now.

    Args:
        spec: The job, which is not stored.
        planner: The owner's planner.
        ranker: The owner's ranker.
        durations: Expected durations of tasks.
        workers: All workers.
        waiting: Steps that are waiting for workers.
        now_ms: Monotonic time.
    """
    views = list(workers)
    job = runs_module.ActiveJob(spec, now_ms)
    steps = job.create_occurrence(0)
    for step in steps:
        step.ready_ms = now_ms
    waiting_ranks = [ranker.rank(other, now_ms) for other in waiting]
    explained = [
        _explain_step(step, planner, ranker, durations, views, now_ms)
        for step in steps
        if not step.spec.depends_on
    ]
    return answers.PlacementExplanation(
        tuple(
            attrs.evolve(
                explanation,
                steps_ahead=sum(
                    rank <= ranker.rank(steps[explanation.step], now_ms)
                    for rank in waiting_ranks
                ),
            )
            for explanation in explained
        ),
        tuple(step.number for step in steps if step.spec.depends_on),
        max(
            (now_ms - v.answered_ms for v in views if v.is_answering), default=0
        ),
    )


def _explain_step(
    step: runs_module.StepInstance,
    planner: planner_module.Planner,
    ranker: ranking_module.Ranker,
    durations: duration_model_module.DurationModel,
    views: list[worker_view.WorkerView],
    now_ms: int,
) -> answers.StepExplanation:
    view = planner.view_step(step, now_ms)
    possible = {candidate.worker.worker_id for candidate in view.candidates}
    reasons = collections.Counter(
        ruled_out.RuledOut.CLEARED
        if worker.worker_id in view.cleared
        else ruled_out.reason(worker, step, now_ms)
        for worker in views
        if worker.worker_id not in possible
    )
    worker = ""
    wait_ms = None
    if view.waits_for_rack:
        decision = "waits for its rack"
    elif view.candidates:
        worker = view.candidates[0].worker.worker_id
        decision = "starts now"
    else:
        decision = "waits for room"
    if not worker:
        wait_ms = _expected_wait_ms(step, views, durations, view.rack, now_ms)
    queue = step.job.spec.queue.name
    return answers.StepExplanation(
        step=step.number,
        tasks=step.spec.task_count,
        decision=decision,
        worker=worker,
        candidates=tuple(
            answers.Candidate(
                candidate.worker.worker_id,
                candidate.worker.entry.zone,
                candidate.worker.rack,
                round(candidate.cost, 3),
                candidate.worker.free_cpu,
            )
            for candidate in view.candidates[:MAX_CANDIDATES]
        ),
        candidate_count=len(view.candidates),
        ruled_out=dict(sorted(reasons.items())),
        wanted_rack=view.rack,
        steps_ahead=0,
        timeliness=ranker.rank(step, now_ms).timeliness.name.lower(),
        expected_wait_ms=wait_ms,
        expected_duration_ms=int(durations.estimate_ms(queue, step.spec)),
    )


def _expected_wait_ms(
    step: runs_module.StepInstance,
    views: list[worker_view.WorkerView],
    durations: duration_model_module.DurationModel,
    rack: str,
    now_ms: int,
) -> int | None:
    """Returns when running tasks make room; None if none is expected to."""
    accepting = [
        view
        for view in views
        if view.accepts_work(now_ms) and (not rack or view.rack == rack)
    ]
    starts_ms = near_slots.expected_starts_ms(
        accepting, step.spec.need, durations, now_ms
    )
    return round(starts_ms[0]) if starts_ms else None

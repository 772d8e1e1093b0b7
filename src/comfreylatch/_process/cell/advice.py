"""Which workers to ask advice about for a step, and what came of it.

A step of a queue with a policy may start only where a ticket allows it. What
the policy says of a worker and a step does not change, while a ticket expires;
so workers that were refused are not named again, and allowed ones are named
alone when their tickets have to be renewed.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

import attrs
import logbook
import result

from comfreylatch._ports import advice as advice_port
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.cell import events
from comfreylatch._process.cell import placement
from comfreylatch._process.cell import reasons
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import worker_view

# Workers named in a call at most; the platform takes 100, and objectives
# allow for one call on 30.
MOST_NAMED = 30
LEAST_NAMED = 4
# Room that is asked for, as a multiple of what the step's tasks need: other
# steps take some of it before the answer is there.
ROOM_FACTOR = 2.0
# Share of the workers that a policy allows, until answers have shown it.
UNKNOWN_ALLOWED_SHARE = 0.5
# Answers that the guess above counts for.
GUESS_WEIGHT = 4.0
# A ticket is not used in its last moments, as a start takes a while.
TICKET_MARGIN_MS = 250
RETRY_PAUSE_MS = 200
# For a service that doesn't say how long its tickets are good.
USUAL_VALID_MS = 3_000

_logger = logbook.Logger(__name__)


@attrs.frozen
class AdviceRequest:
    """A call to be made.

    Attributes:
        step: The step that it is about.
        workers: Birth times of the workers named, by id.
    """

    step: runs_module.StepInstance
    workers: dict[str, int]


@attrs.define(eq=False)
class _StepAdvice:
    """What is known of the policy for a step.

    Attributes:
        allowed: Whether a worker is allowed, by id.
        is_asked: A call is on its way.
        not_before_ms: Monotonic time of the next call at the earliest.
    """

    allowed: dict[str, bool] = attrs.field(factory=dict)
    is_asked: bool = False
    not_before_ms: int = 0


@final
class AdvicePlanner:
    """Decides what to ask. Only the owner's thread uses it."""

    def __init__(self, metrics: metrics_module.Metrics) -> None:
        self._metrics = metrics
        self._steps: dict[runs_module.StepInstance, _StepAdvice] = {}
        self._shares: dict[str, float] = {}

    def plan_requests(
        self,
        steps: Iterable[runs_module.StepInstance],
        workers: Iterable[worker_view.WorkerView],
        now_ms: int,
    ) -> list[AdviceRequest]:
        """Drops tickets that are over; returns the calls that are needed."""
        advised = [step for step in steps if step.job.spec.queue.advice]
        if not advised:
            return []
        self._forget_ended()
        views = {worker.worker_id: worker for worker in workers}
        taking = [one for one in views.values() if one.accepts_work(now_ms)]
        requests = []
        for step in advised:
            _drop_expired(step, views, now_ms)
            known = self._steps.setdefault(step, _StepAdvice())
            if known.is_asked or now_ms < known.not_before_ms:
                continue
            chosen = self._choose(step, known, taking)
            if chosen:
                known.is_asked = True
                requests.append(
                    AdviceRequest(
                        step,
                        {one.worker_id: one.entry.born_ms for one in chosen},
                    )
                )
        return requests

    def _forget_ended(self) -> None:
        ended = [
            step
            for step in self._steps
            if not step.unfinished_count or step.job.state.is_final
        ]
        for step in ended:
            del self._steps[step]

    def _choose(
        self,
        step: runs_module.StepInstance,
        known: _StepAdvice,
        taking: list[worker_view.WorkerView],
    ) -> list[worker_view.WorkerView]:
        """Workers to be named; none where tickets leave room enough."""
        tickets = step.tickets or {}
        needed = float(len(step.pending_tasks))
        candidates = []
        for worker in taking:
            if not placement.suits(worker, step):
                continue
            fitting = _fitting(worker, step)
            if worker.worker_id in tickets:
                needed -= fitting
            elif known.allowed.get(worker.worker_id, True):
                candidates.append((worker, fitting))
        if needed <= 0:
            return []
        candidates.sort(
            key=lambda pair: (
                not known.allowed.get(pair[0].worker_id, False),
                -pair[1],
                pair[0].slowness,
            )
        )
        queue = step.job.spec.queue.name
        share = self._shares.get(queue, UNKNOWN_ALLOWED_SHARE)
        wanted = ROOM_FACTOR * needed
        chosen: list[worker_view.WorkerView] = []
        for worker, fitting in candidates[:MOST_NAMED]:
            if wanted <= 0 and len(chosen) >= LEAST_NAMED:
                break
            is_sure = known.allowed.get(worker.worker_id, False)
            wanted -= fitting * (1.0 if is_sure else share)
            chosen.append(worker)
        return chosen

    def handle_advice_returned(
        self, event: events.AdviceReturned, now_ms: int
    ) -> None:
        """Takes in what came of a call."""
        step = event.step
        known = self._steps.get(step)
        if known is None:
            return
        known.is_asked = False
        match event.outcome:
            case result.Err(advice_port.AdviceUnavailable(detail)):
                known.not_before_ms = now_ms + RETRY_PAUSE_MS
                self.report_missing(
                    step, reasons.MissingAdvice.NO_ANSWER, detail
                )
            case result.Ok(advice):
                self._take_advice(event, known, advice)

    def report_missing(
        self,
        step: runs_module.StepInstance,
        reason: reasons.MissingAdvice,
        detail: str,
    ) -> None:
        """Logs and counts that a step has to wait for advice."""
        logs.warning(
            _logger,
            "advice-missing",
            step=step.name,
            reason=reason,
            detail=detail,
        )
        self._metrics.count(metrics_module.Counter.ADVICE_MISSING, reason)

    def _take_advice(
        self,
        event: events.AdviceReturned,
        known: _StepAdvice,
        advice: advice_port.Advice,
    ) -> None:
        step = event.step
        valid_ms = advice.valid_ms or USUAL_VALID_MS
        expires_ms = event.received_ms + valid_ms - TICKET_MARGIN_MS
        tickets = {} if step.tickets is None else step.tickets
        step.tickets = tickets
        queue = step.job.spec.queue.name
        share = self._shares.get(queue, UNKNOWN_ALLOWED_SHARE)
        for worker_id, born_ms in event.workers.items():
            text = advice.tickets.get(worker_id)
            is_allowed = text is not None
            if worker_id not in known.allowed:
                share += (is_allowed - share) / (GUESS_WEIGHT + 1)
            known.allowed[worker_id] = is_allowed
            if text is not None:
                tickets[worker_id] = runs_module.Ticket(
                    text, born_ms, expires_ms
                )
        self._shares[queue] = share
        took_ms = event.received_ms - event.sent_ms
        self._metrics.count(metrics_module.Counter.ADVICE_ANSWERS)
        self._metrics.observe(metrics_module.Latency.ADVICE, took_ms * 1_000)
        logs.event(
            _logger,
            "advised",
            step=step.name,
            named=len(event.workers),
            allowed=len(advice.tickets),
            took_ms=took_ms,
            valid_ms=valid_ms,
        )


def _fitting(
    worker: worker_view.WorkerView, step: runs_module.StepInstance
) -> int:
    """How many tasks of a step would fit on a worker now."""
    need = step.spec.need
    count = len(step.pending_tasks)
    if need.cpu_millicores:
        count = min(count, worker.free_cpu // need.cpu_millicores)
    if need.memory_mb:
        count = min(count, worker.free_memory // need.memory_mb)
    if need.gpus:
        count = min(count, worker.free_gpus // need.gpus)
    if step.spec.max_per_worker:
        count = min(count, step.spec.max_per_worker)
    return max(count, 0)


def _drop_expired(
    step: runs_module.StepInstance,
    views: dict[str, worker_view.WorkerView],
    now_ms: int,
) -> None:
    """Drops tickets whose time or whose worker's life is over."""
    if step.tickets is None:
        step.tickets = {}
    for worker_id, ticket in list(step.tickets.items()):
        view = views.get(worker_id)
        is_same_life = view is not None and view.entry.born_ms == ticket.born_ms
        if now_ms >= ticket.expires_ms or not is_same_life:
            del step.tickets[worker_id]

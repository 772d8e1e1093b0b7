"""Plans the calls to the advice service and applies its answers.

A step of a queue with an advice policy may start only on workers for which the
service has returned a ticket. The policy's decision on a worker and a step does
not change, but tickets expire. So refused workers are not named again, and
renewals name only the workers that were allowed.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import final

import attrs
import logbook
import result

from comfreylatch._ports import advice as advice_port
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.cell import events
from comfreylatch._process.cell import reasons
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import worker_view
from comfreylatch._process.cell.planning import placement

# Workers named in one call. The platform accepts 100, but the time objectives
# of jobs allow for one call that names 30.
MAX_WORKERS_PER_CALL = 30
MIN_WORKERS_PER_CALL = 4
# Number of tasks that the workers named should have capacity for, as a multiple
# of those to place: other steps use some capacity before the answer arrives.
CAPACITY_FACTOR = 2.0
# Assumed share of workers that a policy allows, until answers show it.
PRIOR_ALLOWED_SHARE = 0.5
# Number of decisions on workers that the prior share counts for.
PRIOR_WEIGHT = 4.0
# A ticket is not used this close to its expiry, as a start takes a while.
TICKET_MARGIN_MS = 250
RETRY_PAUSE_MS = 200
# Validity of tickets if the service does not state it.
DEFAULT_VALIDITY_MS = 3_000

_logger = logbook.Logger(__name__)

# Number of a step's pending tasks that a worker could take at a monotonic time
# if it had a ticket.
CountStartable = Callable[
    [runs_module.StepInstance, worker_view.WorkerView, int], int
]


@attrs.frozen
class AdviceRequest:
    """A call to the advice service.

    Attributes:
        step: The step to start.
        workers: Start times of the workers named, by id; they identify the
            incarnations.
    """

    step: runs_module.StepInstance
    workers: dict[str, int]


@attrs.define(eq=False)
class _StepAdvice:
    """Advice received for a step, and the state of its calls.

    Attributes:
        allowed: Whether a worker is allowed, by id, as last answered.
        is_call_pending: Whether a call is in progress.
        not_before_ms: Earliest monotonic time of the next call.
    """

    allowed: dict[str, bool] = attrs.field(factory=dict)
    is_call_pending: bool = False
    not_before_ms: int = 0


@final
class AdvicePlanner:
    """Decides which calls to make. Used by the owner's thread only.

    Args:
        metrics: Counts the calls.
        count_startable: Counts what placement could start on a worker. Both
            have to agree: a ticket for a worker that placement can't use would
            keep the step from getting others.
    """

    def __init__(
        self,
        metrics: metrics_module.Metrics,
        count_startable: CountStartable,
    ) -> None:
        self._metrics = metrics
        self._count_startable = count_startable
        self._steps: dict[runs_module.StepInstance, _StepAdvice] = {}
        self._allowed_shares: dict[str, float] = {}

    def plan_requests(
        self,
        steps: Iterable[runs_module.StepInstance],
        workers: Iterable[worker_view.WorkerView],
        now_ms: int,
    ) -> list[AdviceRequest]:
        """Drops expired tickets and returns the calls that are needed."""
        steps_with_policy = [
            step for step in steps if step.job.spec.queue.advice
        ]
        if not steps_with_policy:
            return []
        self._discard_ended()
        views = {worker.worker_id: worker for worker in workers}
        available = [
            view for view in views.values() if view.accepts_work(now_ms)
        ]
        requests = []
        for step in steps_with_policy:
            _drop_expired(step, views, now_ms)
            state = self._steps.setdefault(step, _StepAdvice())
            if state.is_call_pending or now_ms < state.not_before_ms:
                continue
            chosen = self._choose_workers(step, state, available, now_ms)
            if chosen:
                state.is_call_pending = True
                requests.append(
                    AdviceRequest(
                        step,
                        {view.worker_id: view.entry.born_ms for view in chosen},
                    )
                )
        return requests

    def _discard_ended(self) -> None:
        ended = [
            step
            for step in self._steps
            if not step.unfinished_count or step.job.state.is_final
        ]
        for step in ended:
            del self._steps[step]

    def _choose_workers(
        self,
        step: runs_module.StepInstance,
        state: _StepAdvice,
        available: list[worker_view.WorkerView],
        now_ms: int,
    ) -> list[worker_view.WorkerView]:
        """Chooses workers to name; none if workers with tickets suffice.

        Workers that can take a task now come first. The others follow, as
        they may have capacity by the time a task is still waiting.
        """
        tickets = step.tickets or {}
        needed = float(len(step.pending_tasks))
        candidates = []
        for worker in available:
            if not placement.is_eligible(worker, step):
                continue
            fitting = self._count_startable(step, worker, now_ms)
            if worker.worker_id in tickets:
                needed -= fitting
            elif state.allowed.get(worker.worker_id, True):
                candidates.append((worker, fitting))
        if needed <= 0:
            return []
        candidates.sort(
            key=lambda pair: (
                pair[1] == 0,
                not state.allowed.get(pair[0].worker_id, False),
                -pair[1],
                pair[0].slowness,
            )
        )
        queue = step.job.spec.queue.name
        allowed_share = self._allowed_shares.get(queue, PRIOR_ALLOWED_SHARE)
        wanted_tasks = CAPACITY_FACTOR * needed
        chosen: list[worker_view.WorkerView] = []
        for worker, fitting in candidates[:MAX_WORKERS_PER_CALL]:
            if wanted_tasks <= 0 and len(chosen) >= MIN_WORKERS_PER_CALL:
                break
            is_known_allowed = state.allowed.get(worker.worker_id, False)
            wanted_tasks -= fitting * (
                1.0 if is_known_allowed else allowed_share
            )
            chosen.append(worker)
        return chosen

    def handle_advice_returned(
        self, event: events.AdviceReturned, now_ms: int
    ) -> None:
        """Applies the outcome of a call."""
        step = event.step
        state = self._steps.get(step)
        if state is None:
            return
        state.is_call_pending = False
        match event.outcome:
            case result.Err(advice_port.AdviceUnavailable(detail)):
                state.not_before_ms = now_ms + RETRY_PAUSE_MS
                self.report_missing(
                    step, reasons.MissingAdvice.NO_ANSWER, detail
                )
            case result.Ok(advice):
                self._apply_advice(event, state, advice)

    def report_missing(
        self,
        step: runs_module.StepInstance,
        reason: reasons.MissingAdvice,
        detail: str,
    ) -> None:
        """Logs and counts that a step got no advice and has to wait."""
        logs.warning(
            _logger,
            "advice-missing",
            step=step.name,
            reason=reason,
            detail=detail,
        )
        self._metrics.count(metrics_module.Counter.ADVICE_MISSING, reason)

    def _apply_advice(
        self,
        event: events.AdviceReturned,
        state: _StepAdvice,
        advice: advice_port.Advice,
    ) -> None:
        step = event.step
        valid_ms = advice.valid_ms or DEFAULT_VALIDITY_MS
        expires_ms = event.received_ms + valid_ms - TICKET_MARGIN_MS
        tickets = {} if step.tickets is None else step.tickets
        step.tickets = tickets
        queue = step.job.spec.queue.name
        allowed_share = self._allowed_shares.get(queue, PRIOR_ALLOWED_SHARE)
        for worker_id, born_ms in event.workers.items():
            text = advice.tickets.get(worker_id)
            is_allowed = text is not None
            if worker_id not in state.allowed:
                allowed_share += (is_allowed - allowed_share) / (
                    PRIOR_WEIGHT + 1
                )
            state.allowed[worker_id] = is_allowed
            if text is not None:
                tickets[worker_id] = runs_module.Ticket(
                    text, born_ms, expires_ms
                )
        self._allowed_shares[queue] = allowed_share
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


def _drop_expired(
    step: runs_module.StepInstance,
    views: dict[str, worker_view.WorkerView],
    now_ms: int,
) -> None:
    """Drops tickets that expired or belong to a former incarnation."""
    if step.tickets is None:
        step.tickets = {}
    for worker_id, ticket in list(step.tickets.items()):
        view = views.get(worker_id)
        is_same_incarnation = (
            view is not None and view.entry.born_ms == ticket.born_ms
        )
        if now_ms >= ticket.expires_ms or not is_same_incarnation:
            del step.tickets[worker_id]

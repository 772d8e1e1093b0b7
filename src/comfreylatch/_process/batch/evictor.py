"""Carries out evictions for urgent jobs, quotas and interference."""

from __future__ import annotations

from collections.abc import Callable
from typing import final

import logbook

from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.batch import attempt as attempt_module
from comfreylatch._process.batch import eviction_planner
from comfreylatch._process.batch import interference_control
from comfreylatch._process.batch import job_queue
from comfreylatch._process.batch import job_scheduler
from comfreylatch._process.batch import scheduling_state
from comfreylatch._version import job_state

MAX_PLANS_PER_ROUND = 8
RECLAIM_DELAY_MS = 30_000
MAX_TRACKED_WAITING_JOBS = 1_024

_logger = logbook.Logger(__name__)

_MayEvict = Callable[[attempt_module.Attempt], bool]


@final
class Evictor:
    """Evicts and throttles attempts; its budget is kept across terms.

    Not thread-safe.
    """

    def __init__(self, metrics: metrics_module.Metrics) -> None:
        self._metrics = metrics
        self._budget = eviction_planner.EvictionBudget()
        self._waiting_since_ms: dict[str, int] = {}

    def evict_for_waiting_jobs(
        self,
        scheduling: scheduling_state.SchedulingState,
        decisions: job_scheduler.RoundDecisions,
        per_hour: int,
        now_ms: int,
    ) -> None:
        """Starts evictions for jobs that a round could not place."""
        for state in decisions.waiting_urgent[:MAX_PLANS_PER_ROUND]:
            self._start_eviction(scheduling, state, _is_evictable, now_ms)
        due = self._due_for_reclaim(decisions.waiting_within_quota, now_ms)
        for state in due[:MAX_PLANS_PER_ROUND]:
            self._reclaim(scheduling, state, per_hour, now_ms)

    def apply(
        self,
        scheduling: scheduling_state.SchedulingState,
        worker: str,
        action: interference_control.Action,
        per_hour: int,
        now_ms: int,
    ) -> None:
        """Carries out an action against interference."""
        match action:
            case interference_control.Throttle(shares, relaxes):
                self._count("relaxed" if relaxes else "throttled")
                for share in shares:
                    scheduling.attempts.throttle(share.job, share.share_milli)
            case interference_control.Move(jobs):
                self._evict(scheduling, worker, jobs, True, per_hour, now_ms)
            case interference_control.Stop(jobs):
                self._evict(scheduling, worker, jobs, False, per_hour, now_ms)

    def _evict(
        self,
        scheduling: scheduling_state.SchedulingState,
        worker: str,
        jobs: tuple[str, ...],
        checkpoint_first: bool,
        per_hour: int,
        now_ms: int,
    ) -> None:
        if not self._budget.try_spend(len(jobs), per_hour, now_ms):
            self._count("eviction-budget-spent")
            return
        for job in jobs:
            attempt = scheduling.attempts.find_attempt(job)
            if attempt is not None:
                scheduling.cost_model.avoid(
                    worker, attempt.state.spec.job_class
                )
            scheduling.attempts.evict(job, now_ms, checkpoint_first)
            logs.event(_logger, "evict", job=job, worker=worker, cause="slow")

    def _start_eviction(
        self,
        scheduling: scheduling_state.SchedulingState,
        state: job_state.JobState,
        may_evict: _MayEvict,
        now_ms: int,
    ) -> eviction_planner.EvictionPlan | None:
        job = state.spec.id
        size = state.spec.resources
        plan = scheduling.planner.plan(job, size, may_evict, now_ms)
        if plan is None:
            return None
        for victim in plan.victims:
            scheduling.attempts.evict(victim, now_ms)
        logs.event(
            _logger,
            "evict",
            jobs=",".join(plan.victims),
            worker=plan.worker,
            for_job=job,
            lost_ms=plan.unsaved_work_ms,
        )
        return plan

    def _reclaim(
        self,
        scheduling: scheduling_state.SchedulingState,
        state: job_state.JobState,
        per_hour: int,
        now_ms: int,
    ) -> None:
        """Reclaims capacity for a job, only from teams above their quotas."""
        if not self._budget.allows(1, per_hour, now_ms):
            self._count("eviction-budget-spent")
            return

        def is_borrowing(attempt: attempt_module.Attempt) -> bool:
            share_milli = scheduling.queue.quota_share_milli(
                attempt.state.spec.team
            )
            above_quota = share_milli > job_queue.FULL_SHARE_MILLI
            return above_quota and _is_evictable(attempt)

        plan = self._start_eviction(scheduling, state, is_borrowing, now_ms)
        if plan is not None:
            # A plan may exceed the budget; the next plan then waits.
            self._budget.spend(len(plan.victims), now_ms)
            self._count("quota-reclaimed")

    def _due_for_reclaim(
        self, waiting: tuple[job_state.JobState, ...], now_ms: int
    ) -> list[job_state.JobState]:
        """Jobs that have waited `RECLAIM_DELAY_MS` within their quota."""
        waiting_jobs = {state.spec.id for state in waiting}
        self._waiting_since_ms = {
            job: since_ms
            for job, since_ms in self._waiting_since_ms.items()
            if job in waiting_jobs
        }
        for job in waiting_jobs:
            if len(self._waiting_since_ms) < MAX_TRACKED_WAITING_JOBS:
                self._waiting_since_ms.setdefault(job, now_ms)
        return [
            state
            for state in waiting
            if now_ms - self._waiting_since_ms.get(state.spec.id, now_ms)
            >= RECLAIM_DELAY_MS
        ]

    def _count(self, label: str) -> None:
        self._metrics.count(metrics_module.Counter.JOB_EVENTS, label)


def _is_evictable(attempt: attempt_module.Attempt) -> bool:
    """Whether an attempt is neither urgent nor being stopped already."""
    return attempt.stop_reason is None and not attempt.state.spec.urgent

"""Plans evictions for urgent jobs and to reclaim borrowed quota."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
import itertools
from typing import final

import attrs

from comfreylatch._ports import workers
from comfreylatch._process.batch import attempt as attempt_module
from comfreylatch._process.batch import capacity

HOUR_MS = 3_600_000
MAX_WORKERS_EXAMINED = 48
PLAN_TIMEOUT_MS = 10_000


@attrs.frozen
class EvictionPlan:
    """Attempts to stop so that a job fits on a worker.

    Attributes:
        job: Job that is to start.
        worker: Worker on which it is to start.
        size: Resources reserved for it.
        victims: Jobs whose attempts are stopped.
        unsaved_work_ms: Work of the victims that no checkpoint covers.
        created_ms: Monotonic time at which the plan was made.
    """

    job: str
    worker: str
    size: workers.Resources
    victims: tuple[str, ...]
    unsaved_work_ms: int
    created_ms: int


@final
class EvictionBudget:
    """Limits evictions per hour; those for urgent jobs aren't counted."""

    def __init__(self) -> None:
        self._times_ms: collections.deque[int] = collections.deque()

    def try_spend(self, count: int, per_hour: int, now_ms: int) -> bool:
        """Spends evictions if the budget allows all of them."""
        if not self.allows(count, per_hour, now_ms):
            return False
        self.spend(count, now_ms)
        return True

    def allows(self, count: int, per_hour: int, now_ms: int) -> bool:
        """Whether the budget has `count` evictions left in this hour."""
        while self._times_ms and self._times_ms[0] <= now_ms - HOUR_MS:
            self._times_ms.popleft()
        return len(self._times_ms) + count <= per_hour

    def spend(self, count: int, now_ms: int) -> None:
        """Counts evictions, even beyond the budget."""
        self._times_ms.extend([now_ms] * count)


def unsaved_work_ms(attempt: attempt_module.Attempt) -> int:
    """Work of an attempt that its last checkpoint doesn't cover."""
    return max(0, attempt.progress_ms - attempt.checkpoint_ms)


def select_victims(
    size: workers.Resources,
    free: workers.Resources,
    attempts: Iterable[attempt_module.Attempt],
) -> tuple[attempt_module.Attempt, ...] | None:
    """Selects attempts to stop so that a size fits, least unsaved work first.

    Attempts without which the size fits too are left out again.

    Returns:
        The victims; None if stopping all attempts frees too little.
    """
    chosen: list[attempt_module.Attempt] = []
    for attempt in sorted(attempts, key=unsaved_work_ms):
        if capacity.fits(size, free):
            break
        chosen.append(attempt)
        free = capacity.add(free, attempt.state.size)
    if not capacity.fits(size, free):
        return None
    for attempt in sorted(chosen, key=unsaved_work_ms, reverse=True):
        free_without = capacity.subtract(free, attempt.state.size)
        if capacity.fits(size, free_without):
            chosen.remove(attempt)
            free = free_without
    return tuple(chosen)


@final
class EvictionPlanner:
    """Makes eviction plans and tracks them. Not thread-safe."""

    def __init__(
        self,
        ledger: capacity.CapacityLedger,
        attempts_on: Callable[[str], tuple[attempt_module.Attempt, ...]],
    ) -> None:
        self._ledger = ledger
        self._attempts_on = attempts_on
        self._plans: dict[str, EvictionPlan] = {}
        self._first_to_examine = 0

    def plan_for(self, job: str) -> EvictionPlan | None:
        """Returns the plan under way for a job, or None."""
        return self._plans.get(job)

    def plan(
        self,
        job: str,
        size: workers.Resources,
        may_evict: Callable[[attempt_module.Attempt], bool],
        now_ms: int,
    ) -> EvictionPlan | None:
        """Plans evictions for a job and reserves its capacity.

        Examines a bounded number of workers and continues with the others in
        the next call.

        Returns:
            The plan that loses least work, or None if no worker qualifies.
        """
        best: EvictionPlan | None = None
        for account in self._workers_to_examine():
            if not capacity.fits(size, account.usable):
                continue
            victims = select_victims(
                size,
                account.free,
                filter(may_evict, self._attempts_on(account.name)),
            )
            if victims is None:
                continue
            unsaved_ms = sum(map(unsaved_work_ms, victims))
            victim_jobs = tuple(attempt.job for attempt in victims)
            plan = EvictionPlan(
                job, account.name, size, victim_jobs, unsaved_ms, now_ms
            )
            if best is None or _cost(plan) < _cost(best):
                best = plan
        if best is not None:
            self._plans[job] = best
            self._ledger.reserve(job, best.worker, size)
        return best

    def ready_plans(self, now_ms: int) -> list[EvictionPlan]:
        """Returns plans whose victims have ended; cancels overdue plans."""
        ready = []
        for plan in tuple(self._plans.values()):
            account = self._ledger.account(plan.worker)
            is_reserved = self._ledger.worker_of(plan.job) == plan.worker
            if account is None or not account.schedulable or not is_reserved:
                self.cancel(plan.job)
            elif capacity.fits(capacity.NO_RESOURCES, account.free):
                # The reservation of a plan makes the free capacity negative
                # until enough victims have ended.
                ready.append(plan)
            elif now_ms - plan.created_ms > PLAN_TIMEOUT_MS:
                self.cancel(plan.job)
        return ready

    def complete(self, job: str) -> None:
        """Removes the plan of an assigned job; its reservation stays."""
        self._plans.pop(job, None)

    def cancel(self, job: str) -> None:
        """Removes a plan and releases its reservation."""
        plan = self._plans.pop(job, None)
        if plan and self._ledger.worker_of(job) == plan.worker:
            self._ledger.release(job)

    def _workers_to_examine(self) -> list[capacity.WorkerAccount]:
        accounts = [
            account
            for account in self._ledger.accounts()
            if account.schedulable
        ]
        if len(accounts) <= MAX_WORKERS_EXAMINED:
            return accounts
        start = self._first_to_examine % len(accounts)
        self._first_to_examine = start + MAX_WORKERS_EXAMINED
        rotated = itertools.chain(accounts[start:], accounts[:start])
        return list(itertools.islice(rotated, MAX_WORKERS_EXAMINED))


def _cost(plan: EvictionPlan) -> tuple[int, int]:
    return plan.unsaved_work_ms, len(plan.victims)

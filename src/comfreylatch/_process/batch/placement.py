"""Choice of a worker for an attempt, and detection of jobs that never fit."""

from __future__ import annotations

import collections
from collections.abc import Iterable
import enum
from typing import final
from typing import Protocol

import attrs

from comfreylatch._ports import workers
from comfreylatch._process.batch import capacity
from comfreylatch._version import job_state

MAX_CANDIDATES = 12
MAX_CANDIDATES_WIDENED = 48
SAME_RACK_COST_MILLI = 20
UNUSED_CAPACITY_COST_MILLI = 100


class Policy(enum.StrEnum):
    """Rule by which a worker is chosen."""

    PREDICTED_COST = "predicted-cost"
    FIRST_FIT = "first-fit"


class CostModel(Protocol):
    """Predicts the slowdown between an attempt and its neighbours."""

    def place(self, job: str, worker: str, job_class: str, milli: int) -> None:
        """Adds an attempt that uses `milli` thousandths of a processor."""
        ...

    def remove(self, job: str) -> None:
        """Removes a job's attempt."""
        ...

    def cost_milli(self, job_class: str, worker: str) -> int:
        """Predicts the slowdown caused and suffered, in thousandths."""
        ...

    def exceeds_slowdown(
        self, job_class: str, declared_milli: int, worker: str
    ) -> bool:
        """Whether an attempt would slow a service more than is planned for."""
        ...


@attrs.frozen
class NeverFits:
    """No worker can hold the requested resources, even when idle.

    Attributes:
        dimensions: Those in which the request exceeds the nearest worker.
        nearest_usable: Resources that the nearest worker has for batch work.
    """

    dimensions: tuple[str, ...]
    nearest_usable: workers.Resources

    def describe(self, size: workers.Resources) -> str:
        """Describes which dimensions of the request are too large."""
        parts = []
        for name in self.dimensions:
            requested = getattr(size, name)
            available = getattr(self.nearest_usable, name)
            parts.append(f"{name} {requested} is above {available}")
        return "no worker can hold it: " + ", ".join(parts)


def never_fits(
    size: workers.Resources, usable: Iterable[workers.Resources]
) -> NeverFits | None:
    """Checks whether any worker could hold the requested resources.

    Args:
        size: Requested resources.
        usable: Resources that each kind of worker has for batch work.

    Returns:
        The worker that falls short in the fewest dimensions; None if one can
        hold the request or if no worker is known.
    """
    nearest: NeverFits | None = None
    for amount in set(usable):
        insufficient = capacity.insufficient_dimensions(size, amount)
        if not insufficient:
            return None
        closer = nearest is None or len(insufficient) < len(nearest.dimensions)
        if closer:
            nearest = NeverFits(insufficient, amount)
    return nearest


@final
class Placement:
    """Chooses workers and reserves their capacity. Not thread-safe."""

    def __init__(
        self,
        ledger: capacity.CapacityLedger,
        model: CostModel,
        policy: Policy = Policy.PREDICTED_COST,
    ) -> None:
        self._ledger = ledger
        self._model = model
        self._policy = policy
        self._team_on_rack: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._team_and_rack: dict[str, tuple[str, str]] = {}

    def choose(
        self, state: job_state.JobState, size: workers.Resources
    ) -> str | None:
        """Chooses a worker for a job's next attempt; None if none has room.

        Workers on which the job has failed are chosen last.
        """
        if self._policy is Policy.FIRST_FIT:
            candidates = self._ledger.candidates(size, MAX_CANDIDATES)
            return _untried(state, candidates)[0].name if candidates else None
        for limit in (MAX_CANDIDATES, MAX_CANDIDATES_WIDENED):
            candidates = self._ledger.candidates(size, limit)
            acceptable = [
                account
                for account in candidates
                if not self._exceeds_slowdown(state, account)
            ]
            if acceptable:
                return self._cheapest(state, size, acceptable)
            if len(candidates) < limit:
                break
        if candidates and state.spec.urgent:
            return self._cheapest(state, size, candidates)
        return None

    def _exceeds_slowdown(
        self, state: job_state.JobState, account: capacity.WorkerAccount
    ) -> bool:
        spec = state.spec
        milli = spec.resources.processors_milli
        return self._model.exceeds_slowdown(spec.job_class, milli, account.name)

    def _cheapest(
        self,
        state: job_state.JobState,
        size: workers.Resources,
        accounts: list[capacity.WorkerAccount],
    ) -> str:
        best = min(
            _untried(state, accounts),
            key=lambda account: self._cost(state, size, account),
        )
        return best.name

    def place(
        self,
        state: job_state.JobState,
        worker: str,
        size: workers.Resources,
    ) -> None:
        """Reserves capacity for a job's attempt on a worker."""
        self.remove(state.spec.id)
        self._ledger.reserve(state.spec.id, worker, size)
        self._model.place(
            state.spec.id,
            worker,
            state.spec.job_class,
            state.spec.resources.processors_milli,
        )
        account = self._ledger.account(worker)
        rack = account.rack if account else ""
        key = (state.spec.team, rack)
        self._team_and_rack[state.spec.id] = key
        self._team_on_rack[key] += 1

    def remove(self, job: str) -> str | None:
        """Releases a job's reservation; returns the worker it was on."""
        self._model.remove(job)
        key = self._team_and_rack.pop(job, None)
        if key is not None:
            self._team_on_rack[key] -= 1
            if not self._team_on_rack[key]:
                del self._team_on_rack[key]
        return self._ledger.release(job)

    def _cost(
        self,
        state: job_state.JobState,
        size: workers.Resources,
        account: capacity.WorkerAccount,
    ) -> tuple[int, str]:
        team_attempts_on_rack = self._team_on_rack[
            state.spec.team, account.rack
        ]
        free_after_milli = account.free.processors_milli - size.processors_milli
        total_milli = max(1, account.total.processors_milli)
        cost_milli = (
            self._model.cost_milli(state.spec.job_class, account.name)
            + SAME_RACK_COST_MILLI * team_attempts_on_rack
            + UNUSED_CAPACITY_COST_MILLI * free_after_milli // total_milli
        )
        return cost_milli, account.name


def _untried(
    state: job_state.JobState, accounts: list[capacity.WorkerAccount]
) -> list[capacity.WorkerAccount]:
    """Workers on which the job has not failed; all if it failed on each."""
    untried = [
        account
        for account in accounts
        if account.name not in state.failed_workers
    ]
    return untried or accounts

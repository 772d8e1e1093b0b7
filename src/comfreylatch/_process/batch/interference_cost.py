"""Cost model of placement, from the load of each worker by job class."""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Mapping
from typing import final

from comfreylatch._process.batch import interference
from comfreylatch._process.batch import learned_sizes

SERVICE_WEIGHT = 4.0
# Fraction of the allowed slowdown that placement plans to use.
PLANNED_SLOWDOWN_FRACTION = 0.8
NEGLIGIBLE_TOTAL_SLOWDOWN = 0.02
NEGLIGIBLE_ADDED_SLOWDOWN = 0.004
MIN_SHARE_MILLI = 100
AVOID_COST_MILLI = 5_000
AVOID_DURATION_MS = 60_000


@final
class InterferenceCostModel:
    """Predicts slowdowns; implements `placement.CostModel`.

    Not thread-safe.

    Attributes:
        now_ms: Monotonic time, set by the owner's loop.
        allowed_slowdown: Allowed extra slowdown of a service, as a fraction of
            its time when running alone.
    """

    def __init__(
        self,
        model: interference.InterferenceModel,
        sizes: learned_sizes.LearnedSizes,
    ) -> None:
        self._model = model
        self._sizes = sizes
        self._load_milli: dict[str, collections.Counter[str]] = {}
        self._placed: dict[str, tuple[str, str, int]] = {}
        self._processors_milli: dict[str, int] = {}
        self._services: dict[str, Collection[str]] = {}
        self._avoid_until_ms: dict[tuple[str, str], int] = {}
        self.now_ms = 0
        self.allowed_slowdown = 0.1

    def set_worker(self, worker: str, processors_milli: int) -> None:
        """Sets the processors of a worker."""
        self._processors_milli[worker] = max(1, processors_milli)

    def set_services(self, worker: str, services: Collection[str]) -> None:
        """Sets the services that run on a worker."""
        self._services[worker] = services

    def place(self, job: str, worker: str, job_class: str, milli: int) -> None:
        """Adds an attempt to the load of a worker."""
        self.remove(job)
        self._placed[job] = (worker, job_class, milli)
        load_milli = self._load_milli.setdefault(worker, collections.Counter())
        load_milli[job_class] += milli

    def remove(self, job: str) -> None:
        """Removes a job's attempt from the load of its worker."""
        placed = self._placed.pop(job, None)
        if placed is None:
            return
        worker, job_class, milli = placed
        load_milli = self._load_milli[worker]
        load_milli[job_class] -= milli
        if not load_milli[job_class]:
            del load_milli[job_class]
        if not load_milli:
            del self._load_milli[worker]

    def avoid(self, worker: str, job_class: str) -> None:
        """Raises the cost of a class on a worker for `AVOID_DURATION_MS`."""
        self._avoid_until_ms[worker, job_class] = (
            self.now_ms + AVOID_DURATION_MS
        )
        expired = [
            key
            for key, until_ms in self._avoid_until_ms.items()
            if until_ms <= self.now_ms
        ]
        for key in expired:
            del self._avoid_until_ms[key]

    def exceeds_slowdown(
        self, job_class: str, declared_milli: int, worker: str
    ) -> bool:
        """Whether an attempt would slow a service more than is planned for."""
        processors_milli = self._processors_milli.get(worker, 1)
        load = (
            self._sizes.used_milli(job_class, declared_milli) / processors_milli
        )
        planned_slowdown = PLANNED_SLOWDOWN_FRACTION * self.allowed_slowdown
        for service in self._services.get(worker, ()):
            estimates = self._model.estimates_for(service)
            prior = interference.PRIOR_COEFFICIENT
            current_slowdown = self._predicted_slowdown(estimates, worker)
            added_slowdown = estimates.get(job_class, prior).mean * load
            # Work with negligible effect may join a slow worker, and any work
            # a worker whose service is hardly slowed down.
            if (
                added_slowdown < NEGLIGIBLE_ADDED_SLOWDOWN
                or current_slowdown <= NEGLIGIBLE_TOTAL_SLOWDOWN
            ):
                continue
            if current_slowdown + added_slowdown > planned_slowdown:
                return True
        return False

    def share_milli(self, job: str) -> int:
        """Share of its processors, in thousandths, for a placed job's start.

        Below 1000 if services on its worker would exceed the allowed slowdown.
        """
        placed = self._placed.get(job)
        if placed is None:
            return interference.UNIT_MILLI
        worker, job_class, milli = placed
        processors_milli = self._processors_milli.get(worker, 1)
        share_milli = interference.UNIT_MILLI
        for service in self._services.get(worker, ()):
            estimates = self._model.estimates_for(service)
            prior = interference.PRIOR_COEFFICIENT
            total_slowdown = self._predicted_slowdown(estimates, worker)
            own_slowdown = (
                estimates.get(job_class, prior).mean * milli / processors_milli
            )
            slack = self.allowed_slowdown - (total_slowdown - own_slowdown)
            if own_slowdown > max(slack, 0.0):
                fitting_milli = int(
                    max(slack, 0.0) / own_slowdown * interference.UNIT_MILLI
                )
                share_milli = min(share_milli, fitting_milli)
        return max(share_milli, MIN_SHARE_MILLI)

    def _predicted_slowdown(
        self, estimates: Mapping[str, interference.Coefficient], worker: str
    ) -> float:
        """Predicts the extra slowdown of a service on a worker."""
        processors_milli = self._processors_milli.get(worker, 1)
        prior = interference.PRIOR_COEFFICIENT
        return sum(
            estimates.get(other, prior).mean * milli / processors_milli
            for other, milli in self._load_milli.get(worker, {}).items()
        )

    def cost_milli(self, job_class: str, worker: str) -> int:
        """See `placement.CostModel.cost_milli`."""
        processors_milli = self._processors_milli.get(worker, 1)
        cost = 0.0
        for service in self._services.get(worker, ()):
            coefficient = self._model.coefficient(service, job_class)
            cost += SERVICE_WEIGHT * coefficient.conservative
        estimates = self._model.estimates_for(job_class)
        prior = interference.PRIOR_COEFFICIENT
        for other, milli in self._load_milli.get(worker, {}).items():
            caused = self._model.coefficient(other, job_class)
            suffered = estimates.get(other, prior)
            cost += (
                (caused.conservative + suffered.conservative)
                * milli
                / processors_milli
            )
        cost_milli = int(cost * interference.UNIT_MILLI)
        until_ms = self._avoid_until_ms.get((worker, job_class), 0)
        return cost_milli + (AVOID_COST_MILLI if until_ms > self.now_ms else 0)

"""What runs on each worker by class, and what one more attempt would cost."""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Mapping
from typing import final

from comfreylatch._process.batch import interference
from comfreylatch._process.batch import learned_sizes

SERVICE_WEIGHT = 4.0
# Part of the allowed slowdown that placement plans to use.
PLANNED_PART = 0.8
NO_HARM = 0.02
TINY_HARM = 0.004
LEAST_SHARE_MILLI = 100
AVOID_COST_MILLI = 5_000
AVOID_MS = 60_000


@final
class InterferenceCostModel:
    """Implements `placement.CostModel`. Used by one thread.

    Attributes:
        now_ms: Monotonic time, set by the owner's loop.
        allowed_slowdown: How much slower a service may get, as a fraction.
    """

    def __init__(
        self,
        model: interference.InterferenceModel,
        sizes: learned_sizes.LearnedSizes,
    ) -> None:
        self._model = model
        self._sizes = sizes
        self._milli: dict[str, collections.Counter[str]] = {}
        self._placed: dict[str, tuple[str, str, int]] = {}
        self._whole: dict[str, int] = {}
        self._services: dict[str, Collection[str]] = {}
        self._avoid_until_ms: dict[tuple[str, str], int] = {}
        self.now_ms = 0
        self.allowed_slowdown = 0.1

    def set_worker(self, worker: str, processors_milli: int) -> None:
        """Declares what a worker has."""
        self._whole[worker] = max(1, processors_milli)

    def set_services(self, worker: str, services: Collection[str]) -> None:
        """Declares which services run on a worker."""
        self._services[worker] = services

    def place(self, job: str, worker: str, job_class: str, milli: int) -> None:
        """Counts an attempt."""
        self.remove(job)
        self._placed[job] = (worker, job_class, milli)
        mix = self._milli.setdefault(worker, collections.Counter())
        mix[job_class] += milli

    def remove(self, job: str) -> None:
        """Stops counting an attempt."""
        placed = self._placed.pop(job, None)
        if placed is None:
            return
        worker, job_class, milli = placed
        mix = self._milli[worker]
        mix[job_class] -= milli
        if not mix[job_class]:
            del mix[job_class]
        if not mix:
            del self._milli[worker]

    def avoid(self, worker: str, job_class: str) -> None:
        """Keeps a class that was moved off a worker away for a while."""
        self._avoid_until_ms[worker, job_class] = self.now_ms + AVOID_MS
        passed = [
            key
            for key, until_ms in self._avoid_until_ms.items()
            if until_ms <= self.now_ms
        ]
        for key in passed:
            del self._avoid_until_ms[key]

    def harms(self, job_class: str, declared_milli: int, worker: str) -> bool:
        """See `placement.CostModel.harms`."""
        whole = self._whole.get(worker, 1)
        load = self._sizes.used_milli(job_class, declared_milli) / whole
        budget = PLANNED_PART * self.allowed_slowdown
        for service in self._services.get(worker, ()):
            known = self._model.estimates_for(service)
            unknown = interference.UNKNOWN
            before = self._harm(known, worker)
            more = known.get(job_class, unknown).mean * load
            # Work that does no harm may join a slow worker.
            if more < TINY_HARM or before <= NO_HARM:
                continue
            if before + more > budget:
                return True
        return False

    def share_milli(self, job: str) -> int:
        """Share of its processors with which a placed job should start.

        Less than all of them if services on its worker would get too slow.
        """
        placed = self._placed.get(job)
        if placed is None:
            return interference.FULL_MILLI
        worker, job_class, milli = placed
        whole = self._whole.get(worker, 1)
        share = interference.FULL_MILLI
        for service in self._services.get(worker, ()):
            known = self._model.estimates_for(service)
            unknown = interference.UNKNOWN
            everything = self._harm(known, worker)
            own = known.get(job_class, unknown).mean * milli / whole
            left = self.allowed_slowdown - (everything - own)
            if own > max(left, 0.0):
                fitting = int(max(left, 0.0) / own * interference.FULL_MILLI)
                share = min(share, fitting)
        return max(share, LEAST_SHARE_MILLI)

    def _harm(
        self, known: Mapping[str, interference.Coefficient], worker: str
    ) -> float:
        """Predicted extra slowdown of a service on a worker."""
        whole = self._whole.get(worker, 1)
        unknown = interference.UNKNOWN
        return sum(
            known.get(other, unknown).mean * milli / whole
            for other, milli in self._milli.get(worker, {}).items()
        )

    def cost_milli(self, job_class: str, worker: str) -> int:
        """See `placement.CostModel.cost_milli`."""
        whole = self._whole.get(worker, 1)
        cost = 0.0
        for service in self._services.get(worker, ()):
            pair = self._model.coefficient(service, job_class)
            cost += SERVICE_WEIGHT * pair.cautious
        suffered = self._model.estimates_for(job_class)
        unknown = interference.UNKNOWN
        for other, milli in self._milli.get(worker, {}).items():
            caused = self._model.coefficient(other, job_class)
            pair = suffered.get(other, unknown)
            cost += (caused.cautious + pair.cautious) * milli / whole
        found = int(cost * interference.FULL_MILLI)
        until_ms = self._avoid_until_ms.get((worker, job_class), 0)
        return found + (AVOID_COST_MILLI if until_ms > self.now_ms else 0)

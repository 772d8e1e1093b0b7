"""Load balancing: policies that pick an endpoint for one try."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import enum
import itertools
import random
from typing import final
from typing import Protocol

import attrs

from comfreylatch._ports import clock as clock_port
from comfreylatch._process.routing import endpoint_stats

SAMPLED_ENDPOINTS = 4


class Policy(enum.StrEnum):
    """Load-balancing policies; the last two are baselines for comparison."""

    LEAST_EXPECTED = "least-expected"
    ROUND_ROBIN = "round-robin"
    RANDOM = "random"


@attrs.frozen
class PickArgs:
    """Arguments of a pick.

    Attributes:
        endpoints: Names of the usable endpoints.
        free_slots: Returns the number of slots of an endpoint that are free
            for this host.
        idempotent: Whether the request is idempotent and so preferred as a
            probe.
        excluded_endpoints: Endpoints already tried, picked only if no other
            has a free slot.
    """

    endpoints: Sequence[str]
    free_slots: Callable[[str], int]
    idempotent: bool
    excluded_endpoints: frozenset[str] = frozenset()


class Picker(Protocol):
    """Picks an endpoint with a free slot."""

    def pick(self, args: PickArgs) -> str | None:
        """Returns the name of an endpoint, or None if no slot is free."""
        ...


def make_picker(
    policy: Policy,
    stats: endpoint_stats.EndpointStatsTable,
    clock: clock_port.Clock,
    rng: random.Random,
) -> Picker:
    """Creates the picker of a policy."""
    match policy:
        case Policy.LEAST_EXPECTED:
            return LeastExpectedPicker(stats, clock, rng)
        case Policy.ROUND_ROBIN:
            return RoundRobinPicker()
        case Policy.RANDOM:
            return RandomPicker(rng)


@final
class LeastExpectedPicker:
    """Picks the least expected answer time among a random sample.

    If no endpoint of the sample can be picked, all endpoints are compared. An
    ejected endpoint whose probe is due is picked first, and gets no other
    requests while it is ejected.
    """

    def __init__(
        self,
        stats: endpoint_stats.EndpointStatsTable,
        clock: clock_port.Clock,
        rng: random.Random,
    ) -> None:
        self._stats = stats
        self._clock = clock
        self._rng = rng

    def pick(self, args: PickArgs) -> str | None:
        """See `Picker.pick`."""
        if self._stats.ejected_count:
            to_probe = self._probe_candidate(args)
            if to_probe is not None:
                return to_probe
        best_of_sample = self._best(self._sample(args.endpoints), args)
        if best_of_sample is not None:
            return best_of_sample
        best_of_all = self._best(args.endpoints, args)
        if best_of_all is not None or not args.excluded_endpoints:
            return best_of_all
        return self._best(
            args.endpoints, attrs.evolve(args, excluded_endpoints=frozenset())
        )

    def _probe_candidate(self, args: PickArgs) -> str | None:
        for name in args.endpoints:
            if (
                self._stats.is_probe_due(name, args.idempotent)
                and name not in args.excluded_endpoints
                and args.free_slots(name) > 0
            ):
                return name
        return None

    def _sample(self, endpoints: Sequence[str]) -> Sequence[str]:
        if len(endpoints) <= SAMPLED_ENDPOINTS:
            return endpoints
        return self._rng.sample(endpoints, SAMPLED_ENDPOINTS)

    def _best(self, names: Sequence[str], args: PickArgs) -> str | None:
        """Returns the endpoint expected to answer first, of those allowed."""
        now_ms = self._clock.monotonic_ms()
        best: str | None = None
        best_ms = float("inf")
        for name in names:
            stats = self._stats.get(name)
            if stats.is_ejected or name in args.excluded_endpoints:
                continue
            expected_ms = stats.expected_ms(now_ms)
            if expected_ms < best_ms and args.free_slots(name) > 0:
                best = name
                best_ms = expected_ms
        return best


@final
class RoundRobinPicker:
    """Picks endpoints with a free slot round-robin. A baseline."""

    def __init__(self) -> None:
        self._calls = itertools.count()

    def pick(self, args: PickArgs) -> str | None:
        """See `Picker.pick`."""
        count = len(args.endpoints)
        start = next(self._calls)
        for offset in range(count):
            name = args.endpoints[(start + offset) % count]
            if args.free_slots(name) > 0:
                return name
        return None


@final
class RandomPicker:
    """Picks a random endpoint with a free slot. A baseline."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def pick(self, args: PickArgs) -> str | None:
        """See `Picker.pick`."""
        free = [name for name in args.endpoints if args.free_slots(name) > 0]
        return self._rng.choice(free) if free else None

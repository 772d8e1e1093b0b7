"""Choice of the endpoint for one try."""

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
    """How endpoints are chosen; the last two are for comparison."""

    LEAST_EXPECTED = "least-expected"
    ROUND_ROBIN = "round-robin"
    RANDOM = "random"


@attrs.frozen
class PickArgs:
    """What a choice may depend on.

    Attributes:
        endpoints: Names of the endpoints that may be used.
        free: Tells how many slots of an endpoint are free for this host.
        idempotent: Whether the request can serve as a probe.
        excluded: Endpoints already tried; used only when there is no other.
    """

    endpoints: Sequence[str]
    free_slots: Callable[[str], int]
    idempotent: bool
    excluded_endpoints: frozenset[str] = frozenset()


class Picker(Protocol):
    """Picks an endpoint with a free slot."""

    def pick(self, args: PickArgs) -> str | None:
        """Name of an endpoint; None when none has a free slot."""
        ...


def make_picker(
    policy: Policy,
    stats: endpoint_stats.EndpointStatsTable,
    clock: clock_port.Clock,
    rng: random.Random,
) -> Picker:
    """The chooser for a policy."""
    match policy:
        case Policy.LEAST_EXPECTED:
            return LeastExpectedPicker(stats, clock, rng)
        case Policy.ROUND_ROBIN:
            return RoundRobinPicker()
        case Policy.RANDOM:
            return RandomPicker(rng)


@final
class LeastExpectedPicker:
    """The least expected time to an answer among a random sample.

    Ejected endpoints get due probes first, and other requests only when no
    other endpoint has a free slot.
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
            probed = self._probe_candidate(args)
            if probed is not None:
                return probed
        sampled = self._best(self._sample(args.endpoints), args)
        if sampled is not None:
            return sampled
        found = self._best(args.endpoints, args)
        if found is not None or not args.excluded_endpoints:
            return found
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
    """Each endpoint with a free slot in turn. For comparison."""

    def __init__(self) -> None:
        self._calls = itertools.count()

    def pick(self, args: PickArgs) -> str | None:
        """See `Picker.pick`."""
        count = len(args.endpoints)
        first = next(self._calls)
        for step in range(count):
            name = args.endpoints[(first + step) % count]
            if args.free_slots(name) > 0:
                return name
        return None


@final
class RandomPicker:
    """Any endpoint with a free slot. For comparison."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def pick(self, args: PickArgs) -> str | None:
        """See `Picker.pick`."""
        free = [name for name in args.endpoints if args.free_slots(name) > 0]
        return self._rng.choice(free) if free else None

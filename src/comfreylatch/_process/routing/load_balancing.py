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

SAMPLE_SIZE = 4


class Policy(enum.StrEnum):
    """How endpoints are chosen; the last two are for comparison."""

    LEAST_EXPECTED = "least-expected"
    ROUND_ROBIN = "round-robin"
    RANDOM = "random"


@attrs.frozen
class Choice:
    """What a choice may depend on.

    Attributes:
        endpoints: Names of the endpoints that may be used.
        free: Tells how many slots of an endpoint are free for this host.
        idempotent: Whether the request can serve as a probe.
        excluded: Endpoints already tried; used only when there is no other.
    """

    endpoints: Sequence[str]
    free: Callable[[str], int]
    idempotent: bool
    excluded: frozenset[str] = frozenset()


class Chooser(Protocol):
    """Picks an endpoint with a free slot."""

    def choose(self, choice: Choice) -> str | None:
        """Name of an endpoint; None when none has a free slot."""
        ...


def make_chooser(
    policy: Policy,
    stats: endpoint_stats.StatsTable,
    clock: clock_port.Clock,
    rng: random.Random,
) -> Chooser:
    """The chooser for a policy."""
    match policy:
        case Policy.LEAST_EXPECTED:
            return LeastExpected(stats, clock, rng)
        case Policy.ROUND_ROBIN:
            return RoundRobin()
        case Policy.RANDOM:
            return Random(rng)


@final
class LeastExpected:
    """The least expected time to an answer among a random sample.

    Ejected endpoints get due probes first, and other requests only when no
    other endpoint has a free slot.
    """

    def __init__(
        self,
        stats: endpoint_stats.StatsTable,
        clock: clock_port.Clock,
        rng: random.Random,
    ) -> None:
        self._stats = stats
        self._clock = clock
        self._rng = rng

    def choose(self, choice: Choice) -> str | None:
        """See `Chooser.choose`."""
        if self._stats.ejected_count:
            probed = self._due_probe(choice)
            if probed is not None:
                return probed
        sampled = self._best(self._sample(choice.endpoints), choice)
        if sampled is not None:
            return sampled
        found = self._best(choice.endpoints, choice)
        if found is not None or not choice.excluded:
            return found
        return self._best(
            choice.endpoints, attrs.evolve(choice, excluded=frozenset())
        )

    def _due_probe(self, choice: Choice) -> str | None:
        for name in choice.endpoints:
            if (
                self._stats.is_probe_due(name, choice.idempotent)
                and name not in choice.excluded
                and choice.free(name) > 0
            ):
                return name
        return None

    def _sample(self, endpoints: Sequence[str]) -> Sequence[str]:
        if len(endpoints) <= SAMPLE_SIZE:
            return endpoints
        return self._rng.sample(endpoints, SAMPLE_SIZE)

    def _best(self, names: Sequence[str], choice: Choice) -> str | None:
        now_ms = self._clock.monotonic_ms()
        best: str | None = None
        best_ms = float("inf")
        for name in names:
            stats = self._stats.get(name)
            if stats.is_ejected or name in choice.excluded:
                continue
            expected_ms = stats.expected_ms(now_ms)
            if expected_ms < best_ms and choice.free(name) > 0:
                best = name
                best_ms = expected_ms
        return best


@final
class RoundRobin:
    """Each endpoint with a free slot in turn. For comparison."""

    def __init__(self) -> None:
        self._turns = itertools.count()

    def choose(self, choice: Choice) -> str | None:
        """See `Chooser.choose`."""
        count = len(choice.endpoints)
        first = next(self._turns)
        for step in range(count):
            name = choice.endpoints[(first + step) % count]
            if choice.free(name) > 0:
                return name
        return None


@final
class Random:
    """Any endpoint with a free slot. For comparison."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, choice: Choice) -> str | None:
        """See `Chooser.choose`."""
        free = [name for name in choice.endpoints if choice.free(name) > 0]
        return self._rng.choice(free) if free else None

"""What this host has seen of each endpoint, by its own requests.

Own observations come before the platform's list, which lags. An endpoint that
fails, or answers far more slowly than its siblings, is ejected for a while,
probed with single requests, and let back with a slowly rising share.
"""

from __future__ import annotations

from collections.abc import Iterable
import random
import statistics
import threading
from typing import final

import attrs

from comfreylatch._ports import clock as clock_port

FIRST_LATENCY_MS = 20.0
LATENCY_SMOOTHING = 0.1
RISING_SMOOTHING = 0.25
FAILURE_SMOOTHING = 0.1
EJECT_FAILURES_IN_A_ROW = 3
EJECT_FAILURE_SHARE = 0.5
EJECT_MIN_TRIES = 10
EJECT_SLOWNESS = 4.0
EJECT_SLOW_FLOOR_MS = 30.0
MAX_EJECTED_SHARE = 0.34
FIRST_EJECTION_MS = 1_000
MAX_EJECTION_MS = 30_000
SLOW_START_MS = 5_000
SLOW_START_LOWEST = 0.2
COMPARE_INTERVAL_MS = 250
PROBE_PATIENCE_MS = 5_000


@attrs.define(eq=False)
class EndpointStats:
    """Observations of one endpoint.

    Attributes:
        in_flight: Requests sent from here and not ended.
        begun_sum_ms: Sum of the monotonic times at which those were begun.
        latency_ms: Smoothed time of an answer.
        failure_share: Smoothed share of tries that failed, 0 to 1.
        failures_in_a_row: Failed tries since the last answer.
        tries: Tries that ended since it was let in.
        ejected_until_ms: Monotonic time of the next probe; 0 when let in.
        ejections: Ejections in a row; the wait doubles with each.
        probing: A probe is on its way.
        let_in_ms: Monotonic time at which its slow start began.
    """

    in_flight: int = 0
    begun_sum_ms: int = 0
    latency_ms: float = FIRST_LATENCY_MS
    failure_share: float = 0.0
    failures_in_a_row: int = 0
    tries: int = 0
    ejected_until_ms: int = 0
    ejections: int = 0
    probing: bool = False
    let_in_ms: int = -SLOW_START_MS

    @property
    def is_ejected(self) -> bool:
        """Whether it gets probes only."""
        return self.ejected_until_ms > 0

    def expected_ms(self, now_ms: int) -> float:
        """Expected time of one more request sent now.

        Requests that have been running for longer than usual tell of a slow
        endpoint before their answers do.
        """
        latency_ms = self.latency_ms
        in_flight = self.in_flight
        if in_flight:
            age_ms = now_ms - self.begun_sum_ms / in_flight
            latency_ms = max(latency_ms, age_ms)
        answered_share = max(1.0 - self.failure_share, 0.05)
        expected_ms = latency_ms * (1.0 + in_flight) / answered_share
        return expected_ms / self.admitted(now_ms)

    def admitted(self, now_ms: int) -> float:
        """Share of its usual requests it gets in slow start, up to 1."""
        progress = (now_ms - self.let_in_ms) / SLOW_START_MS
        return min(max(progress, SLOW_START_LOWEST), 1.0)


@attrs.frozen
class Ejection:
    """An endpoint was ejected, with the figures that decided.

    Attributes:
        endpoint: Its name.
        sentence: Why, for a person.
        wait_ms: Until it is probed.
    """

    endpoint: str
    sentence: str
    wait_ms: int


@final
class StatsTable:
    """Observations of all endpoints of one service in one zone.

    Thread-safe; the lock is held for a few assignments only.
    """

    def __init__(self, clock: clock_port.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        self._stats: dict[str, EndpointStats] = {}
        self._ejected = 0
        self._median_ms = FIRST_LATENCY_MS
        self._compared_ms = -COMPARE_INTERVAL_MS

    def get(self, endpoint: str) -> EndpointStats:
        """Observations of an endpoint, to be read only."""
        found = self._stats.get(endpoint)
        if found is None:
            with self._lock:
                found = self._stats.setdefault(endpoint, EndpointStats())
        return found

    def keep_only(self, endpoints: Iterable[str]) -> None:
        """Forgets endpoints that are no longer configured."""
        wanted = frozenset(endpoints)
        with self._lock:
            for name in self._stats.keys() - wanted:
                if self._stats[name].in_flight == 0:
                    self._ejected -= self._stats[name].is_ejected
                    del self._stats[name]
            for name in wanted - self._stats.keys():
                now_ms = self._clock.monotonic_ms()
                self._stats[name] = EndpointStats(let_in_ms=now_ms)

    def is_probe_due(self, endpoint: str, idempotent: bool) -> bool:
        """Whether an ejected endpoint should get one request now.

        Idempotent requests probe first: they can be retried when it fails.
        """
        stats = self.get(endpoint)
        if not stats.is_ejected or stats.probing:
            return False
        patience_ms = 0 if idempotent else PROBE_PATIENCE_MS
        now_ms = self._clock.monotonic_ms()
        return now_ms >= stats.ejected_until_ms + patience_ms

    def begin(self, endpoint: str, now_ms: int) -> None:
        """Notes that a request is sent."""
        stats = self.get(endpoint)
        with self._lock:
            stats.in_flight += 1
            stats.begun_sum_ms += now_ms
            if stats.is_ejected:
                stats.probing = True

    def ended(self, endpoint: str, begun_ms: int) -> None:
        """Notes that the endpoint no longer runs a request."""
        stats = self.get(endpoint)
        with self._lock:
            stats.in_flight -= 1
            stats.begun_sum_ms -= begun_ms

    def skipped(self, endpoint: str) -> None:
        """Notes that a try told nothing of the endpoint."""
        stats = self.get(endpoint)
        with self._lock:
            stats.probing = False

    def answered(self, endpoint: str, elapsed_ms: float) -> Ejection | None:
        """Notes an answer; returns an ejection if it was far too slow."""
        stats = self.get(endpoint)
        now_ms = self._clock.monotonic_ms()
        with self._lock:
            stats.tries += 1
            stats.failures_in_a_row = 0
            stats.failure_share *= 1 - FAILURE_SMOOTHING
            was_probe = stats.probing
            stats.probing = False
            is_rising = elapsed_ms > stats.latency_ms
            smoothing = RISING_SMOOTHING if is_rising else LATENCY_SMOOTHING
            stats.latency_ms += smoothing * (elapsed_ms - stats.latency_ms)
            if stats.is_ejected:
                if was_probe:
                    self._judge_probe(stats, elapsed_ms, now_ms)
                return None
            self._compare(now_ms)
            if self._is_too_slow(stats):
                sentence = (
                    f"answers take {stats.latency_ms:.0f} ms, "
                    f"its siblings' {self._median_ms:.0f} ms"
                )
                return self._eject(endpoint, stats, sentence, now_ms)
        return None

    def failed(self, endpoint: str, detail: str) -> Ejection | None:
        """Notes a try without answer; returns an ejection if it caused one."""
        stats = self.get(endpoint)
        now_ms = self._clock.monotonic_ms()
        with self._lock:
            stats.tries += 1
            stats.failures_in_a_row += 1
            stats.failure_share += FAILURE_SMOOTHING * (1 - stats.failure_share)
            was_probe = stats.probing
            stats.probing = False
            if stats.is_ejected:
                if was_probe:
                    self._extend(stats, now_ms)
                return None
            if not self._is_failing(stats):
                return None
            sentence = (
                f"{stats.failures_in_a_row} tries in a row failed, the last "
                f"with {detail}"
            )
            return self._eject(endpoint, stats, sentence, now_ms)

    @property
    def ejected_count(self) -> int:
        """Endpoints that get probes only."""
        return self._ejected

    def _is_failing(self, stats: EndpointStats) -> bool:
        if stats.failures_in_a_row >= EJECT_FAILURES_IN_A_ROW:
            return True
        return (
            stats.tries >= EJECT_MIN_TRIES
            and stats.failure_share > EJECT_FAILURE_SHARE
        )

    def _is_too_slow(self, stats: EndpointStats) -> bool:
        bound_ms = max(self._median_ms * EJECT_SLOWNESS, EJECT_SLOW_FLOOR_MS)
        return stats.tries >= EJECT_MIN_TRIES and stats.latency_ms > bound_ms

    def _compare(self, now_ms: int) -> None:
        """Works out the siblings' median, at intervals."""
        if now_ms < self._compared_ms + COMPARE_INTERVAL_MS:
            return
        self._compared_ms = now_ms
        self._median_ms = statistics.median(
            stats.latency_ms for stats in self._stats.values()
        )

    def _eject(
        self, endpoint: str, stats: EndpointStats, sentence: str, now_ms: int
    ) -> Ejection | None:
        allowed = int(len(self._stats) * MAX_EJECTED_SHARE)
        if self._ejected >= allowed:
            return None
        self._ejected += 1
        wait_ms = self._extend(stats, now_ms)
        return Ejection(endpoint, sentence, wait_ms)

    def _extend(self, stats: EndpointStats, now_ms: int) -> int:
        doubled_ms = FIRST_EJECTION_MS << min(stats.ejections, 10)
        stats.ejections += 1
        wait_ms = min(doubled_ms, MAX_EJECTION_MS)
        # Hosts that ejected it together shall not probe it together.
        wait_ms = int(wait_ms * self._rng.uniform(0.75, 1.25))
        stats.ejected_until_ms = now_ms + wait_ms
        return wait_ms

    def _judge_probe(
        self, stats: EndpointStats, elapsed_ms: float, now_ms: int
    ) -> None:
        bound_ms = max(self._median_ms * EJECT_SLOWNESS, EJECT_SLOW_FLOOR_MS)
        if elapsed_ms > bound_ms:
            self._extend(stats, now_ms)
            return
        stats.ejected_until_ms = 0
        stats.tries = 0
        stats.failure_share = 0.0
        stats.latency_ms = elapsed_ms
        stats.let_in_ms = now_ms
        self._ejected -= 1
        # Not reset: an endpoint that fails again soon waits longer again.
        stats.ejections = max(stats.ejections - 1, 0)

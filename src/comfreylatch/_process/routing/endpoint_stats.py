"""Latency, failures and ejection of each endpoint, as this host observes them.

Ejection relies on this host's own observations, as the platform's host list
lags. An endpoint that fails, or answers far more slowly than the others of its
service, is ejected for a time, probed with single requests, and readmitted
with slow start.
"""

from __future__ import annotations

from collections.abc import Iterable
import random
import statistics
import threading
from typing import final

import attrs

from comfreylatch._ports import clock as clock_port

INITIAL_LATENCY_MS = 20.0
LATENCY_SMOOTHING = 0.1
LATENCY_RISE_SMOOTHING = 0.25
FAILURE_SMOOTHING = 0.1
EJECT_CONSECUTIVE_FAILURES = 3
EJECT_FAILURE_SHARE = 0.5
EJECT_MIN_TRIES = 10
EJECT_LATENCY_RATIO = 4.0
EJECT_MIN_LATENCY_MS = 30.0
MAX_EJECTED_SHARE = 0.34
BASE_EJECTION_MS = 1_000
MAX_EJECTION_MS = 30_000
SLOW_START_MS = 5_000
SLOW_START_MIN_SHARE = 0.2
MEDIAN_UPDATE_INTERVAL_MS = 250
NON_IDEMPOTENT_PROBE_DELAY_MS = 5_000


@attrs.define(eq=False)
class EndpointStats:
    """Observations of one endpoint.

    Attributes:
        in_flight: Requests that this host sent and that have not ended.
        start_sum_ms: Sum of the monotonic start times of those requests.
        latency_ms: Smoothed answer time.
        failure_share: Smoothed share of tries that failed, 0 to 1.
        consecutive_failures: Failed tries since the last answer.
        tries: Tries that ended since the endpoint was admitted or readmitted.
        ejected_until_ms: Monotonic time of the next probe; 0 if not ejected.
        ejections: Number of ejections and failed probes so far, less one for
            each readmission; the time to the next probe doubles with each.
        is_probing: Whether a probe is in flight.
        readmitted_ms: Monotonic time at which slow start began.
    """

    in_flight: int = 0
    start_sum_ms: int = 0
    latency_ms: float = INITIAL_LATENCY_MS
    failure_share: float = 0.0
    consecutive_failures: int = 0
    tries: int = 0
    ejected_until_ms: int = 0
    ejections: int = 0
    is_probing: bool = False
    readmitted_ms: int = -SLOW_START_MS

    @property
    def is_ejected(self) -> bool:
        """Whether the endpoint gets probes only."""
        return self.ejected_until_ms > 0

    def expected_ms(self, now_ms: int) -> float:
        """Expected answer time of one more request sent now.

        Requests that have been running for longer than usual show a slow
        endpoint before their answers arrive.
        """
        latency_ms = self.latency_ms
        in_flight = self.in_flight
        if in_flight:
            age_ms = now_ms - self.start_sum_ms / in_flight
            latency_ms = max(latency_ms, age_ms)
        answered_share = max(1.0 - self.failure_share, 0.05)
        expected_ms = latency_ms * (1.0 + in_flight) / answered_share
        return expected_ms / self.slow_start_share(now_ms)

    def slow_start_share(self, now_ms: int) -> float:
        """Share of its usual load that the endpoint gets now, up to 1."""
        progress = (now_ms - self.readmitted_ms) / SLOW_START_MS
        return min(max(progress, SLOW_START_MIN_SHARE), 1.0)


@attrs.frozen
class Ejection:
    """Ejection of an endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        sentence: The reason as a sentence, with the deciding figures.
        wait_ms: Time until the endpoint is probed.
    """

    endpoint: str
    sentence: str
    wait_ms: int


@final
class EndpointStatsTable:
    """Observations of all endpoints of one service in one zone.

    Thread-safe; the lock is held for a few assignments only.
    """

    def __init__(self, clock: clock_port.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        self._stats: dict[str, EndpointStats] = {}
        self._ejected_count = 0
        self._median_latency_ms = INITIAL_LATENCY_MS
        self._median_updated_ms = -MEDIAN_UPDATE_INTERVAL_MS

    def get(self, endpoint: str) -> EndpointStats:
        """Returns the observations of an endpoint; callers only read them."""
        stats = self._stats.get(endpoint)
        if stats is None:
            with self._lock:
                stats = self._stats.setdefault(endpoint, EndpointStats())
        return stats

    def update_endpoints(self, endpoints: Iterable[str]) -> None:
        """Adds new endpoints, and removes those no longer configured.

        New endpoints begin in slow start. An endpoint that still runs a
        request of this host isn't removed yet.
        """
        configured = frozenset(endpoints)
        with self._lock:
            for name in self._stats.keys() - configured:
                if self._stats[name].in_flight == 0:
                    self._ejected_count -= self._stats[name].is_ejected
                    del self._stats[name]
            for name in configured - self._stats.keys():
                now_ms = self._clock.monotonic_ms()
                self._stats[name] = EndpointStats(readmitted_ms=now_ms)

    def is_probe_due(self, endpoint: str, idempotent: bool) -> bool:
        """Whether an ejected endpoint should get one request now.

        Idempotent requests are preferred, as they can be retried if the probe
        fails.
        """
        stats = self.get(endpoint)
        if not stats.is_ejected or stats.is_probing:
            return False
        delay_ms = 0 if idempotent else NON_IDEMPOTENT_PROBE_DELAY_MS
        now_ms = self._clock.monotonic_ms()
        return now_ms >= stats.ejected_until_ms + delay_ms

    def record_start(self, endpoint: str, now_ms: int) -> None:
        """Records that a request starts at `now_ms`, monotonic time.

        If the endpoint is ejected, the request is its probe.
        """
        stats = self.get(endpoint)
        with self._lock:
            stats.in_flight += 1
            stats.start_sum_ms += now_ms
            if stats.is_ejected:
                stats.is_probing = True

    def record_end(self, endpoint: str, started_ms: int) -> None:
        """Records the end of a request that started at `started_ms`."""
        stats = self.get(endpoint)
        with self._lock:
            stats.in_flight -= 1
            stats.start_sum_ms -= started_ms

    def record_inconclusive(self, endpoint: str) -> None:
        """Records a try whose result says nothing about the endpoint."""
        stats = self.get(endpoint)
        with self._lock:
            stats.is_probing = False

    def record_answer(
        self, endpoint: str, elapsed_ms: float
    ) -> Ejection | None:
        """Records an answer; returns an ejection if it was far too slow."""
        stats = self.get(endpoint)
        now_ms = self._clock.monotonic_ms()
        with self._lock:
            stats.tries += 1
            stats.consecutive_failures = 0
            stats.failure_share *= 1 - FAILURE_SMOOTHING
            was_probe = stats.is_probing
            stats.is_probing = False
            is_increase = elapsed_ms > stats.latency_ms
            smoothing = (
                LATENCY_RISE_SMOOTHING if is_increase else LATENCY_SMOOTHING
            )
            stats.latency_ms += smoothing * (elapsed_ms - stats.latency_ms)
            if stats.is_ejected:
                if was_probe:
                    self._evaluate_probe(stats, elapsed_ms, now_ms)
                return None
            self._update_median(now_ms)
            if self._is_too_slow(stats):
                sentence = (
                    f"answers take {stats.latency_ms:.0f} ms, "
                    f"the median is {self._median_latency_ms:.0f} ms"
                )
                return self._eject(endpoint, stats, sentence, now_ms)
        return None

    def record_failure(self, endpoint: str, detail: str) -> Ejection | None:
        """Records a failed try; returns an ejection if it caused one."""
        stats = self.get(endpoint)
        now_ms = self._clock.monotonic_ms()
        with self._lock:
            stats.tries += 1
            stats.consecutive_failures += 1
            stats.failure_share += FAILURE_SMOOTHING * (1 - stats.failure_share)
            was_probe = stats.is_probing
            stats.is_probing = False
            if stats.is_ejected:
                if was_probe:
                    self._schedule_probe(stats, now_ms)
                return None
            if not self._is_failing(stats):
                return None
            sentence = (
                f"{stats.consecutive_failures} consecutive tries failed, the "
                f"last with {detail}"
            )
            return self._eject(endpoint, stats, sentence, now_ms)

    @property
    def ejected_count(self) -> int:
        """Number of endpoints that get probes only."""
        return self._ejected_count

    def _is_failing(self, stats: EndpointStats) -> bool:
        if stats.consecutive_failures >= EJECT_CONSECUTIVE_FAILURES:
            return True
        return (
            stats.tries >= EJECT_MIN_TRIES
            and stats.failure_share > EJECT_FAILURE_SHARE
        )

    def _is_too_slow(self, stats: EndpointStats) -> bool:
        max_latency_ms = max(
            self._median_latency_ms * EJECT_LATENCY_RATIO, EJECT_MIN_LATENCY_MS
        )
        return (
            stats.tries >= EJECT_MIN_TRIES and stats.latency_ms > max_latency_ms
        )

    def _update_median(self, now_ms: int) -> None:
        """Updates the median latency of all endpoints, at intervals."""
        if now_ms < self._median_updated_ms + MEDIAN_UPDATE_INTERVAL_MS:
            return
        self._median_updated_ms = now_ms
        self._median_latency_ms = statistics.median(
            stats.latency_ms for stats in self._stats.values()
        )

    def _eject(
        self, endpoint: str, stats: EndpointStats, sentence: str, now_ms: int
    ) -> Ejection | None:
        """Ejects an endpoint, unless too many others are ejected already."""
        max_ejected_count = int(len(self._stats) * MAX_EJECTED_SHARE)
        if self._ejected_count >= max_ejected_count:
            return None
        self._ejected_count += 1
        wait_ms = self._schedule_probe(stats, now_ms)
        return Ejection(endpoint, sentence, wait_ms)

    def _schedule_probe(self, stats: EndpointStats, now_ms: int) -> int:
        """Schedules the next probe; returns the time until then."""
        doubled_ms = BASE_EJECTION_MS << min(stats.ejections, 10)
        stats.ejections += 1
        wait_ms = min(doubled_ms, MAX_EJECTION_MS)
        # Without jitter, hosts that ejected an endpoint at the same time would
        # also probe it at the same time.
        wait_ms = int(wait_ms * self._rng.uniform(0.75, 1.25))
        stats.ejected_until_ms = now_ms + wait_ms
        return wait_ms

    def _evaluate_probe(
        self, stats: EndpointStats, elapsed_ms: float, now_ms: int
    ) -> None:
        max_latency_ms = max(
            self._median_latency_ms * EJECT_LATENCY_RATIO, EJECT_MIN_LATENCY_MS
        )
        if elapsed_ms > max_latency_ms:
            self._schedule_probe(stats, now_ms)
            return
        stats.ejected_until_ms = 0
        stats.tries = 0
        stats.failure_share = 0.0
        stats.latency_ms = elapsed_ms
        stats.readmitted_ms = now_ms
        self._ejected_count -= 1
        # Reduced by one instead of reset, so that an endpoint that soon fails
        # again waits longer for its next probe.
        stats.ejections = max(stats.ejections - 1, 0)

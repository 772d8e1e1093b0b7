"""Counters and latency histograms of one process."""

from __future__ import annotations

import collections
import enum
import threading

import attrs
from hdrh import histogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2


class Counter(enum.StrEnum):
    """Names of counters; most are labelled with a reason."""

    REQUESTS = "requests"
    REFUSALS = "refusals"
    RETRIES = "retries"
    OUTCOMES = "outcomes"
    BAD_RECORDS = "bad-records"
    BAD_PEER_MESSAGES = "bad-peer-messages"
    LOG_APPENDS = "appends"
    LOG_RECORDS = "log-records"
    PEER_MESSAGES = "peer-messages"
    JOB_EVENTS = "job-events"
    WORKER_COMMANDS = "worker-commands"
    EVICTIONS = "evictions"
    LOANS = "loans"
    EJECTIONS = "ejections"
    RUN_STARTS = "tasks-started"
    RUN_ENDS = "tasks-ended"
    RUN_STOPS = "tasks-stopped"
    RUNS_LOST = "runs-lost"
    WORKER_CRASHES = "worker-crashes"
    TRIALS = "trials"
    TASKS_GIVEN_UP = "tasks-given-up"
    CLAIMS = "claims"
    OWNERSHIPS_ENDED = "tenures-ended"
    ADVICE_ANSWERS = "advice-answers"
    ADVICE_MISSING = "advice-missing"
    MAINTENANCES = "maintenances"
    FORWARDS = "forwards"
    NEAR_WAITS = "near-waits"
    MAINTENANCE_REFUSALS = "maintenance-refusals"


class Gauge(enum.StrEnum):
    """Names of gauges; some are labelled with an object's name."""

    EVACUATED = "zone-evacuated"
    STARTS_SUSPENDED = "starts-suspended"


class Latency(enum.StrEnum):
    """Names of latencies, measured in microseconds."""

    REQUEST = "request"
    TRY = "try"
    QUEUE = "queue"
    LOG_APPEND = "append"
    TICKET = "ticket"
    DECISION = "decision"
    ACCEPTANCE = "acceptance"
    FIRST_START = "first-start"
    STEP_GAP = "step-gap"
    END_RECORDED = "end-recorded"
    STORE_APPEND = "store-append"
    ADVICE = "advice"


@attrs.frozen
class CounterLine:
    """The value of one counter for one label."""

    counter: str
    label: str
    value: int


@attrs.frozen
class GaugeLine:
    """The value of one gauge for one label."""

    gauge: str
    label: str
    value: int


@attrs.frozen
class LatencyLine:
    """Quantiles of one latency for one label, in microseconds.

    `encoded` is the complete histogram in the HdrHistogram V2 format, from
    which histograms of several hosts can be merged exactly.
    """

    latency: str
    label: str
    count: int
    p50_us: int
    p99_us: int
    p999_us: int
    max_us: int
    encoded: str


@attrs.frozen
class MetricsPage:
    """All metrics of a process at one point in time."""

    counters: tuple[CounterLine, ...]
    latencies: tuple[LatencyLine, ...]
    gauges: tuple[GaugeLine, ...] = ()


class Metrics:
    """Counters, gauges and histograms. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._gauges: dict[tuple[str, str], int] = {}
        self._histograms: dict[tuple[str, str], histogram.HdrHistogram] = {}

    def set_gauge(self, gauge: Gauge, value: int, label: str = "") -> None:
        """Sets a gauge."""
        with self._lock:
            self._gauges[gauge, label] = value

    def gauge(self, gauge: Gauge, label: str = "") -> int:
        """Current value of a gauge; 0 if it was never set."""
        with self._lock:
            return self._gauges.get((gauge, label), 0)

    def count(self, counter: Counter, label: str = "", amount: int = 1) -> None:
        """Adds to a counter; `label` is a reason or an object's name."""
        with self._lock:
            self._counters[counter, label] += amount

    def value(self, counter: Counter, label: str = "") -> int:
        """Current value of a counter."""
        with self._lock:
            return self._counters[counter, label]

    def by_label(self, counter: Counter) -> collections.Counter[str]:
        """Current values of a counter by label."""
        with self._lock:
            return collections.Counter(
                {
                    label: value
                    for (name, label), value in self._counters.items()
                    if name == counter
                }
            )

    def observe(
        self, latency: Latency, elapsed_us: int, label: str = ""
    ) -> None:
        """Adds one measured latency to its histogram."""
        bounded_us = min(max(elapsed_us, MIN_LATENCY_US), MAX_LATENCY_US)
        with self._lock:
            hist = self._histograms.get((latency, label))
            if hist is None:
                hist = histogram.HdrHistogram(
                    MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
                )
                self._histograms[latency, label] = hist
            hist.record_value(bounded_us)

    def page(self) -> MetricsPage:
        """A consistent snapshot of all metrics."""
        with self._lock:
            counters = tuple(
                CounterLine(counter, label, value)
                for (counter, label), value in sorted(self._counters.items())
            )
            latencies = tuple(
                _latency_line(latency, label, hist)
                for (latency, label), hist in sorted(self._histograms.items())
            )
            gauges = tuple(
                GaugeLine(gauge, label, value)
                for (gauge, label), value in sorted(self._gauges.items())
            )
        return MetricsPage(counters, latencies, gauges)


def _latency_line(
    latency: str, label: str, hist: histogram.HdrHistogram
) -> LatencyLine:
    return LatencyLine(
        latency=latency,
        label=label,
        count=hist.get_total_count(),
        p50_us=int(hist.get_value_at_percentile(50)),
        p99_us=int(hist.get_value_at_percentile(99)),
        p999_us=int(hist.get_value_at_percentile(99.9)),
        max_us=int(hist.get_max_value()),
        encoded=hist.encode().decode("ascii"),
    )

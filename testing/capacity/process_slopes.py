"""Slopes of the state that every host keeps, and its memory without state."""

from __future__ import annotations

import os
import subprocess
import sys

import attrs

from comfreylatch._process import dispatch_marks
from comfreylatch._process import journal as journal_module
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import reasons
from comfreylatch._wire.gen.peer import ttypes
from testing.capacity import slope
from testing.fakes import clock as clock_fake

DECISION_SIZES = (1_000, 5_000, 20_000)
HISTOGRAM_SIZES = (10, 30, 90)
THREAD_SIZES = (50, 110, 220)
MARK_SIZES = (1_000, 5_000, 20_000)
MARK_KEEP_MS = 60_000
PROBE_TIMEOUT_S = 60

# Run in a process of its own, so that this process's memory isn't counted.
_IMPORT_PROBE = """
import re
from comfreylatch._process import resident
before_kib = resident.resident_kib()
from comfreylatch._process import composition
loaded_kib = resident.resident_kib()
status = open("/proc/self/status").read()
private_kib = re.search(r"RssAnon:\\s+(\\d+)", status).group(1)
print(before_kib, loaded_kib, private_kib)
"""
_THREAD_PROBE = """
import sys, threading
from comfreylatch._process import resident
from comfreylatch._process.batch import link_pool
threading.stack_size(link_pool.THREAD_STACK_BYTES)
before_kib = resident.resident_kib()
end = threading.Event()
for _ in range({count}):
    threading.Thread(target=end.wait, daemon=True).start()
print(resident.resident_kib() - before_kib)
"""


@attrs.frozen
class ProcessSlopes:
    """Slopes of every host.

    Attributes:
        interpreter_kib: Resident memory before any import.
        libraries_kib: Resident memory added by the imports of `serve`.
        private_kib: Part of both that can't be shared with other processes.
    """

    interpreter_kib: int
    libraries_kib: int
    private_kib: int
    decision_bytes: slope.Slope
    histogram_bytes: slope.Slope
    thread_kib: slope.Slope
    mark_bytes: slope.Slope


def measure() -> ProcessSlopes:
    """Measures all slopes of a process."""
    # The first run writes compiled modules, which exist on a host, too.
    _run_probe(_IMPORT_PROBE)
    interpreter_kib, loaded_kib, private_kib = map(
        int, _run_probe(_IMPORT_PROBE).split()
    )
    return ProcessSlopes(
        interpreter_kib=interpreter_kib,
        libraries_kib=loaded_kib - interpreter_kib,
        private_kib=private_kib,
        decision_bytes=slope.fit(
            "journal",
            "decisions",
            "B",
            DECISION_SIZES,
            lambda count: slope.memory_bytes(lambda: _journal(count)),
        ),
        histogram_bytes=slope.fit(
            "latency histograms",
            "labels",
            "B",
            HISTOGRAM_SIZES,
            lambda count: slope.memory_bytes(lambda: _histograms(count)),
        ),
        thread_kib=slope.fit(
            "resident memory of waiting threads",
            "threads",
            "KiB",
            THREAD_SIZES,
            lambda count: float(_run_probe(_THREAD_PROBE.format(count=count))),
        ),
        mark_bytes=slope.fit(
            "marks of non-idempotent requests",
            "marks",
            "B",
            MARK_SIZES,
            lambda count: slope.memory_bytes(lambda: _marks(count)),
        ),
    )


def _run_probe(program: str) -> str:
    environment = dict(os.environ)
    environment.pop("PYTHONDONTWRITEBYTECODE", None)
    finished = subprocess.run(
        [sys.executable, "-c", program],
        env=environment,
        capture_output=True,
        text=True,
        check=True,
        timeout=PROBE_TIMEOUT_S,
    )
    return finished.stdout


def _journal(count: int) -> journal_module.Journal:
    journal = journal_module.Journal(
        "zone-0-1-0a1b2c3d", clock_fake.FakeClock(), count
    )
    for index in range(count):
        journal.record(
            reasons.Subject.REQUEST,
            f"request-{index:032d}",
            reasons.RefusalReason.NO_FREE_SLOT,
            f"Answered by endpoint-{index % 260} in {index % 90} ms, try 1.",
        )
    return journal


def _marks(count: int) -> dispatch_marks.DispatchMarks:
    marks = dispatch_marks.DispatchMarks("h", clock_fake.FakeClock())
    marks.assume_complete()
    for index in range(count):
        marks.mark(
            ttypes.MarkRequest(
                request_id=f"request-{index:032d}",
                host_id=f"zone-0-1-0a1b2c3d/{index}",
                keep_ms=MARK_KEEP_MS,
                copy=False,
            )
        )
    assert len(marks) == count
    return marks


def _histograms(count: int) -> metrics_module.Metrics:
    metrics = metrics_module.Metrics()
    for index in range(count):
        for elapsed_us in (100, 10_000, 1_000_000):
            metrics.observe(
                metrics_module.Latency.REQUEST, elapsed_us, f"service-{index}"
            )
    return metrics

"""Measures how memory and processor time grow with a size."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import gc
import statistics
import time
import tracemalloc
from typing import Any

import attrs

REPEATS = 5
NS_PER_US = 1_000


@attrs.frozen
class Slope:
    """A regression line through values measured at several sizes.

    Attributes:
        name: What was measured.
        size_unit: Unit of the sizes.
        unit: Unit of the values.
        sizes: Sizes measured.
        values: Value at each size.
        fixed: Intercept of the line, never below 0.
        per_unit: Slope of the line per unit of size, never below 0.
    """

    name: str
    size_unit: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    fixed: float
    per_unit: float

    def at(self, size: float) -> float:
        """Value at a size, interpolated within the measured range.

        Outside of this range the value lies on the regression line.
        """
        for index in range(1, len(self.sizes)):
            low, high = self.sizes[index - 1 : index + 1]
            if low <= size <= high:
                start, end = self.values[index - 1 : index + 1]
                return start + (end - start) * (size - low) / (high - low)
        return self.fixed + self.per_unit * size


def fit(
    name: str,
    size_unit: str,
    unit: str,
    sizes: Sequence[int],
    measure: Callable[[int], float],
) -> Slope:
    """Measures at each size and fits a line to the values."""
    values = tuple(float(measure(size)) for size in sizes)
    line = statistics.linear_regression(sizes, values)
    fixed = max(line.intercept, 0.0)
    per_unit = max(line.slope, 0.0)
    return Slope(name, size_unit, unit, tuple(sizes), values, fixed, per_unit)


def memory_bytes(build: Callable[[], Any]) -> int:
    """Bytes allocated by the object that `build` returns."""
    build()
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        kept = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del kept
    return after - before


def cpu_us(run: Callable[[], Any], count: int) -> float:
    """Processor time of this thread per run, the minimum of all repeats."""
    least_ns = None
    for _ in range(REPEATS):
        started_ns = time.thread_time_ns()
        for _ in range(count):
            run()
        spent_ns = time.thread_time_ns() - started_ns
        least_ns = spent_ns if least_ns is None else min(least_ns, spent_ns)
    assert least_ns is not None
    return least_ns / count / NS_PER_US

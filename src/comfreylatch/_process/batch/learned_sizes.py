"""Actual resource use by job class, learned from usage reports."""

from __future__ import annotations

import collections
from typing import final

import attrs

from comfreylatch._ports import workers

MIN_ATTEMPTS_TO_LEARN = 6
MAX_ATTEMPTS_PER_CLASS = 64
MAX_CLASSES = 256
MAX_RATIO_MILLI = 8_000
DECLARED_RATIO_MILLI = 1_000
RESERVED_QUANTILE_PERCENT = 90


@attrs.frozen
class SizeRatio:
    """Peak use of an attempt relative to its declared size, in thousandths."""

    processors_milli: int
    memory_milli: int


@attrs.define(eq=False)
class _ClassSizes:
    attempts: collections.OrderedDict[tuple[str, int], SizeRatio] = attrs.field(
        factory=collections.OrderedDict
    )
    cached: SizeRatio | None = None


def quantile(values: list[int], percent: int) -> int:
    """Returns the value that `percent` of the values do not exceed."""
    ordered = sorted(values)
    index = -(-len(ordered) * percent // 100) - 1
    return ordered[max(0, index)]


@final
class LearnedSizes:
    """Quantiles of used over declared resources. Not thread-safe.

    A placement reserves at least the declared size, which is what workers
    count; classes that declare too little get more.
    """

    def __init__(self) -> None:
        self._classes: collections.OrderedDict[str, _ClassSizes] = (
            collections.OrderedDict()
        )

    def record(
        self,
        job_class: str,
        declared: workers.Resources,
        used: workers.TaskSlowdown,
    ) -> None:
        """Records one measurement of an attempt."""
        sizes = self._classes.setdefault(job_class, _ClassSizes())
        self._classes.move_to_end(job_class)
        if len(self._classes) > MAX_CLASSES:
            self._classes.popitem(last=False)
        key = (used.job, used.attempt)
        previous = sizes.attempts.get(key, SizeRatio(0, 0))
        ratio = SizeRatio(
            _ratio(used.processors_milli, declared.processors_milli),
            _ratio(used.memory_mib, declared.memory_mib),
        )
        highest = SizeRatio(
            max(previous.processors_milli, ratio.processors_milli),
            max(previous.memory_milli, ratio.memory_milli),
        )
        if highest == previous:
            return
        sizes.attempts[key] = highest
        sizes.cached = None
        if len(sizes.attempts) > MAX_ATTEMPTS_PER_CLASS:
            sizes.attempts.popitem(last=False)

    def ratio(self, job_class: str) -> SizeRatio:
        """Ratio of used to declared size of a class, in thousandths."""
        sizes = self._classes.get(job_class)
        if sizes is None or len(sizes.attempts) < MIN_ATTEMPTS_TO_LEARN:
            return SizeRatio(DECLARED_RATIO_MILLI, DECLARED_RATIO_MILLI)
        if sizes.cached is None:
            ratios = list(sizes.attempts.values())
            sizes.cached = SizeRatio(
                quantile(
                    [ratio.processors_milli for ratio in ratios],
                    RESERVED_QUANTILE_PERCENT,
                ),
                quantile(
                    [ratio.memory_milli for ratio in ratios],
                    RESERVED_QUANTILE_PERCENT,
                ),
            )
        return sizes.cached

    def used_milli(self, job_class: str, declared_milli: int) -> int:
        """Estimates the processors that a job of a class really uses."""
        ratio = self.ratio(job_class)
        return max(1, declared_milli * ratio.processors_milli // 1_000)

    def size(
        self,
        job_class: str,
        declared: workers.Resources,
        largest: workers.Resources,
    ) -> workers.Resources:
        """Returns the resources to reserve for a job.

        At least the declared size; beyond it, at most the largest worker.
        """
        ratio = self.ratio(job_class)
        return workers.Resources(
            _scaled(
                declared.processors_milli,
                ratio.processors_milli,
                largest.processors_milli,
            ),
            _scaled(
                declared.memory_mib, ratio.memory_milli, largest.memory_mib
            ),
            declared.accelerators,
        )


def _ratio(used: int, declared: int) -> int:
    return min(used * 1_000 // max(declared, 1), MAX_RATIO_MILLI)


def _scaled(declared: int, ratio_milli: int, largest: int) -> int:
    scaled = declared * max(ratio_milli, DECLARED_RATIO_MILLI) // 1_000
    return max(declared, min(scaled, largest))

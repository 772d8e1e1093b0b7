"""Interference between classes of work, learned from delayed usage reports.

For each victim (a service or a job class) the extra slowdown is modelled as
the sum, over the classes on the same host, of a coefficient times the share
of the host's processors that the class uses. A Kalman filter with a diagonal
covariance estimates the coefficients and their uncertainty. A usage report
names what ran when it was measured, so its delay does not blur the causes.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping
import math
from typing import final

import attrs

from comfreylatch._ports import workers

PRIOR_MEAN = 0.3
PRIOR_VARIANCE = 0.16
SAMPLE_VARIANCE = 0.01
DRIFT_VARIANCE = 0.000_2
MAX_COEFFICIENT = 8.0
MAX_VICTIMS = 128
MAX_AGGRESSORS = 128
CONSERVATIVE_DEVIATIONS = 0.5
MIN_LOAD = 0.005
UNIT_MILLI = 1_000


@attrs.define(eq=False)
class Coefficient:
    """Slowdown caused by a class that uses all processors of the host.

    Attributes:
        mean: Best estimate.
        variance: Variance of the estimate.
        conservative: The mean plus a fraction of the standard deviation.
    """

    mean: float = PRIOR_MEAN
    variance: float = PRIOR_VARIANCE
    conservative: float = PRIOR_MEAN + CONSERVATIVE_DEVIATIONS * math.sqrt(
        PRIOR_VARIANCE
    )

    def update(self, mean: float, variance: float) -> None:
        """Sets a new estimate, clamped to its bounds."""
        self.mean = min(max(mean, 0.0), MAX_COEFFICIENT)
        self.variance = min(variance + DRIFT_VARIANCE, PRIOR_VARIANCE)
        self.conservative = self.mean + CONSERVATIVE_DEVIATIONS * math.sqrt(
            self.variance
        )


PRIOR_COEFFICIENT = Coefficient()
_NO_ESTIMATES: Mapping[str, Coefficient] = {}


@attrs.frozen
class Sample:
    """Loads and slowdowns on a host at one moment.

    Attributes:
        loads: Share of the host's processors used by each job class.
        slowdowns: Slowdown relative to running alone, by class or service;
            1 if none.
        processors: Share of the host's processors in use.
    """

    loads: Mapping[str, float]
    slowdowns: Mapping[str, float]
    processors: float


def build_sample(
    usage: workers.Usage,
    class_by_job: Mapping[str, str],
    capacity_milli: int,
) -> Sample:
    """Converts one measurement; tasks of unknown jobs are left out."""
    host_processors_milli = max(1, capacity_milli)
    loads: collections.Counter[str] = collections.Counter()
    weighted: collections.Counter[str] = collections.Counter()
    for task in usage.tasks:
        job_class = class_by_job.get(task.job)
        if job_class is None:
            continue
        load = task.processors_milli / host_processors_milli
        loads[job_class] += load
        weighted[job_class] += load * task.slowdown_milli / UNIT_MILLI
    slowdowns = {
        job_class: weighted[job_class] / load
        for job_class, load in loads.items()
        if load > MIN_LOAD
    }
    for service in usage.services:
        slowdowns[service.service] = service.slowdown_milli / UNIT_MILLI
    return Sample(
        loads, slowdowns, usage.processors_milli / host_processors_milli
    )


@final
class InterferenceModel:
    """Learned coefficients by victim and aggressor. Not thread-safe."""

    def __init__(self) -> None:
        self._victims: collections.OrderedDict[
            str, collections.OrderedDict[str, Coefficient]
        ] = collections.OrderedDict()

    def learn(self, sample: Sample) -> None:
        """Updates the coefficients from one measurement."""
        for victim, slowdown in sample.slowdowns.items():
            loads = {
                job_class: load
                for job_class, load in sample.loads.items()
                if load > MIN_LOAD
            }
            if loads:
                self._update(victim, loads, slowdown - 1.0)

    def coefficient(self, victim: str, aggressor: str) -> Coefficient:
        """Returns the estimate for a pair, or the prior if there is none."""
        estimates = self._victims.get(victim)
        if estimates is None:
            return PRIOR_COEFFICIENT
        return estimates.get(aggressor, PRIOR_COEFFICIENT)

    def estimates_for(self, victim: str) -> Mapping[str, Coefficient]:
        """Returns the estimates for a victim by aggressor."""
        return self._victims.get(victim, _NO_ESTIMATES)

    def _update(
        self, victim: str, loads: Mapping[str, float], extra_slowdown: float
    ) -> None:
        estimates = self._victims.setdefault(victim, collections.OrderedDict())
        self._victims.move_to_end(victim)
        if len(self._victims) > MAX_VICTIMS:
            self._victims.popitem(last=False)
        weighted_coefficients = [
            (estimates.setdefault(job_class, Coefficient()), load)
            for job_class, load in loads.items()
        ]
        for job_class in loads:
            estimates.move_to_end(job_class)
        while len(estimates) > MAX_AGGRESSORS:
            estimates.popitem(last=False)
        predicted = sum(
            coefficient.mean * load
            for coefficient, load in weighted_coefficients
        )
        innovation_variance = SAMPLE_VARIANCE + sum(
            coefficient.variance * load * load
            for coefficient, load in weighted_coefficients
        )
        error = extra_slowdown - predicted
        for coefficient, load in weighted_coefficients:
            gain = coefficient.variance * load / innovation_variance
            posterior_variance = coefficient.variance * (1.0 - gain * load)
            coefficient.update(
                coefficient.mean + gain * error, posterior_variance
            )

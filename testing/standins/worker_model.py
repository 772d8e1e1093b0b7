"""Model of interference between the workloads of one stand-in worker."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import functools

import attrs
import xxhash

from comfreylatch._ports import workers

FULL_SHARE_MILLI = 1_000
HASH_BUCKETS = 1_000
MAX_PAIR_SLOWDOWN = 1.2
FAILING_JOB_MARKER = "never-works"


@functools.cache
def _pair_slowdown(seed: int, victim: str, aggressor: str) -> float:
    key = f"{seed}/{victim}/{aggressor}".encode()
    step = xxhash.xxh64_intdigest(key) % HASH_BUCKETS
    # Squared, so that most pairs interfere little and a few a lot.
    return MAX_PAIR_SLOWDOWN * (step / HASH_BUCKETS) ** 2


@attrs.frozen
class ServiceSpec:
    """A latency-critical service that shares the worker.

    Attributes:
        service: Name of the service.
        resources: Resources reserved for it.
        load: Fraction of its processors in use, 0 to 1.
    """

    service: str
    resources: workers.Resources
    load: float = 0.5


@attrs.frozen
class WorkModel:
    """Properties of workloads that the scheduler cannot see.

    Attributes:
        seed: Selects the slowdowns of all pairs of job classes.
        size_factors: Ratio of real to declared size, by job class.
        time_factors: Ratio of real to declared run time, by job class.
    """

    seed: int = 1
    size_factors: Mapping[str, float] = attrs.field(factory=dict)
    time_factors: Mapping[str, float] = attrs.field(factory=dict)

    def pair_slowdown(self, victim: str, aggressor: str) -> float:
        """Returns a victim's slowdown by an aggressor that fills the worker."""
        return _pair_slowdown(self.seed, victim, aggressor)

    def size_factor(self, job_class: str) -> float:
        """Returns the ratio of real to declared size."""
        return self.size_factors.get(job_class, 1.0)

    def time_factor(self, job_class: str) -> float:
        """Returns the ratio of real to declared run time."""
        return self.time_factors.get(job_class, 1.0)


@attrs.frozen
class Workload:
    """A service or task on a worker, with the processors it really uses."""

    name: str
    job_class: str
    processors_milli: float


def slowdowns(
    model: WorkModel, workloads: Iterable[Workload], capacity_milli: int
) -> dict[str, float]:
    """Returns the slowdown of each workload by name; 1 when alone."""
    all_workloads = tuple(workloads)
    used = sum(workload.processors_milli for workload in all_workloads)
    contention = max(1.0, used / max(capacity_milli, 1))
    load_by_class: dict[str, float] = {}
    for workload in all_workloads:
        load = workload.processors_milli / max(capacity_milli, 1)
        load_by_class[workload.job_class] = (
            load_by_class.get(workload.job_class, 0.0) + load
        )
    slowdown_by_name = {}
    for workload in all_workloads:
        own_load = workload.processors_milli / max(capacity_milli, 1)
        extra = sum(
            model.pair_slowdown(workload.job_class, job_class)
            * (load - own_load if job_class == workload.job_class else load)
            for job_class, load in load_by_class.items()
        )
        slowdown_by_name[workload.name] = contention * (1.0 + max(extra, 0.0))
    return slowdown_by_name


def add(left: workers.Resources, right: workers.Resources) -> workers.Resources:
    """Returns the sum in each dimension."""
    return workers.Resources(
        left.processors_milli + right.processors_milli,
        left.memory_mib + right.memory_mib,
        left.accelerators + right.accelerators,
    )


def fits(need: workers.Resources, capacity: workers.Resources) -> bool:
    """Returns whether `need` is within `capacity` in every dimension."""
    return (
        need.processors_milli <= capacity.processors_milli
        and need.memory_mib <= capacity.memory_mib
        and need.accelerators <= capacity.accelerators
    )


def always_fails(start: workers.StartTask) -> bool:
    """Returns whether an attempt fails on every worker."""
    return (
        start.job_class == FAILING_JOB_MARKER or FAILING_JOB_MARKER in start.job
    )

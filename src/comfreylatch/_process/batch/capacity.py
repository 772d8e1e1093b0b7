"""Ledger of free capacity by worker, indexed for placement."""

from __future__ import annotations

from collections.abc import Iterator
import itertools
from typing import final

import attrs

from comfreylatch._ports import workers

MAX_WORKERS_EXAMINED = 96
NO_RESOURCES = workers.Resources(0, 0, 0)


def add(left: workers.Resources, right: workers.Resources) -> workers.Resources:
    """Adds two amounts by dimension."""
    return workers.Resources(
        left.processors_milli + right.processors_milli,
        left.memory_mib + right.memory_mib,
        left.accelerators + right.accelerators,
    )


def subtract(
    left: workers.Resources, right: workers.Resources
) -> workers.Resources:
    """Subtracts by dimension; the result may be negative."""
    return workers.Resources(
        left.processors_milli - right.processors_milli,
        left.memory_mib - right.memory_mib,
        left.accelerators - right.accelerators,
    )


def minimum(
    left: workers.Resources, right: workers.Resources
) -> workers.Resources:
    """Returns the smaller amount by dimension."""
    return workers.Resources(
        min(left.processors_milli, right.processors_milli),
        min(left.memory_mib, right.memory_mib),
        min(left.accelerators, right.accelerators),
    )


def fits(size: workers.Resources, free: workers.Resources) -> bool:
    """Whether `size` fits into `free` in every dimension."""
    return (
        size.processors_milli <= free.processors_milli
        and size.memory_mib <= free.memory_mib
        and size.accelerators <= free.accelerators
    )


def insufficient_dimensions(
    size: workers.Resources, free: workers.Resources
) -> tuple[str, ...]:
    """Names of the dimensions in which `size` exceeds `free`."""
    return tuple(
        name
        for name in ("processors_milli", "memory_mib", "accelerators")
        if getattr(size, name) > getattr(free, name)
    )


@attrs.define(eq=False)
class WorkerAccount:
    """Capacity and reservations of one worker.

    Attributes:
        name: Name of the worker.
        rack: Its rack.
        total: Its total resources.
        services: Resources reserved by endpoints on it.
        schedulable: Whether new work may be placed on it.
        reserved: Sum of all attempts' reservations.
        by_job: Reservation of each attempt, by job.
        bucket: Bucket of the index that holds it; None if not schedulable.
    """

    name: str
    rack: str = ""
    total: workers.Resources = NO_RESOURCES
    services: workers.Resources = NO_RESOURCES
    schedulable: bool = False
    reserved: workers.Resources = NO_RESOURCES
    by_job: dict[str, workers.Resources] = attrs.field(factory=dict)
    bucket: tuple[int, int, int] | None = None

    @property
    def free(self) -> workers.Resources:
        """Free resources; negative if its total fell below reservations."""
        return subtract(subtract(self.total, self.services), self.reserved)

    @property
    def usable(self) -> workers.Resources:
        """Resources that batch work may use when nothing is reserved."""
        return subtract(self.total, self.services)


def _bucket_of(free: workers.Resources) -> tuple[int, int, int]:
    return (
        max(free.processors_milli, 0).bit_length(),
        max(free.memory_mib, 0).bit_length(),
        max(free.accelerators, 0).bit_length(),
    )


@final
class CapacityLedger:
    """Accounts of all workers of a zone. Not thread-safe.

    Schedulable workers are indexed in buckets by the binary order of magnitude
    of their free resources. A search visits buckets, whose number is fixed,
    and then a few workers of those buckets that can hold the size.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, WorkerAccount] = {}
        self._worker_by_job: dict[str, str] = {}
        self._buckets: dict[tuple[int, int, int], dict[str, None]] = {}

    def account(self, worker: str) -> WorkerAccount | None:
        """Returns a worker's account, or None."""
        return self._accounts.get(worker)

    def accounts(self) -> Iterator[WorkerAccount]:
        """Iterates over all accounts."""
        return iter(self._accounts.values())

    def set_worker(
        self,
        worker: str,
        rack: str,
        total: workers.Resources,
        services: workers.Resources,
        is_schedulable: bool,
    ) -> None:
        """Adds a worker or updates its resources."""
        account = self._accounts.get(worker)
        if account is None:
            account = WorkerAccount(worker)
            self._accounts[worker] = account
        account.rack = rack
        account.total = total
        account.services = services
        account.schedulable = is_schedulable
        self._index(account)

    def set_schedulable(self, worker: str, is_schedulable: bool) -> None:
        """Sets whether new work may be placed on a worker."""
        account = self._accounts.get(worker)
        if account is not None and account.schedulable != is_schedulable:
            account.schedulable = is_schedulable
            self._index(account)

    def remove_worker(self, worker: str) -> None:
        """Removes a worker that has no reservations."""
        account = self._accounts.get(worker)
        if account is None or account.by_job:
            return
        account.schedulable = False
        self._index(account)
        del self._accounts[worker]

    def reserve(self, job: str, worker: str, size: workers.Resources) -> None:
        """Reserves resources for a job, replacing its earlier reservation."""
        self.release(job)
        account = self._accounts.get(worker)
        if account is None:
            account = WorkerAccount(worker)
            self._accounts[worker] = account
        account.by_job[job] = size
        account.reserved = add(account.reserved, size)
        self._worker_by_job[job] = worker
        self._index(account)

    def release(self, job: str) -> str | None:
        """Releases a job's reservation; returns the worker it was on."""
        worker = self._worker_by_job.pop(job, None)
        if worker is None:
            return None
        account = self._accounts[worker]
        size = account.by_job.pop(job)
        account.reserved = subtract(account.reserved, size)
        self._index(account)
        return worker

    def worker_of(self, job: str) -> str | None:
        """Returns the worker on which a job has a reservation, or None."""
        return self._worker_by_job.get(job)

    def candidates(
        self, size: workers.Resources, limit: int
    ) -> list[WorkerAccount]:
        """Finds up to `limit` schedulable workers with enough free capacity.

        Starts with the buckets that have least free and examines at most
        `MAX_WORKERS_EXAMINED` workers. Those with too little move to the end
        of their bucket, so that later searches see others.
        """
        min_bucket = _bucket_of(size)
        reachable = sorted(
            bucket
            for bucket in self._buckets
            if bucket[0] >= min_bucket[0]
            and bucket[1] >= min_bucket[1]
            and bucket[2] >= min_bucket[2]
        )
        fitting: list[WorkerAccount] = []
        examinations_left = MAX_WORKERS_EXAMINED
        for bucket in reachable:
            names = self._buckets[bucket]
            for name in list(itertools.islice(names, examinations_left)):
                examinations_left -= 1
                account = self._accounts[name]
                if not fits(size, account.free):
                    # The next search starts with others of this bucket.
                    del names[name]
                    names[name] = None
                    continue
                fitting.append(account)
                if len(fitting) >= limit:
                    return fitting
        return fitting

    def _index(self, account: WorkerAccount) -> None:
        bucket = _bucket_of(account.free) if account.schedulable else None
        if bucket == account.bucket:
            return
        if account.bucket is not None:
            names = self._buckets[account.bucket]
            del names[account.name]
            if not names:
                del self._buckets[account.bucket]
        if bucket is not None:
            self._buckets.setdefault(bucket, {})[account.name] = None
        account.bucket = bucket

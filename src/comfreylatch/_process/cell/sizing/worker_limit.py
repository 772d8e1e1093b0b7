"""Limits the workers that one owner drives to what its host can bear.

An owner that tries to drive more gets to none of them in time: leases expire
and no task starts. Within the limit, the others stay idle until an owner with
more processors takes over or workers leave.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping

import xxhash

from comfreylatch._ports import cell_workers

# An owner of 999 workers used 0.9 ms of a core for each of them in a second,
# all of its work included.
WORKERS_PER_CORE = 1_000
# One connection and one thread for the call that renews the lease, one of each
# for orders.
CONNECTIONS_PER_WORKER = 2
THREADS_PER_WORKER = 2
# An owner of more workers came to a halt at 1,020 connections on the users'
# hosts. That its threads were the cause is inferred; no log showed it.
MAX_THREADS = 1_900
# Descriptors for callers, the store, files and the platform.
RESERVED_DESCRIPTORS = 600


def max_workers(cpu_cores: float, descriptors: int) -> int:
    """Returns how many workers an owner on a host drives.

    Args:
        cpu_cores: Processors that the host's process may use.
        descriptors: Descriptors that it may open; 0 if that isn't limited.
    """
    limit = min(
        int(WORKERS_PER_CORE * cpu_cores), MAX_THREADS // THREADS_PER_WORKER
    )
    if descriptors:
        available = descriptors - RESERVED_DESCRIPTORS
        limit = min(limit, available // CONNECTIONS_PER_WORKER)
    return max(limit, 1)


def select(
    entries: Mapping[str, cell_workers.WorkerEntry],
    known: Collection[str],
    limit: int,
) -> dict[str, cell_workers.WorkerEntry]:
    """Returns the listed workers that an owner drives.

    Those with runs or sessions stay; others are added in an order that is the
    same for all owners and spreads over zones, racks and kinds.

    Args:
        entries: All listed workers by their ids.
        known: Ids of workers that this owner drives or that may have runs of a
            previous owner.
        limit: Most workers to drive.
    """
    if len(entries) <= limit:
        return dict(entries)
    selected = {
        worker_id: entry
        for worker_id, entry in entries.items()
        if worker_id in known
    }
    others = sorted(
        (worker_id for worker_id in entries if worker_id not in known),
        key=lambda worker_id: xxhash.xxh64_intdigest(
            entries[worker_id].address.encode()
        ),
    )
    for worker_id in others[: max(limit - len(selected), 0)]:
        selected[worker_id] = entries[worker_id]
    return selected

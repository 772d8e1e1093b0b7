"""Collaborators that a host provides to the owner of a cell."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from comfreylatch._ports import advice as advice_port
from comfreylatch._ports import cell_workers
from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import evacuations
from comfreylatch._ports import machines as machines_port
from comfreylatch._ports import store as store_port
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.cell import interference
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import (
    partition_reader as partition_reader_module,
)
from comfreylatch._process.cell import worker_session
from comfreylatch._process.cell.carryover import former_leases
from comfreylatch._process.cell.listing import service_filter
from comfreylatch._process.cell.record_size import limits


@attrs.frozen
class OwnerDependencies:
    """Collaborators and limits that a host provides to the owner of a cell.

    Attributes:
        cell: Number of the cell.
        store: The platform's store.
        replica: This host's replica of the cell's jobs.
        jobs_reader: Reads the topic of jobs into the replica.
        connect: Connects to a worker.
        advice_service: Advises on which workers may run a step; None if no such
            service is configured.
        machines: API for the machines under the workers; None if it is not
            configured.
        waves: Returns the maintenance waves that operators have requested.
        evacuations: The zones that operators have evacuated.
        handover_ms: Duration of the platform's lease on a machine, in which
            two hosts must not both give orders for it; a new owner waits for
            so long before its first maintenance order.
        follow_workers: Creates a reader that reports all workers of the cell
            at each change.
        lease_ms: Duration of a lease on a worker's runs.
        max_lease_ms: Longest lease that a worker grants.
        max_disruption_ms: How long a lasting task may be over its tail target
            while filling tasks work beside it.
        guards_capacity: Whether the workers of a service, by its name, refuse
            tasks that exceed their capacity.
        configured_services: The services that the configurations so far name;
            None before the first one.
        store_limits: Limits of the store on records and appends.
        max_workers: Most workers that an owner on this host drives.
        remote_penalty: Factor by which a task lasts longer away from the rack
            of its data or its group.
        keep_ended_ms: Retention time of the state of an ended job.
        metrics: Counts claims, ownerships and the owner's decisions.
        clock: Source of wall and monotonic time.
    """

    cell: int
    store: store_port.RecordStore
    replica: job_replica.JobReplica
    jobs_reader: partition_reader_module.PartitionReader
    connect: worker_session.Connect
    follow_workers: Callable[
        [Callable[[dict[str, cell_workers.WorkerEntry]], None]],
        partition_reader_module.PartitionReader,
    ]
    lease_ms: int
    keep_ended_ms: int
    metrics: metrics_module.Metrics
    clock: clock_port.Clock
    advice_service: advice_port.AdviceService | None = None
    machines: machines_port.Machines | None = None
    waves: Callable[[], tuple[machines_port.Wave, ...]] = tuple
    evacuations: evacuations.EvacuationFeed = evacuations.EvacuationFeed()
    handover_ms: int = 0
    configured_services: service_filter.ConfiguredServices = lambda: None
    store_limits: limits.StoreLimits = limits.StoreLimits()
    max_workers: int = 1 << 30
    remote_penalty: float = 1.0
    guards_capacity: Callable[[str], bool] = lambda _: True
    max_disruption_ms: int = interference.DEFAULT_MAX_DISRUPTION_MS
    max_lease_ms: int = former_leases.DEFAULT_MAX_LEASE_MS

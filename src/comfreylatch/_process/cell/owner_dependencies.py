"""What a tenure over a cell needs of its host."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from comfreylatch._ports import advice as advice_port
from comfreylatch._ports import cell_workers
from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import machines as machines_port
from comfreylatch._ports import store as store_port
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import (
    partition_reader as partition_reader_module,
)
from comfreylatch._process.cell import worker_session


@attrs.frozen
class OwnerDependencies:
    """What a tenure needs of its host.

    Attributes:
        cell: Number of the cell.
        store: The platform's store.
        book: View of the cell's jobs.
        jobs_tail: Feeds the book.
        connect: Opens the orders to a worker.
        adviser: Gives advice on steps; None where there is no such service.
        machines: The machines under the workers; None where they can't be had.
        waves: Waves of maintenance that operators want.
        handover_ms: Time in which two hosts must not both order something of
            one machine.
        follow_workers: Makes a tail that reports all workers of the cell
            at each change.
        lease_ms: Length of leases at workers.
        keep_ended_ms: How long the state of an ended job is kept.
        metrics: Counts claims, tenures and what the owner does.
        clock: For all times.
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
    handover_ms: int = 0

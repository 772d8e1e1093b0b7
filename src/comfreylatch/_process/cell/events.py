"""What the owner's thread is told by the threads around it."""

from __future__ import annotations

import attrs
import result

from comfreylatch._ports import advice as advice_port
from comfreylatch._ports import cell_workers
from comfreylatch._ports import machines as machines_port
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import runs as runs_module


@attrs.frozen
class JobChanged:
    """A job was accepted or cancelled."""

    change: job_replica.JobChange


@attrs.frozen
class WorkersListed:
    """The workers that the platform lists, whole."""

    entries: dict[str, cell_workers.WorkerEntry]


@attrs.frozen
class HoldReturned:
    """A worker answered a hold, or did not.

    Attributes:
        worker_id: The worker.
        born_ms: Its life.
        sent_ms: Monotonic time before the call.
        received_ms: Monotonic time after it.
        deadline_ms: Lease end that was sent, on the worker's clock.
        outcome: What came of it.
    """

    worker_id: str
    born_ms: int
    sent_ms: int
    received_ms: int
    deadline_ms: int
    outcome: result.Result[cell_workers.HoldAnswer, cell_workers.OrderError]


@attrs.frozen
class StartReturned:
    """A start was answered, or not. `tries` counts its sendings."""

    run: runs_module.Run
    sent_ms: int
    tries: int
    outcome: result.Result[int, cell_workers.OrderError]


@attrs.frozen
class StopReturned:
    """A stop was answered, or not; `run` is None for what we don't know."""

    worker_id: str
    run: runs_module.Run | None
    outcome: result.Result[int, cell_workers.OrderError]


@attrs.frozen
class AdviceReturned:
    """A call for advice was answered, or not.

    Attributes:
        step: The step that it was about.
        workers: Birth times of the workers named, by id.
        sent_ms: Monotonic time before the call.
        received_ms: Monotonic time after it.
        outcome: What came of it.
    """

    step: runs_module.StepInstance
    workers: dict[str, int]
    sent_ms: int
    received_ms: int
    outcome: result.Result[advice_port.Advice, advice_port.AdviceUnavailable]


@attrs.frozen
class MachinesListed:
    """Machines were listed, or not. `sent_ms` is from before the call."""

    sent_ms: int
    outcome: result.Result[
        tuple[machines_port.Machine, ...], machines_port.MachinesUnavailable
    ]


@attrs.frozen
class MaintenanceReturned:
    """The order for a machine's maintenance was answered, or not."""

    machine_id: str
    wave: int
    outcome: result.Result[None, machines_port.MaintenanceError]


@attrs.frozen
class ReportFailed:
    """The operators could not be told of a wave."""

    wave: int


@attrs.frozen
class WorkersRecorded:
    """The store knows of the workers on which something may run.

    Attributes:
        born_ms: Their lives, by worker.
    """

    born_ms: dict[str, int]


@attrs.frozen
class Fenced:
    """Another host owns the cell."""

    detail: str


Event = (
    JobChanged
    | WorkersListed
    | HoldReturned
    | StartReturned
    | StopReturned
    | AdviceReturned
    | MachinesListed
    | MaintenanceReturned
    | ReportFailed
    | WorkersRecorded
    | Fenced
)

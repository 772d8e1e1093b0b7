"""Events that other threads queue for the owner's thread."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import result

from comfreylatch._ports import advice as advice_port
from comfreylatch._ports import cell_workers
from comfreylatch._ports import machines as machines_port
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import specs
from comfreylatch._process.cell.explaining import answers


@attrs.frozen
class JobChanged:
    """A job was accepted or cancelled."""

    change: job_replica.JobChange


@attrs.frozen
class WorkersListed:
    """The platform's complete list of workers has changed."""

    entries: dict[str, cell_workers.WorkerEntry]


@attrs.frozen
class HoldReturned:
    """A hold call, which renews a worker's lease, returned or failed.

    Attributes:
        worker_id: The worker.
        born_ms: Identifies the worker's incarnation.
        sent_ms: Monotonic time before the call.
        received_ms: Monotonic time after the call.
        deadline_ms: Requested end of the lease, on the worker's clock.
        outcome: The worker's answer or the error.
    """

    worker_id: str
    born_ms: int
    sent_ms: int
    received_ms: int
    deadline_ms: int
    outcome: result.Result[cell_workers.HoldAnswer, cell_workers.OrderError]


@attrs.frozen
class StartReturned:
    """A start order returned or failed after a number of `tries`."""

    run: runs_module.Run
    sent_ms: int
    tries: int
    outcome: result.Result[int, cell_workers.OrderError]

    @property
    def unanswered_tries(self) -> int:
        """Number of tries that the worker may still carry out."""
        match self.outcome:
            case result.Err(cell_workers.OrderUnanswered()):
                return self.tries
        return max(self.tries - 1, 0)


@attrs.frozen
class StopReturned:
    """A stop order returned or failed; `run` is None for an unknown run."""

    worker_id: str
    run: runs_module.Run | None
    outcome: result.Result[int, cell_workers.OrderError]


@attrs.frozen
class AdviceReturned:
    """A request for advice returned or failed.

    Attributes:
        step: The step that it was for.
        workers: Incarnations of the candidate workers, by worker id.
        sent_ms: Monotonic time before the call.
        received_ms: Monotonic time after the call.
        outcome: The advice or the error.
    """

    step: runs_module.StepInstance
    workers: dict[str, int]
    sent_ms: int
    received_ms: int
    outcome: result.Result[advice_port.Advice, advice_port.AdviceUnavailable]


@attrs.frozen
class MachinesListed:
    """A request for the list of machines returned or failed.

    Attributes:
        sent_ms: Monotonic time before the call.
        outcome: The machines or the error.
    """

    sent_ms: int
    outcome: result.Result[
        tuple[machines_port.Machine, ...], machines_port.MachinesUnavailable
    ]


@attrs.frozen
class MaintenanceReturned:
    """The order for a machine's maintenance returned or failed."""

    machine_id: str
    wave: int
    outcome: result.Result[None, machines_port.MaintenanceError]


@attrs.frozen
class ReportFailed:
    """The report of a wave to the operators failed."""

    wave: int


@attrs.frozen
class WorkersRecorded:
    """The record of the workers that may have runs is stored.

    Attributes:
        born_ms: Recorded incarnations, by worker id.
    """

    born_ms: dict[str, int]


@attrs.frozen
class StartsRecorded:
    """The records of runs are stored that have to precede their starts.

    Attributes:
        runs: The runs.
        reserved: Highest run number that the records reserve, by job.
    """

    runs: tuple[runs_module.Run, ...]
    reserved: dict[runs_module.ActiveJob, int] = attrs.field(factory=dict)


@attrs.frozen
class PlacementAsked:
    """Somebody asks where a job would go now.

    Attributes:
        spec: The job, which is not stored.
        answer: Called with the explanation, on the owner's thread; with None
            if there is none.
    """

    spec: specs.JobSpec
    answer: Callable[[answers.PlacementExplanation | None], None]


@attrs.frozen
class Fenced:
    """The store accepts no more records of this owner."""

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
    | StartsRecorded
    | PlacementAsked
    | Fenced
)

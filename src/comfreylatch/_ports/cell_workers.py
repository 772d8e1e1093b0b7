"""Interface to the workers that run the tasks of a cell.

A worker runs tasks under one lease with a deadline on its own clock. It obeys
the highest fencing token that it has seen and refuses lower ones. Each start
of a task has a run number; the run numbers of a task only increase.
"""

from __future__ import annotations

import enum
from typing import Protocol

import attrs
import result

# Most ends of runs that a worker lists in one answer to a hold call. It lists
# further ones once these are acknowledged.
MAX_LISTED_ENDS = 500


@attrs.frozen
class Resources:
    """Resources that a worker has or a task needs."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus: int = 0


@attrs.frozen
class WorkerEntry:
    """Entry that a worker publishes about itself.

    Attributes:
        worker_id: Name of the worker; its incarnations may share it.
        address: `IP:port` that accepts orders.
        service: Pool that it belongs to.
        zone: Its availability zone.
        is_draining: Whether it shuts down soon and accepts no new tasks.
        capacity: Resources that all its tasks may use in total.
        labels: Labels for its kind and its rack.
        born_ms: Wall time at which this incarnation started, which
            identifies it.
    """

    worker_id: str
    address: str
    service: str
    zone: str
    is_draining: bool
    capacity: Resources
    labels: tuple[str, ...]
    born_ms: int


class RunEnd(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@attrs.frozen
class RunningTask:
    """A task that a worker is running.

    Attributes:
        task: Task id.
        run: Run number.
        checkpoint: Latest checkpoint; empty for none.
        percent: Progress, or 100 for a lasting task that is running.
        reading: Tail latency in milliseconds for a task with a tail target,
            else the millicores in use; a rough recent measurement.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    reading: int


@attrs.frozen
class EndedRun:
    """An ended run, reported until `number` is acknowledged.

    Attributes:
        number: Number of this end; a worker numbers its ends in order.
        task: Task id.
        run: Run number.
        how: How the run ended.
        checkpoint: Last checkpoint; empty for none.
    """

    number: int
    task: str
    run: int
    how: RunEnd
    checkpoint: str


@attrs.frozen
class HoldAnswer:
    """A worker's clock, its running tasks and its unacknowledged ends."""

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]

    @property
    def lists_all_ends(self) -> bool:
        """Whether no further ends wait for these to be acknowledged."""
        return len(self.ended) < MAX_LISTED_ENDS


@attrs.frozen
class HoldOrder:
    """Renews the lease of a worker and requests its lists of runs.

    Attributes:
        token: Fencing token.
        acknowledged_end: Ends up to this number are recorded; the worker may
            drop them.
        deadline_ms: New end of the lease on the worker's clock; 0 keeps the
            current one.
        wait_ms: Maximum time the worker may wait for an end before it
            answers.
    """

    token: int
    acknowledged_end: int
    deadline_ms: int
    wait_ms: int


@attrs.frozen
class StartOrder:
    """Starts one run of a task.

    Attributes:
        task: Task id.
        run: Run number.
        payload: Text passed to the task.
        deadline_ms: New end of the lease on the worker's clock.
        token: Fencing token.
        checkpoint: Checkpoint to resume from; empty to start anew.
        ticket: Ticket of the advice service; empty if none is required.
    """

    task: str
    run: int
    payload: str
    deadline_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


@attrs.frozen
class StopOrder:
    """Stops one run of a task, which writes a final checkpoint."""

    task: str
    run: int
    token: int


@attrs.frozen
class PaceOrder:
    """Limits a run to a percentage of its normal usage; 100 for no limit."""

    task: str
    run: int
    percent: int
    token: int


class Refusal(enum.StrEnum):
    """Why a worker refused an order."""

    FENCED = "fenced"
    OLD_RUN = "old-run"
    TOO_LATE = "too-late"
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    OTHER_INCARNATION = "other-life"
    UNHEALTHY = "unhealthy"
    BAD_ORDER = "bad-order"


@attrs.frozen
class OrderRefused:
    """The worker refused the order and did not carry it out."""

    reason: Refusal


@attrs.frozen
class OrderNotSent:
    """No connection could be made; the worker has not seen the order."""

    detail: str


@attrs.frozen
class OrderUnanswered:
    """No valid answer; the order may be carried out now, later or never."""

    detail: str


OrderError = OrderRefused | OrderNotSent | OrderUnanswered


class WorkerOrders(Protocol):
    """Sends orders to one incarnation of a worker. Thread-safe."""

    def hold(
        self, order: HoldOrder, timeout_ms: int
    ) -> result.Result[HoldAnswer, OrderError]:
        """Renews the lease and returns the worker's lists of runs."""
        ...

    def start(
        self, order: StartOrder, timeout_ms: int
    ) -> result.Result[int, OrderError]:
        """Starts a run; Ok holds the worker's clock.

        Succeeds as well if the run has been started before.
        """
        ...

    def stop(
        self, order: StopOrder, timeout_ms: int
    ) -> result.Result[int, OrderError]:
        """Stops a run and prevents it from starting later."""
        ...

    def pace(
        self, order: PaceOrder, timeout_ms: int
    ) -> result.Result[int, OrderError]:
        """Sets the percentage of its normal usage that a run may use."""
        ...

    def close(self) -> None:
        """Closes all connections."""
        ...

"""Workers that run the tasks of a cell, as the rest of the program sees them.

A worker runs tasks under one lease with a deadline on its own clock. It obeys
the highest fencing token that it has seen and ignores lower ones. Each start
of a task has a run number; numbers of a task only rise.
"""

from __future__ import annotations

import enum
from typing import Protocol

import attrs
import result


@attrs.frozen
class Resources:
    """What a worker has, or a task needs."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus: int = 0


@attrs.frozen
class WorkerEntry:
    """What a worker publishes about itself.

    Attributes:
        worker_id: Its name; a new life may have the same one.
        address: `IP:port` for orders.
        service: The pool it belongs to.
        zone: Its availability zone.
        is_draining: It leaves soon and takes nothing new.
        capacity: What all its tasks together may use.
        labels: Its kind and its rack.
        born_ms: Wall time at which this life began, which identifies it.
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
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@attrs.frozen
class RunningTask:
    """A task that a worker runs.

    Attributes:
        task: Its id.
        run: Its run number.
        checkpoint: Newest checkpoint; empty when there is none.
        percent: Progress, or 100 for a lasting task that is at work.
        reading: For a task with a tail target its tail in milliseconds, for
            others the millicores in use; a rough figure of the last moments.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    reading: int


@attrs.frozen
class EndedRun:
    """An end that a worker reports until it is acknowledged by number."""

    number: int
    task: str
    run: int
    how: RunEnd
    checkpoint: str


@attrs.frozen
class HoldAnswer:
    """A worker's own clock, and all that it runs and has ended."""

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]


@attrs.frozen
class HoldOrder:
    """Renews the lease of all that a worker runs and asks for its lists.

    Attributes:
        token: Fencing token.
        seen_end: Ends up to this number are recorded and may be forgotten.
        deadline_ms: New end of the lease on the worker's clock; 0 leaves it.
        wait_ms: How long the worker may wait for an end before it answers.
    """

    token: int
    acknowledged_end: int
    deadline_ms: int
    wait_ms: int


@attrs.frozen
class StartOrder:
    """Starts one run of a task."""

    task: str
    run: int
    payload: str
    deadline_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


@attrs.frozen
class StopOrder:
    """Ends one run of a task, which makes a last checkpoint."""

    task: str
    run: int
    token: int


@attrs.frozen
class PaceOrder:
    """Lets a task use a share of what it would use; 100 is all of it."""

    task: str
    run: int
    percent: int
    token: int


class Refusal(enum.StrEnum):
    """Why a worker did not do what it was told."""

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
    """The worker answered that it has not carried out the order."""

    reason: Refusal


@attrs.frozen
class OrderNotSent:
    """No connection could be made; the worker knows nothing of the order."""

    detail: str


@attrs.frozen
class OrderUnanswered:
    """No answer came; the order may be carried out now, later or never."""

    detail: str


OrderError = OrderRefused | OrderNotSent | OrderUnanswered


class WorkerOrders(Protocol):
    """Orders to one life of one worker. Calls may overlap."""

    def hold(
        self, order: HoldOrder, timeout_ms: int
    ) -> result.Result[HoldAnswer, OrderError]:
        """Renews the lease and returns the worker's lists."""
        ...

    def start(
        self, order: StartOrder, timeout_ms: int
    ) -> result.Result[int, OrderError]:
        """Starts a run; Ok, with the worker's clock, also when it runs."""
        ...

    def stop(
        self, order: StopOrder, timeout_ms: int
    ) -> result.Result[int, OrderError]:
        """Stops a run, and keeps it from starting later."""
        ...

    def pace(
        self, order: PaceOrder, timeout_ms: int
    ) -> result.Result[int, OrderError]:
        """Sets the pace of a run."""
        ...

    def close(self) -> None:
        """Closes all connections."""
        ...

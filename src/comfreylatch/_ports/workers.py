"""The platform's control of workers: leases, commands and reports.

One call, `exchange`, carries everything between an owner host and a worker.
A worker numbers its reports. An exchange quotes the report it is based on, and
the worker refuses commands whose quoted report is older than the worker's own
`command_ttl_ms`, by its own clock; a command that lay in a buffer while its
sender was frozen thus goes stale. An exchange with a lower term than one the
worker has seen is refused whole. A worker whose lease lapses stops every task
it runs and keeps their last checkpoints.
"""

from __future__ import annotations

import enum
from typing import Protocol

import attrs
import result


class TaskState(enum.StrEnum):
    """State of one attempt, as the worker tells it."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


class CommandStatus(enum.StrEnum):
    """What a worker did with one command."""

    DONE = "done"
    REFUSED_STALE = "refused-stale"
    REFUSED_TERM = "refused-term"
    REFUSED_LEASE = "refused-lease"
    REFUSED_CAPACITY = "refused-capacity"
    REFUSED_DUPLICATE = "refused-duplicate"
    UNKNOWN_ATTEMPT = "unknown-attempt"


@attrs.frozen
class Resources:
    """Amounts of what a host has or a task needs, in whole units."""

    processors_milli: int
    memory_mib: int
    accelerators: int = 0


@attrs.frozen
class StartTask:
    """Starts an attempt, from a checkpoint if there is one.

    Attributes:
        job: Job id.
        attempt: Number of the attempt, from 1.
        job_class: What kind of work it is, for interference and run times.
        resources: What the attempt may use.
        run_time_ms: Declared run time, unthrottled and undisturbed.
        checkpoint_ms: Progress at which to resume; 0 starts afresh.
    """

    job: str
    attempt: int
    job_class: str
    resources: Resources
    run_time_ms: int
    checkpoint_ms: int = 0


@attrs.frozen
class StopTask:
    """Stops an attempt; the answer's task line says how far it came."""

    job: str
    attempt: int


@attrs.frozen
class CheckpointTask:
    """Makes an attempt write a checkpoint now."""

    job: str
    attempt: int


@attrs.frozen
class ThrottleTask:
    """Limits an attempt to a share of its processors, in thousandths."""

    job: str
    attempt: int
    share_milli: int


Command = StartTask | StopTask | CheckpointTask | ThrottleTask


@attrs.frozen
class Exchange:
    """One call to a worker.

    Attributes:
        owner: Host id of the caller.
        term: Term of the caller's claim on the zone.
        quoted_report: Number of the worker's report this is based on; 0 asks
            for a first report and may carry no commands and no lease.
        lease_ms: How long the lease shall last from the worker's receipt; 0
            leaves the lease as it is.
        commands: Carried out in order.
    """

    owner: str
    term: int
    quoted_report: int
    lease_ms: int
    commands: tuple[Command, ...] = ()


@attrs.frozen
class TaskStatus:
    """One attempt in a worker's report.

    Attributes:
        job: Job id.
        attempt: Attempt number.
        state: Running or how it ended. Ended lines are kept by the worker
            until a later exchange with a command for them, or for a while.
        progress_ms: Work done so far, in undisturbed run time.
        checkpoint_ms: Progress at the last checkpoint.
        share_milli: Throttle in force, 1000 when none.
    """

    job: str
    attempt: int
    state: TaskState
    progress_ms: int
    checkpoint_ms: int
    share_milli: int


@attrs.frozen
class Usage:
    """Measured usage; it arrives late.

    Attributes:
        age_ms: How old the measurement is, by the worker's clock.
        processors_milli: Processor use of the whole host.
        memory_mib: Memory use of the whole host.
        services: Slowdown per latency-critical service on the host.
        tasks: Slowdown per running batch attempt.
    """

    age_ms: int
    processors_milli: int
    memory_mib: int
    services: tuple[ServiceSlowdown, ...] = ()
    tasks: tuple[TaskSlowdown, ...] = ()


@attrs.frozen
class ServiceSlowdown:
    """How much slower a service answered than when alone, in thousandths."""

    service: str
    slowdown_milli: int


@attrs.frozen
class TaskSlowdown:
    """How much slower an attempt ran than when alone, in thousandths."""

    job: str
    attempt: int
    slowdown_milli: int
    processors_milli: int
    memory_mib: int


@attrs.frozen
class WorkerReport:
    """A worker's answer to an exchange.

    Attributes:
        worker: Name of the worker.
        boot: Changes whenever the worker restarts.
        report: Number of this report, rising within a boot.
        highest_term: Highest term the worker has seen.
        lease_left_ms: What is left of the lease; 0 when lapsed.
        capacity: What the worker has.
        tasks: Running and recently ended attempts.
        usage: Late measurements; the latest is last.
        statuses: One per command of the exchange, in order.
    """

    worker: str
    boot: str
    report: int
    highest_term: int
    lease_left_ms: int
    capacity: Resources
    tasks: tuple[TaskStatus, ...] = ()
    usage: tuple[Usage, ...] = ()
    statuses: tuple[CommandStatus, ...] = ()


@attrs.frozen
class WorkerUnreachable:
    """No byte of the exchange reached the worker."""

    detail: str


@attrs.frozen
class WorkerAnswerLost:
    """The exchange was sent; the worker may have carried it out."""

    detail: str


WorkerError = WorkerUnreachable | WorkerAnswerLost


class WorkerPort(Protocol):
    """Access to workers by address."""

    def exchange(
        self, address: str, exchange: Exchange, timeout_ms: int
    ) -> result.Result[WorkerReport, WorkerError]:
        """Sends one exchange and returns the worker's report."""
        ...

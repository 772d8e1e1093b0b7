"""Interface to the platform's workers: leases, commands and reports.

One call, `exchange`, carries all communication between an owner host and a
worker. A worker numbers its reports, and an exchange quotes the report it is
based on. The worker refuses commands whose quoted report is older than its
`command_ttl_ms` by its own clock, so that a command delayed in a buffer while
its sender was suspended is not carried out. An exchange with a lower term than
the worker has seen is refused completely. A worker whose lease expires stops
all its tasks and keeps their last checkpoints.
"""

from __future__ import annotations

import enum
from typing import Protocol

import attrs
import result


class TaskState(enum.StrEnum):
    """State of an attempt, as reported by the worker."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


class CommandStatus(enum.StrEnum):
    """Outcome of a command on a worker."""

    DONE = "done"
    REFUSED_STALE = "refused-stale"
    REFUSED_TERM = "refused-term"
    REFUSED_LEASE = "refused-lease"
    REFUSED_CAPACITY = "refused-capacity"
    REFUSED_DUPLICATE = "refused-duplicate"
    UNKNOWN_ATTEMPT = "unknown-attempt"


@attrs.frozen
class Resources:
    """Resources that a host has or a task needs, in whole units."""

    processors_milli: int
    memory_mib: int
    accelerators: int = 0


@attrs.frozen
class StartTask:
    """Starts an attempt, from a checkpoint if there is one.

    Attributes:
        job: Job id.
        attempt: Number of the attempt, from 1.
        job_class: Kind of work, by which interference and run times are
            learned.
        resources: Resources that the attempt may use.
        run_time_ms: Declared run time without throttling or interference.
        checkpoint_ms: Progress from which to resume; 0 to start anew.
    """

    job: str
    attempt: int
    job_class: str
    resources: Resources
    run_time_ms: int
    checkpoint_ms: int = 0


@attrs.frozen
class StopTask:
    """Stops an attempt; the report contains its final progress."""

    job: str
    attempt: int


@attrs.frozen
class CheckpointTask:
    """Makes an attempt write a checkpoint immediately."""

    job: str
    attempt: int


@attrs.frozen
class ThrottleTask:
    """Limits an attempt to a share of its processors, in thousandths."""

    job: str
    attempt: int
    share_milli: int


@attrs.frozen
class ForgetTask:
    """Acknowledges the end of an attempt, which is no longer reported then.

    It has no effect on a running attempt.
    """

    job: str
    attempt: int


Command = StartTask | StopTask | CheckpointTask | ThrottleTask | ForgetTask


@attrs.frozen
class Exchange:
    """One call to a worker.

    Attributes:
        owner: Host id of the caller.
        term: Term of the caller's claim on the zone.
        quoted_report: Number of the worker's report this is based on; 0
            requests a first report, without commands or a lease.
        lease_ms: Duration of the lease from its receipt by the worker; 0
            leaves the lease unchanged.
        commands: Commands to carry out, in order.
    """

    owner: str
    term: int
    quoted_report: int
    lease_ms: int
    commands: tuple[Command, ...] = ()


@attrs.frozen
class TaskStatus:
    """Status of an attempt in a worker's report.

    Attributes:
        job: Job id.
        attempt: Attempt number.
        state: Running, or how it ended. The worker reports an ended attempt
            until it is told to forget it, or for some time.
        progress_ms: Work done so far, as run time without interference.
        checkpoint_ms: Progress at the last checkpoint.
        share_milli: Current throttle in thousandths; 1000 for none.
    """

    job: str
    attempt: int
    state: TaskState
    progress_ms: int
    checkpoint_ms: int
    share_milli: int


@attrs.frozen
class Usage:
    """Measured usage, which arrives with a delay.

    Attributes:
        age_ms: Age of the measurement by the worker's clock.
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
    """Slowdown of a service relative to running alone, in thousandths."""

    service: str
    slowdown_milli: int


@attrs.frozen
class TaskSlowdown:
    """Slowdown of an attempt relative to running alone, in thousandths."""

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
        report: Number of this report, increasing within a boot.
        highest_term: Highest term the worker has seen.
        lease_left_ms: Remaining time of the lease; 0 if expired.
        capacity: Resources of the worker.
        tasks: Running and recently ended attempts.
        usage: Delayed measurements, oldest first.
        statuses: Outcomes of the exchange's commands, in order.
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
    """No part of the exchange reached the worker."""

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

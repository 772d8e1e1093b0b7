"""Specs, tasks and journal events of the stand-in workers."""

from __future__ import annotations

import attrs

from comfreylatch._ports import workers
from testing.standins import worker_model as models

TaskKey = tuple[str, int]


@attrs.frozen
class WorkerSpec:
    """One worker of the process.

    Attributes:
        name: Name, as in the host list.
        port: Port to listen on; 0 takes a free one.
        capacity: What it has.
        services: Latency-critical services that share it.
        guards: Whether it refuses what does not fit.
        usage_lag_ms: Age at which measurements get into reports.
    """

    name: str
    capacity: workers.Resources
    port: int = 0
    services: tuple[models.ServiceSpec, ...] = ()
    guards: bool = True
    usage_lag_ms: int = 2_000


@attrs.define
class WorkerFaults:
    """Faults in force at one worker."""

    pause: bool = False
    refuse: bool = False
    fail_all: bool = False


@attrs.frozen
class WorkerEvent:
    """What happened on a worker.

    Attributes:
        kind: `start`, `end`, `checkpoint`, `throttle`, `lapse`, `boot`,
            `kill`, `term` or a command's refusal (`refused-...`).
        detail: How an attempt ended (`finished`, `failed`, `stopped`,
            `lapsed`, `killed`, `memory`), or the owner or share.
        progress_ms: Of the attempt; where a start resumed.
        used: Declared sizes on the worker after the event, services included.
    """

    at_ms: float
    worker: str
    boot: str
    kind: str
    job: str
    attempt: int
    term: int
    detail: str
    progress_ms: int
    used: workers.Resources
    capacity: workers.Resources


@attrs.define
class Task:
    """One attempt."""

    start: workers.StartTask
    progress_ms: float
    checkpoint_ms: float
    share_milli: int = models.FULL_SHARE_MILLI
    state: workers.TaskState = workers.TaskState.RUNNING
    ran_ms: float = 0.0
    ended_ms: float = 0.0

    @property
    def key(self) -> TaskKey:
        """Job and attempt."""
        return (self.start.job, self.start.attempt)

    @property
    def name(self) -> str:
        """Job and attempt as one text."""
        return f"{self.start.job}/{self.start.attempt}"

    @property
    def running(self) -> bool:
        """Whether it still runs."""
        return self.state == workers.TaskState.RUNNING

    def to_status(self) -> workers.TaskStatus:
        """As reported."""
        return workers.TaskStatus(
            job=self.start.job,
            attempt=self.start.attempt,
            state=self.state,
            progress_ms=int(self.progress_ms),
            checkpoint_ms=int(self.checkpoint_ms),
            share_milli=self.share_milli,
        )

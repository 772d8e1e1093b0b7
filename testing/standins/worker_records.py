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
        port: Port to listen on; 0 selects a free one.
        capacity: Resources of the worker.
        services: Latency-critical services that share it.
        guards: Whether it refuses starts that exceed its capacity.
        usage_lag_ms: Age at which usage samples are reported.
    """

    name: str
    capacity: workers.Resources
    port: int = 0
    services: tuple[models.ServiceSpec, ...] = ()
    guards: bool = True
    usage_lag_ms: int = 2_000


@attrs.define
class WorkerFaults:
    """Active faults of one worker."""

    pause: bool = False
    refuse: bool = False
    fail_all: bool = False


@attrs.frozen
class WorkerEvent:
    """One event on a worker.

    Attributes:
        kind: `start`, `end`, `checkpoint`, `throttle`, `lapse`, `boot`,
            `kill`, `term` or a command's refusal (`refused-...`).
        detail: How an attempt ended (`finished`, `failed`, `stopped`,
            `lapsed`, `killed`, `memory`), or the owner or share.
        progress_ms: Progress of the attempt; for a start, the progress it
            resumes from.
        used: Sum of the declared sizes on the worker after the event,
            including services.
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
    """One attempt of a job."""

    start: workers.StartTask
    progress_ms: float
    checkpoint_ms: float
    share_milli: int = models.FULL_SHARE_MILLI
    state: workers.TaskState = workers.TaskState.RUNNING
    ran_ms: float = 0.0
    ended_ms: float = 0.0

    @property
    def key(self) -> TaskKey:
        """Job id and attempt number."""
        return (self.start.job, self.start.attempt)

    @property
    def name(self) -> str:
        """Job id and attempt number as one string."""
        return f"{self.start.job}/{self.start.attempt}"

    @property
    def running(self) -> bool:
        """Whether the attempt is still running."""
        return self.state == workers.TaskState.RUNNING

    def to_status(self) -> workers.TaskStatus:
        """Returns the status as the worker reports it."""
        return workers.TaskStatus(
            job=self.start.job,
            attempt=self.start.attempt,
            state=self.state,
            progress_ms=int(self.progress_ms),
            checkpoint_ms=int(self.checkpoint_ms),
            share_milli=self.share_milli,
        )

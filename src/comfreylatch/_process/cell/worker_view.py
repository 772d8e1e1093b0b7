"""The owner's view of one worker: what it holds and what is known of it."""

from __future__ import annotations

import attrs

from comfreylatch._ports import cell_workers
from comfreylatch._process.cell import runs as runs_module

# A worker's clock may be this much slow, as the platform says.
MAX_CLOCK_DRIFT = 0.02
# Added to the end of a lease for the time that the worker takes to end it.
LEASE_END_MARGIN_MS = 100
# Share of a lasting task's processors taken as used, where its own usage is
# not reported; the others may be filled.
ASSUMED_LASTING_USE_SHARE = 0.5
RACK_LABEL_MARKER = "-"


@attrs.define(eq=False)
class WorkerView:
    """A worker in one of its lives.

    Attributes:
        entry: What it publishes.
        is_listed: Its entry is in the store.
        unlisted_ms: Since when its entry is missing; 0 while it is listed.
        free: Capacity that no run has reserved.
        runs: Runs by task id and number.
        clock_ms: Its clock as last read.
        clock_read_ms: Monotonic time at which that answer came.
        deadline_ms: Latest end of lease ever sent to it, on its clock.
        answered_ms: When it last answered a hold; 0 before the first.
        failing_since_ms: When its calls began to fail; 0 while they don't.
        fill_millicores: Processors asked for by tasks that fill.
        lasting_millicores: Processors reserved by lasting tasks.
        avoided_until_ms: No new work before this time, as it fails too much.
        recent_failures: Runs that failed in a row, across jobs.
        slowness: Smoothed duration of its tasks against their peers'.
        revision: Rises with all that changes what may be placed there.
        is_recorded: The store knows of this life, so that the next owner will
            ask it what it runs.
        is_emptied: Its machine is to have its maintenance.
        cleared_until_ms: No lasting tasks before this time.
        release_after_ms: For a worker that has never answered this owner:
            when the leases of the owner before have surely ended.
    """

    entry: cell_workers.WorkerEntry
    is_listed: bool = True
    unlisted_since_ms: int = 0
    free_cpu: int = 0
    free_memory: int = 0
    free_gpus: int = 0
    runs: dict[str, runs_module.Run] = attrs.field(factory=dict)
    clock_ms: int = 0
    clock_read_ms: int = 0
    deadline_ms: int = 0
    answered_ms: int = 0
    failing_since_ms: int = 0
    fill_millicores: int = 0
    lasting_millicores: int = 0
    avoided_until_ms: int = 0
    recent_failures: int = 0
    slowness: float = 1.0
    revision: int = 0
    is_recorded: bool = False
    is_being_emptied: bool = False
    cleared_until_ms: int = -(10**9)
    release_after_ms: int = 0

    def __attrs_post_init__(self) -> None:
        self.free_cpu = self.entry.capacity.cpu_millicores
        self.free_memory = self.entry.capacity.memory_mb
        self.free_gpus = self.entry.capacity.gpus

    @property
    def worker_id(self) -> str:
        """Its name."""
        return self.entry.worker_id

    @property
    def rack(self) -> str:
        """The rack among its labels; empty when there is none."""
        for label in self.entry.labels:
            if RACK_LABEL_MARKER in label:
                return label
        return ""

    @property
    def is_answering(self) -> bool:
        """Whether it has answered, and its last calls did not fail."""
        return self.answered_ms > 0 and self.failing_since_ms == 0

    @property
    def idle_millicores(self) -> int:
        """Processors that a further filling task could use, by estimate."""
        lasting_idle = self.lasting_millicores * (1 - ASSUMED_LASTING_USE_SHARE)
        return int(self.free_cpu + lasting_idle - self.fill_millicores)

    def accepts_work(self, now_ms: int) -> bool:
        """Whether new tasks may be placed on it."""
        return (
            self.is_listed
            and self.is_answering
            and self.is_recorded
            and not self.entry.is_draining
            and not self.is_being_emptied
            and now_ms >= self.avoided_until_ms
        )

    def fits(self, need: cell_workers.Resources) -> bool:
        """Whether a need fits what is free."""
        return (
            need.cpu_millicores <= self.free_cpu
            and need.memory_mb <= self.free_memory
            and need.gpus <= self.free_gpus
        )

    def add(self, run: runs_module.Run) -> None:
        """Reserves what a run needs."""
        self.runs[run_key(run.task.name, run.number)] = run
        self._reserve(run, 1)

    def remove(self, run: runs_module.Run) -> None:
        """Frees what a run had reserved."""
        if self.runs.pop(run_key(run.task.name, run.number), None):
            self._reserve(run, -1)

    def _reserve(self, run: runs_module.Run, sign: int) -> None:
        self.revision += 1
        spec = run.task.step.spec
        need = spec.need
        self.free_cpu -= sign * need.cpu_millicores
        self.free_memory -= sign * need.memory_mb
        self.free_gpus -= sign * need.gpus
        if spec.fills_idle:
            self.fill_millicores += sign * spec.cpu_millicores
        elif spec.is_lasting:
            self.lasting_millicores += sign * spec.cpu_millicores

    def lease_expiry_ms(self) -> int:
        """Monotonic time after which nothing of what we sent runs there."""
        if self.clock_read_ms == 0:
            return self.release_after_ms
        left_ms = max(self.deadline_ms - self.clock_ms, 0)
        over_ms = self.clock_read_ms + int(left_ms / (1 - MAX_CLOCK_DRIFT))
        return over_ms + LEASE_END_MARGIN_MS


def run_key(task: str, number: int) -> str:
    """Key of a run among a worker's runs."""
    return f"{task}#{number}"

"""The owner's view of one worker: its runs, capacity and observed state."""

from __future__ import annotations

import attrs

from comfreylatch._ports import cell_workers
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell.succession import confirmed_tenure

# Maximum rate by which a worker's clock may be slow, as stated by the platform.
MAX_CLOCK_DRIFT = 0.02
# Added to the end of a lease for the time that a worker takes to stop its runs.
LEASE_END_MARGIN_MS = 100
# Share of a lasting task's processors counted as used where its own usage is
# not reported; filling tasks may use the rest.
ASSUMED_LASTING_USE_SHARE = 0.5
# A label that contains this text is the name of a rack.
RACK_LABEL_MARKER = "-"


@attrs.define(eq=False)
class WorkerView:
    """One incarnation of a worker.

    Attributes:
        entry: The entry that it publishes.
        is_listed: Whether its entry is in the store.
        unlisted_since_ms: Monotonic time at which its entry went missing; 0
            while it is listed.
        free_cpu: Millicores that no run has reserved.
        free_memory: Megabytes that no run has reserved.
        free_gpus: GPUs that no run has reserved.
        runs: Runs by task id and number.
        first_clock_ms: Its clock in its first answer to a hold call.
        clock_ms: Its clock as last read.
        clock_read_ms: Monotonic time at which that reading arrived.
        deadline_ms: Latest lease deadline ever sent to it, on its clock.
        answered_ms: Monotonic time at which it last answered a hold call; 0
            before the first answer.
        has_listed_all: Whether it has listed all ends of runs that it had when
            this owner first reached it.
        failing_since_ms: Monotonic time at which its calls began to fail; 0
            while they don't.
        fill_millicores: Processors requested by filling tasks.
        lasting_millicores: Processors reserved by lasting tasks.
        avoided_until_ms: No new work before this time, as too many runs failed
            or it refused one.
        recent_failures: Consecutive failed runs, across jobs.
        slowness: Smoothed ratio of its tasks' durations to their peers'.
        revision: Increases with every change to what may be placed on it.
        is_recorded: Whether the store has a record of this incarnation, so that
            the next owner will ask it for its runs.
        is_being_emptied: Whether its runs are moved off for its machine's
            maintenance.
        cleared_until_ms: No lasting tasks before this time, except overdue
            ones, so that it can take filling tasks that would disturb them.
        release_after_ms: Monotonic time by which the leases of previous owners
            have ended.
        former_leases_end_ms: Monotonic time by which leases have ended that
            calls to its former incarnations may have given it; 0 if there are
            none.
        trial_run: A run that may crash it and is on trial; nothing else is
            started meanwhile. None if there is none.
        is_reserved: Whether it takes only runs on trial.
        guards_capacity: Whether it refuses tasks that exceed its capacity.
        is_capacity_current: Whether its entry was read lately, so that it has
            no less capacity than the entry says.
        is_evacuated: Whether operators have evacuated its zone.
        may_get_starts: Whether no request to evacuate its zone is in force, as
            far as this host can know.
        stray_count: Number of runs on it that belong to no known task; they
            are being stopped.
    """

    entry: cell_workers.WorkerEntry
    is_listed: bool = True
    unlisted_since_ms: int = 0
    free_cpu: int = 0
    free_memory: int = 0
    free_gpus: int = 0
    runs: dict[str, runs_module.Run] = attrs.field(factory=dict)
    first_clock_ms: int = 0
    clock_ms: int = 0
    clock_read_ms: int = 0
    deadline_ms: int = 0
    answered_ms: int = 0
    has_listed_all: bool = False
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
    former_leases_end_ms: int = 0
    trial_run: runs_module.Run | None = None
    is_reserved: bool = False
    guards_capacity: bool = True
    is_capacity_current: bool = True
    is_evacuated: bool = False
    may_get_starts: bool = True
    stray_count: int = 0

    def __attrs_post_init__(self) -> None:
        self.free_cpu = self.entry.capacity.cpu_millicores
        self.free_memory = self.entry.capacity.memory_mb
        self.free_gpus = self.entry.capacity.gpus

    @property
    def worker_id(self) -> str:
        """Id of the worker."""
        return self.entry.worker_id

    @property
    def rack(self) -> str:
        """The rack among its labels; empty if there is none."""
        for label in self.entry.labels:
            if RACK_LABEL_MARKER in label:
                return label
        return ""

    @property
    def is_answering(self) -> bool:
        """Whether it has answered and its latest calls did not fail."""
        return self.answered_ms > 0 and self.failing_since_ms == 0

    @property
    def idle_millicores(self) -> int:
        """Estimated processors that another filling task could use."""
        lasting_idle = self.lasting_millicores * (1 - ASSUMED_LASTING_USE_SHARE)
        return int(self.free_cpu + lasting_idle - self.fill_millicores)

    def may_have_unknown_runs(
        self, tenure: confirmed_tenure.ConfirmedTenure
    ) -> bool:
        """Whether a previous owner's runs on it may not be known here.

        The ends that one answer has no room for are known once they are listed,
        or once its lease is over.
        """
        if self.has_listed_all:
            return False
        if self.is_answering:
            return True
        return not tenure.has_passed(
            max(self.lease_expiry_ms(), self.release_after_ms)
        )

    def accepts_work(self, now_ms: int) -> bool:
        """Whether new tasks may be placed on it."""
        return not self.is_reserved and self.accepts_trial(now_ms)

    def accepts_trial(self, now_ms: int) -> bool:
        """Whether a task that may crash it may be placed on it."""
        return (
            self.trial_run is None
            and self.is_listed
            and self.is_answering
            and self.is_recorded
            and not self.entry.is_draining
            and not self.is_being_emptied
            and self.may_get_starts
            and now_ms >= self.avoided_until_ms
            and (self.guards_capacity or self._is_free_capacity_known)
        )

    @property
    def _is_free_capacity_known(self) -> bool:
        return self.is_capacity_current and self.stray_count == 0

    def update(self, entry: cell_workers.WorkerEntry) -> None:
        """Replaces the entry; free capacity follows what it states.

        It is negative while the runs on it need more than that.
        """
        before, after = self.entry.capacity, entry.capacity
        self.entry = entry
        self.free_cpu += after.cpu_millicores - before.cpu_millicores
        self.free_memory += after.memory_mb - before.memory_mb
        self.free_gpus += after.gpus - before.gpus
        self.revision += 1

    def fits(self, need: cell_workers.Resources) -> bool:
        """Whether free capacity covers a need."""
        return (
            need.cpu_millicores <= self.free_cpu
            and need.memory_mb <= self.free_memory
            and need.gpus <= self.free_gpus
        )

    def add(self, run: runs_module.Run) -> None:
        """Adds a run and reserves what it needs."""
        self.runs[run_key(run.task.name, run.number)] = run
        self._reserve(run, 1)

    def remove(self, run: runs_module.Run) -> None:
        """Removes a run and frees what it reserved."""
        if self.runs.pop(run_key(run.task.name, run.number), None):
            self._reserve(run, -1)
        if self.trial_run is run:
            self.trial_run = None

    def _reserve(self, run: runs_module.Run, sign: int) -> None:
        """Reserves what a run needs; with a `sign` of -1, releases it."""
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
        """Monotonic time after which no run of an owner is left on it.

        While this owner has renewed no lease, that of a previous one may last.
        One that a call to a former incarnation has given lasts on beside it.
        """
        return max(self._renewed_expiry_ms(), self.former_leases_end_ms)

    def _renewed_expiry_ms(self) -> int:
        """Monotonic time after which the lease that was renewed last is over.

        Renewed by calls that were meant for this incarnation.
        """
        if self.clock_read_ms == 0 or self.deadline_ms == 0:
            return self.release_after_ms
        remaining_ms = max(self.deadline_ms - self.clock_ms, 0)
        expiry_ms = self.clock_read_ms + int(
            remaining_ms / (1 - MAX_CLOCK_DRIFT)
        )
        return expiry_ms + LEASE_END_MARGIN_MS


def run_key(task: str, number: int) -> str:
    """Returns the key of a run among a worker's runs."""
    return f"{task}#{number}"

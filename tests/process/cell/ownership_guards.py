"""Takes single guards of cell ownership out, to show what they prevent."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import types
from typing import Any
from unittest import mock

from comfreylatch._process.cell import fenced_writer
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import lease_ends
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import worker_table
from comfreylatch._process.cell.carryover import former_leases
from comfreylatch._process.cell.succession import (
    confirmed_tenure as confirmed_tenure_module,
)
from comfreylatch._process.cell.succession import exclusive_reports
from tests.process.cell import ownership_hosts
from tests.process.cell import ownership_world

Patch = contextlib.AbstractContextManager[Any]


def fencing_at_workers() -> Patch:
    """Workers carry out orders with lower tokens."""
    return mock.patch.object(ownership_world.Worker, "checks_token", False)


def earlier_leases() -> Patch:
    """New owners ignore leases from before the last owner."""
    return mock.patch.object(
        lease_ends, "_earlier_end_ms", lambda observed, _: observed.seen_ms
    )


def older_leases() -> Patch:
    """Releases state the longest lease for all workers."""
    return mock.patch.object(
        worker_table.WorkerTable, "older_leases", lambda _: {}
    )


def has_answer() -> Patch:
    """Releases state older leases though they have been renewed."""
    return mock.patch.object(
        worker_table.WorkerTable, "_may_have_renewed", lambda *_: False
    )


def deadline_before_check() -> Patch:
    """Deadlines are computed after the check that allows them."""

    def deadline_ms(self: Any) -> int:
        if not self._is_verified or not self._lease.may_renew():
            return 0
        reading = self._reading
        elapsed_ms = self._clock.monotonic_ms() - reading.read_ms
        deadline_ms = reading.clock_ms + elapsed_ms + self._lease.lease_ms
        self._latest_deadline_ms = max(self._latest_deadline_ms, deadline_ms)
        return deadline_ms

    return mock.patch.object(
        ownership_hosts.ModelSession, "_deadline_ms", deadline_ms
    )


def release_gate() -> Patch:
    """An owner that has released the cell goes on."""

    def may_act(self: Any) -> bool:
        age_ms = self._clock.monotonic_ms() - self._heartbeat_sent_ms
        return not self._is_fenced and age_ms < fenced_writer.AUTONOMY_MS

    return mock.patch.object(fenced_writer.FencedWriter, "may_act", may_act)


def autonomy() -> Patch:
    """Leases count from the last heartbeat of their owner."""
    changed = types.SimpleNamespace(AUTONOMY_MS=0)
    return mock.patch.object(lease_ends, "fenced_writer", changed)


def dropped_observation() -> Patch:
    """Heartbeats that a complete read leaves out count as never sent."""
    observe = job_replica.JobReplica._observe

    def keep(self: Any, heartbeat: Any, is_complete: bool) -> None:
        del is_complete
        observe(self, heartbeat, False)

    return mock.patch.object(job_replica.JobReplica, "_observe", keep)


def recorded_starts() -> Patch:
    """Runs are placed on workers of which nothing is stored."""
    allow_starts = worker_table.WorkerTable.allow_starts

    def allow_all(self: Any, held: dict[str, int]) -> None:
        allow_starts(self, held)
        for view in self:
            view.is_recorded = True

    return mock.patch.object(
        worker_table.WorkerTable, "allow_starts", allow_all
    )


def former_leases_end() -> Patch:
    """A worker's lease counts as ended though a former one may last."""
    return mock.patch.object(former_leases.FormerLeases, "end_ms", lambda *_: 0)


def next_incarnations() -> Patch:
    """New owners take a recorded worker's next incarnation for idle."""
    may_have = worker_table.WorkerTable._may_have_unknown_runs

    def is_same_silent(self: Any, worker_id: str, known: Any) -> bool:
        view = self.find(worker_id)
        if view is not None and view.entry.born_ms > known.born_ms:
            return False
        return may_have(self, worker_id, known)

    return mock.patch.object(
        worker_table.WorkerTable, "_may_have_unknown_runs", is_same_silent
    )


def recorded_former_leases() -> Patch:
    """New owners know nothing of calls to former incarnations."""
    return mock.patch.object(
        worker_table.WorkerTable, "former_leases", lambda _: {}
    )


def late_starts() -> Patch:
    """Next incarnations are not told which starts were given up."""
    return mock.patch.object(
        worker_table.WorkerTable, "_prevent", lambda *_: None
    )


def seen_incarnations() -> Patch:
    """Next incarnations count only once the list shows them."""
    return mock.patch.object(
        worker_table.WorkerTable, "_note_next_incarnation", lambda *_: None
    )


def confirmed_tenure() -> Patch:
    """Leases on silent workers end by the clock of the owner alone."""

    def has_passed(self: Any, end_ms: int) -> bool:
        return self._clock.monotonic_ms() > end_ms

    return mock.patch.object(
        confirmed_tenure_module.ConfirmedTenure, "has_passed", has_passed
    )


def whole_gangs() -> Patch:
    """The end of a gang is exclusive as soon as that of one member is."""

    def note_exclusive(self: Any, run: Any) -> None:
        run.is_exclusive = True
        self.is_end_exclusive |= not self.spec.is_speculative

    return mock.patch.object(
        runs_module.StepInstance, "note_exclusive", note_exclusive
    )


def waiting_holds() -> Patch:
    """Ends are exclusive from the first answer of a worker."""
    return mock.patch.object(exclusive_reports, "is_exclusive", lambda *_: True)


def append_numbers() -> Patch:
    """The writer's thread appends while the cell is fenced, and renumbers."""

    def may_start(self: Any) -> bool:
        self._may_append = True
        return True

    return mock.patch.multiple(
        fenced_writer.FencedWriter,
        _may_start=may_start,
        _may_renumber=lambda *_: True,
    )


GUARDS: dict[str, Callable[[], Patch]] = {
    guard.__name__: guard
    for guard in (
        fencing_at_workers,
        earlier_leases,
        older_leases,
        has_answer,
        deadline_before_check,
        release_gate,
        autonomy,
        dropped_observation,
        recorded_starts,
        former_leases_end,
        next_incarnations,
        recorded_former_leases,
        late_starts,
        seen_incarnations,
        confirmed_tenure,
        whole_gangs,
        waiting_holds,
        append_numbers,
    )
}

"""Takes single guards of cell ownership out, to show what they prevent."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import types
from typing import Any
from unittest import mock

import attrs

from comfreylatch._process.cell import fenced_writer
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import lease_ends
from comfreylatch._process.cell import recorded_workers
from comfreylatch._process.cell import worker_table
from tests.process.cell import ownership_hosts
from tests.process.cell import ownership_world

Patch = contextlib.AbstractContextManager[Any]


def fencing_at_workers() -> Patch:
    """Workers carry out orders with lower tokens."""
    return mock.patch.object(ownership_world.Worker, "checks_token", False)


def renewal_gate() -> Patch:
    """Leases are renewed before a record says that the worker is held."""
    return mock.patch.object(ownership_hosts.ModelSession, "is_gated", False)


def lease_tokens() -> Patch:
    """Records don't keep who held a worker before."""
    current_record = recorded_workers.RecordedWorkers._current_record

    def without_tokens(self: Any, is_settled: bool) -> Any:
        return attrs.evolve(current_record(self, is_settled), lease_tokens={})

    return mock.patch.object(
        recorded_workers.RecordedWorkers, "_current_record", without_tokens
    )


def earlier_versions() -> Patch:
    """All owners count as recording the leases that they renew."""
    init = lease_ends.LeaseEnds.__init__

    def all_record(self: Any, observed: Any, *rest: Any) -> None:
        changed = {}
        for token, seen in observed.items():
            heartbeat = attrs.evolve(seen.heartbeat, records_leases=True)
            changed[token] = attrs.evolve(seen, heartbeat=heartbeat)
        init(self, changed, *rest)

    return mock.patch.object(lease_ends.LeaseEnds, "__init__", all_record)


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


def own_token_of_leases() -> Patch:
    """Waits for silent workers begin anew with each owner."""
    end_ms = lease_ends.LeaseEnds.end_ms

    def from_start(self: Any, lease_token: int) -> int:
        began_ms = self._started_ms + fenced_writer.AUTONOMY_MS
        return max(end_ms(self, lease_token), began_ms + self._lease_ms)

    return mock.patch.object(lease_ends.LeaseEnds, "end_ms", from_start)


GUARDS: dict[str, Callable[[], Patch]] = {
    guard.__name__: guard
    for guard in (
        fencing_at_workers,
        renewal_gate,
        lease_tokens,
        earlier_versions,
        release_gate,
        autonomy,
        dropped_observation,
        recorded_starts,
        own_token_of_leases,
    )
}

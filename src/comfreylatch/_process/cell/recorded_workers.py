"""Maintains the record of the workers that may have runs of the owner."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import final

from comfreylatch._process.cell import events
from comfreylatch._process.cell import records
from comfreylatch._process.cell import recovered_state
from comfreylatch._process.cell import worker_table as worker_table_module


@final
class RecordedWorkers:
    """Restricts starts to workers that the store has recorded.

    The next owner asks just the recorded workers for their runs. Only the
    owner's thread uses it.

    Args:
        workers: The table of workers, in which starts are allowed or forbidden.
        known_workers: Workers that may have runs of a previous owner, by id.
        post: Queues an event for the owner's thread.
    """

    def __init__(
        self,
        workers: worker_table_module.WorkerTable,
        known_workers: Mapping[str, recovered_state.KnownWorker],
        post: Callable[[events.Event], None],
    ) -> None:
        self._workers = workers
        self._predecessor_workers = {
            worker_id: known.born_ms
            for worker_id, known in known_workers.items()
        }
        self._predecessor_addresses = {
            worker_id: known.address
            for worker_id, known in known_workers.items()
        }
        self._post = post
        self._queued: dict[str, int] = {}
        self._queued_former: frozenset[str] = frozenset()
        self._recorded: dict[str, int] = {}

    def mark_recorded(self, born_ms: dict[str, int]) -> None:
        """Marks a record as stored."""
        self._recorded = born_ms

    def add_writes(
        self,
        work: dict[str, bytes | None],
        on_stored: list[Callable[[], None]],
        is_settled: bool,
    ) -> None:
        """Adds the record of current incarnations if they have changed.

        Until all runs of the previous owner are known, the record includes its
        workers, so that the next owner asks them, too.
        """
        born_ms = self._workers.incarnations()
        if not is_settled:
            born_ms = {**self._predecessor_workers, **born_ms}
        former_ms = {
            worker_id: remaining_ms
            for worker_id, remaining_ms in self._workers.former_leases().items()
            if worker_id in born_ms
        }
        if born_ms == self._queued and former_ms.keys() == self._queued_former:
            # The stored record allows starts only if no newer one is queued.
            if self._recorded is self._queued:
                self._workers.allow_starts(born_ms)
            return
        self._queued = born_ms
        self._queued_former = frozenset(former_ms)
        # Until the new record is stored, either may be the newest in the store.
        self._workers.forbid_starts(born_ms)
        work[records.WORKERS_KEY] = records.encode(
            records.WorkersRecord(born_ms, self._addresses(born_ms), former_ms)
        )
        on_stored.append(lambda: self._post(events.WorkersRecorded(born_ms)))

    def _addresses(self, born_ms: Mapping[str, int]) -> dict[str, str]:
        """Returns the known addresses of the workers in a record."""
        addresses = {**self._predecessor_addresses, **self._workers.addresses()}
        return {
            worker_id: addresses[worker_id]
            for worker_id in born_ms
            if addresses.get(worker_id)
        }

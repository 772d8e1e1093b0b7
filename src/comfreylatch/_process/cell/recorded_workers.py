"""Keeps the record of the workers that may have runs of the owner."""

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
    """Restricts starts and leases to workers that the store has recorded.

    The next owner asks just the recorded workers for their runs, and counts the
    leases on those that it can't reach from the last owner that is recorded to
    have renewed them. Only the owner's thread uses it.

    Args:
        workers: The table of workers, in which starts are allowed or forbidden.
        token: The owner's fencing token.
        known_workers: Workers that may have runs of a previous owner, by id.
        post: Queues an event for the owner's thread.
    """

    def __init__(
        self,
        workers: worker_table_module.WorkerTable,
        token: int,
        known_workers: Mapping[str, recovered_state.KnownWorker],
        post: Callable[[events.Event], None],
    ) -> None:
        self._workers = workers
        self._token = token
        self._known_workers = known_workers
        self._post = post
        self._stored: records.WorkersRecord | None = None
        # Records that were queued after the stored one. Any of them may be the
        # newest in the store.
        self._queued: list[records.WorkersRecord] = []
        self._held: dict[str, int] = {}

    def mark_stored(self, record: records.WorkersRecord) -> None:
        """Marks a record, and those queued before it, as stored or replaced."""
        while self._queued:
            self._stored = self._queued.pop(0)
            if self._stored is record:
                break
        self._update_held()

    def add_writes(
        self,
        work: dict[str, bytes | None],
        on_stored: list[Callable[[], None]],
        is_settled: bool,
    ) -> None:
        """Adds the record of current incarnations if it has changed.

        Until all runs of previous owners are known, it includes their workers,
        so that the next owner asks them, too.
        """
        record = self._current_record(is_settled)
        newest = self._queued[-1] if self._queued else self._stored
        if record != newest:
            self._queued.append(record)
            work[records.WORKERS_KEY] = records.encode(record)
            on_stored.append(lambda: self._post(events.WorkersRecorded(record)))
            self._update_held()
        self._workers.allow_starts(self._held)

    def _current_record(self, is_settled: bool) -> records.WorkersRecord:
        born_ms = self._workers.incarnations()
        if is_settled:
            return records.WorkersRecord(born_ms, self._token)
        lease_tokens = {}
        for worker_id, known in self._known_workers.items():
            born_ms.setdefault(worker_id, known.born_ms)
            if not self._workers.has_answered(worker_id, known.born_ms):
                lease_tokens[worker_id] = known.lease_token
        return records.WorkersRecord(born_ms, self._token, lease_tokens)

    def _update_held(self) -> None:
        """Notes the incarnations that all of the records say are held."""
        held = {} if self._stored is None else self._stored.held()
        for record in self._queued:
            also_held = record.held()
            held = {
                worker_id: born_ms
                for worker_id, born_ms in held.items()
                if also_held.get(worker_id) == born_ms
            }
        self._held = held

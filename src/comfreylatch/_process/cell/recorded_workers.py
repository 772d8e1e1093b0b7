"""Keeps the record of the workers on which an owner's tasks may run."""

from __future__ import annotations

from collections.abc import Callable
from typing import final

from comfreylatch._process.cell import events
from comfreylatch._process.cell import records
from comfreylatch._process.cell import worker_table as worker_table_module


@final
class RecordedWorkers:
    """Has tasks started only where the next owner will ask what runs.

    Only the owner's thread uses it.

    Args:
        workers: The workers; told where tasks may be started.
        inherited: Lives that the owner before has recorded.
        post: Tells the owner's thread that a record is kept.
    """

    def __init__(
        self,
        workers: worker_table_module.WorkerTable,
        predecessor_workers: dict[str, int],
        post: Callable[[events.Event], None],
    ) -> None:
        self._workers = workers
        self._predecessor_workers = predecessor_workers
        self._post = post
        self._queued: dict[str, int] = {}
        self._recorded: dict[str, int] = {}

    def mark_recorded(self, born_ms: dict[str, int]) -> None:
        """A record is in the store."""
        self._recorded = born_ms

    def add_writes(
        self,
        work: dict[str, bytes | None],
        recorded: list[Callable[[], None]],
        is_settled: bool,
    ) -> None:
        """Adds the lives on which something may run, if they have changed.

        Until all is known that the owner before started, its lives stay among
        them, so that an owner after this one asks there, too.
        """
        born_ms = self._workers.incarnations()
        if not is_settled:
            born_ms = {**self._predecessor_workers, **born_ms}
        if born_ms == self._queued:
            # A record says nothing once a newer one is queued.
            if self._recorded is self._queued:
                self._workers.allow_starts(born_ms)
            return
        self._queued = born_ms
        # From now on either record may be the newest.
        self._workers.forbid_starts(born_ms)
        work[records.WORKERS_KEY] = records.encode(
            records.WorkersRecord(born_ms)
        )
        recorded.append(lambda: self._post(events.WorkersRecorded(born_ms)))

"""Leaves out listed entries that belong to no known service.

Others may write to the list of workers. An entry of theirs that has a worker's
address would be taken for the worker's successor, and many of them would make
most workers seem unreachable.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from typing import final

import logbook

from comfreylatch._ports import cell_workers
from comfreylatch._process import logs

MAX_LOGGED_IDS = 5

# The services that the configurations so far name; None before the first one.
ConfiguredServices = Callable[[], frozenset[str] | None]
Entries = dict[str, cell_workers.WorkerEntry]

_logger = logbook.Logger(__name__)


@final
class ServiceFilter:
    """Selects the entries of known services. Used by the owner's thread only.

    A service is known if a configuration or the queue of a job has named it:
    jobs that were accepted under an earlier configuration run on. Without a
    configuration every service counts as known.

    Args:
        configured: The services that configurations have named.
        job_services: The services of the queues of jobs; it may grow.
        known_workers: Ids of workers that may have runs of a previous owner.
            They are kept, so that these runs are found.
    """

    def __init__(
        self,
        configured: ConfiguredServices,
        job_services: Collection[str],
        known_workers: Collection[str],
    ) -> None:
        self._configured = configured
        self._job_services = job_services
        self._known_workers = known_workers
        self._entries: Entries = {}
        self._applied: frozenset[str] | None = None
        self._left_out: frozenset[str] = frozenset()

    def select(self, entries: Entries) -> Entries:
        """Returns the entries of workers among all that are listed."""
        self._entries = entries
        services = self._applied = self._services()
        if services is None:
            return entries
        selected = {
            worker_id: entry
            for worker_id, entry in entries.items()
            if entry.service in services or worker_id in self._known_workers
        }
        self._log_left_out(frozenset(entries.keys() - selected.keys()))
        return selected

    def reselect(self) -> Entries | None:
        """Returns the workers listed last if the known services have changed.

        None if they have not, or if no list has been read yet.
        """
        if not self._entries or self._services() == self._applied:
            return None
        return self.select(self._entries)

    def _services(self) -> frozenset[str] | None:
        configured = self._configured()
        if configured is None:
            return None
        return configured.union(self._job_services)

    def _log_left_out(self, left_out: frozenset[str]) -> None:
        if left_out == self._left_out:
            return
        self._left_out = left_out
        logs.event(
            _logger,
            "entries-left-out",
            count=len(left_out),
            workers=sorted(left_out)[:MAX_LOGGED_IDS],
            services=sorted({self._entries[key].service for key in left_out})[
                :MAX_LOGGED_IDS
            ],
        )

"""Fetches the platform's host list and passes it to listeners."""

from __future__ import annotations

from collections.abc import Callable
import threading
from typing import final
from typing import Self

import logbook
import result

from comfreylatch._ports import hosts
from comfreylatch._process import logs

_logger = logbook.Logger(__name__)


@final
class HostListPoller:
    """Polls the host list on a thread and notifies its listeners.

    While the list can't be fetched, the last one stays in use.

    Args:
        port: Fetches the platform's host list.
        interval_ms: Interval between two fetches.
        listeners: Callbacks for every fetched list.
    """

    def __init__(
        self,
        port: hosts.HostListPort,
        interval_ms: int,
        listeners: tuple[Callable[[hosts.HostList], None], ...],
    ) -> None:
        self._port = port
        self._interval_ms = interval_ms
        self._listeners = listeners
        self._stop_requested = threading.Event()
        self._is_unavailable = False
        self._thread = threading.Thread(
            target=self._run, name="host-list", daemon=True
        )

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop_requested.set()
        self._thread.join()

    def _run(self) -> None:
        while True:
            match self._port.fetch():
                case result.Ok(host_list):
                    self._record_success()
                    self._notify_listeners(host_list)
                case result.Err(unavailable):
                    self._record_failure(unavailable.detail)
            if self._stop_requested.wait(self._interval_ms / 1_000):
                return

    def _notify_listeners(self, host_list: hosts.HostList) -> None:
        for listener in self._listeners:
            try:
                listener(host_list)
            # A failing listener must not keep the list from the others.
            except Exception as error:
                logs.error(_logger, "host-list-listener", error=repr(error))

    def _record_success(self) -> None:
        if self._is_unavailable:
            logs.event(_logger, "host-list-up")
        self._is_unavailable = False

    def _record_failure(self, detail: str) -> None:
        if not self._is_unavailable:
            logs.warning(_logger, "host-list-down", detail=detail)
        self._is_unavailable = True

"""Pool of links to a zone's workers, kept in sync with the host list."""

from __future__ import annotations

import collections
from collections.abc import Collection
import threading
import types
from typing import final

from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import hosts
from comfreylatch._ports import workers
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.batch import ownership
from comfreylatch._process.batch import worker_link
from comfreylatch._process.batch import worker_session

THREAD_STACK_BYTES = 256 * 1_024


@final
class LinkPool:
    """Runs a session and a thread for each worker while this host is owner.

    Implements `attempt.CommandSink`. Sessions survive a lost claim, as they
    know when a lease was last sent to the worker.
    """

    def __init__(
        self,
        host_id: str,
        port: workers.WorkerPort,
        zone_ownership: ownership.Ownership,
        metrics: metrics_module.Metrics,
        clock: clock_port.Clock,
    ) -> None:
        self._host_id = host_id
        self._port = port
        self._ownership = zone_ownership
        self._metrics = metrics
        self._clock = clock
        self._sessions: dict[str, worker_session.WorkerSession] = {}
        self._links: dict[str, worker_link.WorkerLink] = {}
        self._events: collections.deque[worker_session.LinkEvent] = (
            collections.deque()
        )
        self.woken = threading.Event()

    def __enter__(self) -> LinkPool:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self.stop_all()

    def update(
        self,
        listed: Collection[hosts.ListedHost],
        needed: Collection[str],
    ) -> None:
        """Applies the host list; keeps unlisted workers while needed."""
        by_name = {host.name: host for host in listed}
        for host in by_name.values():
            session = self._sessions.get(host.name)
            if session is None:
                session = worker_session.WorkerSession(
                    host.name, host.address, self._host_id
                )
                self._sessions[host.name] = session
            session.address = host.address
            self._ensure_link(session)
        for name in [name for name in self._links if name not in by_name]:
            if name not in needed:
                self._links.pop(name).stop()
                del self._sessions[name]

    def stop_all(self) -> None:
        """Stops all threads and waits for them; sessions are kept."""
        links = list(self._links.values())
        self._links.clear()
        for link in links:
            link.stop()
        for link in links:
            link.__exit__(None, None, None)

    def clear_commands(self) -> None:
        """Drops queued commands and events, as when the claim is lost."""
        for session in self._sessions.values():
            session.clear_commands()
        self._events.clear()

    def drain_events(self) -> list[worker_session.LinkEvent]:
        """Removes and returns the queued events, in order for each worker."""
        drained: list[worker_session.LinkEvent] = []
        while self._events:
            drained.append(self._events.popleft())
        return drained

    def session(self, worker: str) -> worker_session.WorkerSession | None:
        """See `attempt.CommandSink.session`."""
        return self._sessions.get(worker)

    def queue_command(
        self, worker: str, command: workers.Command, at_once: bool = True
    ) -> None:
        """See `attempt.CommandSink.queue_command`."""
        session = self._sessions.get(worker)
        if session is None:
            return
        session.queue_command(command, at_once)
        link = self._links.get(worker)
        if at_once and link is not None:
            link.wake()

    def poll_by(self, worker: str, due_ms: int) -> None:
        """See `attempt.CommandSink.poll_by`."""
        session = self._sessions.get(worker)
        link = self._links.get(worker)
        if session is not None and link is not None:
            session.poll_by(due_ms)
            link.wake()

    def withdraw_command(self, worker: str, command: workers.Command) -> bool:
        """See `attempt.CommandSink.withdraw_command`."""
        session = self._sessions.get(worker)
        return session is not None and session.withdraw_command(command)

    def _ensure_link(self, session: worker_session.WorkerSession) -> None:
        if session.worker in self._links:
            return
        link = worker_link.WorkerLink(
            session,
            self._port,
            self._ownership,
            self._deliver,
            self._metrics,
            self._clock,
        )
        self._links[session.worker] = link
        previous_stack_bytes = threading.stack_size(THREAD_STACK_BYTES)
        try:
            link.__enter__()
        finally:
            threading.stack_size(previous_stack_bytes)

    def _deliver(self, event: worker_session.LinkEvent) -> None:
        self._events.append(event)
        self.woken.set()

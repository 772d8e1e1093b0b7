"""Pools of reusable connections to endpoints, limited by address."""

from __future__ import annotations

import collections
from collections.abc import Mapping
import socket
import threading
import time
from typing import Any
from typing import final

import attrs
from urllib3 import connection as urllib3_connection

MAX_IDLE_MS = 4_000
# An endpoint rarely closes a connection this soon after an answer. Requests
# that must not run twice use no connection that has been idle for longer.
NON_IDEMPOTENT_MAX_IDLE_MS = 500


@final
class DeadlineSocket(socket.socket):
    """A socket whose reads share one deadline.

    Attributes:
        has_received_data: Whether data has arrived since the deadline was set.
        at_eof: Whether the remote side has closed its end of the stream.
    """

    deadline_s = 0.0
    has_received_data = False
    at_eof = False

    def set_deadline(self, remaining_ms: int) -> None:
        """Sets the deadline relative to now."""
        self.deadline_s = time.monotonic() + remaining_ms / 1_000
        self.has_received_data = False

    def recv_into(self, *arguments: Any) -> int:
        """Reads available data, waiting until the deadline at most."""
        remaining_s = self.deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("the read deadline has passed")
        self.settimeout(remaining_s)
        count = super().recv_into(*arguments)
        if count == 0:
            self.at_eof = True
        else:
            self.has_received_data = True
        return count


@attrs.define(eq=False)
class _IdleConnection:
    """An idle connection and the monotonic time it became idle."""

    connection: urllib3_connection.HTTPConnection
    since_s: float


@attrs.define(eq=False)
class _Pool:
    """The pool of connections to one address.

    Attributes:
        open_count: Number of connections, idle or in use.
        idle: Idle connections, the one that has been idle longest first.
    """

    open_count: int = 0
    idle: collections.deque[_IdleConnection] = attrs.field(
        factory=collections.deque
    )

    def pop_usable(
        self, oldest_s: float, to_close: list[urllib3_connection.HTTPConnection]
    ) -> urllib3_connection.HTTPConnection | None:
        """Pops the last used connection that is recent and still open."""
        while self.idle and self.idle[-1].since_s >= oldest_s:
            connection = self.idle.pop().connection
            # An idle socket that is readable was closed by the endpoint or
            # holds unsolicited data.
            if connection.is_connected:
                return connection
            self.open_count -= 1
            to_close.append(connection)
        return None

    def drop_expired(
        self, oldest_s: float, to_close: list[urllib3_connection.HTTPConnection]
    ) -> None:
        """Drops connections that became idle before a monotonic time."""
        while self.idle and self.idle[0].since_s < oldest_s:
            self.drop_oldest(to_close)

    def drop_oldest(
        self, to_close: list[urllib3_connection.HTTPConnection]
    ) -> None:
        """Drops the connection that has been idle longest, if any."""
        if self.idle:
            to_close.append(self.idle.popleft().connection)
            self.open_count -= 1


@final
class Lease:
    """Exclusive use of one connection for one request."""

    def __init__(
        self,
        pools: ConnectionPools,
        address: str,
        connection: urllib3_connection.HTTPConnection | None,
    ) -> None:
        self._pools = pools
        self._address = address
        self._connection = connection
        self._deadline_socket = None if connection is None else connection.sock

    @property
    def is_connected(self) -> bool:
        """Whether a connection is open already."""
        return self._connection is not None

    @property
    def connection(self) -> urllib3_connection.HTTPConnection:
        """The connection; requires `is_connected`."""
        assert self._connection is not None
        return self._connection

    @property
    def deadline_socket(self) -> DeadlineSocket:
        """The socket of the connection."""
        assert isinstance(self._deadline_socket, DeadlineSocket)
        return self._deadline_socket

    def attach(self, connection: urllib3_connection.HTTPConnection) -> None:
        """Attaches a newly opened connection."""
        original = connection.sock
        family, kind, protocol = original.family, original.type, original.proto
        self._deadline_socket = DeadlineSocket(
            family, kind, protocol, fileno=original.detach()
        )
        connection.sock = self._deadline_socket
        self._connection = connection

    def release(self, reusable: bool) -> None:
        """Returns the connection to the pool, or closes it."""
        connection = self._connection
        if reusable and connection is not None and connection.sock is not None:
            self._pools.add_idle(self._address, connection)
        else:
            self.close()

    def close(self) -> None:
        """Closes the connection, if there is one."""
        if self._connection is not None:
            self._connection.close()
        if self._deadline_socket is not None:
            self._deadline_socket.close()
        self.mark_closed()

    def detach_socket(self) -> socket.socket:
        """Returns the socket without closing it; it stays counted as open."""
        deadline_socket = self.deadline_socket
        detached = socket.socket(fileno=deadline_socket.detach())
        self.connection.sock = None
        return detached

    def mark_closed(self) -> None:
        """Counts the connection as closed, without closing it."""
        self._pools.mark_closed(self._address)


@final
class ConnectionPools:
    """The connection pools of all endpoints, by address. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._pools: dict[str, _Pool] = {}

    def acquire(
        self, address: str, max_idle_ms: int, max_connections: int
    ) -> Lease | None:
        """Leases an idle connection or the right to open a new one.

        Args:
            address: Address of the endpoint.
            max_idle_ms: Longest idle time of a connection to be reused.
            max_connections: Limit of open connections to the address.

        Returns:
            None when the limit is reached and no connection is idle.
        """
        now_s = time.monotonic()
        to_close: list[urllib3_connection.HTTPConnection] = []
        with self._lock:
            pool = self._pools.setdefault(address, _Pool())
            pool.drop_expired(now_s - MAX_IDLE_MS / 1_000, to_close)
            idle_connection = pool.pop_usable(
                now_s - max_idle_ms / 1_000, to_close
            )
            if idle_connection is None and pool.open_count >= max_connections:
                pool.drop_oldest(to_close)
            may_open = pool.open_count < max_connections
            if idle_connection is None and may_open:
                pool.open_count += 1
        for connection in to_close:
            connection.close()
        if idle_connection is None and not may_open:
            return None
        return Lease(self, address, idle_connection)

    def add_idle(
        self, address: str, connection: urllib3_connection.HTTPConnection
    ) -> None:
        """Adds a connection whose answer was read completely."""
        with self._lock:
            pool = self._pools[address]
            pool.idle.append(_IdleConnection(connection, time.monotonic()))

    def mark_closed(self, address: str) -> None:
        """Decrements the count of open connections to an address."""
        with self._lock:
            self._pools[address].open_count -= 1

    def open_connections(self, address: str) -> int:
        """Number of connections to an address, idle or in use."""
        with self._lock:
            pool = self._pools.get(address)
            return 0 if pool is None else pool.open_count

    def trim(self, limits: Mapping[str, int]) -> None:
        """Closes idle connections that are expired or exceed a limit.

        An address that is not in `limits` is no longer used; its limit is 0.
        """
        oldest_s = time.monotonic() - MAX_IDLE_MS / 1_000
        to_close: list[urllib3_connection.HTTPConnection] = []
        with self._lock:
            for address, pool in self._pools.items():
                pool.drop_expired(oldest_s, to_close)
                excess = pool.open_count - limits.get(address, 0)
                for _ in range(excess):
                    pool.drop_oldest(to_close)
        for connection in to_close:
            connection.close()

    def close_idle(self, address: str) -> None:
        """Closes the idle connections to an address."""
        with self._lock:
            pool = self._pools.get(address)
            idle = [] if pool is None else list(pool.idle)
            if pool is not None:
                pool.idle.clear()
                pool.open_count -= len(idle)
        for idle_connection in idle:
            idle_connection.connection.close()

    def close(self) -> None:
        """Closes every idle connection."""
        for address in list(self._pools):
            self.close_idle(address)

"""HTTP calls with JSON bodies and bounded duration to platform services."""

from __future__ import annotations

from collections.abc import Mapping
from http import client as http_client
import socket
import threading
import time
from typing import Any
from typing import final

import attrs
import result
from urllib3 import connection as urllib3_connection
from urllib3 import exceptions

MAX_ANSWER_BYTES = 64 * 1_024 * 1_024
READ_CHUNK_BYTES = 65_536
POOL_CONNECTIONS = 4
# A peer that disappears without a reset is detected after this time, because
# data or keepalive probes remain unacknowledged.
TCP_USER_TIMEOUT_MS = 2_000
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Connecting takes one round trip; if it takes longer, a packet was lost or the
# path is down, and a new attempt succeeds sooner than a retransmitted SYN.
CONNECT_TIMEOUT_MS = 700
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)
JSON_HEADERS = {"Content-Type": "application/json"}


@attrs.frozen
class Answer:
    """Status and body of a complete answer."""

    status: int
    body: bytes


@attrs.frozen
class NotSent:
    """No connection could be opened, so no byte of the call was sent."""

    detail: str


@attrs.frozen
class AnswerLost:
    """The call was sent, but no complete answer arrived in time."""

    detail: str


CallError = NotSent | AnswerLost


@final
class _Connection(urllib3_connection.HTTPConnection):
    """A connection that sends a request in one piece.

    The platform charges for each system call and packet. It also skips what
    the pools of urllib3 add to a call: retries, redirects, decoding of bodies.
    """

    _unsent: list[bytes] | None = None

    def send(self, data: Any) -> None:
        """Sends data; within `exchange`, collects it."""
        if self._unsent is None:
            super().send(data)
        else:
            self._unsent.append(data)

    def exchange(
        self,
        method: str,
        target: str,
        body: bytes | None,
        headers: Mapping[str, str],
    ) -> http_client.HTTPResponse:
        """Sends a request; returns the response, whose body is unread."""
        self._unsent = []
        try:
            http_client.HTTPConnection.request(
                self, method, target, body, dict(headers)
            )
            request = b"".join(self._unsent)
        finally:
            self._unsent = None
        self.send(request)
        return http_client.HTTPConnection.getresponse(self)


@final
class CallPool:
    """Reusable connections to one address. Thread-safe.

    Args:
        address: The peer, as `IP:port`.
        max_idle: Number of idle connections that are kept.
    """

    def __init__(self, address: str, max_idle: int) -> None:
        self._ip, _, port = address.rpartition(":")
        self._port = int(port)
        self._max_idle = max_idle
        self._lock = threading.Lock()
        self._idle: list[_Connection] = []
        self._is_closed = False

    def take(self) -> _Connection:
        """Returns the connection used last that is still open, or a new one."""
        while True:
            with self._lock:
                if not self._idle:
                    break
                connection = self._idle.pop()
            # An idle connection that is readable was closed by the peer.
            if connection.is_connected:
                return connection
            connection.close()
        return _Connection(
            self._ip, self._port, socket_options=list(SOCKET_OPTIONS)
        )

    def give_back(self, connection: _Connection) -> None:
        """Keeps a connection, whose answer was read, for the next call."""
        with self._lock:
            if not self._is_closed and len(self._idle) < self._max_idle:
                self._idle.append(connection)
                return
        connection.close()

    def close(self) -> None:
        """Closes the idle connections; those in use are closed afterwards."""
        with self._lock:
            self._is_closed = True
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()


def open_pool(address: str, connections: int = POOL_CONNECTIONS) -> CallPool:
    """Creates a pool of connections for `IP:port`, without connecting."""
    return CallPool(address, connections)


def call(
    pool: CallPool,
    method: str,
    target: str,
    body: bytes | None,
    timeout_ms: int,
    headers: Mapping[str, str] = JSON_HEADERS,
    read_timeout_ms: int | None = None,
) -> result.Result[Answer, CallError]:
    """Makes a call and reads its complete answer within `timeout_ms`.

    `read_timeout_ms` is the timeout of a single read; None leaves only
    `timeout_ms`. It lets `timeout_ms` be long enough for a large answer over a
    slow link, while an unresponsive peer is detected sooner.

    Only a failure to connect is `NotSent`. A broken pooled connection is
    `AnswerLost`, because the peer may have read the call.
    """
    deadline_s = time.monotonic() + timeout_ms / 1_000
    read_timeout_s = (read_timeout_ms or timeout_ms) / 1_000
    connection = pool.take()
    if connection.sock is None:
        connection.timeout = min(timeout_ms, CONNECT_TIMEOUT_MS) / 1_000
        try:
            connection.connect()
        except (exceptions.HTTPError, OSError) as error:
            connection.close()
            return result.Err(NotSent(str(error)))
    try:
        _limit_wait(connection, deadline_s, read_timeout_s)
        response = connection.exchange(
            method, target, body, {} if body is None else headers
        )
        answer = _read_answer(connection, response, deadline_s, read_timeout_s)
    except (http_client.HTTPException, OSError) as error:
        connection.close()
        return result.Err(AnswerLost(repr(error)))
    if response.will_close:
        connection.close()
    else:
        pool.give_back(connection)
    return result.Ok(answer)


def _limit_wait(
    connection: _Connection, deadline_s: float, read_timeout_s: float
) -> None:
    """Limits the next wait for the peer; raises TimeoutError if none is left.

    The socket is None once a response took it over to close it at its end.
    """
    remaining_s = deadline_s - time.monotonic()
    if remaining_s <= 0:
        raise TimeoutError("the answer took too long")
    if connection.sock is not None:
        connection.sock.settimeout(min(remaining_s, read_timeout_s))


def _read_answer(
    connection: _Connection,
    response: http_client.HTTPResponse,
    deadline_s: float,
    read_timeout_s: float,
) -> Answer:
    """Reads the body; raises an error if it is cut, too long or too late."""
    body = bytearray()
    while chunk := response.read1(READ_CHUNK_BYTES):
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            raise http_client.HTTPException("the answer is too long")
        _limit_wait(connection, deadline_s, read_timeout_s)
    if response.length:  # What is left of the announced length.
        raise http_client.IncompleteRead(bytes(body[-100:]), response.length)
    # `read1` leaves a complete response open, which blocks the next request.
    response.close()
    return Answer(response.status, bytes(body))

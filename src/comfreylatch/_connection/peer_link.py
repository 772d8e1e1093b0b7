"""Client side of the protocol between entry hosts."""

from __future__ import annotations

import collections
from collections.abc import Callable
import threading
from typing import final
from typing import Self
from typing import TypeVar

import result
from thrift import Thrift
from thrift.transport import TSocket
from thrift.transport import TTransport

from comfreylatch._connection import address
from comfreylatch._connection import peer_transport
from comfreylatch._ports import peers
from comfreylatch._wire.gen.peer import Peer
from comfreylatch._wire.gen.peer import ttypes

MAX_IDLE_CONNECTIONS = 4

_Reply = TypeVar("_Reply")


@final
class PeerLink:
    """Pools connections to one peer; each call has exclusive use of one.

    A connection is reused only if the peer has not closed it, and never after
    a failed call, so a late answer can't be read by another call.
    """

    def __init__(self, peer: address.Address, connect_timeout_ms: int) -> None:
        self._peer = peer
        self._connect_timeout_ms = connect_timeout_ms
        self._lock = threading.Lock()
        self._idle: collections.deque[_Connection] = collections.deque()
        self._closed = False

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        with self._lock:
            self._closed = True
            idle = list(self._idle)
            self._idle.clear()
        for connection in idle:
            connection.close()

    def call(
        self, send: Callable[[Peer.Client], _Reply], timeout_ms: int
    ) -> result.Result[_Reply, peers.PeerError]:
        """Runs one call of the generated client within `timeout_ms`."""
        try:
            connection = self._acquire(timeout_ms)
        except TTransport.TTransportException as error:
            return result.Err(peers.PeerUnreachable(str(error)))
        try:
            reply = send(connection.client)
        except ttypes.PeerRefused as refused:
            self._release(connection)
            return result.Err(peers.PeerRefusal(refused.reason, refused.detail))
        except (Thrift.TException, EOFError, OSError, ValueError) as error:
            connection.close()
            return result.Err(
                peers.PeerAnswerLost(f"{type(error).__name__}: {error}")
            )
        self._release(connection)
        return result.Ok(reply)

    def _acquire(self, timeout_ms: int) -> _Connection:
        while True:
            with self._lock:
                connection = self._idle.pop() if self._idle else None
            if connection is None:
                return _Connection(
                    self._peer, self._connect_timeout_ms, timeout_ms
                )
            if connection.prepare_reuse(timeout_ms):
                return connection

    def _release(self, connection: _Connection) -> None:
        with self._lock:
            if not self._closed and len(self._idle) < MAX_IDLE_CONNECTIONS:
                self._idle.append(connection)
                return
        connection.close()


class _Connection:
    """An open connection; raises TTransportException if connecting fails."""

    def __init__(
        self, peer: address.Address, connect_timeout_ms: int, timeout_ms: int
    ) -> None:
        self._socket = TSocket.TSocket(peer.ip, peer.port)
        self._socket.setTimeout(min(connect_timeout_ms, timeout_ms))
        self._socket.open()
        self._socket.setTimeout(timeout_ms)
        peer_transport.disable_nagle(self._socket)
        self.client = Peer.Client(peer_transport.make_protocol(self._socket))

    def prepare_reuse(self, timeout_ms: int) -> bool:
        """Sets the timeout of the next call.

        Returns:
            False if the connection is closed and can't be reused.
        """
        if not self._socket.isOpen():
            return False
        self._socket.setTimeout(timeout_ms)
        return True

    def close(self) -> None:
        """Closes the connection; may be called again."""
        self._socket.close()

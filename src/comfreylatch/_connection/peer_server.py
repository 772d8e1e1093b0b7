"""Server side of the protocol between entry hosts."""

from __future__ import annotations

import logging
import socket
import threading
from typing import final
from typing import Self

import logbook
from thrift.transport import TSocket
from thrift.transport import TTransport

from comfreylatch._connection import address
from comfreylatch._connection import peer_transport
from comfreylatch._ports import peers
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._wire.gen.peer import Peer

IDLE_TIMEOUT_MS = 30_000
ACCEPT_BACKLOG = 128

_logger = logbook.Logger(__name__)


@final
class PeerServer:
    """Serves calls of peers, with one thread per connection."""

    def __init__(
        self,
        listen: address.Address,
        handler: peers.PeerHandler,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._listen = listen
        self._processor = Peer.Processor(handler)
        self._metrics = metrics
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._stopping = False
        self._listener: socket.socket | None = None

    def __enter__(self) -> Self:
        # thrift logs every failed connection; this class counts them instead.
        logging.getLogger("thrift").setLevel(logging.CRITICAL)
        family = socket.AF_INET6 if ":" in self._listen.ip else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self._listen.ip, self._listen.port))
        listener.listen(ACCEPT_BACKLOG)
        self._listener = listener
        threading.Thread(
            target=self._accept, name="peer-accept", daemon=True
        ).start()
        return self

    def __exit__(self, *_: object) -> None:
        with self._lock:
            self._stopping = True
            connections = list(self._connections)
        if self._listener is not None:
            _shut_down(self._listener)
        for connection in connections:
            _shut_down(connection)

    @property
    def address(self) -> address.Address:
        """The bound address; port 0 is replaced by the port assigned."""
        assert self._listener is not None
        ip, port = self._listener.getsockname()[:2]
        return address.Address(ip, port)

    def _accept(self) -> None:
        assert self._listener is not None
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with self._lock:
                if self._stopping:
                    connection.close()
                    return
                self._connections.add(connection)
            threading.Thread(
                target=self._serve,
                args=(connection,),
                name="peer-connection",
                daemon=True,
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        transport = TSocket.TSocket()
        transport.setHandle(connection)
        transport.setTimeout(IDLE_TIMEOUT_MS)
        peer_transport.disable_nagle(transport)
        protocol = peer_transport.make_protocol(transport)
        try:
            while True:
                self._processor.process(protocol, protocol)
                self._metrics.count(
                    metrics_module.Counter.PEER_MESSAGES, "received"
                )
        except TTransport.TTransportException as error:
            self._record_end(error)
        except Exception as error:
            # Malformed input must end only this connection.
            self._record_bad_message(type(error).__name__)
        finally:
            with self._lock:
                self._connections.discard(connection)
            _shut_down(connection)

    def _record_end(self, error: TTransport.TTransportException) -> None:
        size_errors = (
            TTransport.TTransportException.SIZE_LIMIT,
            TTransport.TTransportException.NEGATIVE_SIZE,
        )
        # Other errors mean that the peer disconnected or sent nothing in time.
        if error.type in size_errors:
            self._record_bad_message("bad-frame")

    def _record_bad_message(self, label: str) -> None:
        self._metrics.count(metrics_module.Counter.BAD_PEER_MESSAGES, label)
        logs.warning(_logger, "bad-peer-message", kind=label)


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    connection.close()

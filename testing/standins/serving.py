"""HTTP listeners, control calls and journals shared by the stand-ins.

They use the standard library's server because fault injection needs access to
the socket: an answer can be dropped, truncated or ended by a reset.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from http import server as http_server
import json
import os
import signal
import socket
import socketserver
import struct
import threading
import time
from typing import Any
import urllib.parse

import attrs
import msgspec

LOOPBACK = "127.0.0.1"
ACCEPT_BACKLOG = 512
POLL_INTERVAL_S = 0.5
# SO_LINGER on with a timeout of zero: closing the socket sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@attrs.frozen
class Call:
    """A request as received; header names are case-insensitive."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Decodes the body; an empty body is an empty object."""
        return msgspec.json.decode(self.body) if self.body else {}


@attrs.frozen
class Reply:
    """A complete answer; `close` closes the connection after it."""

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = attrs.field(factory=dict)
    close: bool = False


@attrs.frozen
class Drop:
    """Closes the connection without an answer."""


@attrs.frozen
class Reset:
    """Resets the connection without an answer."""


@attrs.frozen
class Truncated:
    """An answer with its full Content-Length, cut after `sent_bytes`."""

    reply: Reply
    sent_bytes: int


Answer = Reply | Drop | Reset | Truncated
CallHandler = Callable[[Call], Answer]


def json_reply(status: int, value: Any) -> Reply:
    """Returns a reply with a JSON body."""
    return Reply(
        status,
        msgspec.json.encode(value),
        {"Content-Type": "application/json"},
    )


def now_ms() -> float:
    """Returns monotonic time, comparable across processes of a machine."""
    return time.monotonic_ns() / 1_000_000


class _Handler(http_server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    wbufsize = -1
    disable_nagle_algorithm = True
    server: _Server

    def setup(self) -> None:
        super().setup()
        self.server.add_connection(self.connection)

    def finish(self) -> None:
        self.server.remove_connection(self.connection)
        try:
            super().finish()
        except OSError:
            pass

    def handle(self) -> None:
        try:
            super().handle()
        except OSError:
            pass

    def log_message(self, format: str, *args: Any) -> None:
        pass

    def _serve(self) -> None:
        split = urllib.parse.urlsplit(self.path)
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        if len(body) < length:
            self.close_connection = True
            return
        call = Call(
            method=self.command,
            path=split.path,
            query=dict(urllib.parse.parse_qsl(split.query)),
            headers=self.headers,  # type: ignore[arg-type]
            body=body,
        )
        self._send(self.server.call_handler(call))

    do_GET = do_POST = do_PUT = do_DELETE = do_HEAD = do_PATCH = _serve  # noqa: N815

    def _send(self, answer: Answer) -> None:
        match answer:
            case Reply():
                self._write(answer, len(answer.body), answer.close)
            case Truncated(reply, sent_bytes):
                self._write(reply, sent_bytes, close=True)
            case Drop():
                self.close_connection = True
            case Reset():
                self.close_connection = True
                self.connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )

    def _write(self, reply: Reply, sent_bytes: int, close: bool) -> None:
        self.send_response(reply.status)
        for name, value in reply.headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(reply.body)))
        if close:
            self.send_header("Connection", "close")
            self.close_connection = True
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(reply.body[:sent_bytes])
        self.wfile.flush()


class _Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    block_on_close = False
    request_queue_size = ACCEPT_BACKLOG

    def __init__(self, port: int, listener: Listener) -> None:
        super().__init__((LOOPBACK, port), _Handler)
        self._listener = listener
        self.call_handler = listener.handler

    def add_connection(self, connection: socket.socket) -> None:
        self._listener.add_connection(connection)

    def remove_connection(self, connection: socket.socket) -> None:
        self._listener.remove_connection(connection)

    def shutdown_request(self, request: Any) -> None:
        # A shutdown before the close would end the connection without a reset.
        linger = request.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
        if linger == RESET_ON_CLOSE:
            request.close()
        else:
            super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        del request, client_address


class Listener:
    """One listening address; it can stop listening and start again.

    Args:
        handler: Called on the connection's own thread.
        port: Port to listen on; 0 selects a free one, which stays the same.
        on_connections: Called with the number of open connections when one
            opens.
    """

    def __init__(
        self,
        handler: CallHandler,
        port: int = 0,
        on_connections: Callable[[int], None] | None = None,
    ) -> None:
        self.handler = handler
        self._on_connections = on_connections
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self._server: _Server | None = None
        self.port = port

    @property
    def address(self) -> str:
        """`IP:port`."""
        return f"{LOOPBACK}:{self.port}"

    def add_connection(self, connection: socket.socket) -> None:
        """Adds an accepted connection."""
        with self._lock:
            self._open.add(connection)
            count = len(self._open)
        if self._on_connections is not None:
            self._on_connections(count)

    def remove_connection(self, connection: socket.socket) -> None:
        """Removes a closed connection."""
        with self._lock:
            self._open.discard(connection)

    def start(self) -> None:
        """Starts to listen, unless it already does."""
        if self._server is not None:
            return
        self._server = _Server(self.port, self)
        self.port = self._server.server_address[1]
        threading.Thread(
            target=self._server.serve_forever,
            args=(POLL_INTERVAL_S,),
            daemon=True,
        ).start()

    def refuse(self) -> None:
        """Stops listening; open connections stay open."""
        if self._server is None:
            return
        server = self._server
        self._server = None
        server.socket.shutdown(socket.SHUT_RDWR)
        threading.Thread(target=_close, args=(server,), daemon=True).start()

    def drop_connections(self) -> None:
        """Shuts down every open connection."""
        with self._lock:
            connections = tuple(self._open)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def _close(server: _Server) -> None:
    server.shutdown()
    server.server_close()


class Journal:
    """Events of a stand-in, in order. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._events: list[Any] = []

    def add(self, event: Any) -> None:
        """Appends an event; mutable events may be updated later."""
        with self._lock:
            self._events.append(event)

    def page(self, first: int) -> dict[str, Any]:
        """Returns the events from index `first` on, and the next index."""
        with self._lock:
            events = self._events[first:]
        return {"next": first + len(events), "events": events}


class ControlServer:
    """Serves `POST /control` and `GET /journal` of one stand-in process."""

    def __init__(
        self, journal: Journal, on_control: Callable[[Any], Any], port: int = 0
    ) -> None:
        self._journal = journal
        self._on_control = on_control
        self.listener = Listener(self._handle, port)
        self.listener.start()

    def _handle(self, call: Call) -> Answer:
        if call.method == "GET" and call.path == "/journal":
            first = int(call.query.get("from", "0"))
            return json_reply(200, self._journal.page(first))
        if call.method == "POST" and call.path == "/control":
            return self._control(call)
        return json_reply(
            404, {"detail": "unknown path; use POST /control or GET /journal"}
        )

    def _control(self, call: Call) -> Reply:
        try:
            answer = self._on_control(call.json())
        except (KeyError, TypeError, ValueError) as error:
            return json_reply(400, {"detail": repr(error)})
        return json_reply(200, {} if answer is None else answer)


def announce(**fields: Any) -> None:
    """Prints the JSON line that signals readiness to the parent process."""
    print(json.dumps(fields), flush=True)


def wait_for_stop() -> None:
    """Blocks until SIGTERM, SIGINT or the exit of the parent process."""
    parent = os.getppid()
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    while not stopped.wait(POLL_INTERVAL_S) and os.getppid() == parent:
        pass

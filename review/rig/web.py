"""A small HTTP/1.1 server for stand-ins, and a client for consumers."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
from http import client as http_client
from http import server as http_server
import json
import socket
import threading
from typing import Any
import urllib.parse

LOOPBACK = "127.0.0.1"


@dataclasses.dataclass(frozen=True)
class Request:
    """A request that a stand-in has read."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True)
class Reply:
    """A reply of a stand-in."""

    status: int
    body: bytes = b""


def json_reply(status: int, value: Any) -> Reply:
    """Builds a reply with a JSON body."""
    return Reply(status, json.dumps(value).encode())


# None breaks off the connection without an answer.
Handle = Callable[[Request], Reply | None]


class _Handler(http_server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: _Server

    def setup(self) -> None:
        super().setup()
        self.server.add(self.connection)

    def finish(self) -> None:
        self.server.forget(self.connection)
        try:
            super().finish()
        except OSError:
            pass

    def log_message(self, *_: object) -> None:
        """Logs nothing."""

    def _serve(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        path, _, query = self.path.partition("?")
        reply = self.server.handle(
            Request(
                self.command,
                path,
                dict(urllib.parse.parse_qsl(query, keep_blank_values=True)),
                {key.lower(): value for key, value in self.headers.items()},
                body,
            )
        )
        if reply is None:
            self.close_connection = True
            return
        head = (
            f"HTTP/1.1 {reply.status} Status\r\n"
            f"Content-Length: {len(reply.body)}\r\n\r\n"
        )
        try:
            self.connection.sendall(head.encode() + reply.body)
        except OSError:
            self.close_connection = True

    do_GET = _serve  # noqa: N815
    do_POST = _serve  # noqa: N815


class _Server(http_server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, handle: Handle, port: int) -> None:
        self.handle = handle
        self._connections: set[socket.socket] = set()
        self._lock = threading.Lock()
        super().__init__((LOOPBACK, port), _Handler)

    def add(self, connection: socket.socket) -> None:
        """Notes an open connection."""
        with self._lock:
            self._connections.add(connection)

    def forget(self, connection: socket.socket) -> None:
        """Forgets a connection that is closed."""
        with self._lock:
            self._connections.discard(connection)

    def handle_error(self, *_: object) -> None:
        """Ignores connections that their peer has broken off."""

    def break_connections(self) -> None:
        """Breaks off all open connections."""
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Server:
    """Serves a stand-in on a free loopback port until it is closed.

    Attributes:
        address: `IP:port`.
    """

    def __init__(self, handle: Handle, port: int = 0) -> None:
        self._server = _Server(handle, port)
        self.port = self._server.server_address[1]
        self.address = f"{LOOPBACK}:{self.port}"
        threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        ).start()

    def close(self) -> None:
        """Stops listening and breaks off all connections."""
        self._server.shutdown()
        self._server.server_close()
        self._server.break_connections()


def free_port() -> int:
    """Returns a loopback port on which nothing listens."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


def call(
    method: str,
    address: str,
    path: str,
    host: str,
    body: Any = None,
    deadline_ms: int = 3_000,
) -> tuple[int, Any] | None:
    """Makes a consumer's call; None if there is no complete answer."""
    connection = http_client.HTTPConnection(
        address, timeout=deadline_ms / 1_000
    )
    try:
        connection.request(
            method,
            path,
            None if body is None else json.dumps(body),
            {
                "Host": host,
                "Content-Type": "application/json",
                "X-Deadline-Ms": str(deadline_ms),
            },
        )
        response = connection.getresponse()
        text = response.read()
    except (OSError, http_client.HTTPException):
        return None
    finally:
        connection.close()
    try:
        return response.status, json.loads(text) if text else None
    except ValueError:
        return response.status, None

"""A raw HTTP server for malformed and missing answers."""

from __future__ import annotations

from collections.abc import Callable
import socket
import threading
import types
from typing import final

Answer = Callable[[socket.socket], None]


@final
class RawServer:
    """Reads one request per connection and lets a function answer it."""

    def __init__(self, answer: Answer) -> None:
        self.requests: list[bytes] = []
        self._answer = answer
        self._socket = socket.create_server(("127.0.0.1", 0))
        self._thread = threading.Thread(target=self._serve, daemon=True)

    @property
    def address(self) -> str:
        """`IP:port` of the server."""
        return f"127.0.0.1:{self._socket.getsockname()[1]}"

    def __enter__(self) -> RawServer:
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        self._thread.join()

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            with connection:
                self.requests.append(_read_request(connection))
                try:
                    self._answer(connection)
                except OSError:
                    # The client may have closed the connection already.
                    continue


def _read_request(connection: socket.socket) -> bytes:
    received = b""
    while b"\r\n\r\n" not in received:
        received += connection.recv(65_536)
    head, _, body = received.partition(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    while len(body) < length:
        body += connection.recv(65_536)
    return head + b"\r\n\r\n" + body


def reply(status: int, body: bytes, length: int | None = None) -> Answer:
    """Answers with a status and a body; `length` overrides Content-Length."""
    content_length = len(body) if length is None else length
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {content_length}\r\n\r\n"
    return lambda connection: connection.sendall(head.encode() + body)


def close(connection: socket.socket) -> None:
    """Sends nothing; the server then closes the connection."""
    connection.close()

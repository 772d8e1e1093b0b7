"""An endpoint on loopback that sends the exact bytes that tests specify."""

from __future__ import annotations

from collections.abc import Callable
import socket
import struct
import threading
import time
from types import TracebackType
from typing import BinaryIO
from typing import Self

import attrs

RECEIVE_BYTES = 65_536
JOIN_S = 5.0


@attrs.frozen
class Seen:
    """A request as the endpoint received it; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    connection: int

    @property
    def request_id(self) -> str:
        """Value of `X-Request-Id`; empty when absent."""
        return self.headers.get("x-request-id", "")


@attrs.frozen
class Send:
    """Bytes to send, and what happens to the connection after them.

    Attributes:
        data: Bytes to send.
        close: Whether to close the connection afterwards.
        reset: Whether to reset the connection afterwards.
        repeat: Number of times that the bytes are sent.
        pause_s: Pause after each time.
    """

    data: bytes
    close: bool = False
    reset: bool = False
    repeat: int = 1
    pause_s: float = 0.0


Script = Callable[[Seen], Send]


def whole(seen: Seen, body: bytes = b"done", extra: str = "") -> Send:
    """Returns a complete answer to a request."""
    return Send(answer_bytes(seen.request_id, body, extra=extra))


def answer_bytes(
    request_id: str, body: bytes, status: str = "200 OK", extra: str = ""
) -> bytes:
    """Returns an answer as bytes; `extra` is header lines, each with CRLF."""
    head = (
        f"HTTP/1.1 {status}\r\nX-Request-Id: {request_id}\r\n"
        f"Content-Length: {len(body)}\r\n{extra}\r\n"
    )
    return head.encode() + body


class ScriptedEndpoint:
    """Answers each request as a script says and records it in `seen`."""

    def __init__(self, script: Script = whole) -> None:
        self.script = script
        self.seen: list[Seen] = []
        self.connections = 0
        self._open: list[socket.socket] = []
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        ip, port = self._listener.getsockname()
        self.address = f"{ip}:{port}"
        self._thread = threading.Thread(target=self._accept, daemon=True)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.stop_listening()
        self.close_connections()

    def stop_listening(self) -> None:
        """Refuses new connections; open ones stay open."""
        try:
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._listener.close()
        self._thread.join(JOIN_S)

    def close_connections(self) -> None:
        """Closes every open connection."""
        for connection in self._open:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            connection.close()
        self._open.clear()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._open.append(connection)
            self.connections += 1
            threading.Thread(
                target=self._serve,
                args=(connection, self.connections),
                daemon=True,
            ).start()

    def _serve(self, connection: socket.socket, number: int) -> None:
        stream = connection.makefile("rb")
        try:
            while True:
                seen = _read_request(stream, number)
                if seen is None:
                    return
                self.seen.append(seen)
                if not _send(connection, self.script(seen)):
                    return
        except OSError:
            return
        finally:
            stream.close()


def _read_request(stream: BinaryIO, number: int) -> Seen | None:
    line = stream.readline().decode("latin-1")
    if not line:
        return None
    method, target, _ = line.split(" ", 2)
    headers: dict[str, str] = {}
    while (line := stream.readline().decode("latin-1").strip()) != "":
        key, _, value = line.partition(":")
        headers[key.lower()] = value.strip()
    body = stream.read(int(headers.get("content-length", "0")))
    return Seen(method, target, headers, body, number)


def _send(connection: socket.socket, send: Send) -> bool:
    for _ in range(send.repeat):
        connection.sendall(send.data)
        time.sleep(send.pause_s)
    if send.reset:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    elif send.close:
        connection.shutdown(socket.SHUT_RDWR)
    if send.reset or send.close:
        # The reader's file object still holds the descriptor open.
        connection.close()
        return False
    return True

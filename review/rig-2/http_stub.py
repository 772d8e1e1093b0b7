"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import os
import socket
from typing import Any
import urllib.parse

# Below the ports that outgoing connections take, and others for each process,
# so that cases side by side don't take each other's ports. Each is given out
# once, as hosts bind theirs later.
_PORTS_PER_PROCESS = 200
_FIRST_PORT = 12_000 + os.getpid() % 100 * _PORTS_PER_PROCESS
_ports = iter(range(_FIRST_PORT, _FIRST_PORT + _PORTS_PER_PROCESS))


class Request:
    """A request as a stand-in receives it."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self) -> Any:
        """Returns the decoded body."""
        return json.loads(self.body)


Reply = tuple[int, bytes]
# Returns None to leave a call without an answer.
Handler = Callable[[Request], Awaitable[Reply | None]]


def free_port() -> int:
    """Returns a loopback port on which nothing listens."""
    for port in _ports:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError("all ports of this process are taken")


def json_reply(status: int, value: Any) -> Reply:
    """Encodes a reply with a JSON body."""
    return status, json.dumps(value).encode()


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in rest:
        key, _, value = line.partition(":")
        headers[key.strip().lower()] = value.strip()
    return first, headers


class Server:
    """Serves a handler on a loopback address; may be closed and reopened."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.StreamWriter, int] = {}
        self._epoch = 0
        self._is_dark = False
        self.port = 0

    @property
    def is_open(self) -> bool:
        """Whether it listens."""
        return self._server is not None

    @property
    def address(self) -> str:
        """`IP:port` that it listens on."""
        return f"127.0.0.1:{self.port}"

    async def open(self) -> None:
        """Listens, on the same port as before if there was one."""
        self.port = self.port or free_port()
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 22, backlog=256
        )

    def close(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._connections):
            writer.transport.abort()

    def go_dark(self) -> None:
        """Answers nothing from now on, as a machine without power."""
        self._is_dark = True

    def light_up(self, reset_after_s: float) -> None:
        """Answers new connections; those of before are reset some time later.

        The peer finds out with its next keep-alive probe.
        """
        self._is_dark = False
        self._epoch += 1
        asyncio.get_running_loop().call_later(
            reset_after_s, self._reset_before, self._epoch
        )

    def _reset_before(self, epoch: int) -> None:
        for writer, opened in list(self._connections.items()):
            if opened < epoch:
                writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        epoch = self._epoch
        self._connections[writer] = epoch
        try:
            while (head := await _read_head(reader)) is not None:
                reply = None
                if not self._is_silent(epoch):
                    reply = await self._answer(head, reader)
                if reply is None or self._is_silent(epoch):
                    await reader.read()
                    return
                status, content = reply
                writer.write(
                    f"HTTP/1.1 {status} Status\r\nContent-Type: "
                    "application/json\r\nContent-Length: "
                    f"{len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._connections.pop(writer, None)
            writer.close()

    def _is_silent(self, epoch: int) -> bool:
        return self._is_dark or epoch != self._epoch

    async def _answer(
        self, head: tuple[str, dict[str, str]], reader: asyncio.StreamReader
    ) -> Reply | None:
        first, headers = head
        method, target, _ = first.split(" ", 2)
        length = int(headers.get("content-length", "0"))
        body = await reader.readexactly(length) if length else b""
        return await self._handler(Request(method, target, headers, body))


async def call(
    address: str,
    method: str,
    path: str,
    host: str,
    value: Any = None,
    timeout_s: float = 3.0,
) -> tuple[int, Any] | None:
    """Makes a call as a consumer does; returns None without an answer."""
    ip, _, port = address.partition(":")
    body = b"" if value is None else json.dumps(value).encode()

    async def exchange() -> tuple[int, Any] | None:
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: "
                f"application/json\r\nX-Deadline-Ms: {int(timeout_s * 1000)}"
                f"\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            await writer.drain()
            head = await _read_head(reader)
            if head is None:
                return None
            first, headers = head
            length = int(headers.get("content-length", "0"))
            content = await reader.readexactly(length) if length else b""
            status = int(first.split(" ")[1])
            try:
                return status, json.loads(content) if content else None
            except ValueError:
                return status, None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return None

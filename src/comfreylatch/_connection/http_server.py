"""An HTTP/1.1 server for callers and for operators, over cheroot."""

from __future__ import annotations

from collections.abc import Mapping
import http as http_statuses
import re
import threading
import time
from types import TracebackType
from typing import final
from typing import Self
import urllib.parse

import attrs
from cheroot import errors as cheroot_errors
from cheroot import server as cheroot_server
import logbook
import result

from comfreylatch._connection import address as address_module
from comfreylatch._connection import http
from comfreylatch._connection import listener
from comfreylatch._ports import clock as clock_port

MAX_HEADER_BYTES = 32_768
IDLE_TIMEOUT_MS = 10_000
KEPT_CONNECTIONS = 2_048
LISTEN_BACKLOG = 512
QUIET_MS = 150
MAX_ARRIVAL_MS = 2_000
RETRY_AFTER_STOP_MS = 1_000
POLL_INTERVAL_S = 0.05
ACCEPT_WAIT_S = 0.2

_CONTENT_LENGTH = re.compile(rb"[0-9]{1,15}")
_PHRASES = {status.value: status.phrase for status in http_statuses.HTTPStatus}
_BODILESS_STATUSES = frozenset({204, 304})

_log = logbook.Logger("comfreylatch.http-server")


class ServerStartError(Exception):
    """The address can't be listened on."""


@attrs.frozen
class _BadBody:
    """The body can't be taken; `status` is the HTTP status that says so."""

    status: int
    reason: str
    detail: str


@final
class HttpServer:
    """Serves a handler on an address, a thread for each open request.

    A context manager: entering binds and serves, leaving stops at once after
    the requests in progress. Use `drain` first for a stop in good order.

    Attributes:
        address: `IP:port` bound; the port is the real one when 0 was asked.
    """

    def __init__(
        self,
        address: str,
        handler: http.Handler,
        threads: int,
        max_body_bytes: int,
        max_header_bytes: int = MAX_HEADER_BYTES,
        idle_timeout_ms: int = IDLE_TIMEOUT_MS,
        clock: clock_port.Clock | None = None,
    ) -> None:
        match address_module.parse(address):
            case result.Ok(parsed):
                pass
            case result.Err(bad):
                raise ServerStartError(bad.detail)
        self.address = address
        self._state = _ServingState(handler, clock or clock_port.SystemClock())
        self._server = _Server(
            (parsed.ip, parsed.port),
            _Gateway,
            minthreads=threads,
            maxthreads=threads,
            server_name="comfreylatch",
        )
        self._server.state = self._state
        self._server.max_request_header_size = max_header_bytes
        self._server.max_request_body_size = max_body_bytes
        self._server.timeout = idle_timeout_ms / 1_000
        self._stopped = False

    def __enter__(self) -> Self:
        # Started from a daemon thread, the server's threads are daemons too,
        # so that a handler that never returns can't keep the process alive.
        failures: list[OSError] = []
        starter = threading.Thread(
            target=self._prepare, args=(failures,), daemon=True
        )
        starter.start()
        starter.join()
        if failures:
            raise ServerStartError(
                f"can't listen on {self.address}: {failures[0]}; "
                "is the port taken?"
            )
        ip, port = self._server.bind_addr[:2]
        self.address = str(address_module.Address(ip, port))
        threading.Thread(
            target=self._server.serve, name="http-accept", daemon=True
        ).start()
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.drain(IDLE_TIMEOUT_MS)

    def _prepare(self, failures: list[OSError]) -> None:
        try:
            self._server.prepare()
        except OSError as error:
            failures.append(error)

    @property
    def open_requests(self) -> int:
        """Requests whose handler is running now."""
        return self._state.open_requests

    def close_after_replies(self) -> None:
        """Ends each connection with its next reply; still serves all."""
        self._state.closing = True

    def _wait_no_arrivals(self) -> None:
        """Waits until callers have stopped coming, for a bounded time.

        Who sent before they could know of the stop gets an answer: closing
        the listening socket resets the connections it has not accepted.
        """
        state = self._state
        started_ms = state.clock.monotonic_ms()
        state.last_arrival_ms = started_ms
        while True:
            now_ms = state.clock.monotonic_ms()
            if now_ms - state.last_arrival_ms >= QUIET_MS:
                return
            if now_ms - started_ms >= MAX_ARRIVAL_MS:
                return
            time.sleep(POLL_INTERVAL_S)

    def drain(self, timeout_ms: int) -> bool:
        """Stops taking requests, answers those in progress, then stops.

        Requests that arrive while connections are being closed are answered
        503 `not-run`. Returns whether every request was answered in time.
        """
        if self._stopped:
            return True
        self._stopped = True
        self._state.draining = True
        self._wait_no_arrivals()
        if not listener.stop_new_connections(self._server.socket):
            _log.warning("can't-stop-new-connections address={}", self.address)
        self._wait_no_arrivals()
        finished = self._state.wait_no_open_requests(timeout_ms)
        self._server.shutdown_timeout = 1 if finished else POLL_INTERVAL_S
        stopper = threading.Thread(
            target=self._server.stop, name="http-stop", daemon=True
        )
        stopper.start()
        stopper.join(max(timeout_ms, IDLE_TIMEOUT_MS) / 1_000)
        return finished


@final
class _ServingState:
    """What the gateway needs of its server, and how many requests are open."""

    def __init__(self, handler: http.Handler, clock: clock_port.Clock) -> None:
        self.handler = handler
        self.clock = clock
        self.draining = False
        self.closing = False
        self.open_requests = 0
        self.last_arrival_ms = clock.monotonic_ms()
        self._changed = threading.Condition()

    def __enter__(self) -> Self:
        with self._changed:
            self.open_requests += 1
        return self

    def __exit__(self, *_: object) -> None:
        with self._changed:
            self.open_requests -= 1
            if self.open_requests == 0:
                self._changed.notify_all()

    def wait_no_open_requests(self, timeout_ms: int) -> bool:
        with self._changed:
            return self._changed.wait_for(
                lambda: self.open_requests == 0, timeout_ms / 1_000
            )


class _Request(cheroot_server.HTTPRequest):
    """Cheroot's request, with errors in our own form."""

    def simple_response(self, status: str, msg: str = "") -> None:
        """Sends an error found before or around the handler, and closes."""
        code = int(str(status)[:3])
        reply = http.error_reply(code, "bad-request", msg or str(status))
        headers = dict(reply.headers)
        if code < 500:
            headers["X-Outcome"] = "not-run"
        self.close_connection = True
        headers["Connection"] = "close"
        head = _head(self.server.protocol, code, headers, len(reply.body))
        try:
            self.conn.wfile.write(head + reply.body)
        except OSError as error:
            _log.debug("error-not-sent status={} error={!r}", code, error)


class _Connection(cheroot_server.HTTPConnection):
    """Cheroot's connection, with the time its current request arrived."""

    RequestHandlerClass = _Request
    arrived_ms = -1
    seen_before = False


class _Server(cheroot_server.HTTPServer):
    """Cheroot's server, logging by logbook and reading only when readable."""

    ConnectionClass = _Connection
    request_queue_size = LISTEN_BACKLOG
    keep_alive_conn_limit = KEPT_CONNECTIONS
    expiration_interval = ACCEPT_WAIT_S
    state: _ServingState

    def process_conn(self, conn: _Connection) -> None:
        """Queues a readable connection; a new one waits until it is."""
        if not conn.seen_before:
            conn.seen_before = True
            self._connections.put(conn)
            return
        conn.arrived_ms = self.state.clock.monotonic_ms()
        super().process_conn(conn)

    def put_conn(self, conn: _Connection) -> None:
        """Keeps a connection for its next request, unless stopping."""
        try:
            super().put_conn(conn)
        except (OSError, ValueError, KeyError) as error:
            _log.debug("connection-dropped error={!r}", error)
            conn.close()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Logs what cheroot has to say."""
        if traceback:
            _log.exception("http-server-error detail={!r}", msg)
        elif level >= 30:
            _log.warning("http-server-warning detail={!r}", msg)
        else:
            _log.debug("http-server detail={!r}", msg)


class _Gateway(cheroot_server.Gateway):
    """Turns cheroot's request into ours and sends the handler's reply."""

    def respond(self) -> None:
        """Answers one request; exceptions of the handler become a 500."""
        state = self.req.server.state
        if state.draining:
            state.last_arrival_ms = state.clock.monotonic_ms()
            self.req.close_connection = True
            self._send(_stopping_reply())
            return
        with state:
            match self._read_body():
                case result.Ok(body):
                    reply = self._handle(state, self._request(body))
                case result.Err(bad):
                    self.req.close_connection = True
                    reply = _bad_body_reply(bad)
            if state.draining or state.closing:
                self.req.close_connection = True
            self._send(reply)

    def _request(self, body: bytes) -> http.HttpRequest:
        req = self.req
        query = urllib.parse.parse_qsl(
            req.qs.decode("latin-1"), keep_blank_values=True
        )
        return http.HttpRequest(
            method=req.method.decode("latin-1"),
            path=req.path.decode("utf-8", "replace"),
            query=dict(query),
            headers={
                key.decode("latin-1").lower(): value.decode("latin-1")
                for key, value in req.inheaders.items()
            },
            body=body,
            client=req.conn.remote_addr or "",
            target=req.uri.decode("latin-1"),
            received_ms=req.conn.arrived_ms,
        )

    def _read_body(self) -> result.Result[bytes, _BadBody]:
        headers = self.req.inheaders
        length_text = headers.get(b"Content-Length")
        try:
            if self.req.chunked_read:
                return self._read_chunked(length_text)
            if length_text is None:
                return result.Ok(b"")
            if not _CONTENT_LENGTH.fullmatch(length_text):
                return result.Err(
                    _BadBody(400, "bad-request", "bad Content-Length")
                )
            return self._read_known(int(length_text))
        except TimeoutError:
            return result.Err(
                _BadBody(408, "bad-request", "the body came too slowly")
            )

    def _read_known(self, length: int) -> result.Result[bytes, _BadBody]:
        body = self.req.rfile.read(length) if length else b""
        if len(body) < length:
            detail = f"the body ended after {len(body)} of {length} bytes"
            return result.Err(_BadBody(400, "bad-request", detail))
        return result.Ok(body)

    def _read_chunked(
        self, length_text: bytes | None
    ) -> result.Result[bytes, _BadBody]:
        if length_text is not None:
            detail = "both Content-Length and Transfer-Encoding given"
            return result.Err(_BadBody(400, "bad-request", detail))
        too_long = _BadBody(413, "body-too-long", "the body is too long")
        try:
            body = self.req.rfile.read()
            for _ in self.req.rfile.read_trailer_lines():
                pass
        except cheroot_errors.MaxSizeExceeded:
            return result.Err(too_long)
        except ValueError as error:
            return result.Err(_BadBody(400, "bad-request", str(error)))
        except TimeoutError:
            raise
        except OSError:
            return result.Err(too_long)
        return result.Ok(body)

    def _handle(
        self, state: _ServingState, request: http.HttpRequest
    ) -> http.HttpReply:
        try:
            return state.handler(request)
        except Exception:
            _log.exception(
                "handler-failed method={} path={}", request.method, request.path
            )
            return http.error_reply(
                500, "internal-error", "the handler failed; see the host's log"
            )

    def _send(self, reply: http.HttpReply) -> None:
        req = self.req
        if not req.server.can_add_keepalive_connection:
            req.close_connection = True
        headers = dict(reply.headers)
        if req.close_connection:
            headers["Connection"] = "close"
        elif req.response_protocol == "HTTP/1.0":
            headers["Connection"] = "Keep-Alive"
        bodiless = req.method == b"HEAD" or reply.status in _BODILESS_STATUSES
        body_bytes = None if bodiless else len(reply.body)
        head = _head(req.server.protocol, reply.status, headers, body_bytes)
        req.sent_headers = True
        req.conn.wfile.write(head if bodiless else head + reply.body)


def _head(
    protocol: str,
    status: int,
    headers: Mapping[str, str],
    body_bytes: int | None,
) -> bytes:
    """Status line and headers of a reply.

    `body_bytes` is None for a reply without a body, which keeps whatever
    length its headers state. Values of `Set-Cookie` can't be joined by
    commas; several come as one text with a line each.
    """
    lines = [f"{protocol} {status} {_PHRASES.get(status, 'Status')}"]
    for key, value in headers.items():
        lowered = key.lower()
        if lowered == "set-cookie":
            lines.extend(f"{key}: {line}" for line in value.splitlines())
        elif lowered == "content-length" and body_bytes is not None:
            continue
        elif "\r" not in value and "\n" not in value:
            lines.append(f"{key}: {value}")
    if body_bytes is not None:
        lines.append(f"Content-Length: {body_bytes}")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("latin-1", "replace")


def _stopping_reply() -> http.HttpReply:
    reply = http.error_reply(
        503,
        "stopping",
        "this host is stopping; ask again through another one",
        RETRY_AFTER_STOP_MS,
    )
    return attrs.evolve(
        reply, headers={**reply.headers, "X-Outcome": "not-run"}
    )


def _bad_body_reply(bad: _BadBody) -> http.HttpReply:
    reply = http.error_reply(bad.status, bad.reason, bad.detail)
    return attrs.evolve(
        reply, headers={**reply.headers, "X-Outcome": "not-run"}
    )

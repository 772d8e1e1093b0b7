"""Converts between cheroot's and the project's requests and replies."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import http as http_statuses
import re
import threading
from typing import final
from typing import Self
import urllib.parse

import attrs
from cheroot import errors as cheroot_errors
from cheroot import server as cheroot_server
import logbook
import result

from comfreylatch._connection import http
from comfreylatch._ports import clock as clock_port

STOPPING_RETRY_AFTER_MS = 1_000

_CONTENT_LENGTH = re.compile(rb"[0-9]{1,15}")
_PHRASES = {status.value: status.phrase for status in http_statuses.HTTPStatus}
_BODILESS_STATUSES = frozenset({204, 304})

_logger = logbook.Logger("comfreylatch.http-server")


@attrs.frozen
class _BodyError:
    """The request body is invalid; `status` is the HTTP status to send."""

    status: int
    reason: str
    detail: str


@final
class ServerState:
    """State shared by the server and its gateways.

    Entered as a context manager around each request, to count it as open.

    Attributes:
        on_refusal: Called for each request that is refused while draining.
        draining: Whether new requests are refused with status 503.
        closing: Whether connections are closed after their next reply.
        open_requests: Number of requests in progress, from reading the body
            to sending the reply.
        last_arrival_ms: Monotonic time at which a request last arrived; reset
            when a wait for arrivals begins.
    """

    def __init__(
        self,
        handler: http.Handler,
        clock: clock_port.Clock,
        on_refusal: Callable[[], None],
    ) -> None:
        self.handler = handler
        self.clock = clock
        self.on_refusal = on_refusal
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

    def wait_until_idle(self, timeout_ms: int) -> bool:
        """Waits for open requests; returns whether all of them completed."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self.open_requests == 0, timeout_ms / 1_000
            )


class Gateway(cheroot_server.Gateway):
    """Calls the handler with a converted request and sends its reply."""

    def respond(self) -> None:
        """Answers one request, with status 500 if the handler raises."""
        state = self.req.server.state
        state.last_arrival_ms = state.clock.monotonic_ms()
        if state.draining:
            # Closing before the body is read would reset the connection while
            # the caller still sends, and the reply would be lost.
            self._read_body()
            self.req.close_connection = True
            state.on_refusal()
            self._send(self._with_request_id(_stopping_reply()))
            return
        with state:
            match self._read_body():
                case result.Ok(body):
                    reply = self._handle(state, self._request(body))
                case result.Err(error):
                    self.req.close_connection = True
                    reply = self._with_request_id(_body_error_reply(error))
            if state.draining or state.closing:
                self.req.close_connection = True
            self._send(reply)

    def _with_request_id(self, reply: http.HttpReply) -> http.HttpReply:
        """Adds the request id that the caller sent, if any."""
        request_id = self.req.inheaders.get(b"X-Request-Id")
        if request_id is None:
            return reply
        headers = {
            **reply.headers,
            "X-Request-Id": request_id.decode("latin-1"),
        }
        return attrs.evolve(reply, headers=headers)

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

    def _read_body(self) -> result.Result[bytes, _BodyError]:
        headers = self.req.inheaders
        length_text = headers.get(b"Content-Length")
        try:
            if self.req.chunked_read:
                return self._read_chunked(length_text)
            if length_text is None:
                return result.Ok(b"")
            if not _CONTENT_LENGTH.fullmatch(length_text):
                return result.Err(
                    _BodyError(
                        400,
                        "bad-request",
                        "Content-Length is not a valid number",
                    )
                )
            return self._read_fixed_length(int(length_text))
        except TimeoutError:
            return result.Err(
                _BodyError(
                    408, "bad-request", "timed out reading the request body"
                )
            )

    def _read_fixed_length(
        self, length: int
    ) -> result.Result[bytes, _BodyError]:
        body = self.req.rfile.read(length) if length else b""
        if len(body) < length:
            detail = f"the body ended after {len(body)} of {length} bytes"
            return result.Err(_BodyError(400, "bad-request", detail))
        return result.Ok(body)

    def _read_chunked(
        self, length_text: bytes | None
    ) -> result.Result[bytes, _BodyError]:
        if length_text is not None:
            detail = "both Content-Length and Transfer-Encoding are present"
            return result.Err(_BodyError(400, "bad-request", detail))
        too_long = _BodyError(
            413, "body-too-long", "the request body is too long"
        )
        try:
            body = self.req.rfile.read()
            for _ in self.req.rfile.read_trailer_lines():
                pass
        except cheroot_errors.MaxSizeExceeded:
            return result.Err(too_long)
        except ValueError as error:
            return result.Err(_BodyError(400, "bad-request", str(error)))
        except TimeoutError:
            raise
        except OSError:
            return result.Err(too_long)
        return result.Ok(body)

    def _handle(
        self, state: ServerState, request: http.HttpRequest
    ) -> http.HttpReply:
        try:
            return state.handler(request)
        except Exception:
            _logger.exception(
                "handler-failed method={} path={}", request.method, request.path
            )
            return http.error_reply(
                500,
                "internal-error",
                "the request handler failed; see the log of the host",
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
        head = reply_head(
            req.server.protocol, reply.status, headers, body_bytes
        )
        req.sent_headers = True
        req.conn.wfile.write(head if bodiless else head + reply.body)


def reply_head(
    protocol: str,
    status: int,
    headers: Mapping[str, str],
    body_bytes: int | None,
) -> bytes:
    """Encodes the status line and headers of a reply.

    `body_bytes` is None for a reply without a body; a Content-Length among
    its headers is then kept. `Set-Cookie` values can't be joined by commas,
    so several values are passed as one text with one value per line.
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
        "this host is stopping; retry on another host",
        STOPPING_RETRY_AFTER_MS,
    )
    return attrs.evolve(
        reply, headers={**reply.headers, "X-Outcome": "not-run"}
    )


def unrequested_refusal() -> bytes:
    """Encodes the refusal that is sent before an idle connection is closed."""
    reply = _stopping_reply()
    headers = {**reply.headers, "Connection": "close"}
    head = reply_head("HTTP/1.1", reply.status, headers, len(reply.body))
    return head + reply.body


def _body_error_reply(error: _BodyError) -> http.HttpReply:
    reply = http.error_reply(error.status, error.reason, error.detail)
    return attrs.evolve(
        reply, headers={**reply.headers, "X-Outcome": "not-run"}
    )

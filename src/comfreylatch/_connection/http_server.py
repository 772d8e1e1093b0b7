"""HTTP/1.1 server for callers and operators, based on cheroot."""

from __future__ import annotations

from collections.abc import Callable
import select
import socket
import threading
import time
from types import TracebackType
from typing import final
from typing import Self

import attrs
from cheroot import server as cheroot_server
import logbook
import result

from comfreylatch._connection import address as address_module
from comfreylatch._connection import http
from comfreylatch._connection import http_gateway
from comfreylatch._connection import listener
from comfreylatch._ports import clock as clock_port

MAX_HEADER_BYTES = 32_768
IDLE_TIMEOUT_MS = 10_000
MAX_KEEPALIVE_CONNECTIONS = 2_048
LISTEN_BACKLOG = 512
QUIET_PERIOD_MS = 150
MAX_ARRIVAL_WAIT_MS = 2_000
POLL_INTERVAL_S = 0.05
EXPIRATION_INTERVAL_S = 0.2
# Must not be negative: connections accepted while it is set use it as their
# socket timeout.
IMMEDIATE_EXPIRY_S = 0.001
# Covers the way of a refusal to the caller and the caller's close back.
LINGER_MS = 500
# Part of a drain's timeout that is kept for closing the connections: two
# expirations, the lingering ones, and the end of the server's threads.
CLOSING_MS = 1_100
STOP_MS = 250

_DISCARD_BYTES = 65_536

_logger = logbook.Logger("comfreylatch.http-server")


class ServerStartError(Exception):
    """The server can't listen on its address."""


@final
class HttpServer:
    """Serves a handler on an address, with one thread per open request.

    A context manager: entering binds the address and starts serving, leaving
    drains the server with a fixed timeout. Call `drain` first to choose the
    timeout.

    Args:
        address: `IP:port` to listen on; port 0 takes a free one.
        handler: Answers the requests.
        threads: Number of requests that are handled at a time.
        max_body_bytes: Longest body of a request.
        max_header_bytes: Longest header of a request.
        idle_timeout_ms: How long a connection may wait for a request.
        clock: Source of monotonic time.
        on_refusal: Called for each request that a drain refuses.

    Attributes:
        address: Bound `IP:port`; port 0 is replaced by the port assigned.
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
        on_refusal: Callable[[], None] = lambda: None,
    ) -> None:
        match address_module.parse(address):
            case result.Ok(parsed):
                pass
            case result.Err(bad):
                raise ServerStartError(bad.detail)
        self.address = address
        self._state = http_gateway.ServerState(
            handler, clock or clock_port.SystemClock(), on_refusal
        )
        self._server = _Server(
            (parsed.ip, parsed.port),
            http_gateway.Gateway,
            minthreads=threads,
            maxthreads=threads,
            server_name="comfreylatch",
        )
        self._server.state = self._state
        self._server.lingering = []
        self._server.max_request_header_size = max_header_bytes
        self._server.max_request_body_size = max_body_bytes
        self._server.timeout = idle_timeout_ms / 1_000
        self._stopped = False

    def __enter__(self) -> Self:
        # Threads inherit the daemon flag: worker threads started from a
        # daemon thread can't keep the process alive when a handler hangs.
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
        """Number of requests in progress, until their replies are sent."""
        return self._state.open_requests

    def close_after_replies(self) -> None:
        """Closes connections after their next reply; still accepts new ones."""
        self._state.closing = True

    def wait_until_quiet(self, timeout_ms: int) -> bool:
        """Waits, while it serves, until requests neither arrive nor are open.

        Returns:
            Whether that was so within `timeout_ms`.
        """
        state = self._state
        deadline = _Deadline(state.clock, timeout_ms)
        state.last_arrival_ms = state.clock.monotonic_ms()
        while deadline.remaining_ms():
            quiet_ms = state.clock.monotonic_ms() - state.last_arrival_ms
            if state.open_requests == 0 and quiet_ms >= QUIET_PERIOD_MS:
                return True
            time.sleep(POLL_INTERVAL_S)
        return False

    def _wait_until_no_arrivals(self, timeout_ms: int) -> None:
        """Waits until no requests arrive, for a bounded time.

        Closing the listening socket resets connections that are not accepted
        yet. Waiting first lets callers that don't know of the shutdown yet
        still receive a reply.
        """
        state = self._state
        started_ms = state.clock.monotonic_ms()
        state.last_arrival_ms = started_ms
        while True:
            now_ms = state.clock.monotonic_ms()
            if now_ms - state.last_arrival_ms >= QUIET_PERIOD_MS:
                return
            if now_ms - started_ms >= min(timeout_ms, MAX_ARRIVAL_WAIT_MS):
                return
            time.sleep(POLL_INTERVAL_S)

    def _close_idle_connections(self, timeout_ms: int) -> None:
        """Lets the server's own loop close keep-alive connections."""
        self._server.timeout = IMMEDIATE_EXPIRY_S
        expiry_ms = int(2 * EXPIRATION_INTERVAL_S * 1_000)
        time.sleep(min(expiry_ms, timeout_ms) / 1_000)
        self._state.wait_until_idle(timeout_ms - expiry_ms)

    def drain(self, timeout_ms: int) -> bool:
        """Shuts down gracefully: completes open requests, refuses new ones.

        Requests that arrive while connections are being closed are answered
        with 503 and outcome `not-run`. All of it takes `timeout_ms` at most.

        Returns:
            Whether every open request was answered in time.
        """
        if self._stopped:
            return True
        self._stopped = True
        self._state.draining = True
        deadline = _Deadline(self._state.clock, timeout_ms)
        closing_ms = min(CLOSING_MS, timeout_ms // 2)
        arrivals_ms = (timeout_ms - closing_ms) // 4
        self._wait_until_no_arrivals(arrivals_ms)
        if not listener.stop_new_connections(self._server.socket):
            _logger.warning(
                "can't-stop-new-connections address={}", self.address
            )
        self._wait_until_no_arrivals(arrivals_ms)
        finished = self._state.wait_until_idle(
            deadline.remaining_ms(closing_ms)
        )
        self._close_idle_connections(deadline.remaining_ms(STOP_MS))
        linger_ms = min(LINGER_MS, deadline.remaining_ms(STOP_MS))
        self._server.close_lingering(linger_ms)
        self._stop_server(deadline.remaining_ms())
        return finished and self.open_requests == 0

    def _stop_server(self, timeout_ms: int) -> None:
        """Ends the server's threads; leaves one that hangs to the process."""
        timeout_s = max(timeout_ms, STOP_MS) / 1_000
        self._server.shutdown_timeout = min(timeout_s / 2, 1)
        stopper = threading.Thread(
            target=self._server.stop, name="http-stop", daemon=True
        )
        stopper.start()
        stopper.join(timeout_s)


@final
@attrs.frozen
class _Deadline:
    """The end of a period that several waits share."""

    clock: clock_port.Clock
    timeout_ms: int
    started_ms: int = attrs.field(
        default=attrs.Factory(
            lambda self: self.clock.monotonic_ms(), takes_self=True
        )
    )

    def remaining_ms(self, reserved_ms: int = 0) -> int:
        """Returns the time left without a reserve at its end; 0 if none."""
        used_ms = self.clock.monotonic_ms() - self.started_ms
        return max(self.timeout_ms - reserved_ms - used_ms, 0)


def _discard_until_closed(peer: socket.socket, timeout_ms: int) -> bool:
    """Reads and drops what a peer sends until it closes or goes silent.

    Returns:
        Whether it has sent anything.
    """
    has_sent = False
    # A timeout of 0 reads what is there without waiting.
    peer.settimeout(timeout_ms / 1_000)
    try:
        while peer.recv(_DISCARD_BYTES):
            has_sent = True
    except OSError as error:
        _logger.debug("peer-not-closed error={!r}", error)
    return has_sent


class _Request(cheroot_server.HTTPRequest):
    """Cheroot's request, with errors as JSON replies."""

    def simple_response(self, status: str, msg: str = "") -> None:
        """Sends an error raised outside the handler and closes."""
        code = int(str(status)[:3])
        reply = http.error_reply(code, "bad-request", msg or str(status))
        headers = dict(reply.headers)
        if code < 500:
            headers["X-Outcome"] = "not-run"
        self.close_connection = True
        headers["Connection"] = "close"
        head = http_gateway.reply_head(
            self.server.protocol, code, headers, len(reply.body)
        )
        try:
            self.conn.wfile.write(head + reply.body)
        except OSError as error:
            _logger.debug("error-not-sent status={} error={!r}", code, error)


class _Connection(cheroot_server.HTTPConnection):
    """Cheroot's connection with the arrival time of its current request.

    Attributes:
        arrived_ms: Monotonic time at which its current request arrived; -1
            before the first.
        is_polled: Whether the server's loop has polled it for data.
        is_idle: Whether it waits in the server's loop for its next request.
    """

    RequestHandlerClass = _Request
    arrived_ms = -1
    is_polled = False
    is_idle = False

    def close(self) -> None:
        """Closes the connection, unless a request has arrived on it while idle.

        The loop polls its connections some time before it closes those that
        have expired. A request that arrives in between is answered first.
        While draining, the connection is closed with a refusal: a request that
        is on its way gets that as its reply.
        """
        if self.is_idle and self._has_data():
            self.server.process_conn(self)
            return
        if self.is_idle and self.server.state.draining and self._refuse():
            self.linger = True  # Keeps the socket open.
            self.server.lingering.append(self.socket)
        super().close()

    def _refuse(self) -> bool:
        """Sends a refusal and the end of the stream; False if that fails."""
        try:
            self.socket.sendall(http_gateway.unrequested_refusal())
            self.socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            _logger.debug("refusal-not-sent error={!r}", error)
            return False
        return True

    def _has_data(self) -> bool:
        """Whether a read returns at once: data, or the end of the stream."""
        poller = select.poll()
        try:
            poller.register(self.socket, select.POLLIN)
            return bool(poller.poll(0))
        except (OSError, ValueError):
            return False  # The socket is closed already.


class _Server(cheroot_server.HTTPServer):
    """Cheroot's server that logs to logbook and reads only readable sockets."""

    ConnectionClass = _Connection
    request_queue_size = LISTEN_BACKLOG
    keep_alive_conn_limit = MAX_KEEPALIVE_CONNECTIONS
    expiration_interval = EXPIRATION_INTERVAL_S
    state: http_gateway.ServerState
    lingering: list[socket.socket]

    def close_lingering(self, timeout_ms: int) -> None:
        """Closes the sockets of refused callers once these have closed theirs.

        Closing a socket with unread data resets the connection, and the caller
        may then lose the refusal. After `timeout_ms` they are closed anyway.
        """
        deadline_ms = self.state.clock.monotonic_ms() + timeout_ms
        while self.lingering:
            closed = self.lingering.pop()
            with closed:
                remaining_ms = deadline_ms - self.state.clock.monotonic_ms()
                # What it has sent is a request that crossed the refusal.
                if _discard_until_closed(closed, max(remaining_ms, 0)):
                    self.state.on_refusal()

    def stop(self) -> None:
        """Ends the threads, without connecting to the own address first.

        Cheroot connects to end a waiting accept, which waits a second where
        new connections are dropped. Its loop polls, so nothing waits there,
        and a closed listener makes it leave the connection out.
        """
        self.socket.close()
        super().stop()

    def process_conn(self, conn: _Connection) -> None:
        """Queues a readable connection; a new one first waits for data."""
        if not conn.is_polled:
            conn.is_polled = True
            conn.is_idle = True
            self._connections.put(conn)
            return
        conn.is_idle = False
        conn.arrived_ms = self.state.clock.monotonic_ms()
        super().process_conn(conn)

    def put_conn(self, conn: _Connection) -> None:
        """Keeps a connection open for its next request, unless stopping."""
        conn.is_idle = True
        try:
            super().put_conn(conn)
        except (OSError, ValueError, KeyError) as error:
            _logger.debug("connection-dropped error={!r}", error)
            conn.close()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Logs messages of cheroot."""
        if traceback:
            _logger.exception("http-server-error detail={!r}", msg)
        elif level >= 30:
            _logger.warning("http-server-warning detail={!r}", msg)
        else:
            _logger.debug("http-server detail={!r}", msg)

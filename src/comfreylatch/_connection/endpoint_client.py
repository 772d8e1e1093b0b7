"""Client for single tries of requests to endpoints, over urllib3."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import http.client
import socket
from types import TracebackType
from typing import Any
from typing import final
from typing import Self

import result
from urllib3 import connection as urllib3_connection
from urllib3 import exceptions as urllib3_exceptions

from comfreylatch._connection import address as address_module
from comfreylatch._connection import connection_pool
from comfreylatch._connection import endpoint_headers
from comfreylatch._connection import exchange
from comfreylatch._connection import late_answers
from comfreylatch._connection import pending_answer
from comfreylatch._ports import clock as clock_port

_BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})


def _do_nothing() -> None:
    return


@final
class EndpointClient:
    """Sends requests to endpoints over pooled connections.

    Thread-safe. It owns connections and a thread, so use it as a context
    manager.
    """

    def __init__(
        self,
        connect_timeout_ms: int,
        clock: clock_port.Clock | None = None,
    ) -> None:
        self._connect_timeout_ms = connect_timeout_ms
        self._pools = connection_pool.ConnectionPools()
        self._clock = clock or clock_port.SystemClock()
        self._watcher = late_answers.LateAnswerWatcher(self._clock)

    def __enter__(self) -> Self:
        self._watcher.__enter__()
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._watcher.__exit__(exception_type, exception, traceback)
        self._pools.close()

    def send(
        self,
        address: str,
        request: exchange.EndpointRequest,
        limits: exchange.TryLimits,
        on_ended: Callable[[], None] = _do_nothing,
    ) -> exchange.TryResult:
        """Sends a request and waits for its complete answer.

        `on_ended` is called exactly once, when the endpoint no longer runs
        the request: before this method returns if that is known by then, else
        later from the watcher's thread.
        """
        match self.begin(address, request, limits, on_ended):
            case result.Ok(pending):
                return pending.finish()
            case result.Err(error):
                return result.Err(error)

    def begin(
        self,
        address: str,
        request: exchange.EndpointRequest,
        limits: exchange.TryLimits,
        on_ended: Callable[[], None] = _do_nothing,
    ) -> result.Result[pending_answer.PendingAnswer, exchange.EndpointError]:
        """Sends a request and returns the `PendingAnswer` to read."""
        match self._connect(address, request, limits):
            case result.Ok(lease):
                pass
            case result.Err(not_sent):
                on_ended()
                return result.Err(not_sent)
        now_ms = self._clock.monotonic_ms()
        too_late = _check_send_time(limits, now_ms)
        if too_late is not None:
            lease.release(reusable=True)
            on_ended()
            return result.Err(too_late)
        remaining_ms = limits.deadline_ms - now_ms
        lease.deadline_socket.set_deadline(remaining_ms)
        try:
            _write(lease.connection, request, remaining_ms)
        except ValueError as error:
            # Header validation fails before any byte is sent.
            lease.close()
            on_ended()
            return result.Err(
                exchange.NotSent(exchange.SendFailure.BAD_REQUEST, str(error))
            )
        except (OSError, http.client.HTTPException) as error:
            lease.close()
            self._watcher.watch(None, limits.hold_until_ms, on_ended)
            return result.Err(
                exchange.LostAfterSend(
                    _classify_write_error(error), repr(error)
                )
            )
        return result.Ok(
            pending_answer.PendingAnswer(
                self._watcher, lease, request, limits, on_ended
            )
        )

    def can_connect(self, address: str) -> bool:
        """Whether a TCP connection to an address succeeds; sends no data."""
        parsed = address_module.parse(address).unwrap()
        timeout_s = self._connect_timeout_ms / 1_000
        try:
            probe = socket.create_connection(
                (parsed.ip, parsed.port), timeout_s
            )
        except OSError:
            return False
        probe.close()
        return True

    def trim(self, limits: Mapping[str, int]) -> None:
        """Closes idle connections in excess of the limit of each address."""
        self._pools.trim(limits)

    def close_idle(self, address: str) -> None:
        """Closes the idle connections to an address."""
        self._pools.close_idle(address)

    def open_connections(self, address: str) -> int:
        """Number of open connections to an address, idle or in use."""
        return self._pools.open_connections(address)

    def _connect(
        self,
        address: str,
        request: exchange.EndpointRequest,
        limits: exchange.TryLimits,
    ) -> result.Result[connection_pool.Lease, exchange.NotSent]:
        max_idle_ms = (
            connection_pool.MAX_IDLE_MS
            if request.idempotent
            else connection_pool.NON_IDEMPOTENT_MAX_IDLE_MS
        )
        lease = self._pools.acquire(
            address, max_idle_ms, limits.max_connections
        )
        if lease is None:
            detail = f"all {limits.max_connections} connections are in use"
            return result.Err(
                exchange.NotSent(
                    exchange.SendFailure.NO_CONNECTION_FREE, detail
                )
            )
        if lease.is_connected:
            return result.Ok(lease)
        remaining_ms = min(limits.deadline_ms, limits.send_by_ms)
        remaining_ms -= self._clock.monotonic_ms()
        timeout_ms = min(self._connect_timeout_ms, remaining_ms)
        return _open(lease, address, timeout_ms)


def _open(
    lease: connection_pool.Lease, address: str, timeout_ms: int
) -> result.Result[connection_pool.Lease, exchange.NotSent]:
    try:
        parsed = address_module.parse(address).unwrap()
        connection = urllib3_connection.HTTPConnection(
            parsed.ip, parsed.port, timeout=max(timeout_ms, 1) / 1_000
        )
        connection.connect()
    except result.UnwrapError as error:
        lease.close()
        return result.Err(
            exchange.NotSent(exchange.SendFailure.BAD_REQUEST, str(error))
        )
    except (urllib3_exceptions.HTTPError, OSError) as error:
        lease.close()
        return result.Err(
            exchange.NotSent(_classify_connect_error(error), str(error))
        )
    lease.attach(connection)
    return result.Ok(lease)


def _check_send_time(
    limits: exchange.TryLimits, now_ms: int
) -> exchange.NotSent | None:
    """Returns an error if it is too late to send the request.

    The process may have been suspended since it acquired the slot. A request
    sent after the slot expired could overlap with another host's request in
    the same slot.
    """
    if now_ms >= limits.deadline_ms:
        detail = "the deadline passed before the request was sent"
        return exchange.NotSent(exchange.SendFailure.DEADLINE_PASSED, detail)
    if now_ms >= limits.send_by_ms:
        detail = "the slot expired before the request was sent"
        return exchange.NotSent(exchange.SendFailure.SENT_TOO_LATE, detail)
    return None


def _classify_connect_error(error: Exception) -> exchange.SendFailure:
    if isinstance(error.__cause__, ConnectionRefusedError):
        return exchange.SendFailure.CONNECT_REFUSED
    # NewConnectionError is a subclass of ConnectTimeoutError.
    if isinstance(
        error, urllib3_exceptions.ConnectTimeoutError
    ) and not isinstance(error, urllib3_exceptions.NewConnectionError):
        return exchange.SendFailure.CONNECT_TIMED_OUT
    return exchange.SendFailure.CONNECT_FAILED


def _classify_write_error(error: Exception) -> exchange.Loss:
    return (
        exchange.Loss.TIMED_OUT
        if isinstance(error, TimeoutError)
        else exchange.Loss.RESET
    )


def _write(
    connection: urllib3_connection.HTTPConnection,
    request: exchange.EndpointRequest,
    remaining_ms: int,
) -> None:
    headers = endpoint_headers.filter_request_headers(request.headers)
    headers[endpoint_headers.ID_HEADER] = request.request_id
    headers[endpoint_headers.REMAINING_HEADER] = str(remaining_ms)
    headers.setdefault("accept-encoding", "identity")
    body: Any = request.body
    if not body and request.method not in _BODY_METHODS:
        body = None
    connection.timeout = max(remaining_ms, 1) / 1_000
    connection.request(
        request.method,
        request.target,
        body=body,
        headers=headers,
        preload_content=False,
        decode_content=False,
    )

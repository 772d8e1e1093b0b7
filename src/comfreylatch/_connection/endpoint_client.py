"""One try of one request to one endpoint, over urllib3.

What is known of a failed try is kept apart by type: `NotSent` when no byte
reached the endpoint, `DeclinedByEndpoint` when it says itself that it did not
run the request, and `LostAfterSend` for everything else.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import enum
import http.client
import socket
from types import TracebackType
from typing import Any
from typing import final
from typing import Self

import attrs
import result
from urllib3 import connection as urllib3_connection
from urllib3 import exceptions as urllib3_exceptions
from urllib3 import response as urllib3_response

from comfreylatch._connection import address as address_module
from comfreylatch._connection import connection_pool
from comfreylatch._connection import late_answers
from comfreylatch._ports import clock as clock_port

ID_HEADER = "X-Request-Id"
REMAINING_HEADER = "X-Remaining-Ms"
OUTCOME_HEADER = "X-Outcome"
NOT_RUN = "not-run"

MAX_ANSWER_BYTES = 64 * 1_024 * 1_024
READ_BYTES = 65_536

HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_SET_BY_CLIENT = frozenset(
    {"content-length", "host", ID_HEADER.lower(), REMAINING_HEADER.lower()}
)
_BODILESS_STATUSES = frozenset({204, 304})
_BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})


class SendFailure(enum.StrEnum):
    """Why no byte of a request was sent."""

    CONNECT_REFUSED = "connect-refused"
    CONNECT_FAILED = "connect-failed"
    CONNECT_TIMED_OUT = "connect-timed-out"
    NO_CONNECTION_FREE = "no-connection-free"
    DEADLINE_PASSED = "deadline-passed"
    BAD_REQUEST = "bad-request"


class Loss(enum.StrEnum):
    """How the answer to a sent request was lost."""

    RESET = "reset"
    TIMED_OUT = "timed-out"
    TRUNCATED = "truncated"
    WRONG_ID = "wrong-id"
    MALFORMED = "malformed"


@attrs.frozen
class EndpointRequest:
    """A request as an endpoint shall get it.

    Attributes:
        method: Upper-case method.
        target: Path and query, percent-encoded.
        headers: End-to-end headers; others are dropped.
        body: The whole body.
        request_id: Sent as, and expected back in, `X-Request-Id`.
        idempotent: Whether a connection that may be stale can be used.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    request_id: str
    idempotent: bool = False


@attrs.frozen
class TryLimits:
    """Bounds of one try.

    Attributes:
        deadline_ms: Monotonic time by which the answer must be here whole;
            nothing is sent after it.
        hold_until_ms: Monotonic time by which the endpoint must have ended
            the request, even when its answer is lost.
        max_connections: Connections this host may hold to the endpoint.
    """

    deadline_ms: int
    hold_until_ms: int
    max_connections: int


@attrs.frozen
class EndpointAnswer:
    """A whole answer to the request that was sent.

    Attributes:
        closing: The endpoint said that it closes the connection.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    closing: bool = False


@attrs.frozen
class NotSent:
    """No byte of the request reached the endpoint."""

    failure: SendFailure
    detail: str


@attrs.frozen
class DeclinedByEndpoint:
    """The endpoint says that it did not run the request."""

    detail: str
    closing: bool = False


@attrs.frozen
class LostAfterSend:
    """The endpoint may have run the request; its answer is not to be had."""

    loss: Loss
    detail: str


EndpointError = NotSent | DeclinedByEndpoint | LostAfterSend
TryResult = result.Result[EndpointAnswer, EndpointError]


def _ignore() -> None:
    return


@final
class PendingAnswer:
    """A request that was sent; `finish` or `abandon` it, once."""

    def __init__(
        self,
        client: EndpointClient,
        lease: connection_pool.Lease,
        request: EndpointRequest,
        limits: TryLimits,
        ended: Callable[[], None],
    ) -> None:
        self._client = client
        self._lease = lease
        self._request = request
        self._limits = limits
        self._ended = ended

    def fileno(self) -> int:
        """The socket, readable as soon as the answer begins to arrive."""
        return self._lease.channel.fileno()

    def finish(self) -> TryResult:
        """Reads the whole answer, up to the try's deadline."""
        try:
            response = self._lease.connection.getresponse()
            outcome = self._read(response)
        except (TimeoutError, urllib3_exceptions.ReadTimeoutError) as error:
            self.abandon()
            return result.Err(LostAfterSend(Loss.TIMED_OUT, repr(error)))
        except (http.client.IncompleteRead, _TooLongError) as error:
            return self._lost(Loss.TRUNCATED, repr(error))
        except (urllib3_exceptions.HTTPError, http.client.HTTPException) as e:
            return self._lost(self._loss_of(e), repr(e))
        except OSError as error:
            return self._lost(Loss.RESET, repr(error))
        match outcome:
            case result.Err(LostAfterSend()):
                self._lease.close()
                self._hold()
            case _:
                self._lease.release(reusable=not _is_closing(response))
                self._ended()
        return outcome

    def abandon(self) -> None:
        """Stops waiting; the end of the request is still watched for."""
        lease = self._lease
        if lease.channel.received:
            lease.close()
            self._hold()
            return
        # The socket now belongs to the watcher, which closes it.
        watched = lease.hand_over()
        self._client.late.watch(
            watched,
            self._limits.hold_until_ms,
            _both(lease.forget, self._ended),
        )

    def _lost(self, loss: Loss, detail: str) -> TryResult:
        self._lease.close()
        self._hold()
        return result.Err(LostAfterSend(loss, detail))

    def _hold(self) -> None:
        self._client.late.watch(None, self._limits.hold_until_ms, self._ended)

    def _loss_of(self, error: Exception) -> Loss:
        if isinstance(error, http.client.RemoteDisconnected):
            return Loss.RESET
        if self._lease.channel.ended:
            return Loss.TRUNCATED
        if isinstance(error, urllib3_exceptions.ProtocolError):
            return Loss.RESET
        return Loss.MALFORMED

    def _read(self, response: urllib3_response.HTTPResponse) -> TryResult:
        headers = response.headers
        bodiless = (
            self._request.method == "HEAD"
            or response.status in _BODILESS_STATUSES
        )
        if not bodiless and not _has_length(headers):
            return result.Err(
                LostAfterSend(
                    Loss.TRUNCATED, "the answer doesn't say how long it is"
                )
            )
        body = _read_body(response)
        # Cut short within its headers, an answer may look whole.
        if self._lease.channel.ended:
            return result.Err(
                LostAfterSend(Loss.TRUNCATED, "the answer was cut short")
            )
        if response.status < http.client.OK:
            return result.Err(
                LostAfterSend(Loss.MALFORMED, f"status {response.status}")
            )
        return self._checked(response, body)

    def _checked(
        self, response: urllib3_response.HTTPResponse, body: bytes
    ) -> TryResult:
        answered_id = response.headers.get(ID_HEADER, "")
        if answered_id != self._request.request_id:
            detail = f"the answer is for request {answered_id!r}"
            return result.Err(LostAfterSend(Loss.WRONG_ID, detail))
        closing = _is_closing(response)
        if (
            response.status == http.client.SERVICE_UNAVAILABLE
            and response.headers.get(OUTCOME_HEADER) == NOT_RUN
        ):
            return result.Err(
                DeclinedByEndpoint(
                    body[:200].decode("utf-8", "replace"), closing
                )
            )
        headers = _answer_headers(response.headers)
        return result.Ok(
            EndpointAnswer(response.status, headers, body, closing)
        )


@final
class EndpointClient:
    """Sends requests to endpoints and reuses connections to them.

    Thread-safe. A context manager, as it owns connections and a thread.
    """

    def __init__(
        self,
        connect_timeout_ms: int,
        clock: clock_port.Clock | None = None,
    ) -> None:
        self._connect_timeout_ms = connect_timeout_ms
        self._pools = connection_pool.ConnectionPools()
        self._clock = clock or clock_port.SystemClock()
        self.late = late_answers.LateAnswers(self._clock)

    def __enter__(self) -> Self:
        self.late.__enter__()
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.late.__exit__(exception_type, exception, traceback)
        self._pools.close()

    def send(
        self,
        address: str,
        request: EndpointRequest,
        limits: TryLimits,
        ended: Callable[[], None] = _ignore,
    ) -> TryResult:
        """Sends a request and waits for its whole answer.

        `ended` is called once, when the endpoint no longer runs the request:
        before this returns if that is known, else later from a thread.
        """
        match self.begin(address, request, limits, ended):
            case result.Ok(pending):
                return pending.finish()
            case result.Err(error):
                return result.Err(error)

    def begin(
        self,
        address: str,
        request: EndpointRequest,
        limits: TryLimits,
        ended: Callable[[], None] = _ignore,
    ) -> result.Result[PendingAnswer, EndpointError]:
        """Sends a request; the answer is read from the `PendingAnswer`."""
        match self._connect(address, request, limits):
            case result.Ok(lease):
                pass
            case result.Err(not_sent):
                ended()
                return result.Err(not_sent)
        # A host may have been frozen since its slot was taken; what is sent
        # after the deadline could meet another host's request in that slot.
        remaining_ms = limits.deadline_ms - self._clock.monotonic_ms()
        if remaining_ms <= 0:
            lease.release(reusable=True)
            ended()
            detail = "the deadline passed before the request was sent"
            return result.Err(NotSent(SendFailure.DEADLINE_PASSED, detail))
        lease.channel.set_deadline(remaining_ms)
        try:
            _write(lease.connection, request, remaining_ms)
        except ValueError as error:
            # Raised while headers are checked, before the first byte.
            lease.close()
            ended()
            return result.Err(NotSent(SendFailure.BAD_REQUEST, str(error)))
        except (OSError, http.client.HTTPException) as error:
            lease.close()
            self.late.watch(None, limits.hold_until_ms, ended)
            return result.Err(LostAfterSend(_loss_in_write(error), repr(error)))
        return result.Ok(PendingAnswer(self, lease, request, limits, ended))

    def accepts(self, address: str) -> bool:
        """Whether an address takes connections; sends nothing."""
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

    def forget(self, address: str) -> None:
        """Closes the unused connections to an address."""
        self._pools.forget(address)

    def open_connections(self, address: str) -> int:
        """Connections held to an address now."""
        return self._pools.open_connections(address)

    def _connect(
        self, address: str, request: EndpointRequest, limits: TryLimits
    ) -> result.Result[connection_pool.Lease, NotSent]:
        max_idle_ms = (
            connection_pool.MAX_IDLE_MS
            if request.idempotent
            else connection_pool.FRESH_IDLE_MS
        )
        lease = self._pools.take(address, max_idle_ms, limits.max_connections)
        if lease is None:
            detail = f"all {limits.max_connections} connections are in use"
            return result.Err(NotSent(SendFailure.NO_CONNECTION_FREE, detail))
        if lease.is_connected:
            return result.Ok(lease)
        remaining_ms = limits.deadline_ms - self._clock.monotonic_ms()
        timeout_ms = min(self._connect_timeout_ms, remaining_ms)
        return _open(lease, address, timeout_ms)


class _TooLongError(Exception):
    """The answer is longer than `MAX_ANSWER_BYTES`."""


def _open(
    lease: connection_pool.Lease, address: str, timeout_ms: int
) -> result.Result[connection_pool.Lease, NotSent]:
    try:
        parsed = address_module.parse(address).unwrap()
        connection = urllib3_connection.HTTPConnection(
            parsed.ip, parsed.port, timeout=max(timeout_ms, 1) / 1_000
        )
        connection.connect()
    except result.UnwrapError as error:
        lease.close()
        return result.Err(NotSent(SendFailure.BAD_REQUEST, str(error)))
    except (urllib3_exceptions.HTTPError, OSError) as error:
        lease.close()
        return result.Err(NotSent(_connect_failure(error), str(error)))
    lease.attach(connection)
    return result.Ok(lease)


def _connect_failure(error: Exception) -> SendFailure:
    if isinstance(error.__cause__, ConnectionRefusedError):
        return SendFailure.CONNECT_REFUSED
    # NewConnectionError is a kind of ConnectTimeoutError.
    if isinstance(
        error, urllib3_exceptions.ConnectTimeoutError
    ) and not isinstance(error, urllib3_exceptions.NewConnectionError):
        return SendFailure.CONNECT_TIMED_OUT
    return SendFailure.CONNECT_FAILED


def _loss_in_write(error: Exception) -> Loss:
    return Loss.TIMED_OUT if isinstance(error, TimeoutError) else Loss.RESET


def _write(
    connection: urllib3_connection.HTTPConnection,
    request: EndpointRequest,
    remaining_ms: int,
) -> None:
    headers = end_to_end(request.headers)
    headers[ID_HEADER] = request.request_id
    headers[REMAINING_HEADER] = str(remaining_ms)
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


def end_to_end(headers: Mapping[str, str]) -> dict[str, str]:
    """The headers of a request, in lower case, that go on to an endpoint."""
    named = _named_by_connection(headers.get("connection", ""))
    return {
        key: value
        for key, value in headers.items()
        if key not in HOP_BY_HOP
        and key not in _SET_BY_CLIENT
        and key not in named
    }


def _answer_headers(headers: Any) -> dict[str, str]:
    named = _named_by_connection(headers.get("connection", ""))
    kept: dict[str, str] = {}
    for key in headers:
        lowered = key.lower()
        if lowered in HOP_BY_HOP or lowered in named:
            continue
        if lowered == "set-cookie":
            kept[key] = "\n".join(headers.getlist(key))
        else:
            kept[key] = headers[key]
    return kept


def _named_by_connection(value: str) -> frozenset[str]:
    if not value:
        return frozenset()
    return frozenset(name.strip().lower() for name in value.split(","))


def _has_length(headers: Any) -> bool:
    if "content-length" in headers:
        return True
    return "chunked" in headers.get("transfer-encoding", "").lower()


def _is_closing(response: urllib3_response.HTTPResponse) -> bool:
    return "close" in response.headers.get("connection", "").lower()


def _read_body(response: urllib3_response.HTTPResponse) -> bytes:
    remaining = response.length_remaining
    if remaining is not None:
        if remaining > MAX_ANSWER_BYTES:
            raise _TooLongError(f"the answer has {remaining} bytes")
        return response.read(decode_content=False)
    parts: list[bytes] = []
    total = 0
    while part := response.read(READ_BYTES, decode_content=False):
        parts.append(part)
        total += len(part)
        if total > MAX_ANSWER_BYTES:
            raise _TooLongError(f"the answer has over {total} bytes")
    return b"".join(parts)


def _both(
    first: Callable[[], None], second: Callable[[], None]
) -> Callable[[], None]:
    def run() -> None:
        first()
        second()

    return run

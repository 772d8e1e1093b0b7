"""Request, limits and result of one try at an endpoint.

The type of the error tells whether the request may have run: `NotSent` when no
byte reached the endpoint, `DeclinedByEndpoint` when the endpoint states that
it did not run the request, and `LostAfterSend` for every other failure.
"""

from __future__ import annotations

from collections.abc import Mapping
import enum

import attrs
import result


class SendFailure(enum.StrEnum):
    """Why a request was not sent."""

    CONNECT_REFUSED = "connect-refused"
    CONNECT_FAILED = "connect-failed"
    CONNECT_TIMED_OUT = "connect-timed-out"
    NO_CONNECTION_FREE = "no-connection-free"
    DEADLINE_PASSED = "deadline-passed"
    SENT_TOO_LATE = "sent-too-late"
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
    """A request to send to an endpoint.

    Attributes:
        method: Upper-case method.
        target: Path and query, percent-encoded.
        headers: End-to-end headers; others are dropped.
        body: The complete body.
        request_id: Sent in `X-Request-Id`; the answer must carry it too.
        idempotent: Whether a pooled connection that may be stale can be used.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    request_id: str
    idempotent: bool = False


@attrs.frozen
class TryLimits:
    """Time and connection limits of one try.

    Attributes:
        deadline_ms: Monotonic time by which the complete answer must have
            arrived; nothing is sent after it.
        send_by_ms: Monotonic time after which nothing is sent, because other
            hosts may count the slot as free from then on.
        hold_until_ms: Monotonic time by which the endpoint must have ended
            the request, even if its answer is lost.
        max_connections: Limit of open connections from this host to the
            endpoint.
    """

    deadline_ms: int
    send_by_ms: int
    hold_until_ms: int
    max_connections: int


@attrs.frozen
class EndpointAnswer:
    """A complete answer to a request.

    Attributes:
        closing: Whether the endpoint closes the connection.
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
    """The endpoint states that it did not run the request."""

    detail: str
    closing: bool = False


@attrs.frozen
class LostAfterSend:
    """The endpoint may have run the request, but its answer is lost."""

    loss: Loss
    detail: str


EndpointError = NotSent | DeclinedByEndpoint | LostAfterSend
TryResult = result.Result[EndpointAnswer, EndpointError]

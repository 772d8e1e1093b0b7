"""What is said to an endpoint in one try, and what comes of it.

What is known of a failed try is kept apart by type: `NotSent` when no byte
reached the endpoint, `DeclinedByEndpoint` when it says itself that it did not
run the request, and `LostAfterSend` for everything else.
"""

from __future__ import annotations

from collections.abc import Mapping
import enum

import attrs
import result


class SendFailure(enum.StrEnum):
    """Why no byte of a request was sent."""

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
        send_by_ms: Monotonic time after which nothing is sent, as the slot
            may be counted as free.
        hold_until_ms: Monotonic time by which the endpoint must have ended
            the request, even when its answer is lost.
        max_connections: Connections this host may hold to the endpoint.
    """

    deadline_ms: int
    send_by_ms: int
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

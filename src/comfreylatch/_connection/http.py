"""Requests and replies of both HTTP servers, free of any library's types."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import attrs
import msgspec

JSON_TYPE = "application/json"


@attrs.frozen
class HttpRequest:
    """A request as received.

    Attributes:
        method: Upper-case method.
        path: Path without the query, percent-decoded.
        query: Last value of each query parameter.
        headers: Keys in lower case.
        body: The whole body.
        client: IP number of the sender.
        target: Path and query as sent, still percent-encoded.
        received_ms: Monotonic time of the request's first bytes; -1 when not
            known. A deadline counts from here, not from the start of handling.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    client: str = ""
    target: str = ""
    received_ms: int = -1


@attrs.frozen
class HttpReply:
    """A reply to be sent whole."""

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = attrs.field(factory=dict)


Handler = Callable[[HttpRequest], HttpReply]


def json_reply(
    status: int, value: Any, headers: Mapping[str, str] | None = None
) -> HttpReply:
    """A reply whose body is a value encoded as JSON."""
    merged = {"Content-Type": JSON_TYPE, **(headers or {})}
    return HttpReply(status, msgspec.json.encode(value), merged)


def error_reply(
    status: int, reason: str, detail: str, retry_after_ms: int = 0
) -> HttpReply:
    """A JSON reply that says what was wrong and when to come back."""
    headers = {"X-Reason": reason}
    if retry_after_ms > 0:
        headers["Retry-After"] = str(-(-retry_after_ms // 1_000))
        headers["X-Retry-After-Ms"] = str(retry_after_ms)
    return json_reply(status, {"reason": reason, "detail": detail}, headers)

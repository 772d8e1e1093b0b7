"""HTTP requests and replies, independent of the server library."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import attrs
import msgspec

JSON_TYPE = "application/json"


@attrs.frozen
class HttpRequest:
    """A request received by a server.

    Attributes:
        method: Upper-case method.
        path: Path without the query, percent-decoded.
        query: Last value of each query parameter.
        headers: Keys in lower case.
        body: The complete body.
        client: IP address of the sender.
        target: Path and query as sent, still percent-encoded.
        received_ms: Monotonic time at which the first bytes arrived; -1 if
            unknown. Deadlines count from then, not from the handler's start.
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
    """A complete reply to a request."""

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = attrs.field(factory=dict)


Handler = Callable[[HttpRequest], HttpReply]


def json_reply(
    status: int, value: Any, headers: Mapping[str, str] | None = None
) -> HttpReply:
    """Builds a reply whose body is a value encoded as JSON."""
    merged = {"Content-Type": JSON_TYPE, **(headers or {})}
    return HttpReply(status, msgspec.json.encode(value), merged)


def error_reply(
    status: int, reason: str, detail: str, retry_after_ms: int = 0
) -> HttpReply:
    """Builds a JSON error reply with an optional time to retry after."""
    headers = {"X-Reason": reason}
    if retry_after_ms > 0:
        headers["Retry-After"] = str(-(-retry_after_ms // 1_000))
        headers["X-Retry-After-Ms"] = str(retry_after_ms)
    return json_reply(status, {"reason": reason, "detail": detail}, headers)

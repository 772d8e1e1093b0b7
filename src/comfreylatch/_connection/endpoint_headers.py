"""Filters headers of requests to endpoints and of their answers."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

ID_HEADER = "X-Request-Id"
REMAINING_HEADER = "X-Remaining-Ms"
OUTCOME_HEADER = "X-Outcome"

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


def filter_request_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Returns the lower-case request headers to forward to an endpoint."""
    options = _connection_options(headers.get("connection", ""))
    return {
        key: value
        for key, value in headers.items()
        if key not in HOP_BY_HOP
        and key not in _SET_BY_CLIENT
        and key not in options
    }


def filter_answer_headers(headers: Any) -> dict[str, str]:
    """Returns the answer headers to forward to the caller."""
    options = _connection_options(headers.get("connection", ""))
    forwarded: dict[str, str] = {}
    for key in headers:
        lowered = key.lower()
        if lowered in HOP_BY_HOP or lowered in options:
            continue
        if lowered == "set-cookie":
            forwarded[key] = "\n".join(headers.getlist(key))
        else:
            forwarded[key] = headers[key]
    return forwarded


def _connection_options(value: str) -> frozenset[str]:
    if not value:
        return frozenset()
    return frozenset(name.strip().lower() for name in value.split(","))

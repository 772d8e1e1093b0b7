"""Routes requests to the handlers of the operator server."""

from __future__ import annotations

from collections.abc import Sequence
import enum
from typing import final

import attrs

from comfreylatch._connection import http

ANY_SEGMENT = "*"
ANY_REST = "**"


class RouteRefusal(enum.StrEnum):
    """Why a request matches no route."""

    NO_SUCH_PAGE = "no-such-page"
    METHOD_NOT_ALLOWED = "method-not-allowed"


@attrs.frozen
class Route:
    """A handler and the requests it answers.

    Attributes:
        method: Upper-case method; GET also matches HEAD.
        pattern: Path of literal segments and `*` for any one segment; a final
            `**` matches one or more segments.
        handler: Called with the request.
    """

    method: str
    pattern: str
    handler: http.Handler


@final
class Routes:
    """Dispatches requests to the first route that matches."""

    def __init__(self, routes: Sequence[Route]) -> None:
        self._routes = [
            (route, tuple(route.pattern.split("/"))) for route in routes
        ]

    def handle(self, request: http.HttpRequest) -> http.HttpReply:
        """Answers a request; 404 and 405 list the valid alternatives."""
        path = request.path.rstrip("/") or "/"
        segments = tuple(path.split("/"))
        method = "GET" if request.method == "HEAD" else request.method
        allowed = []
        for route, pattern in self._routes:
            if not _matches(pattern, segments):
                continue
            if route.method == method:
                return route.handler(request)
            allowed.append(route.method)
        if allowed:
            return self._not_allowed(request, allowed)
        return self._not_found(request)

    def _not_allowed(
        self, request: http.HttpRequest, allowed: list[str]
    ) -> http.HttpReply:
        names = ", ".join(sorted(set(allowed)))
        reply = http.error_reply(
            405,
            RouteRefusal.METHOD_NOT_ALLOWED,
            f"{request.path} supports {names}, not {request.method}",
        )
        return attrs.evolve(reply, headers={**reply.headers, "Allow": names})

    def _not_found(self, request: http.HttpRequest) -> http.HttpReply:
        pages = sorted({route.pattern for route, _ in self._routes})
        return http.error_reply(
            404,
            RouteRefusal.NO_SUCH_PAGE,
            f"no page matches {request.path}; pages are {', '.join(pages)}",
        )


def last_segment(path: str) -> str:
    """Returns the last segment of a path, such as the id of a job."""
    return path.rstrip("/").rpartition("/")[2]


def _matches(pattern: tuple[str, ...], segments: tuple[str, ...]) -> bool:
    if pattern[-1] == ANY_REST and len(segments) >= len(pattern):
        pattern = pattern[:-1]
        segments = segments[: len(pattern)]
    if len(pattern) != len(segments):
        return False
    return all(
        expected == found or (expected == ANY_SEGMENT and found != "")
        for expected, found in zip(pattern, segments, strict=True)
    )

"""Operator pages of an entry host: health, metrics, status, explanations."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import final

import attrs
import logbook

from comfreylatch._connection import http
from comfreylatch._connection import routes
from comfreylatch._ports import peers as peers_port
from comfreylatch._process import explanation
from comfreylatch._process import journal as journal_module
from comfreylatch._process import logs
from comfreylatch._process import memory
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import metrics_text
from comfreylatch._process import reasons

StatusSource = Callable[[], Any]

_logger = logbook.Logger("operator-pages")


@attrs.frozen
class Health:
    """Body of a health page."""

    ok: bool
    detail: str


@attrs.frozen
class StatusFailure:
    """Replaces the status of a component that failed to report it."""

    error: str


@attrs.frozen
class PeerStatus:
    """Status of another seat, as /status shows it.

    Attributes:
        heard_age_ms: Time since its last answer; -1 if there was none.
    """

    seat: str
    zone: str
    host_id: str
    reachable: bool
    heard_age_ms: int
    stopping: bool
    config_offset: int
    config_digest: str
    leaving_endpoints: tuple[str, ...]
    spare_slots: Mapping[str, int]


def peer_statuses(
    views: Iterable[peers_port.PeerView], now_ms: int
) -> tuple[PeerStatus, ...]:
    """Converts peer views to statuses as of a monotonic time."""
    return tuple(
        PeerStatus(
            seat=view.seat,
            zone=view.zone,
            host_id=view.host_id,
            reachable=view.reachable,
            heard_age_ms=now_ms - view.heard_ms if view.heard_ms >= 0 else -1,
            stopping=view.stopping,
            config_offset=view.config_offset,
            config_digest=view.config_digest,
            leaving_endpoints=tuple(sorted(view.leaving_endpoints)),
            spare_slots=view.spare_slots,
        )
        for view in views
    )


@final
class OperatorPages:
    """Health, metrics, status and explanations of this host.

    Args:
        journal: Decisions of this host.
        metrics: Counters and latencies of this host.
        status_sources: Status callbacks by the name of the component; each
            is called for every page and returns an attrs object.
        ready: Whether the load balancer should send callers to this host.
        peers: The other hosts, queried for explanations.
    """

    def __init__(
        self,
        journal: journal_module.Journal,
        metrics: metrics_module.Metrics,
        status_sources: Mapping[str, StatusSource],
        ready: Callable[[], bool],
        peers: peers_port.Peers,
    ) -> None:
        self._metrics = metrics
        self._status_sources = {"memory": memory.measure, **status_sources}
        self._ready = ready
        self._explainer = explanation.Explainer(journal, peers)

    def routes(self) -> list[routes.Route]:
        """Returns the routes of these pages."""
        return [
            routes.Route("GET", "/health/live", self.live),
            routes.Route("GET", "/health/ready", self.readiness),
            routes.Route("GET", "/metrics", self.metrics),
            routes.Route("GET", "/status", self.status),
            routes.Route("GET", "/explain/*/**", self.explain),
        ]

    def live(self, request: http.HttpRequest) -> http.HttpReply:
        """Replies 200 as long as the process can answer."""
        del request
        return http.json_reply(200, Health(True, "this process is running"))

    def readiness(self, request: http.HttpRequest) -> http.HttpReply:
        """Replies 200 while the host accepts callers, else 503."""
        del request
        if self._ready():
            return http.json_reply(
                200, Health(True, "this host accepts callers")
            )
        detail = "this host is starting or stopping, or has no configuration"
        return http.json_reply(503, Health(False, detail))

    def metrics(self, request: http.HttpRequest) -> http.HttpReply:
        """Replies with all metrics, as JSON or as one text line each."""
        page = self._metrics.page()
        if request.query.get("format") != "text":
            return http.json_reply(200, page)
        headers = {"Content-Type": "text/plain; charset=utf-8"}
        return http.HttpReply(200, metrics_text.render(page).encode(), headers)

    def status(self, request: http.HttpRequest) -> http.HttpReply:
        """Replies with the status of every component, by its name."""
        del request
        page = {
            name: _collect_status(name, source)
            for name, source in self._status_sources.items()
        }
        return http.json_reply(200, page)

    def explain(self, request: http.HttpRequest) -> http.HttpReply:
        """Replies with the decisions of all reachable hosts on a subject."""
        subject_text, _, name = request.path.removeprefix(
            "/explain/"
        ).partition("/")
        if subject_text not in set(reasons.Subject):
            subject_names = ", ".join(reasons.Subject)
            return http.error_reply(
                404,
                reasons.RefusalReason.BAD_REQUEST,
                f"unknown subject {subject_text!r}; use one of {subject_names}",
            )
        subject = reasons.Subject(subject_text)
        return http.json_reply(200, self._explainer.explain(subject, name))


def _collect_status(name: str, source: StatusSource) -> Any:
    try:
        return source()
    # A failing component must not hide the status of the others.
    except Exception as error:
        logs.error(_logger, "status-failed", part=name, error=repr(error))
        return StatusFailure(repr(error))

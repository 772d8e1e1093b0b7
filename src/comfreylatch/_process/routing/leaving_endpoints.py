"""Which endpoints are leaving, by the first credible sign of it.

The platform's list lags, so the endpoint's own behaviour counts too: it
refuses connections, or closes one after it used to keep them open.
"""

from __future__ import annotations

import enum
import threading
from typing import final

import attrs

from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import hosts

CLOSE_MARK_MS = 60_000


class LeavingReason(enum.StrEnum):
    """How it was learned that an endpoint is leaving."""

    REFUSED_CONNECTION = "refused-connection"
    CLOSED_CONNECTION = "closed-connection"
    LISTED_LEAVING = "listed-leaving"
    NO_LONGER_LISTED = "no-longer-listed"
    PEER = "peer"


@attrs.frozen
class _Observation:
    """An own observation, and when it was made."""

    leaving_reason: LeavingReason
    since_ms: int


@final
class LeavingEndpoints:
    """Endpoints that get no new requests. Thread-safe."""

    def __init__(self, clock: clock_port.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._observed: dict[str, _Observation] = {}
        self._listed: dict[str, LeavingReason] = {}
        self._ever_listed: set[str] = set()
        self._reported_by_peers: frozenset[str] = frozenset()
        self._kept_alive: set[str] = set()
        self._all: frozenset[str] = frozenset()

    def is_leaving(self, endpoint: str) -> bool:
        """Whether an endpoint gets no new requests."""
        return endpoint in self._all

    @property
    def names(self) -> frozenset[str]:
        """All endpoints that get no new requests."""
        return self._all

    @property
    def observed(self) -> frozenset[str]:
        """Those that this host itself has seen leave, for its peers."""
        return frozenset(self._observed)

    def record_refused_connection(self, endpoint: str) -> bool:
        """Notes a refused connection; returns whether that is news."""
        return self._record_observation(
            endpoint, LeavingReason.REFUSED_CONNECTION
        )

    def record_answer(self, endpoint: str, closing: bool) -> bool:
        """Notes an answer; returns whether it shows that it is leaving.

        An endpoint that never kept a connection open says nothing by closing.
        """
        if not closing:
            self._kept_alive.add(endpoint)
            return False
        if endpoint not in self._kept_alive:
            return False
        return self._record_observation(
            endpoint, LeavingReason.CLOSED_CONNECTION
        )

    def due_probes(self) -> tuple[str, ...]:
        """Endpoints to which a connection should be tried, without request."""
        now_ms = self._clock.monotonic_ms()
        with self._lock:
            return tuple(
                endpoint
                for endpoint, mark in self._observed.items()
                if mark.leaving_reason == LeavingReason.REFUSED_CONNECTION
                or now_ms >= mark.since_ms + CLOSE_MARK_MS
            )

    def record_accepted_connection(self, endpoint: str) -> None:
        """Notes that a probed endpoint takes connections."""
        with self._lock:
            self._observed.pop(endpoint, None)
            self._kept_alive.discard(endpoint)
            self._rebuild_all()

    def update_host_list(self, listed: hosts.HostList) -> frozenset[str]:
        """Takes the platform's list; returns the endpoints newly leaving."""
        states = {
            host.name: host.state
            for host in listed.hosts
            if host.kind == hosts.HostKind.ENDPOINT
        }
        with self._lock:
            before = self._all
            self._listed = {
                name: LeavingReason.LISTED_LEAVING
                for name, state in states.items()
                if state == hosts.HostState.LEAVING
            }
            self._ever_listed.update(states)
            for name in self._ever_listed - states.keys():
                self._listed[name] = LeavingReason.NO_LONGER_LISTED
            self._rebuild_all()
            return self._all - before

    def update_peer_reports(self, endpoints: frozenset[str]) -> frozenset[str]:
        """Takes what peers have seen leave; returns those newly leaving."""
        with self._lock:
            before = self._all
            self._reported_by_peers = endpoints
            self._rebuild_all()
            return self._all - before

    def forget_others(self, endpoints: frozenset[str]) -> None:
        """Forgets endpoints that are no longer configured."""
        with self._lock:
            for name in self._observed.keys() - endpoints:
                del self._observed[name]
            self._kept_alive &= endpoints
            self._ever_listed &= endpoints
            for name in self._listed.keys() - endpoints:
                del self._listed[name]
            self._rebuild_all()

    def leaving_reason(self, endpoint: str) -> LeavingReason | None:
        """How it was learned; None for an endpoint that stays."""
        with self._lock:
            mark = self._observed.get(endpoint)
            if mark is not None:
                return mark.leaving_reason
            if endpoint in self._listed:
                return self._listed[endpoint]
            return (
                LeavingReason.PEER
                if endpoint in self._reported_by_peers
                else None
            )

    def _record_observation(
        self, endpoint: str, leaving_reason: LeavingReason
    ) -> bool:
        mark = _Observation(leaving_reason, self._clock.monotonic_ms())
        with self._lock:
            is_news = endpoint not in self._all
            self._observed[endpoint] = mark
            self._rebuild_all()
            return is_news

    def _rebuild_all(self) -> None:
        self._all = (
            frozenset(self._observed)
            | frozenset(self._listed)
            | self._reported_by_peers
        )

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


class Sign(enum.StrEnum):
    """How it was learned that an endpoint is leaving."""

    REFUSED_CONNECTION = "refused-connection"
    CLOSED_CONNECTION = "closed-connection"
    LISTED_LEAVING = "listed-leaving"
    NO_LONGER_LISTED = "no-longer-listed"
    PEER = "peer"


@attrs.frozen
class _Mark:
    """An own observation, and when it was made."""

    sign: Sign
    since_ms: int


@final
class LeavingEndpoints:
    """Endpoints that get no new requests. Thread-safe."""

    def __init__(self, clock: clock_port.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._observed: dict[str, _Mark] = {}
        self._listed: dict[str, Sign] = {}
        self._ever_listed: set[str] = set()
        self._by_peers: frozenset[str] = frozenset()
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

    def refused_connection(self, endpoint: str) -> bool:
        """Notes a refused connection; returns whether that is news."""
        return self._observe(endpoint, Sign.REFUSED_CONNECTION)

    def answered(self, endpoint: str, closing: bool) -> bool:
        """Notes an answer; returns whether it shows that it is leaving.

        An endpoint that never kept a connection open says nothing by closing.
        """
        if not closing:
            self._kept_alive.add(endpoint)
            return False
        if endpoint not in self._kept_alive:
            return False
        return self._observe(endpoint, Sign.CLOSED_CONNECTION)

    def to_probe(self) -> tuple[str, ...]:
        """Endpoints to which a connection should be tried, without request."""
        now_ms = self._clock.monotonic_ms()
        with self._lock:
            return tuple(
                endpoint
                for endpoint, mark in self._observed.items()
                if mark.sign == Sign.REFUSED_CONNECTION
                or now_ms >= mark.since_ms + CLOSE_MARK_MS
            )

    def accepts_again(self, endpoint: str) -> None:
        """Notes that a probed endpoint takes connections."""
        with self._lock:
            self._observed.pop(endpoint, None)
            self._kept_alive.discard(endpoint)
            self._rebuild()

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
                name: Sign.LISTED_LEAVING
                for name, state in states.items()
                if state == hosts.HostState.LEAVING
            }
            self._ever_listed.update(states)
            for name in self._ever_listed - states.keys():
                self._listed[name] = Sign.NO_LONGER_LISTED
            self._rebuild()
            return self._all - before

    def update_peers(self, endpoints: frozenset[str]) -> frozenset[str]:
        """Takes what peers have seen leave; returns those newly leaving."""
        with self._lock:
            before = self._all
            self._by_peers = endpoints
            self._rebuild()
            return self._all - before

    def keep_only(self, endpoints: frozenset[str]) -> None:
        """Forgets endpoints that are no longer configured."""
        with self._lock:
            for name in self._observed.keys() - endpoints:
                del self._observed[name]
            self._kept_alive &= endpoints
            self._ever_listed &= endpoints
            for name in self._listed.keys() - endpoints:
                del self._listed[name]
            self._rebuild()

    def sign(self, endpoint: str) -> Sign | None:
        """How it was learned; None for an endpoint that stays."""
        with self._lock:
            mark = self._observed.get(endpoint)
            if mark is not None:
                return mark.sign
            if endpoint in self._listed:
                return self._listed[endpoint]
            return Sign.PEER if endpoint in self._by_peers else None

    def _observe(self, endpoint: str, sign: Sign) -> bool:
        mark = _Mark(sign, self._clock.monotonic_ms())
        with self._lock:
            is_news = endpoint not in self._all
            self._observed[endpoint] = mark
            self._rebuild()
            return is_news

    def _rebuild(self) -> None:
        self._all = (
            frozenset(self._observed) | frozenset(self._listed) | self._by_peers
        )

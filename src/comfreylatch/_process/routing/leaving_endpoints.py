"""Detection of endpoints that are leaving and get no new requests.

The platform's host list lags, so an endpoint is also considered leaving when
it refuses a connection, or closes one after it kept connections open before.
"""

from __future__ import annotations

import enum
import threading
from typing import final

import attrs

from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import hosts

# Time until an endpoint that closed a keep-alive connection is probed.
PROBE_AFTER_CLOSE_MS = 60_000


class LeavingReason(enum.StrEnum):
    """Why an endpoint is considered leaving."""

    REFUSED_CONNECTION = "refused-connection"
    CLOSED_CONNECTION = "closed-connection"
    LISTED_LEAVING = "listed-leaving"
    NO_LONGER_LISTED = "no-longer-listed"
    PEER = "peer"


@attrs.frozen
class _Observation:
    """An observation of this host, and the monotonic time it was made."""

    leaving_reason: LeavingReason
    since_ms: int


@final
class LeavingEndpoints:
    """The endpoints that get no new requests. Thread-safe.

    An endpoint is included if this host observed it leaving, the platform's
    host list shows it leaving or lists it no longer, or a peer reports it.
    """

    def __init__(self, clock: clock_port.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._observed: dict[str, _Observation] = {}
        self._listed: dict[str, LeavingReason] = {}
        self._ever_listed: set[str] = set()
        self._reported_by_peers: frozenset[str] = frozenset()
        self._kept_alive: set[str] = set()
        self._leaving: frozenset[str] = frozenset()

    def is_leaving(self, endpoint: str) -> bool:
        """Whether an endpoint gets no new requests."""
        return endpoint in self._leaving

    @property
    def observed(self) -> frozenset[str]:
        """Endpoints that this host itself observed leaving, for its peers."""
        return frozenset(self._observed)

    def record_refused_connection(self, endpoint: str) -> bool:
        """Records that an endpoint refused a connection.

        Returns whether the endpoint was not considered leaving before.
        """
        return self._record_observation(
            endpoint, LeavingReason.REFUSED_CONNECTION
        )

    def record_answer(self, endpoint: str, closing: bool) -> bool:
        """Records an answer, and whether the connection closes after it.

        A close by an endpoint that never kept a connection open is no sign of
        leaving. Returns whether the answer shows that the endpoint is leaving
        and it was not considered leaving before.
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
        """Endpoints to probe now, with a connection that carries no request.

        An endpoint that refused a connection is always due.
        """
        now_ms = self._clock.monotonic_ms()
        with self._lock:
            return tuple(
                endpoint
                for endpoint, observation in self._observed.items()
                if observation.leaving_reason
                == LeavingReason.REFUSED_CONNECTION
                or now_ms >= observation.since_ms + PROBE_AFTER_CLOSE_MS
            )

    def record_accepted_connection(self, endpoint: str) -> None:
        """Discards the observations of an endpoint that accepted a probe."""
        with self._lock:
            self._observed.pop(endpoint, None)
            self._kept_alive.discard(endpoint)
            self._rebuild_leaving()

    def update_host_list(self, host_list: hosts.HostList) -> frozenset[str]:
        """Applies the platform's host list; returns endpoints newly leaving."""
        states = {
            host.name: host.state
            for host in host_list.hosts
            if host.kind == hosts.HostKind.ENDPOINT
        }
        with self._lock:
            previously_leaving = self._leaving
            self._listed = {
                name: LeavingReason.LISTED_LEAVING
                for name, state in states.items()
                if state == hosts.HostState.LEAVING
            }
            self._ever_listed.update(states)
            for name in self._ever_listed - states.keys():
                self._listed[name] = LeavingReason.NO_LONGER_LISTED
            self._rebuild_leaving()
            return self._leaving - previously_leaving

    def update_peer_reports(self, endpoints: frozenset[str]) -> frozenset[str]:
        """Applies the peers' observations; returns endpoints newly leaving."""
        with self._lock:
            previously_leaving = self._leaving
            self._reported_by_peers = endpoints
            self._rebuild_leaving()
            return self._leaving - previously_leaving

    def retain_endpoints(self, endpoints: frozenset[str]) -> None:
        """Removes endpoints that are no longer configured."""
        with self._lock:
            for name in self._observed.keys() - endpoints:
                del self._observed[name]
            self._kept_alive &= endpoints
            self._ever_listed &= endpoints
            for name in self._listed.keys() - endpoints:
                del self._listed[name]
            self._rebuild_leaving()

    def leaving_reason(self, endpoint: str) -> LeavingReason | None:
        """Why an endpoint is considered leaving; None if it isn't."""
        with self._lock:
            observation = self._observed.get(endpoint)
            if observation is not None:
                return observation.leaving_reason
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
        observation = _Observation(leaving_reason, self._clock.monotonic_ms())
        with self._lock:
            is_newly_leaving = endpoint not in self._leaving
            self._observed[endpoint] = observation
            self._rebuild_leaving()
            return is_newly_leaving

    def _rebuild_leaving(self) -> None:
        self._leaving = (
            frozenset(self._observed)
            | frozenset(self._listed)
            | self._reported_by_peers
        )

"""Minimal fakes of the ports that the request path uses."""

from __future__ import annotations

from collections.abc import Callable
import threading

import attrs
import result

from comfreylatch._ports import peers as peers_port
from comfreylatch._version import configuration
from comfreylatch._version import objects
from comfreylatch._wire.gen.peer import ttypes

ZONE = "bole"
SERVICE = "skyproc"


class FakeClock:
    """A clock that tests set; monotonic and wall time are equal."""

    def __init__(self) -> None:
        self.now_ms = 1_000_000

    def monotonic_ms(self) -> int:
        return self.now_ms

    def wall_ms(self) -> int:
        return self.now_ms


class FakeSource:
    """A configuration that tests replace."""

    def __init__(self, current: configuration.Configuration) -> None:
        self._current = current
        self._listeners: list[
            Callable[[configuration.Configuration], None]
        ] = []

    def current(self) -> configuration.Configuration:
        return self._current

    def on_change(
        self, listener: Callable[[configuration.Configuration], None]
    ) -> None:
        self._listeners.append(listener)

    def age_ms(self) -> int:
        return 0

    def replace(self, new: configuration.Configuration) -> None:
        self._current = new
        for listener in self._listeners:
            listener(new)


class FakePeers:
    """Peers that return the views and the answer that tests set."""

    def __init__(self) -> None:
        self.peer_views: tuple[peers_port.PeerView, ...] = ()
        self.forwarded: list[ttypes.ForwardRequest] = []
        self.forward_result: result.Result[
            ttypes.ForwardReply, peers_port.PeerError
        ] = result.Err(peers_port.PeerUnreachable("no such peer"))

    def views(self) -> tuple[peers_port.PeerView, ...]:
        return self.peer_views

    def forward(
        self, seat: str, request: ttypes.ForwardRequest, timeout_ms: int
    ) -> result.Result[ttypes.ForwardReply, peers_port.PeerError]:
        self.forwarded.append(request)
        return self.forward_result


class FakeSlots:
    """Slots of a single host; records the peak use of an endpoint."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._lock = threading.Lock()
        self._listeners: list[Callable[[str], None]] = []
        self.taken: dict[str, int] = {}
        self.highest = 0
        self.reported_demand: set[str] = set()

    def report_demand(self, endpoint: str) -> None:
        self.reported_demand.add(endpoint)

    def try_acquire_slot(self, endpoint: str, duration_ms: int) -> bool:
        with self._lock:
            taken = self.taken.get(endpoint, 0)
            if taken >= self._slots:
                return False
            self.taken[endpoint] = taken + 1
            self.highest = max(self.highest, taken + 1)
            return True

    def release_slot(self, endpoint: str) -> None:
        with self._lock:
            self.taken[endpoint] -= 1
        for listener in self._listeners:
            listener(endpoint)

    def count_free(self, endpoint: str) -> int:
        return self._slots - self.taken.get(endpoint, 0)

    def on_free(self, callback: Callable[[str], None]) -> None:
        self._listeners.append(callback)

    def connection_share(self, endpoint: str) -> int:
        return 64


def make_configuration(
    addresses: dict[str, str],
    offset: int = 1,
    seats: tuple[str, ...] = ("a",),
    slots: int = 8,
    connections: int = 64,
    service: objects.Service | None = None,
) -> configuration.Configuration:
    """Returns a configuration of one service with endpoints in one zone."""
    return configuration.Configuration(
        offset=offset,
        digest=str(offset),
        services={SERVICE: service or objects.Service()},
        endpoints={
            name: objects.Endpoint(SERVICE, ZONE, address, slots, connections)
            for name, address in addresses.items()
        },
        zones={ZONE: objects.Zone(seats)},
    )


def with_offset(
    base: configuration.Configuration, offset: int
) -> configuration.Configuration:
    """Returns the same configuration at another offset."""
    return attrs.evolve(base, offset=offset)

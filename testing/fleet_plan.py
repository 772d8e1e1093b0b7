"""What a fleet is made of before anything of it runs."""

from __future__ import annotations

from collections.abc import Mapping
import contextlib
import enum
import pathlib
import random
import socket
import sys
from typing import Any
from typing import Self

import attrs

from comfreylatch._process import settings as settings_module
from testing import processes
from testing.standins import serving

# Below the range from which the system takes ports of outgoing connections.
LOWEST_PORT = 12_000
HIGHEST_PORT = 32_000


class Link(enum.StrEnum):
    """Which connections run through a relay."""

    PEERS = "peers"
    PLATFORM = "platform"
    WORKERS = "workers"
    ENDPOINTS = "endpoints"
    CALLERS = "callers"
    # A relay for each worker and seat; every seat has a host list of its own.
    SEAT_WORKERS = "seat-workers"


class FleetError(Exception):
    """The fleet did not do what a test set it up for."""


@attrs.frozen
class FleetOptions:
    """How a fleet is started.

    Attributes:
        links: Connections that run through relays.
        delays: Whether relays carry the deployment's delays from the start.
        command: Command line of the product, before `serve`.
        list_lag_ms: Lag of the host list.
        speed: Task time per real time.
        seed: For stand-ins and relays.
        model: Size and time factors by job class, as `WorkModel` takes them.
        log_arguments: Options of the log stand-in.
        timing: Timing settings of every host.
        threads: Threads for callers, per host; None keeps the default.
        log_level: Log level of every host.
        routing: Routing settings of every host.
    """

    links: frozenset[Link] = frozenset()
    delays: bool = False
    command: tuple[str, ...] = (sys.executable, "-m", "comfreylatch")
    list_lag_ms: int = 500
    speed: float = 1.0
    seed: int = 1
    model: dict[str, Any] = attrs.field(factory=dict)
    log_arguments: tuple[str, ...] = ()
    timing: settings_module.TimingSettings = settings_module.TimingSettings()
    threads: int | None = None
    log_level: str = "info"
    routing: settings_module.RoutingSettings = settings_module.RoutingSettings()


@attrs.define
class Host:
    """An entry host in its seat.

    Attributes:
        caller_address: Where callers reach it, through a relay if any.
        settings_path: Its settings file.
        process: The process now in the seat; None when there is none.
        starts: How many processes the seat has had.
    """

    seat: str
    zone: str
    caller_address: str
    operator_address: str
    peer_address: str
    settings_path: pathlib.Path
    process: processes.ChildProcess | None = None
    starts: int = 0


class PortPicker:
    """Picks free ports and keeps other pickers from them until its exit."""

    def __init__(self) -> None:
        self._stack = contextlib.ExitStack()
        self._next = random.SystemRandom().randrange(LOWEST_PORT, HIGHEST_PORT)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    def address(self) -> str:
        """An address with a free port."""
        while True:
            port = self._next
            self._next += 1
            if self._next >= HIGHEST_PORT:
                self._next = LOWEST_PORT
            reservation = socket.socket()
            try:
                reservation.bind((serving.LOOPBACK, port))
            except OSError:
                reservation.close()
                continue
            # Lets a host listen on it, but no other picker bind it.
            reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._stack.enter_context(reservation)
            return f"{serving.LOOPBACK}:{port}"


@attrs.frozen
class PlatformAddresses:
    """Where the stand-ins for the platform listen; host lists by seat."""

    log: str
    host_lists: Mapping[str, str]
    workers: Mapping[str, str]
    endpoints: Mapping[str, str]


def relay_targets(
    links: frozenset[Link],
    hosts: Mapping[str, Host],
    platform: PlatformAddresses,
) -> dict[str, str]:
    """Target by name of every relay that a fleet needs."""
    targets: dict[str, str] = {}
    for link in sorted(links):
        match link:
            case Link.PLATFORM:
                targets |= {f"log/{seat}": platform.log for seat in hosts}
                targets |= {
                    f"list/{seat}": platform.host_lists[seat] for seat in hosts
                }
            case Link.CALLERS:
                targets |= {
                    f"caller/{seat}": host.caller_address
                    for seat, host in hosts.items()
                }
            case Link.PEERS:
                targets |= _peer_targets(hosts)
            case Link.WORKERS:
                targets |= _targets_by_name("worker", platform.workers)
            case Link.SEAT_WORKERS:
                for seat in hosts:
                    targets |= _targets_by_name(
                        f"worker/{seat}", platform.workers
                    )
            case Link.ENDPOINTS:
                targets |= _targets_by_name("endpoint", platform.endpoints)
    return targets


def worker_routes(
    seat: str, routes: Mapping[str, str], workers: Mapping[str, str]
) -> dict[str, str]:
    """Where the host of a seat reaches each worker."""
    return {
        name: routes.get(
            f"worker/{seat}/{name}", routes.get(f"worker/{name}", address)
        )
        for name, address in workers.items()
    }


def _targets_by_name(kind: str, addresses: Mapping[str, str]) -> dict[str, str]:
    return {f"{kind}/{name}": at for name, at in addresses.items()}


def _peer_targets(hosts: Mapping[str, Host]) -> dict[str, str]:
    return {
        peer_route(one, other): other.peer_address
        for one in hosts.values()
        for other in hosts.values()
        if other is not one
    }


def peer_route(one: Host, other: Host) -> str:
    """Name of the relay from one host to another."""
    return f"peer/{one.zone}/{one.seat}/{other.zone}/{other.seat}"


def settings_of(
    host: Host,
    hosts: Mapping[str, Host],
    routes: Mapping[str, str],
    platform: PlatformAddresses,
    options: FleetOptions,
) -> settings_module.Settings:
    """Settings of one host, through relays where there are any."""
    peers = tuple(
        settings_module.PeerSettings(
            seat=other.seat,
            zone=other.zone,
            peer_address=routes.get(
                peer_route(host, other), other.peer_address
            ),
        )
        for other in hosts.values()
        if other is not host
    )
    settings = settings_module.Settings(
        seat=host.seat,
        zone=host.zone,
        caller_address=host.caller_address,
        operator_address=host.operator_address,
        peer_address=host.peer_address,
        platform=settings_module.PlatformSettings(
            log_address=routes.get(f"log/{host.seat}", platform.log),
            host_list_address=routes.get(
                f"list/{host.seat}", platform.host_lists[host.seat]
            ),
        ),
        peers=peers,
        timing=options.timing,
        log_level=options.log_level,
        routing=options.routing,
    )
    if options.threads is None:
        return settings
    return attrs.evolve(settings, threads=options.threads)

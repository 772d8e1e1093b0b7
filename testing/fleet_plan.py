"""Options, ports, relays and settings of a fleet."""

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

# Below the range from which the system assigns ephemeral ports.
LOWEST_PORT = 12_000
HIGHEST_PORT = 32_000


class Link(enum.StrEnum):
    """Kinds of connections that can run through relays."""

    PEERS = "peers"
    PLATFORM = "platform"
    WORKERS = "workers"
    ENDPOINTS = "endpoints"
    CALLERS = "callers"
    # One relay per seat and worker; each seat then has its own host list.
    SEAT_WORKERS = "seat-workers"


class FleetError(Exception):
    """A fleet operation failed or did not complete in time."""


@attrs.frozen
class FleetOptions:
    """Options of a fleet's processes.

    Attributes:
        links: Connections that run through relays.
        delays: Whether relays apply the deployment's delays from the start.
        command: Command line of the program, without its subcommand.
        list_lag_ms: Lag of the host list.
        speed: Ratio of task time to real time.
        seed: Seed for stand-ins and relays.
        model: Size and time factors by job class; fields of `WorkModel`.
        log_arguments: Command line options of the log stand-in.
        timing: Timing settings of every host.
        threads: Number of threads for callers per host; None for the default.
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
    """An entry host and its seat.

    Attributes:
        caller_address: Address for callers, of a relay if there is one.
        settings_path: Path of its settings file.
        process: Last process started in the seat, or None.
        starts: Number of processes started in the seat.
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
    """Picks free ports and reserves them against other pickers until exit."""

    def __init__(self) -> None:
        self._stack = contextlib.ExitStack()
        self._next = random.SystemRandom().randrange(LOWEST_PORT, HIGHEST_PORT)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    def address(self) -> str:
        """Returns an address with a free port."""
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
            # A host can then listen on the port, but no other picker binds it.
            reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._stack.enter_context(reservation)
            return f"{serving.LOOPBACK}:{port}"


@attrs.frozen
class PlatformAddresses:
    """Addresses of the platform stand-ins; host lists are keyed by seat."""

    log: str
    host_lists: Mapping[str, str]
    workers: Mapping[str, str]
    endpoints: Mapping[str, str]


def relay_targets(
    links: frozenset[Link],
    hosts: Mapping[str, Host],
    platform: PlatformAddresses,
) -> dict[str, str]:
    """Returns the target of every relay that a fleet needs, by name."""
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


def worker_addresses(
    seat: str, relay_addresses: Mapping[str, str], workers: Mapping[str, str]
) -> dict[str, str]:
    """Returns the address at which a seat's host reaches each worker."""
    return {
        name: relay_addresses.get(
            f"worker/{seat}/{name}",
            relay_addresses.get(f"worker/{name}", address),
        )
        for name, address in workers.items()
    }


def _targets_by_name(kind: str, addresses: Mapping[str, str]) -> dict[str, str]:
    return {f"{kind}/{name}": address for name, address in addresses.items()}


def _peer_targets(hosts: Mapping[str, Host]) -> dict[str, str]:
    return {
        peer_relay_name(source, target): target.peer_address
        for source in hosts.values()
        for target in hosts.values()
        if target is not source
    }


def peer_relay_name(source: Host, target: Host) -> str:
    """Returns the name of the relay from one host to another."""
    return f"peer/{source.zone}/{source.seat}/{target.zone}/{target.seat}"


def host_settings(
    host: Host,
    hosts: Mapping[str, Host],
    relay_addresses: Mapping[str, str],
    platform: PlatformAddresses,
    options: FleetOptions,
) -> settings_module.Settings:
    """Returns the settings of one host, with relay addresses where present."""
    peers = tuple(
        settings_module.PeerSettings(
            seat=other.seat,
            zone=other.zone,
            peer_address=relay_addresses.get(
                peer_relay_name(host, other), other.peer_address
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
            log_address=relay_addresses.get(f"log/{host.seat}", platform.log),
            host_list_address=relay_addresses.get(
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

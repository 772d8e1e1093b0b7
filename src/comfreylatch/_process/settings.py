"""Settings of one entry host, from its file; tickets don't change them."""

from __future__ import annotations

import attrs


@attrs.frozen
class PeerSettings:
    """Another entry host's seat.

    Attributes:
        seat: Name of the seat.
        zone: Availability zone of the seat.
        peer_address: `IP:port` of its Thrift server.
    """

    seat: str
    zone: str
    peer_address: str


@attrs.frozen
class PlatformSettings:
    """Addresses of the platform's services.

    Attributes:
        log_address: `IP:port` of the log service.
        host_list_address: `IP:port` of the list of hosts.
    """

    log_address: str
    host_list_address: str


@attrs.frozen
class TimingSettings:
    """Intervals and timeouts of this process.

    Attributes:
        heartbeat_ms: Interval between two heartbeats to each peer.
        host_list_ms: Interval between two fetches of the host list.
        log_timeout_ms: Timeout of one call to the log.
        peer_timeout_ms: Timeout of one call to a peer.
        connect_timeout_ms: Timeout of a connect to an endpoint or worker.
        stop_timeout_ms: How long a stop waits for requests in progress.
    """

    heartbeat_ms: int = 500
    host_list_ms: int = 1_000
    log_timeout_ms: int = 2_000
    peer_timeout_ms: int = 1_000
    connect_timeout_ms: int = 500
    stop_timeout_ms: int = 60_000


@attrs.frozen
class RoutingSettings:
    """How requests are routed.

    Attributes:
        policy: `least-expected`; for comparison `round-robin` or `random`.
        spill: Whether requests go to other zones if this one has no slot.
        seed: Seed of all random choices; 0 for a new seed at each start.
        mark_keep_ms: How long the id of a non-idempotent request is kept as
            used; the same on every host. A host grants no ids for this time
            after its start.
    """

    policy: str = "least-expected"
    spill: bool = True
    seed: int = 0
    mark_keep_ms: int = 60_000


@attrs.frozen
class Settings:
    """All settings of an entry host.

    Attributes:
        seat: Name of this host's seat; a replacement host keeps it.
        zone: Availability zone of the seat.
        caller_address: `IP:port` for callers.
        operator_address: `IP:port` for operators, metrics and health.
        peer_address: `IP:port` for the Thrift protocol.
        platform: Addresses of the platform's services.
        peers: Every other seat of every zone.
        timing: Intervals and timeouts.
        threads: Number of threads for callers' connections.
        log_level: One of logbook's level names, in lower case.
        routing: How requests are routed.
    """

    seat: str
    zone: str
    caller_address: str
    operator_address: str
    peer_address: str
    platform: PlatformSettings
    peers: tuple[PeerSettings, ...] = ()
    timing: TimingSettings = TimingSettings()
    threads: int = 96
    log_level: str = "info"
    routing: RoutingSettings = RoutingSettings()

    def all_seats(self) -> tuple[str, ...]:
        """Names of all seats including this host's, sorted."""
        return tuple(sorted([self.seat, *(peer.seat for peer in self.peers)]))

    def zone_seats(self) -> tuple[str, ...]:
        """Names of the seats of this host's zone, sorted."""
        others = [peer.seat for peer in self.peers if peer.zone == self.zone]
        return tuple(sorted([self.seat, *others]))

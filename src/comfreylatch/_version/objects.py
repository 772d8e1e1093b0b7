"""Configuration objects, which operators set by tickets.

Each object is immutable and holds the complete state of one named entity.
Field names carry units. `msgspec` converts these classes from and to JSON.
"""

from __future__ import annotations

import enum

import attrs

from comfreylatch._ports import workers


class ObjectKind(enum.StrEnum):
    """Kinds of object that a ticket can set."""

    SERVICE = "service"
    ENDPOINT = "endpoint"
    TEAM = "team"
    WORKER_CLASS = "worker-class"
    ZONE = "zone"
    LIMITS = "limits"


@attrs.frozen
class Service:
    """A latency-critical service that callers reach by name.

    Attributes:
        timeout_ms: Timeout of a request that doesn't specify one.
        longest_run_ms: Maximum time from sending a request until the endpoint
            has ended it, even if its caller has given up. Slots of lost
            requests and of dead hosts stay reserved for this time.
        weight: Share of a contended host, relative to other services.
        retry_budget_percent: Retries and hedges allowed per first try.
        hedge_percentile: Latency percentile after which an idempotent request
            is hedged; 0 disables hedging.
        max_body_bytes: Maximum size of a request body.
        target_p99_ms: Target for the 99th percentile of latency.
    """

    timeout_ms: int = 2_000
    weight: int = 1
    retry_budget_percent: int = 10
    hedge_percentile: int = 0
    max_body_bytes: int = 1_048_576
    target_p99_ms: int = 200
    longest_run_ms: int = 4_000


@attrs.frozen
class Endpoint:
    """One backend of a service.

    Attributes:
        service: Name of the service it serves.
        zone: Availability zone.
        address: `IP:port`.
        slots: Maximum number of concurrent requests.
        connections: Maximum number of open connections.
        worker: Name of the worker host it runs on; empty if it has a
            dedicated host.
        resources: Resources it uses on that worker.
    """

    service: str
    zone: str
    address: str
    slots: int = 8
    connections: int = 64
    worker: str = ""
    resources: workers.Resources = workers.Resources(0, 0, 0)


@attrs.frozen
class Team:
    """A group that submits jobs, and its quota.

    Attributes:
        quota: Resources that its running jobs may use in total.
        may_borrow: Whether its jobs may use idle capacity beyond the quota.
        may_be_urgent: Whether its jobs may request an urgent start.
    """

    quota: workers.Resources
    may_borrow: bool = True
    may_be_urgent: bool = False


@attrs.frozen
class WorkerClass:
    """A class of workers, all with the same capacity."""

    capacity: workers.Resources


@attrs.frozen
class Zone:
    """An availability zone.

    Attributes:
        seats: Names of the seats, each the place of one entry host; an
            endpoint's slots and connections are divided among the seats of
            its zone.
        autonomy_ms: How long the owner of the zone's workers continues to
            renew leases while the log is unreachable.
    """

    seats: tuple[str, ...]
    autonomy_ms: int = 60_000


@attrs.frozen
class Limits:
    """Fleet-wide limits; there is one object of this kind, named `fleet`.

    Attributes:
        lease_ms: Lease of a worker, renewed after a third of it. If it is
            more than twice `claim_ms`, running work survives the death of the
            owner.
        claim_ms: Time after its last renewal at which a claim on a zone's
            workers expires.
        command_ttl_ms: Maximum age of the worker's report that a command is
            based on; a worker refuses commands based on an older one.
        drift_margin_ms: Added to every wait that relies on clocks, to cover
            their drift.
        evictions_per_hour: Evictions allowed per zone, not counting those
            for urgent starts.
        max_attempts: Failed attempts after which a job is parked.
        service_slowdown_percent: How much colocated batch work may slow a
            service down. Placement stays below it; above it, batch work is
            throttled, moved or stopped.
    """

    lease_ms: int = 15_000
    claim_ms: int = 6_000
    command_ttl_ms: int = 2_000
    drift_margin_ms: int = 500
    evictions_per_hour: int = 60
    max_attempts: int = 4
    service_slowdown_percent: int = 10


ConfigObject = Service | Endpoint | Team | WorkerClass | Zone | Limits

CLASS_BY_KIND: dict[ObjectKind, type] = {
    ObjectKind.SERVICE: Service,
    ObjectKind.ENDPOINT: Endpoint,
    ObjectKind.TEAM: Team,
    ObjectKind.WORKER_CLASS: WorkerClass,
    ObjectKind.ZONE: Zone,
    ObjectKind.LIMITS: Limits,
}

FLEET_LIMITS_NAME = "fleet"

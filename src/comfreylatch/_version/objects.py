"""Configuration objects: what operators put in force by tickets.

Each object is immutable and holds the whole state of one named thing. Field
names carry units. `msgspec` converts these classes from and to JSON.
"""

from __future__ import annotations

import enum

import attrs

from comfreylatch._ports import workers


class ObjectKind(enum.StrEnum):
    """The kinds of object a ticket can set."""

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
        timeout_ms: Deadline of a request that names none.
        longest_run_ms: Within this time from its sending an endpoint has ended
            a request, also one whose caller has given up. Slots of requests
            that were lost, and of hosts that died, are held for so long.
        weight: Share of a contended host, relative to other services.
        retry_budget_percent: Retries and hedges allowed per first try.
        hedge_percentile: Latency percentile after which an idempotent request
            is hedged; 0 turns hedging off.
        max_body_bytes: Longest request body taken.
        target_p99_ms: Tail latency the service shall keep.
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
    """One back end of a service.

    Attributes:
        service: Name of the service it answers for.
        zone: Availability zone.
        address: `IP:port`.
        slots: Requests it can run at once.
        connections: Connections it can hold.
        worker: Name of the worker host it runs on; empty when it has a host
            of its own.
        resources: What it takes of that worker.
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
        quota: What its running jobs may use at once.
        may_borrow: Whether idle capacity above the quota may be used.
        may_be_urgent: Whether its jobs may ask for urgent starts.
    """

    quota: workers.Resources
    may_borrow: bool = True
    may_be_urgent: bool = False


@attrs.frozen
class WorkerClass:
    """A kind of worker: what each of its hosts has."""

    capacity: workers.Resources


@attrs.frozen
class Zone:
    """An availability zone.

    Attributes:
        seats: Names of the places for entry hosts; an endpoint's slots and
            connections are shared out among the seats of its zone.
        autonomy_ms: How long the owner of the zone's workers goes on
            renewing leases while it is cut off from the log.
    """

    seats: tuple[str, ...]
    autonomy_ms: int = 60_000


@attrs.frozen
class Limits:
    """Fleet-wide bounds; there is one object of this kind, named `fleet`.

    Attributes:
        lease_ms: Lease of a worker, renewed at a third of it. Longer than
            twice the claim, running work survives the death of its owner.
        claim_ms: How long a claim on a zone's workers holds unrenewed.
        command_ttl_ms: Age at which a worker calls a quoted report stale.
        drift_margin_ms: Added to every wait that guards against clocks.
        evictions_per_hour: Evictions a zone may make, urgent starts aside.
        max_attempts: Failed attempts after which a job is parked.
        service_slowdown_percent: How much batch work beside it may slow a
            service down; placement keeps below, and steps are taken above.
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

"""The deployments of the two current users, and a small one for tests."""

from __future__ import annotations

from typing import Any

import attrs

from comfreylatch._ports import hosts as hosts_port
from comfreylatch._ports import workers
from comfreylatch._version import objects
from testing.standins import endpoint as endpoint_stand_in
from testing.standins import worker_model
from testing.standins import worker_records

WORKERS_PER_RACK = 8
KIND_BY_CLASS = {
    state_class: kind for kind, state_class in objects.CLASS_BY_KIND.items()
}


@attrs.frozen
class Deployment:
    """Sizes and names of one user's fleet.

    Attributes:
        zones: Availability zones; hosts, endpoints and workers are assigned
            to them round-robin.
        service: Name of the latency-critical service.
        zone_delay_ms: One-way delay between zones.
        client_delay_ms: One-way delay to clients.
        endpoint_resources: Resources that an endpoint uses on its worker.
        work_ms: Median work of a request.
        teams: Names of the teams; their quotas are equal shares of all workers.
        job_classes: Names of the job classes.
        worker_guards: Whether workers refuse starts that exceed their
            capacity.
        limits: Fleet-wide limits.
        service_options: Configuration of the service.
    """

    name: str
    zones: tuple[str, ...]
    service: str
    endpoints: int
    workers: int
    worker_capacity: workers.Resources
    endpoint_resources: workers.Resources
    zone_delay_ms: float
    client_delay_ms: float
    teams: tuple[str, ...]
    job_classes: tuple[str, ...]
    seats_per_zone: int = 2
    work_ms: float = 20.0
    work_spread: float = 0.4
    autonomy_ms: int = 60_000
    worker_guards: bool = True
    limits: objects.Limits = objects.Limits()
    service_options: objects.Service = objects.Service()

    @property
    def worker_class(self) -> str:
        """Name of the only worker class."""
        return f"{self.name}-worker"

    def seats(self, zone: str) -> tuple[str, ...]:
        """Returns the seats of a zone."""
        return tuple(
            f"{zone}-{number}" for number in range(1, self.seats_per_zone + 1)
        )

    def all_seats(self) -> tuple[str, ...]:
        """Returns the seats of all zones, zone by zone."""
        return tuple(seat for zone in self.zones for seat in self.seats(zone))

    def zone_of_seat(self, seat: str) -> str:
        """Returns the zone of a seat."""
        return seat.rpartition("-")[0]

    def zone_of(self, index: int) -> str:
        """Returns the zone of the endpoint or worker with an index."""
        return self.zones[index % len(self.zones)]

    def endpoint_names(self) -> tuple[str, ...]:
        """Returns all endpoint names; index `i` shares worker `i`, if any."""
        return tuple(f"ex-{i + 1}" for i in range(self.endpoints))

    def worker_names(self) -> tuple[str, ...]:
        """Returns the names of all workers."""
        return tuple(f"wk-{i + 1}" for i in range(self.workers))

    def worker_of(self, endpoint_index: int) -> str:
        """Returns the worker that an endpoint shares, or an empty string."""
        if endpoint_index < self.workers:
            return self.worker_names()[endpoint_index]
        return ""

    def rack_of(self, index: int) -> str:
        """Returns the rack of the worker with an index."""
        rack = index // len(self.zones) // WORKERS_PER_RACK
        return f"{self.zone_of(index)}-rack-{rack + 1}"

    def endpoint_specs(self) -> list[endpoint_stand_in.EndpointSpec]:
        """Returns the specs for the endpoint stand-in."""
        return [
            endpoint_stand_in.EndpointSpec(
                name=name, work_ms=self.work_ms, spread=self.work_spread
            )
            for name in self.endpoint_names()
        ]

    def worker_specs(self) -> list[worker_records.WorkerSpec]:
        """Returns the specs for the worker stand-in."""
        shared = (
            worker_model.ServiceSpec(self.service, self.endpoint_resources),
        )
        return [
            worker_records.WorkerSpec(
                name=name,
                capacity=self.worker_capacity,
                services=shared if index < self.endpoints else (),
                guards=self.worker_guards,
            )
            for index, name in enumerate(self.worker_names())
        ]

    def listed_workers(
        self, addresses: dict[str, str]
    ) -> list[hosts_port.ListedHost]:
        """Returns the host list entries of the workers."""
        return [
            hosts_port.ListedHost(
                name=name,
                kind=hosts_port.HostKind.WORKER,
                state=hosts_port.HostState.LIVE,
                zone=self.zone_of(index),
                rack=self.rack_of(index),
                address=addresses[name],
                worker_class=self.worker_class,
            )
            for index, name in enumerate(self.worker_names())
        ]

    def listed_endpoints(
        self, addresses: dict[str, str]
    ) -> list[hosts_port.ListedHost]:
        """Returns the host list entries of the endpoints."""
        return [
            hosts_port.ListedHost(
                name=name,
                kind=hosts_port.HostKind.ENDPOINT,
                state=hosts_port.HostState.LIVE,
                zone=self.zone_of(index),
                rack=self.rack_of(index),
                address=addresses[name],
            )
            for index, name in enumerate(self.endpoint_names())
        ]


def utility() -> Deployment:
    """Returns the deployment of the Addis Sky Imaging Municipal Utility."""
    return Deployment(
        name="utility",
        zones=("bole", "entoto", "kality"),
        service="skyproc",
        endpoints=24,
        workers=24,
        worker_capacity=workers.Resources(32_000, 125_000, 2),
        endpoint_resources=workers.Resources(8_000, 16_000, 0),
        zone_delay_ms=3.0,
        client_delay_ms=1.0,
        teams=("faculty", "schools", "societies"),
        job_classes=("stack", "align", "mosaic", "flat-field"),
    )


def workshop() -> Deployment:
    """Returns the deployment of El-Sharkawy Metal Spinning Works."""
    return Deployment(
        name="workshop",
        zones=("front-shop", "spin-hall", "back-store"),
        service="order-desk",
        endpoints=33,
        workers=33,
        worker_capacity=workers.Resources(16_000, 60_000, 0),
        endpoint_resources=workers.Resources(4_000, 8_000, 0),
        zone_delay_ms=5.0,
        client_delay_ms=3.0,
        teams=("planning", "orders"),
        job_classes=("mandrel-plan", "lathe-schedule", "quote-batch"),
        work_ms=15.0,
    )


def small(zones: int = 2, **changes: Any) -> Deployment:
    """Returns a small deployment; `changes` overrides any field."""
    base = Deployment(
        name="small",
        zones=("bole", "entoto", "kality")[:zones],
        service="skyproc",
        endpoints=2 * zones,
        workers=2 * zones,
        worker_capacity=workers.Resources(8_000, 32_000, 1),
        endpoint_resources=workers.Resources(2_000, 4_000, 0),
        zone_delay_ms=3.0,
        client_delay_ms=1.0,
        teams=("faculty", "schools"),
        job_classes=("stack", "align"),
        work_ms=5.0,
    )
    return attrs.evolve(base, **changes)


def first_ticket(
    deployment: Deployment, endpoint_addresses: dict[str, str], number: int = 1
) -> dict[str, Any]:
    """Returns the ticket that configures a whole deployment."""
    states: list[tuple[str, objects.ConfigObject]] = [
        (deployment.service, deployment.service_options),
        (
            deployment.worker_class,
            objects.WorkerClass(deployment.worker_capacity),
        ),
        (objects.FLEET_LIMITS_NAME, deployment.limits),
    ]
    states += [(zone, _zone(deployment, zone)) for zone in deployment.zones]
    states += [
        (team, _team(deployment, index))
        for index, team in enumerate(deployment.teams)
    ]
    states += [
        (name, _endpoint(deployment, index, endpoint_addresses[name]))
        for index, name in enumerate(deployment.endpoint_names())
    ]
    return {
        "number": number,
        "author": "operator",
        "reason": f"first configuration of {deployment.name}",
        "changes": [_change(name, state) for name, state in states],
    }


def _change(name: str, state: objects.ConfigObject) -> dict[str, Any]:
    return {
        "kind": KIND_BY_CLASS[type(state)].value,
        "name": name,
        "replaces": 0,
        "state": attrs.asdict(state),
    }


def _zone(deployment: Deployment, zone: str) -> objects.Zone:
    return objects.Zone(
        seats=deployment.seats(zone), autonomy_ms=deployment.autonomy_ms
    )


def _team(deployment: Deployment, index: int) -> objects.Team:
    capacity = deployment.worker_capacity
    count = len(deployment.teams)
    quota = workers.Resources(
        capacity.processors_milli * deployment.workers // count,
        capacity.memory_mib * deployment.workers // count,
        capacity.accelerators * deployment.workers // count,
    )
    return objects.Team(quota=quota, may_be_urgent=index == 0)


def _endpoint(
    deployment: Deployment, index: int, address: str
) -> objects.Endpoint:
    worker = deployment.worker_of(index)
    if not worker:
        return objects.Endpoint(
            deployment.service, deployment.zone_of(index), address
        )
    return objects.Endpoint(
        service=deployment.service,
        zone=deployment.zone_of(index),
        address=address,
        worker=worker,
        resources=deployment.endpoint_resources,
    )

"""Capacity of the zone's workers, from host list, configuration and reports."""

from __future__ import annotations

import collections
from collections.abc import Mapping
from typing import final

from comfreylatch._ports import hosts
from comfreylatch._ports import workers
from comfreylatch._process.batch import capacity
from comfreylatch._version import configuration as configuration_module


@final
class ZoneWorkers:
    """Keeps the ledger's capacity of each worker current. Not thread-safe."""

    def __init__(self, zone: str, ledger: capacity.CapacityLedger) -> None:
        self._zone = zone
        self._ledger = ledger
        self._listed: dict[str, hosts.ListedHost] = {}
        self._reported: dict[str, workers.Resources] = {}
        self._services: dict[str, workers.Resources] = {}
        self._service_names: dict[str, set[str]] = {}
        self._configuration = configuration_module.Configuration()
        self._dirty = True

    def listed(self) -> dict[str, hosts.ListedHost]:
        """Returns the zone's listed workers by name."""
        return self._listed

    def set_list(self, host_list: hosts.HostList) -> None:
        """Sets the list of hosts."""
        self._listed = zone_workers(host_list, self._zone)
        self._dirty = True

    def set_configuration(
        self, configuration: configuration_module.Configuration
    ) -> None:
        """Sets the configuration; ignored if it is the current one."""
        if configuration is self._configuration:
            return
        self._configuration = configuration
        services: dict[str, workers.Resources] = collections.defaultdict(
            lambda: capacity.NO_RESOURCES
        )
        names: dict[str, set[str]] = collections.defaultdict(set)
        for endpoint in configuration.endpoints.values():
            if endpoint.worker:
                reserved = services[endpoint.worker]
                services[endpoint.worker] = capacity.add(
                    reserved, endpoint.resources
                )
                names[endpoint.worker].add(endpoint.service)
        self._services = dict(services)
        self._service_names = dict(names)
        self._dirty = True

    def services_on(self, worker: str) -> frozenset[str]:
        """Returns the names of the services with endpoints on a worker."""
        return frozenset(self._service_names.get(worker, ()))

    def set_reported(self, worker: str, reported: workers.Resources) -> None:
        """Sets the resources that a worker reports."""
        if self._reported.get(worker) != reported:
            self._reported[worker] = reported
            self._dirty = True

    def refresh(self) -> bool:
        """Updates the ledger; False if nothing has changed."""
        if not self._dirty:
            return False
        self._dirty = False
        for name, host in self._listed.items():
            account = self._ledger.account(name)
            self._ledger.set_worker(
                name,
                host.rack,
                self._total(host),
                self._services.get(name, capacity.NO_RESOURCES),
                is_schedulable=account is not None and account.schedulable,
            )
        for account in tuple(self._ledger.accounts()):
            if account.name not in self._listed:
                self._ledger.set_schedulable(account.name, False)
                self._ledger.remove_worker(account.name)
                self._reported.pop(account.name, None)
        return True

    def _total(self, host: hosts.ListedHost) -> workers.Resources:
        configured = self._configuration.worker_classes.get(host.worker_class)
        reported = self._reported.get(host.name)
        if configured is None:
            return reported or capacity.NO_RESOURCES
        if reported is None:
            return configured.capacity
        return capacity.minimum(configured.capacity, reported)


def zone_workers(
    host_list: hosts.HostList, zone: str
) -> dict[str, hosts.ListedHost]:
    """Returns the workers of one zone by name."""
    return {
        host.name: host
        for host in host_list.hosts
        if host.kind is hosts.HostKind.WORKER and host.zone == zone
    }


def usable_capacities(
    listed: Mapping[str, hosts.ListedHost],
    configuration: configuration_module.Configuration,
) -> list[workers.Resources]:
    """Returns the resources that each listed worker has for batch work.

    Workers of unconfigured classes are left out. Without listed workers,
    returns the capacity of each configured class.
    """
    classes = configuration.worker_classes
    if not listed:
        return [worker_class.capacity for worker_class in classes.values()]
    services: dict[str, workers.Resources] = {}
    for endpoint in configuration.endpoints.values():
        if endpoint.worker:
            reserved = services.get(endpoint.worker, capacity.NO_RESOURCES)
            services[endpoint.worker] = capacity.add(
                reserved, endpoint.resources
            )
    return [
        capacity.subtract(
            classes[host.worker_class].capacity,
            services.get(host.name, capacity.NO_RESOURCES),
        )
        for host in listed.values()
        if host.worker_class in classes
    ]

"""Routing state of each service, updated when configuration changes."""

from __future__ import annotations

from collections.abc import Mapping
import random
import threading
from typing import final

import attrs

from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import slots as slots_port
from comfreylatch._process import shares
from comfreylatch._process.routing import admission
from comfreylatch._process.routing import endpoint_stats
from comfreylatch._process.routing import latency_quantile
from comfreylatch._process.routing import leaving_endpoints
from comfreylatch._process.routing import load_balancing
from comfreylatch._process.routing import retry_budget
from comfreylatch._version import configuration
from comfreylatch._version import objects


@attrs.define(eq=False)
class ServiceState:
    """Routing state of one service on this host.

    Attributes:
        name: Name of the service.
        service: Configuration of the service.
        weight_share: Its weight as a share of the sum of all weights, 0 to 1.
        addresses: Addresses of its endpoints in this zone, by name.
        usable_endpoints: Names of its endpoints in this zone that are not
            leaving.
        stats: Latency, failures and ejection of its endpoints.
        picker: Picks the endpoint of a try.
        queue: Requests that wait for a slot.
        budget: Budget of retries and hedges.
        hedge_quantile: Estimate of the answer time's quantile
            `service.hedge_percentile`.
    """

    name: str
    service: objects.Service
    weight_share: float
    addresses: Mapping[str, str]
    usable_endpoints: tuple[str, ...]
    stats: endpoint_stats.EndpointStatsTable
    picker: load_balancing.Picker
    queue: admission.ServiceQueue
    budget: retry_budget.RetryBudget
    hedge_quantile: latency_quantile.LatencyQuantile


@final
class ServiceTable:
    """Routing state of all services. Thread-safe; reading takes no lock.

    Args:
        zone: This host's zone; endpoints of other zones are left out.
        slots: This host's share of the endpoints' limits.
        clock: Monotonic clock.
        policy: Load-balancing policy of all services.
        rng: Random number generator of load balancing and ejections.

    Attributes:
        leaving: The endpoints that get no new requests.
        max_request_ms: Longest time an endpoint may run a request once sent,
            including the margin for clock drift.
    """

    def __init__(
        self,
        zone: str,
        slots: slots_port.SlotLedger,
        clock: clock_port.Clock,
        policy: load_balancing.Policy,
        rng: random.Random,
    ) -> None:
        self._zone = zone
        self._clock = clock
        self._policy = policy
        self._rng = rng
        self._lock = threading.Lock()
        self._states: dict[str, ServiceState] = {}
        self._service_by_endpoint: dict[str, str] = {}
        self._configuration = configuration.Configuration()
        self.leaving = leaving_endpoints.LeavingEndpoints(clock)
        self.max_request_ms = shares.max_request_ms(self._configuration)
        slots.on_free(self._on_slot_free)

    @property
    def max_timeout_ms(self) -> int:
        """The longest timeout of a request, which caps what callers set."""
        margin_ms = self._configuration.limits.drift_margin_ms
        return self.max_request_ms - margin_ms

    @property
    def has_configuration(self) -> bool:
        """Whether a configuration has been applied."""
        return self._configuration.offset >= 0

    def get(self, service: str) -> ServiceState | None:
        """Returns the state of a service, or None if it is not configured."""
        return self._states.get(service)

    def all(self) -> tuple[ServiceState, ...]:
        """Returns the states of all services."""
        return tuple(self._states.values())

    def apply(self, new: configuration.Configuration) -> None:
        """Applies a configuration unless a later one has been applied.

        Services and endpoints that remain keep their statistics.
        """
        with self._lock:
            if new.offset < self._configuration.offset:
                return
            self._configuration = new
            self.max_request_ms = shares.max_request_ms(new)
            self.leaving.retain_endpoints(frozenset(new.endpoints))
            total_weight = sum(s.weight for s in new.services.values())
            addresses = self._addresses(new)
            states = dict(self._states)
            for name in states.keys() - new.services.keys():
                del states[name]
            for name, service in new.services.items():
                state = states.get(name) or self._new_state(name, service)
                states[name] = state
                self._update(state, service, addresses.get(name, {}))
                state.weight_share = service.weight / max(total_weight, 1)
            self._states = states
            self._service_by_endpoint = {
                endpoint: state.name
                for state in states.values()
                for endpoint in state.addresses
            }

    def update_usable_endpoints(self) -> None:
        """Updates the usable endpoints after a change of the leaving ones."""
        with self._lock:
            for state in self._states.values():
                state.usable_endpoints = self._usable(state.addresses)

    def _addresses(
        self, new: configuration.Configuration
    ) -> dict[str, dict[str, str]]:
        by_service: dict[str, dict[str, str]] = {}
        for name, endpoint in sorted(new.endpoints.items()):
            if endpoint.zone == self._zone:
                endpoints = by_service.setdefault(endpoint.service, {})
                endpoints[name] = endpoint.address
        return by_service

    def _new_state(self, name: str, service: objects.Service) -> ServiceState:
        stats = endpoint_stats.EndpointStatsTable(self._clock, self._rng)
        return ServiceState(
            name=name,
            service=service,
            weight_share=1.0,
            addresses={},
            usable_endpoints=(),
            stats=stats,
            picker=load_balancing.make_picker(
                self._policy, stats, self._clock, self._rng
            ),
            queue=admission.ServiceQueue(self._clock),
            budget=retry_budget.RetryBudget(service.retry_budget_percent),
            hedge_quantile=latency_quantile.LatencyQuantile(
                service.hedge_percentile
            ),
        )

    def _update(
        self,
        state: ServiceState,
        service: objects.Service,
        addresses: Mapping[str, str],
    ) -> None:
        if service.hedge_percentile != state.service.hedge_percentile:
            state.hedge_quantile = latency_quantile.LatencyQuantile(
                service.hedge_percentile
            )
        state.budget.set_percent(service.retry_budget_percent)
        state.queue.set_target(service.target_p99_ms)
        state.service = service
        state.addresses = addresses
        state.usable_endpoints = self._usable(addresses)
        state.stats.update_endpoints(addresses)

    def _usable(self, addresses: Mapping[str, str]) -> tuple[str, ...]:
        return tuple(
            name for name in addresses if not self.leaving.is_leaving(name)
        )

    def _on_slot_free(self, endpoint: str) -> None:
        service = self._service_by_endpoint.get(endpoint)
        state = None if service is None else self._states.get(service)
        if state is not None:
            state.queue.grant_free_slots()

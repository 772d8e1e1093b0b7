"""This host's fixed share of the slots and connections of endpoints.

The limits of an endpoint are divided among the seats of its zone by the
configuration alone, so that a wrong view of which hosts are alive can't exceed
them. A seat whose share shrinks stops using the difference at once. A seat
whose share grows waits until every other host has applied the change and the
requests those hosts were running have ended.
"""

from __future__ import annotations

from collections.abc import Callable
import threading
from typing import final

import attrs
import xxhash

from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import configuration as configuration_port
from comfreylatch._ports import peers as peers_port
from comfreylatch._version import configuration
from comfreylatch._version import objects

INCREASE_CHECK_INTERVAL_MS = 100
# Maximum time between acquiring a slot and sending the request.
MAX_SEND_DELAY_MS = 500


@attrs.frozen
class Share:
    """The slots and connections of one endpoint that one seat may use."""

    slots: int
    connections: int


NO_SHARE = Share(0, 0)


def seat_share(
    endpoint_name: str,
    endpoint: objects.Endpoint,
    zone: objects.Zone,
    seat: str,
) -> Share:
    """Returns a seat's share of an endpoint's limits.

    The connections of all seats add up to the endpoint's limit; the slots add
    up to at most that limit. The rotation, which depends on the endpoint's
    name, gives the remainders of different endpoints to different seats.
    """
    if seat not in zone.seats:
        return NO_SHARE
    count = len(zone.seats)
    rotation = xxhash.xxh32_intdigest(endpoint_name.encode()) % count
    rotated_index = (zone.seats.index(seat) + rotation) % count
    slots = _divide(endpoint.slots, count, rotated_index)
    connections = _divide(endpoint.connections, count, rotated_index)
    return Share(min(slots, connections), connections)


def _divide(total: int, count: int, rotated_index: int) -> int:
    return total // count + (1 if rotated_index < total % count else 0)


def max_request_ms(current: configuration.Configuration) -> int:
    """Returns the longest time an endpoint may run a request once sent."""
    services = list(current.services.values()) or [objects.Service()]
    longest_ms = max(
        max(service.timeout_ms, service.longest_run_ms) for service in services
    )
    return longest_ms + current.limits.drift_margin_ms


def max_slot_hold_ms(current: configuration.Configuration) -> int:
    """Returns the longest time a request may hold a slot."""
    return MAX_SEND_DELAY_MS + max_request_ms(current)


@attrs.define(eq=False)
class _PendingIncrease:
    """An increase of a share that is not in effect yet.

    Attributes:
        target: The share under the current configuration.
        offset: Configuration offset that all other hosts must have applied.
        removed_seats: Seats that the configuration change removed.
        applied_ms: Monotonic time at which this host found that all other
            hosts had applied the change; -1 before.
    """

    target: Share
    offset: int
    removed_seats: frozenset[str]
    applied_ms: int = -1


@attrs.define(eq=False)
class _EndpointUsage:
    """This host's use of one endpoint.

    Attributes:
        allowed: The share that may be used now.
        in_use: Number of slots in use; may exceed a share that has shrunk.
        pending: An increase of the share that is not in effect yet.
    """

    allowed: Share = NO_SHARE
    in_use: int = 0
    pending: _PendingIncrease | None = None


@final
class FixedShares:
    """Slots and connections allotted to this host's seat. Thread-safe.

    Args:
        source: Configuration in force.
        zone: This host's zone; the host uses endpoints of this zone only.
        seat: This host's seat.
        clock: Monotonic time.
        startup_wait_ms: Time from construction until slots are available;
            a killed predecessor may have left requests running.
        peers: Views of the other hosts with the offsets they have applied.
            Without it, an increase waits only for the longest request.
    """

    def __init__(
        self,
        source: configuration_port.ConfigurationSource,
        zone: str,
        seat: str,
        clock: clock_port.Clock,
        startup_wait_ms: int,
        peers: peers_port.Peers | None = None,
    ) -> None:
        self._zone = zone
        self._seat = seat
        self._clock = clock
        self._peers = peers
        self._lock = threading.Lock()
        self._endpoints: dict[str, _EndpointUsage] = {}
        self._listeners: list[Callable[[str], None]] = []
        self._suspended_until_ms = clock.monotonic_ms() + startup_wait_ms
        self._next_check_ms = 0
        self._has_pending = False
        self._configuration = configuration.Configuration()
        source.on_change(self._apply)
        self._apply(source.current())

    def try_acquire_slot(self, endpoint: str, duration_ms: int) -> bool:
        """See `SlotLedger.try_acquire_slot`; fixed slots don't expire."""
        del duration_ms
        self._apply_due_increases()
        with self._lock:
            usage = self._endpoints.get(endpoint)
            if usage is None or usage.in_use >= usage.allowed.slots:
                return False
            if self._clock.monotonic_ms() < self._suspended_until_ms:
                return False
            usage.in_use += 1
            return True

    def release_slot(self, endpoint: str) -> None:
        """See `SlotLedger.release_slot`."""
        with self._lock:
            usage = self._endpoints[endpoint]
            usage.in_use -= 1
            is_free = usage.in_use < usage.allowed.slots
            if usage.in_use == 0 and self._can_delete(endpoint, usage):
                del self._endpoints[endpoint]
        if is_free:
            self._notify_listeners(endpoint)

    def report_demand(self, endpoint: str) -> None:
        """See `SlotLedger.report_demand`; no effect, as the share is fixed."""

    def count_free(self, endpoint: str) -> int:
        """See `SlotLedger.count_free`."""
        self._apply_due_increases()
        usage = self._endpoints.get(endpoint)
        if (
            usage is None
            or self._clock.monotonic_ms() < self._suspended_until_ms
        ):
            return 0
        return max(usage.allowed.slots - usage.in_use, 0)

    def on_free(self, callback: Callable[[str], None]) -> None:
        """See `SlotLedger.on_free`."""
        self._listeners.append(callback)

    def connection_share(self, endpoint: str) -> int:
        """See `SlotLedger.connection_share`."""
        usage = self._endpoints.get(endpoint)
        return 0 if usage is None else usage.allowed.connections

    def end_startup_wait(self) -> None:
        """Makes slots available now, as no predecessor uses them any more."""
        with self._lock:
            self._suspended_until_ms = 0
            endpoints = list(self._endpoints)
        for endpoint in endpoints:
            self._notify_listeners(endpoint)

    def suspend_until(self, monotonic_ms: int) -> None:
        """Refuses slots until a time; used after a pause of the process."""
        with self._lock:
            self._suspended_until_ms = max(
                self._suspended_until_ms, monotonic_ms
            )

    def _apply(self, new: configuration.Configuration) -> None:
        """Applies a new version: decreases at once, increases after a wait."""
        with self._lock:
            old = self._configuration
            if new.offset < old.offset:
                return
            self._configuration = new
            removed = self._removed_seats(old, new)
            targets = self._target_shares(new)
            for endpoint in self._endpoints.keys() | targets.keys():
                usage = self._endpoints.setdefault(endpoint, _EndpointUsage())
                is_new = endpoint not in old.endpoints
                target = targets.get(endpoint, NO_SHARE)
                self._update_share(usage, target, new.offset, removed, is_new)
                if usage.in_use == 0 and self._can_delete(endpoint, usage):
                    del self._endpoints[endpoint]
            self._has_pending = any(
                usage.pending for usage in self._endpoints.values()
            )

    def _target_shares(
        self, new: configuration.Configuration
    ) -> dict[str, Share]:
        zone = new.zones.get(self._zone)
        if zone is None:
            return {}
        return {
            name: seat_share(name, endpoint, zone, self._seat)
            for name, endpoint in new.endpoints.items()
            if endpoint.zone == self._zone
        }

    def _removed_seats(
        self, old: configuration.Configuration, new: configuration.Configuration
    ) -> frozenset[str]:
        old_zone = old.zones.get(self._zone, objects.Zone(()))
        new_zone = new.zones.get(self._zone, objects.Zone(()))
        return frozenset(old_zone.seats) - frozenset(new_zone.seats)

    @staticmethod
    def _update_share(
        usage: _EndpointUsage,
        target: Share,
        offset: int,
        removed_seats: frozenset[str],
        is_new: bool,
    ) -> None:
        if is_new and usage.in_use == 0:
            # No host has used a new endpoint, so there is no need to wait.
            usage.allowed = target
            usage.pending = None
            return
        usage.allowed = Share(
            min(usage.allowed.slots, target.slots),
            min(usage.allowed.connections, target.connections),
        )
        if usage.allowed == target:
            usage.pending = None
        elif usage.pending is None or usage.pending.target != target:
            usage.pending = _PendingIncrease(target, offset, removed_seats)

    def _can_delete(self, endpoint: str, usage: _EndpointUsage) -> bool:
        return (
            endpoint not in self._configuration.endpoints
            and usage.pending is None
        )

    def _apply_due_increases(self) -> None:
        """Applies pending increases that are due; cheap if none is pending."""
        if not self._has_pending:
            return
        now_ms = self._clock.monotonic_ms()
        if now_ms < self._next_check_ms:
            return
        with self._lock:
            self._next_check_ms = now_ms + INCREASE_CHECK_INTERVAL_MS
            wait_ms = max_request_ms(self._configuration)
            for usage in self._endpoints.values():
                pending = usage.pending
                if pending is not None and self._is_due(
                    pending, now_ms, wait_ms
                ):
                    usage.allowed = pending.target
                    usage.pending = None
            self._has_pending = any(
                usage.pending for usage in self._endpoints.values()
            )

    def _is_due(
        self,
        pending: _PendingIncrease,
        now_ms: int,
        wait_ms: int,
    ) -> bool:
        if pending.applied_ms < 0 and self._is_applied_by_all(pending):
            pending.applied_ms = now_ms
        return (
            pending.applied_ms >= 0 and now_ms >= pending.applied_ms + wait_ms
        )

    def _is_applied_by_all(self, pending: _PendingIncrease) -> bool:
        if self._peers is None:
            return True
        return all(
            view.config_offset >= pending.offset
            or (view.seat in pending.removed_seats and not view.reachable)
            for view in self._peers.views()
            if view.zone == self._zone and self._is_relevant(view.seat, pending)
        )

    def _is_relevant(self, seat: str, pending: _PendingIncrease) -> bool:
        zone = self._configuration.zones.get(self._zone, objects.Zone(()))
        return seat in zone.seats or seat in pending.removed_seats

    def _notify_listeners(self, endpoint: str) -> None:
        for listener in self._listeners:
            listener(endpoint)

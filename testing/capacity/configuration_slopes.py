"""Slopes of the configuration: its state and the cost of one change."""

from __future__ import annotations

import random
from typing import Any

import attrs
import msgspec

from comfreylatch._ports import log as log_port
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import shares
from comfreylatch._process import stream_state
from comfreylatch._process.routing import load_balancing
from comfreylatch._process.routing import service_state
from comfreylatch._version import configuration_fold
from comfreylatch._version import records
from comfreylatch._version import tickets
from testing.capacity import slope
from testing.fakes import clock as clock_fake

ENDPOINT_SIZES = (500, 1_500, 4_500)
SMALL_SIZES = (100, 300, 900)
TICKET_SIZES = (500, 1_000, 2_000)
CHANGES_PER_TICKET = 500
ZONES = 10
RESOURCE_FIELDS = {"processors_milli": 4_000, "memory_mib": 8_192}


@attrs.frozen
class ConfigurationSlopes:
    """Slopes of a host that follows the configuration and routes requests."""

    endpoint_bytes: slope.Slope
    team_bytes: slope.Slope
    ticket_bytes: slope.Slope
    routed_endpoint_bytes: slope.Slope
    change_us: slope.Slope
    snapshot_bytes: slope.Slope
    change_record_bytes: int


def measure() -> ConfigurationSlopes:
    """Measures all slopes of the configuration."""
    return ConfigurationSlopes(
        endpoint_bytes=slope.fit(
            "configuration kept in memory",
            "endpoints",
            "B",
            ENDPOINT_SIZES,
            lambda count: slope.memory_bytes(
                lambda: ConfigurationReplica(count)
            ),
        ),
        team_bytes=slope.fit(
            "configuration kept in memory",
            "teams",
            "B",
            SMALL_SIZES,
            lambda count: slope.memory_bytes(
                lambda: ConfigurationReplica(10, teams=count)
            ),
        ),
        ticket_bytes=slope.fit(
            "tickets remembered",
            "tickets",
            "B",
            TICKET_SIZES,
            lambda count: slope.memory_bytes(lambda: _with_tickets(count)),
        ),
        routed_endpoint_bytes=slope.fit(
            "shares, statistics and choice of a zone's endpoints",
            "endpoints of the zone",
            "B",
            SMALL_SIZES,
            _routing_bytes,
        ),
        change_us=slope.fit(
            "one change decoded, folded and applied",
            "endpoints",
            "us",
            ENDPOINT_SIZES,
            _change_us,
        ),
        snapshot_bytes=slope.fit(
            "snapshot of the configuration",
            "endpoints",
            "B",
            ENDPOINT_SIZES,
            lambda count: len(ConfigurationReplica(count).fold.snapshot()),
        ),
        change_record_bytes=len(_payload(1, [_endpoint(1, ZONES)])),
    )


class ConfigurationReplica:
    """A host's replica of the configuration, to which tickets are applied.

    Args:
        endpoints: Number of endpoints in force.
        teams: Number of teams in force.
        zones: Number of zones over which endpoints are distributed.
        routes: Whether shares and service states follow the configuration.
    """

    def __init__(
        self,
        endpoints: int,
        teams: int = 1,
        zones: int = ZONES,
        routes: bool = False,
    ) -> None:
        self.fold = configuration_fold.ConfigurationFold()
        self.state = stream_state.StreamState(
            "config", self.fold, metrics_module.Metrics(), None
        )
        self._number = 0
        self._routing_state = (
            _build_routing_state(self.fold) if routes else None
        )
        self.apply_ticket([_zone(index) for index in range(zones)])
        self.apply_ticket([_change("service", "service-1", {})])
        self.apply_ticket([_team(index) for index in range(teams)])
        for first in range(0, endpoints, CHANGES_PER_TICKET):
            last = min(first + CHANGES_PER_TICKET, endpoints)
            self.apply_ticket(
                [_endpoint(index, zones) for index in range(first, last)]
            )

    def apply_ticket(self, changes: list[dict[str, Any]]) -> None:
        """Folds one ticket and asserts that it is accepted."""
        self.apply_payload(self.payload(changes))
        line = self.fold.ticket(self._number)
        assert line is not None and line.accepted, line

    def payload(self, changes: list[dict[str, Any]]) -> bytes:
        """Encodes the next ticket as on the log."""
        self._number += 1
        return _payload(self._number, changes)

    def apply_payload(self, payload: bytes) -> None:
        """Decodes and folds one payload."""
        entry = log_port.LogEntry(self.state.offset + 1, payload)
        applied = self.state.apply([entry], stream_state.EntrySource.LOG)
        assert applied


def _build_routing_state(
    fold: configuration_fold.ConfigurationFold,
) -> list[Any]:
    clock = clock_fake.FakeClock()
    fixed_shares = shares.FixedShares(fold, "zone-0", "zone-0-1", clock, 0)
    table = service_state.ServiceTable(
        "zone-0",
        fixed_shares,
        clock,
        load_balancing.Policy.LEAST_EXPECTED,
        random.Random(1),
    )
    fold.on_change(table.apply)
    return [fixed_shares, table]


def _with_tickets(count: int) -> ConfigurationReplica:
    replica = ConfigurationReplica(10)
    for version in range(count):
        replica.apply_ticket([_endpoint(0, ZONES, replaces=version + 1)])
    return replica


def _routing_bytes(count: int) -> float:
    with_routing = slope.memory_bytes(
        lambda: ConfigurationReplica(count, zones=1, routes=True)
    )
    return with_routing - slope.memory_bytes(
        lambda: ConfigurationReplica(count, zones=1)
    )


def _change_us(count: int) -> float:
    replica = ConfigurationReplica(count, routes=True)
    changes = 20
    payloads = [
        replica.payload([_endpoint(0, ZONES, replaces=version + 1)])
        for version in range(changes * slope.REPEATS)
    ]
    remaining = iter(payloads)
    return slope.cpu_us(lambda: replica.apply_payload(next(remaining)), changes)


def _payload(number: int, changes: list[dict[str, Any]]) -> bytes:
    ticket = {
        "number": number,
        "author": "operator-1",
        "reason": "a change of the size that operators make",
        "changes": changes,
    }
    body = tickets.TicketRecord(ticket)
    return records.encode("zone-0-1-0a1b2c3d", number, body)


def _change(
    kind: str, name: str, state: dict[str, Any], replaces: int = 0
) -> dict[str, Any]:
    return {"kind": kind, "name": name, "replaces": replaces, "state": state}


def _endpoint(index: int, zones: int, replaces: int = 0) -> dict[str, Any]:
    zone = index % zones
    state = {
        "service": "service-1",
        "zone": f"zone-{zone}",
        "address": f"10.{zone}.{index // 250}.{index % 250 + 1}:8080",
        "slots": 8 + replaces % 2,
        "connections": 64,
        "worker": f"worker-{zone}-{index % 110}",
        "resources": RESOURCE_FIELDS,
    }
    return _change("endpoint", f"endpoint-{index}", state, replaces)


def _zone(index: int) -> dict[str, Any]:
    seats = [f"zone-{index}-{seat}" for seat in range(1, 5)]
    return _change("zone", f"zone-{index}", {"seats": seats})


def _team(index: int) -> dict[str, Any]:
    return _change("team", f"team-{index}", {"quota": RESOURCE_FIELDS})


def json_bytes(value: Any) -> int:
    """Length of a value encoded as JSON."""
    return len(msgspec.json.encode(value))

"""What the handling of every request works with."""

from __future__ import annotations

import random
from typing import Protocol

import attrs
import result

from comfreylatch._connection import endpoint_client
from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import slots as slots_port
from comfreylatch._process import journal as journal_module
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.routing import service_state
from comfreylatch._request import outcomes


class DispatchGuard(Protocol):
    """Lets the id of a non-idempotent request be dispatched once."""

    def claim(
        self, request_id: str, deadline_ms: int
    ) -> result.Result[outcomes.Claim, outcomes.NotRun | outcomes.Unknown]:
        """Marks the id as dispatched; Err holds what the caller is told."""
        ...

    def release(self, claim: outcomes.Claim) -> None:
        """Takes back a claim of a request that no endpoint has seen."""
        ...


@attrs.frozen
class RequestDependencies:
    """What tries work with; one set for the process."""

    table: service_state.ServiceTable
    slots: slots_port.SlotLedger
    client: endpoint_client.EndpointClient
    metrics: metrics_module.Metrics
    journal: journal_module.Journal
    clock: clock_port.Clock
    rng: random.Random
    guard: DispatchGuard | None = None

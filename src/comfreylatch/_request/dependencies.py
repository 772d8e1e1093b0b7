"""Dependencies shared by the handling of all requests."""

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
    """Allows one dispatch of each non-idempotent request id."""

    def claim(
        self, request_id: str, deadline_ms: int
    ) -> result.Result[outcomes.Claim, outcomes.NotRun | outcomes.Unknown]:
        """Marks the id as dispatched, before monotonic time `deadline_ms`.

        Err holds the outcome for the caller.
        """
        ...

    def release(self, claim: outcomes.Claim) -> None:
        """Withdraws the claim of a request that no endpoint has received."""
        ...


@attrs.frozen
class RequestDependencies:
    """Dependencies of request handling, created once per process.

    Attributes:
        table: Routing state of the services.
        slots: This host's share of the endpoints' limits.
        client: Sends single tries to endpoints.
        metrics: Counts outcomes, refusals and retries by reason.
        journal: Stores the decisions shown by `explain`.
        clock: Monotonic clock.
        rng: Random number generator of routing and backoff times.
        guard: Allows one dispatch of each non-idempotent request id; None
            turns this protection off.
    """

    table: service_state.ServiceTable
    slots: slots_port.SlotLedger
    client: endpoint_client.EndpointClient
    metrics: metrics_module.Metrics
    journal: journal_module.Journal
    clock: clock_port.Clock
    rng: random.Random
    guard: DispatchGuard | None = None

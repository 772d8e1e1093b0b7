"""Routing of callers' requests, from arrival to the reply."""

from __future__ import annotations

import random
import threading
import time
from types import TracebackType
from typing import final
from typing import Self

import logbook
import result

from comfreylatch._connection import endpoint_client
from comfreylatch._connection import http
from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import configuration as configuration_port
from comfreylatch._ports import hosts
from comfreylatch._ports import peers as peers_port
from comfreylatch._ports import slots as slots_port
from comfreylatch._process import journal as journal_module
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import reasons
from comfreylatch._process import settings as settings_module
from comfreylatch._process.routing import admission
from comfreylatch._process.routing import load_balancing
from comfreylatch._process.routing import service_state
from comfreylatch._request import call as call_module
from comfreylatch._request import dependencies as dependencies_module
from comfreylatch._request import outcomes
from comfreylatch._request import request_dispatch
from comfreylatch._request import spill
from comfreylatch._wire.gen.peer import ttypes

UPKEEP_INTERVAL_MS = 500
ADVERTISED_SPARE_SHARE = 0.5
RETRY_AFTER_STOP_MS = 1_000
RETRY_AFTER_BUSY_MS = 100

_logger = logbook.Logger("comfreylatch.router")


@final
class RequestRouter:
    """Routes requests to endpoints of this zone, or to hosts of other zones.

    Entering the context starts a thread that applies the peers' reports of
    leaving endpoints, probes leaving endpoints and closes surplus connections;
    leaving it stops the thread.

    Args:
        source: Configuration in force.
        slots: This host's share of the endpoints' limits.
        client: Sends single tries to endpoints.
        peers: Calls to the other entry hosts.
        metrics: Counts outcomes, refusals and retries by reason.
        journal: Stores the decisions shown by `explain`.
        clock: Monotonic clock.
        settings: Seat, zone, thread count and routing policy.
        seed: Seed of the random number generator of routing.
        guard: Allows one dispatch of each non-idempotent request id.
    """

    def __init__(
        self,
        source: configuration_port.ConfigurationSource,
        slots: slots_port.SlotLedger,
        client: endpoint_client.EndpointClient,
        peers: peers_port.Peers,
        metrics: metrics_module.Metrics,
        journal: journal_module.Journal,
        clock: clock_port.Clock,
        settings: settings_module.Settings,
        seed: int,
        guard: dependencies_module.DispatchGuard | None = None,
    ) -> None:
        rng = random.Random(seed)
        self._table = service_state.ServiceTable(
            settings.zone,
            slots,
            clock,
            load_balancing.Policy(settings.routing.policy),
            rng,
        )
        self._deps = dependencies_module.RequestDependencies(
            table=self._table,
            slots=slots,
            client=client,
            metrics=metrics,
            journal=journal,
            clock=clock,
            rng=rng,
            guard=guard,
        )
        self._peers = peers
        self._spill = spill.SpillForwarder(self._deps, peers, settings)
        self._threads = admission.ThreadShares(settings.threads)
        self._stopping = threading.Event()
        self._closed = threading.Event()
        self._upkeep_thread = threading.Thread(
            target=self._upkeep, name="router-upkeep", daemon=True
        )
        source.on_change(self._table.apply)
        self._table.apply(source.current())

    def __enter__(self) -> Self:
        self._upkeep_thread.start()
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._closed.set()
        self._upkeep_thread.join()

    def handle(self, request: http.HttpRequest) -> http.HttpReply:
        """Handles a caller's request to `/services/...`; blocks until it ends.

        A refusal or lost answer is returned as an error reply.
        """
        started_s = time.monotonic()
        given_id = request.headers.get("x-request-id")
        request_id = call_module.generate_id() if given_id is None else given_id
        parsed = call_module.parse(
            request,
            request_id,
            given_id is None,
            self._table,
            self._deps.clock.monotonic_ms(),
        )
        match parsed:
            case result.Ok(call):
                outcome = self._run(call)
                label = call.state.name
            case result.Err(refusal):
                outcome = refusal
                label = ""
        self._record_outcome(request_id, label, outcome, started_s)
        shown_id = request_id if call_module.is_valid_id(request_id) else ""
        return outcomes.to_http(shown_id, outcome)

    def run_forwarded(
        self, request: ttypes.ForwardRequest
    ) -> ttypes.ForwardReply:
        """Runs a request forwarded by a host of another zone.

        It isn't forwarded again, and is refused if no slot is free now.
        """
        started_s = time.monotonic()
        parsed = call_module.from_forward_request(
            request, self._table, self._deps.clock.monotonic_ms()
        )
        match parsed:
            case result.Ok(call):
                outcome = self._run_in_zone(call, is_forwarded=True)
            case result.Err(refusal):
                outcome = refusal
        self._record_outcome(
            request.request_id, request.service_name, outcome, started_s
        )
        return outcomes.to_forward_reply(request.request_id, outcome)

    def stop_accepting(self) -> None:
        """Refuses every new request; requests in progress continue."""
        self._stopping.set()

    def update_host_list(self, host_list: hosts.HostList) -> None:
        """Drains the endpoints that the platform's host list shows leaving."""
        self._drain(self._table.leaving.update_host_list(host_list), "listed")

    def leaving_endpoints(self) -> frozenset[str]:
        """Endpoints that this host itself observed leaving, for heartbeats."""
        return self._table.leaving.observed

    def spare_slots(self) -> dict[str, int]:
        """Slots by service that other zones may use now, for heartbeats."""
        count_free = self._deps.slots.count_free
        return {
            state.name: int(
                sum(map(count_free, state.usable_endpoints))
                * ADVERTISED_SPARE_SHARE
            )
            for state in self._table.all()
            if state.queue.waiting == 0 and not self._stopping.is_set()
        }

    def services(self) -> tuple[service_state.ServiceState, ...]:
        """The state of every service, for the status page."""
        return self._table.all()

    def _run(self, call: call_module.Call) -> outcomes.RequestOutcome:
        """Runs a request here, or in another zone that can answer it sooner."""
        outcome = self._run_in_zone(call, is_forwarded=False)
        return self._spill.forward_after_refusal(call, outcome) or outcome

    def _run_in_zone(
        self, call: call_module.Call, is_forwarded: bool
    ) -> outcomes.RequestOutcome:
        """Runs a request on this zone's endpoints."""
        if self._stopping.is_set():
            return outcomes.NotRun(
                reasons.RefusalReason.STOPPING,
                "this host is stopping; retry on another host",
                RETRY_AFTER_STOP_MS,
            )
        name = call.state.name
        if not self._threads.try_acquire(name, call.state.weight_share):
            return outcomes.NotRun(
                reasons.RefusalReason.NO_FREE_THREAD,
                "this host has as many requests in progress as it can handle",
                max(call.state.queue.retry_after_ms(), RETRY_AFTER_BUSY_MS),
            )
        try:
            # The forwarding host has claimed the id of a forwarded request,
            # and benefits only from a slot that is free now.
            return request_dispatch.RequestDispatch(
                self._deps,
                call,
                is_claimed=is_forwarded,
                spill_handler=None
                if is_forwarded
                else self._spill.forward_before_waiting,
                may_wait=not is_forwarded,
            ).run()
        finally:
            self._threads.release(name)

    def _record_outcome(
        self,
        request_id: str,
        service: str,
        outcome: outcomes.RequestOutcome,
        started_s: float,
    ) -> None:
        """Records the outcome of a request in metrics and journal."""
        metrics = self._deps.metrics
        elapsed_us = int((time.monotonic() - started_s) * 1_000_000)
        metrics.observe(metrics_module.Latency.REQUEST, elapsed_us, service)
        match outcome:
            case outcomes.Answered():
                metrics.count(
                    metrics_module.Counter.OUTCOMES,
                    reasons.Outcome.ANSWERED.value,
                )
                self._deps.journal.record(
                    reasons.Subject.REQUEST,
                    request_id,
                    reasons.Outcome.ANSWERED.value,
                    f"answered by {outcome.endpoint} with status "
                    f"{outcome.status} after {elapsed_us / 1_000:.1f} ms",
                )
                return
            case outcomes.NotRun():
                kind = reasons.Outcome.NOT_RUN
            case outcomes.Unknown():
                kind = reasons.Outcome.UNKNOWN
        metrics.count(metrics_module.Counter.OUTCOMES, kind.value)
        metrics.count(metrics_module.Counter.REFUSALS, outcome.reason.value)
        self._deps.journal.record(
            reasons.Subject.REQUEST,
            request_id,
            outcome.reason.value,
            f"{kind.value}: {outcome.sentence}",
        )

    def _upkeep(self) -> None:
        while not self._closed.wait(UPKEEP_INTERVAL_MS / 1_000):
            try:
                self._apply_peer_reports()
                self._probe_leaving()
                self._trim_connections()
            except Exception:
                _logger.exception("router-upkeep-failed")

    def _apply_peer_reports(self) -> None:
        reported = frozenset[str]().union(
            *(view.leaving_endpoints for view in self._peers.views())
        )
        self._drain(
            self._table.leaving.update_peer_reports(reported),
            "reported by a peer",
        )

    def _probe_leaving(self) -> None:
        """Probes endpoints marked as leaving with a plain connection."""
        addresses = {
            endpoint: address
            for state in self._table.all()
            for endpoint, address in state.addresses.items()
        }
        for endpoint in self._table.leaving.due_probes():
            address = addresses.get(endpoint)
            if address is None or not self._deps.client.can_connect(address):
                continue
            self._table.leaving.record_accepted_connection(endpoint)
            self._table.update_usable_endpoints()
            self._journal_endpoint(endpoint, "back", "accepts connections")

    def _trim_connections(self) -> None:
        """Closes connections in excess of this host's current share."""
        share = self._deps.slots.connection_share
        self._deps.client.trim(
            {
                address: share(endpoint)
                for state in self._table.all()
                for endpoint, address in state.addresses.items()
            }
        )

    def _drain(self, endpoints: frozenset[str], learned_from: str) -> None:
        """Sends no new requests to endpoints that are newly leaving.

        Closes their idle connections and records each in the journal.
        """
        self._table.update_usable_endpoints()
        for state in self._table.all():
            for endpoint in endpoints & state.addresses.keys():
                self._deps.client.close_idle(state.addresses[endpoint])
                leaving_reason = self._table.leaving.leaving_reason(endpoint)
                self._journal_endpoint(
                    endpoint, "leaving", f"{learned_from}: {leaving_reason}"
                )

    def _journal_endpoint(
        self, endpoint: str, reason: str, sentence: str
    ) -> None:
        self._deps.journal.record(
            reasons.Subject.ENDPOINT, endpoint, reason, sentence
        )

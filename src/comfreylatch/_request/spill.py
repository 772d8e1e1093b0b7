"""Forwarding of requests to other zones' hosts when this zone has no slot.

This is called spilling. A free slot in this zone is preferred. A request is
forwarded when a host of another zone has reported spare slots, and the request
was refused here for lack of capacity or would wait here for longer than the
other zone has recently taken to answer.
"""

from __future__ import annotations

import collections
import threading
import time
from typing import final

import attrs
import result

from comfreylatch._ports import peers as peers_port
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import reasons
from comfreylatch._process import settings as settings_module
from comfreylatch._request import call as call_module
from comfreylatch._request import dependencies as dependencies_module
from comfreylatch._request import outcomes

# Assumed network time to another zone, before the first measured request.
INITIAL_NETWORK_MS = 15.0
ROUND_TRIP_SMOOTHING = 0.1
# Time before the request's deadline that is reserved for returning the reply.
FORWARD_MARGIN_MS = 5
# Time for which a seat gets no requests after it had no slot or did not reply.
ROUTE_PAUSE_MS = 500

_CAPACITY_REASONS = frozenset(
    {
        reasons.RefusalReason.NO_FREE_SLOT,
        reasons.RefusalReason.NO_ENDPOINT,
        reasons.RefusalReason.NO_FREE_THREAD,
    }
)


@attrs.define(eq=False)
class _Route:
    """Forwarding state of one seat for one service.

    Attributes:
        round_trip_ms: Smoothed time of a forwarded request, including the
            network; negative before the first.
        in_flight: Forwarded requests that have no reply yet.
        paused_until_ms: Monotonic time until which nothing is forwarded,
            after the seat had no slot despite its report or did not reply.
    """

    round_trip_ms: float = -1.0
    in_flight: int = 0
    paused_until_ms: int = 0


@final
class SpillForwarder:
    """Forwards requests to hosts of other zones. Thread-safe.

    Args:
        deps: Dependencies of request handling.
        peers: Calls to the other entry hosts.
        settings: This host's zone, and whether to forward at all.
    """

    def __init__(
        self,
        deps: dependencies_module.RequestDependencies,
        peers: peers_port.Peers,
        settings: settings_module.Settings,
    ) -> None:
        self._deps = deps
        self._peers = peers
        self._zone = settings.zone
        self._is_enabled = settings.routing.spill
        self._lock = threading.Lock()
        self._routes: dict[str, _Route] = collections.defaultdict(_Route)

    def forward_before_waiting(
        self, call: call_module.Call
    ) -> outcomes.RequestOutcome | None:
        """Forwards a request if another zone can answer sooner.

        Returns the outcome, or None if the request is still to be run here.
        """
        queue = call.state.queue
        if queue.in_flight == 0:
            # No slot here can become free; the request will be refused and
            # then passed to `forward_after_refusal`.
            return None
        return self._forward_if_faster(call, queue.expected_answer_ms())

    def forward_after_refusal(
        self, call: call_module.Call, outcome: outcomes.RequestOutcome
    ) -> outcomes.RequestOutcome | None:
        """Forwards a request if it was refused for lack of capacity.

        Returns the new outcome, or None if the given one stands.
        """
        match outcome:
            case outcomes.NotRun(reason) if reason in _CAPACITY_REASONS:
                remaining_ms = (
                    call.deadline_ms - self._deps.clock.monotonic_ms()
                )
                return self._forward_if_faster(call, remaining_ms)
            case _:
                return None

    def _forward_if_faster(
        self, call: call_module.Call, max_round_trip_ms: float
    ) -> outcomes.RequestOutcome | None:
        """Forwards a request if a seat is expected to answer in that time."""
        if not self._is_enabled:
            return None
        seat = self._reserve_seat(call, max_round_trip_ms)
        if seat is None:
            return None
        try:
            return self._claim_and_forward(call, seat)
        finally:
            with self._lock:
                self._route(seat, call).in_flight -= 1

    def _reserve_seat(
        self, call: call_module.Call, max_round_trip_ms: float
    ) -> str | None:
        """Reserves the fastest seat; None if no seat is fast enough."""
        fastest_seat: str | None = None
        fastest_ms = max_round_trip_ms
        now_ms = self._deps.clock.monotonic_ms()
        mean_hold_ms = call.state.queue.mean_hold_ms
        with self._lock:
            for view in self._peers.views():
                if not self._is_usable(view, call, now_ms):
                    continue
                route = self._route(view.seat, call)
                if route.round_trip_ms < 0:
                    route.round_trip_ms = mean_hold_ms + INITIAL_NETWORK_MS
                if route.round_trip_ms < fastest_ms:
                    fastest_seat = view.seat
                    fastest_ms = route.round_trip_ms
            if fastest_seat is not None:
                self._route(fastest_seat, call).in_flight += 1
        return fastest_seat

    def _is_usable(
        self, view: peers_port.PeerView, call: call_module.Call, now_ms: int
    ) -> bool:
        if view.zone == self._zone or not view.reachable or view.stopping:
            return False
        route = self._route(view.seat, call)
        spare_slots = view.spare_slots.get(call.state.name, 0)
        return spare_slots > route.in_flight and now_ms >= route.paused_until_ms

    def _route(self, seat: str, call: call_module.Call) -> _Route:
        return self._routes[f"{seat}/{call.state.name}"]

    def _claim_and_forward(
        self, call: call_module.Call, seat: str
    ) -> outcomes.RequestOutcome | None:
        guard = self._deps.guard
        if guard is None or not call.needs_claim:
            return self._forward(call, seat)
        match guard.claim(call.request_id, call.deadline_ms):
            case result.Err(refusal):
                return refusal
            case result.Ok(claim):
                outcome = self._forward(call, seat)
                if outcome is None:
                    guard.release(claim)
                return outcome

    def _forward(
        self, call: call_module.Call, seat: str
    ) -> outcomes.RequestOutcome | None:
        """Returns the outcome, or None if the other zone ran nothing."""
        now_ms = self._deps.clock.monotonic_ms()
        remaining_ms = call.deadline_ms - now_ms
        if remaining_ms <= FORWARD_MARGIN_MS:
            return None
        self._record_spill(call, seat)
        started_s = time.monotonic()
        reply_result = self._peers.forward(
            seat,
            call_module.to_forward_request(
                call, remaining_ms - FORWARD_MARGIN_MS
            ),
            remaining_ms,
        )
        elapsed_ms = (time.monotonic() - started_s) * 1_000
        route = self._route(seat, call)
        match reply_result:
            case result.Ok(reply):
                outcome = outcomes.from_forward_reply(
                    call.request_id, seat, reply
                )
                if isinstance(outcome, outcomes.NotRun):
                    route.paused_until_ms = now_ms + ROUTE_PAUSE_MS
                    return None
                route.round_trip_ms += ROUND_TRIP_SMOOTHING * (
                    elapsed_ms - route.round_trip_ms
                )
                return outcome
            case result.Err(peers_port.PeerAnswerLost(detail)):
                route.paused_until_ms = now_ms + ROUTE_PAUSE_MS
                return outcomes.Unknown(
                    reasons.RefusalReason.ANSWER_LOST, f"{seat}: {detail}"
                )
            case result.Err(_):
                route.paused_until_ms = now_ms + ROUTE_PAUSE_MS
                return None

    def _record_spill(self, call: call_module.Call, seat: str) -> None:
        reason = reasons.RetryReason.SPILLED
        self._deps.metrics.count(metrics_module.Counter.RETRIES, reason.value)
        self._deps.journal.record(
            reasons.Subject.REQUEST,
            call.request_id,
            reason.value,
            f"no slot is free in this zone; forwarded to {seat}",
        )

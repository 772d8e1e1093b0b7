"""Sends a caller's request to the owner of the cell."""

from __future__ import annotations

from collections.abc import Callable
import threading
from typing import final

import attrs
import logbook
import result

from comfreylatch._connection import http
from comfreylatch._connection import json_call
from comfreylatch._ports import clock as clock_port
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell.forwarding import policy

# Names the host that has passed a request on.
FORWARDED_HEADER = "X-Forwarded-By"
_FORWARDED_KEY = FORWARDED_HEADER.lower()
_DEADLINE_HEADER = "X-Deadline-Ms"
# Part of the time left that is kept for this host's own reply.
REPLY_MARGIN_MS = 100
POOL_CONNECTIONS = 4
# Statuses that tell what became of the request. Others are refusals, or show
# that the owner has another configuration than this host.
_FINAL_STATUSES = frozenset({200, 400, 410})

_logger = logbook.Logger(__name__)


@attrs.frozen
class NotForwarded:
    """The request has reached no other host, or was refused there."""


@attrs.frozen
class ForwardUnanswered:
    """The owner may have carried out the request."""


ForwardOutcome = http.HttpReply | NotForwarded | ForwardUnanswered


@final
class Forwarder:
    """Passes requests on to the owner of the cell. Thread-safe.

    Args:
        host: Name of this host.
        owner: Returns the owner's newest heartbeat that was read.
        metrics: Counts forwarded requests by outcome.
        clock: Source of monotonic time.
    """

    def __init__(
        self,
        host: str,
        owner: Callable[[], job_replica.ObservedHeartbeat | None],
        metrics: metrics_module.Metrics,
        clock: clock_port.Clock,
    ) -> None:
        self._host = host
        self._owner = owner
        self._metrics = metrics
        self._clock = clock
        self._lock = threading.Lock()
        self._address = ""
        self._pool: json_call.CallPool | None = None

    def forward(
        self, request: http.HttpRequest, remaining_ms: int
    ) -> ForwardOutcome:
        """Passes a request on if that may help; returns what became of it."""
        address = policy.choose_address(
            policy.ForwardRequest(
                was_forwarded=_FORWARDED_KEY in request.headers,
                remaining_ms=remaining_ms,
                host=self._host,
                owner=self._owner(),
                now_ms=self._clock.monotonic_ms(),
            )
        )
        if address is None:
            return NotForwarded()
        timeout_ms = remaining_ms - REPLY_MARGIN_MS
        called = json_call.call(
            self._pool_for(address),
            request.method,
            request.target or request.path,
            request.body if request.method == "POST" else b"",
            timeout_ms,
            {
                "Host": request.headers.get("host", ""),
                "Content-Type": http.JSON_TYPE,
                _DEADLINE_HEADER: str(timeout_ms),
                FORWARDED_HEADER: self._host,
            },
        )
        outcome, detail = _decode(called)
        logs.event(
            _logger,
            "forwarded",
            method=request.method,
            path=request.path,
            address=address,
            outcome=detail,
        )
        self._metrics.count(metrics_module.Counter.FORWARDS, detail)
        return outcome

    def _pool_for(self, address: str) -> json_call.CallPool:
        """Returns connections to an address; closes those to a former owner."""
        with self._lock:
            if self._pool is None or self._address != address:
                if self._pool is not None:
                    self._pool.close()
                self._pool = json_call.open_pool(address, POOL_CONNECTIONS)
                self._address = address
            return self._pool


def _decode(
    called: result.Result[json_call.Answer, json_call.CallError],
) -> tuple[ForwardOutcome, str]:
    """Returns what became of a forwarded request, and its name in metrics."""
    match called:
        case result.Ok(answer) if answer.status in _FINAL_STATUSES:
            headers = {"Content-Type": http.JSON_TYPE}
            reply = http.HttpReply(answer.status, answer.body, headers)
            return reply, "answered"
        case result.Ok(answer) if answer.status == 504:
            return ForwardUnanswered(), "undecided"
        case result.Ok(_):
            return NotForwarded(), "refused"
        case result.Err(json_call.NotSent()):
            return NotForwarded(), "not-sent"
        case result.Err(json_call.AnswerLost()):
            return ForwardUnanswered(), "answer-lost"

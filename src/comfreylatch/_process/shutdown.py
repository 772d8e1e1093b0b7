"""Graceful shutdown of an entry host."""

from __future__ import annotations

import time

import attrs
import logbook

from comfreylatch._connection import http_server
from comfreylatch._ports import clock as clock_port
from comfreylatch._process import loans
from comfreylatch._process import local_state
from comfreylatch._process import logs
from comfreylatch._process import membership as membership_module
from comfreylatch._process.batch import service as batch_service
from comfreylatch._request import router as router_module

LOAD_BALANCER_GRACE_MS = 500
IDLE_CHECK_INTERVAL_MS = 20
MAX_LENT_SLOTS_WAIT_MS = 1_500

_logger = logbook.Logger(__name__)


@attrs.frozen
class ShutdownDependencies:
    """The components of a host that take part in its shutdown."""

    state: local_state.LocalState
    callers: http_server.HttpServer
    router: router_module.RequestRouter
    batch: batch_service.BatchService
    ledger: loans.LoanLedger
    gate: local_state.SeatGate
    membership: membership_module.Membership
    clock: clock_port.Clock


def stop_gracefully(deps: ShutdownDependencies, timeout_ms: int) -> bool:
    """Stops accepting work and waits for the work in progress.

    First the load balancer moves callers to other hosts, and requests in
    progress are answered. Then the host releases its claim on the zone's
    workers, and waits for the slots in use or on loan. Finally it tells its
    peers whether all work has ended, so that a successor need not wait.

    Returns:
        Whether all requests of callers were answered within `timeout_ms`.
    """
    host_id = deps.state.host_id
    logs.event(_logger, "stopping", host=host_id)
    deps.state.stopping.set()
    deps.callers.close_after_replies()
    time.sleep(LOAD_BALANCER_GRACE_MS / 1_000)
    finished = deps.callers.drain(timeout_ms)
    deps.router.stop_accepting()
    deps.batch.release()
    is_idle = _wait_until_idle(deps, timeout_ms)
    if is_idle and deps.gate.is_open.is_set():
        deps.state.drained.set()
    deps.membership.announce_drained()
    logs.event(_logger, "stopped", host=host_id, idle=is_idle)
    return finished


def _wait_until_idle(deps: ShutdownDependencies, timeout_ms: int) -> bool:
    """Waits until no slot of this host is in use or lent."""
    started_ms = deps.clock.monotonic_ms()
    while True:
        statuses = deps.ledger.status()
        waited_ms = deps.clock.monotonic_ms() - started_ms
        is_in_use = any(status.used for status in statuses)
        if not is_in_use and not any(status.lent for status in statuses):
            return True
        if waited_ms >= (timeout_ms if is_in_use else MAX_LENT_SLOTS_WAIT_MS):
            return False
        time.sleep(IDLE_CHECK_INTERVAL_MS / 1_000)

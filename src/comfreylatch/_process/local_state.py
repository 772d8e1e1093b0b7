"""State that this host reports to its peers, and the gate of its seat."""

from __future__ import annotations

from collections.abc import Callable
import threading
from typing import final
from typing import Self

import attrs
import logbook

from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import configuration as configuration_port
from comfreylatch._process import follower as follower_module
from comfreylatch._process import logs
from comfreylatch._process import membership as membership_module
from comfreylatch._process import shares as shares_module
from comfreylatch._request import router as router_module
from comfreylatch._version import configuration
from comfreylatch._wire.gen.peer import ttypes

GATE_CHECK_INTERVAL_MS = 20
MAX_HEARTBEAT_CACHE_AGE_MS = 100
NO_PREVIOUS_ENDPOINT = "no-endpoint-before"

_logger = logbook.Logger(__name__)


@final
class LocalState:
    """State of the local host; builds its heartbeats.

    Components are attached once they exist.
    """

    def __init__(
        self, seat: str, zone: str, host_id: str, clock: clock_port.Clock
    ) -> None:
        self._clock = clock
        self._cached: ttypes.Heartbeat | None = None
        self._cached_ms = 0
        self._seat = seat
        self._zone = zone
        self.host_id = host_id
        self.stopping = threading.Event()
        self.drained = threading.Event()
        self._config: follower_module.StreamFollower | None = None
        self._zone_stream: follower_module.StreamFollower | None = None
        self._router: router_module.RequestRouter | None = None

    def attach(
        self,
        config: follower_module.StreamFollower,
        zone_stream: follower_module.StreamFollower,
        router: router_module.RequestRouter,
    ) -> None:
        """Attaches the components whose state heartbeats report."""
        self._config = config
        self._zone_stream = zone_stream
        self._router = router

    def heartbeat(self) -> ttypes.Heartbeat:
        """Returns this host's state, rebuilt a few times a second at most.

        Heartbeats to and from all peers come in quick succession, so the
        message is cached.
        """
        now_ms = self._clock.monotonic_ms()
        cached = self._cached
        if (
            cached is None
            or now_ms - self._cached_ms >= MAX_HEARTBEAT_CACHE_AGE_MS
        ):
            cached = self._make_heartbeat()
            self._cached = cached
            self._cached_ms = now_ms
        # Peers act on these two flags at once, so they are never stale.
        cached.stopping = self.stopping.is_set()
        cached.drained = self.drained.is_set()
        return cached

    def _make_heartbeat(self) -> ttypes.Heartbeat:
        config_offset, config_digest = _position(self._config)
        zone_offset, zone_digest = _position(self._zone_stream)
        router = self._router
        return ttypes.Heartbeat(
            protocol=membership_module.PROTOCOL_VERSION,
            seat=self._seat,
            host_id=self.host_id,
            zone=self._zone,
            config_offset=config_offset,
            config_digest=config_digest,
            stopping=self.stopping.is_set(),
            leaving_endpoints=sorted(router.leaving_endpoints())
            if router
            else [],
            zone_offset=zone_offset,
            zone_digest=zone_digest,
            spare_slots=router.spare_slots() if router else {},
            drained=self.drained.is_set(),
        )


def _position(
    follower: follower_module.StreamFollower | None,
) -> tuple[int, str]:
    return follower.position() if follower else (-1, "")


@attrs.frozen
class GateDependencies:
    """Dependencies of the gate of a seat.

    Attributes:
        config: Follower of the configuration stream.
        source: Configuration in force.
        membership: Knows the peers' reports on the predecessor.
        shares: Fixed shares, whose startup wait the gate ends.
        predecessor_hold_ms: Returns the longest time for which requests and
            loans of a predecessor may hold slots.
        on_first_start: Called if no endpoint was in force at the start.
        clock: Monotonic time.
    """

    config: follower_module.StreamFollower
    source: configuration_port.ConfigurationSource
    membership: membership_module.Membership
    shares: shares_module.FixedShares
    predecessor_hold_ms: Callable[[], int]
    on_first_start: Callable[[], None]
    clock: clock_port.Clock


@final
class SeatGate:
    """Opens this seat's slots once no predecessor can be using them.

    The seat opens at once if no endpoint was in force at the start, or if all
    other hosts of the zone report that the predecessor has drained. Otherwise
    it opens after the longest time its requests and loans can last.
    """

    def __init__(self, deps: GateDependencies) -> None:
        self._deps = deps
        self._started_ms = deps.clock.monotonic_ms()
        self._had_endpoints = False
        deps.source.on_change(self._record_endpoints)
        self._stop_requested = threading.Event()
        self.is_open = threading.Event()
        self.is_evaluated = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="seat-gate", daemon=True
        )

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop_requested.set()
        self._thread.join()

    def _record_endpoints(self, new: configuration.Configuration) -> None:
        """Records whether endpoints were in force when the host started.

        An endpoint that comes into force after the host is ready is newer
        than the host, so no predecessor has used it.
        """
        if not self._deps.config.ready and new.endpoints:
            self._had_endpoints = True

    def _run(self) -> None:
        while not self._stop_requested.wait(GATE_CHECK_INTERVAL_MS / 1_000):
            reason = self.reason_to_open()
            if reason:
                logs.event(_logger, "seat-open", reason=reason)
                if reason == NO_PREVIOUS_ENDPOINT:
                    self._deps.on_first_start()
                self._deps.shares.end_startup_wait()
                self.is_open.set()
                self.is_evaluated.set()
                return
            if self._deps.config.ready:
                self.is_evaluated.set()

    def reason_to_open(self) -> str:
        """Returns why the seat may open now, or "" if it may not yet."""
        deps = self._deps
        if not deps.config.ready:
            return ""
        if not self._had_endpoints:
            return NO_PREVIOUS_ENDPOINT
        if deps.membership.is_predecessor_drained():
            return "predecessor-drained"
        waited_ms = deps.clock.monotonic_ms() - self._started_ms
        if waited_ms >= deps.predecessor_hold_ms():
            return "waited"
        return ""

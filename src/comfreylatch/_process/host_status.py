"""The host's own entry on the status page."""

from __future__ import annotations

import attrs

from comfreylatch._process import follower as follower_module
from comfreylatch._process import local_state
from comfreylatch._process import settings as settings_module


@attrs.frozen
class HostStatus:
    """A host's seat, state and configuration version.

    Attributes:
        config_age_ms: Time since the host last knew that its configuration
            was the newest; grows while the host can't reach the log.
        seat_open: Whether the host may use its slots; false while requests
            of a predecessor may still use them.
    """

    host_id: str
    seat: str
    zone: str
    config_offset: int
    config_digest: str
    config_age_ms: int
    seat_open: bool
    stopping: bool


def build_host_status(
    settings: settings_module.Settings,
    state: local_state.LocalState,
    config: follower_module.StreamFollower,
    gate: local_state.SeatGate,
) -> HostStatus:
    """Returns the current status of the host."""
    offset, digest = config.position()
    return HostStatus(
        host_id=state.host_id,
        seat=settings.seat,
        zone=settings.zone,
        config_offset=offset,
        config_digest=digest,
        config_age_ms=config.age_ms(),
        seat_open=gate.is_open.is_set(),
        stopping=state.stopping.is_set(),
    )

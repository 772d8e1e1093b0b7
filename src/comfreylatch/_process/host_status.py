"""What the status page says of the host itself."""

from __future__ import annotations

import attrs

from comfreylatch._process import follower as follower_module
from comfreylatch._process import local_state
from comfreylatch._process import settings as settings_module


@attrs.frozen
class HostStatus:
    """One host's place and the configuration it works by.

    Attributes:
        config_age_ms: Time since the host knew its configuration was the
            newest; a cut-off host shows here how old it is.
        seat_open: Whether its slots are in use, or still held for what a
            predecessor may have left.
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
    """The status at this moment."""
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

"""Decides when a host should claim a cell, on what it sees of the owner."""

from __future__ import annotations

import attrs
import xxhash

from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import reasons

# Three heartbeats. Shorter, and a slow append of the owner would cost it its
# cell; longer, and the work of a dead owner waits.
TAKEOVER_MS = 1_500
# Hosts come forward one after the other, so that few claims collide.
LONGEST_TURN_MS = 240
# Hosts of the zone of an owner that gave up as it reached few workers wait
# this much longer than others.
ISOLATED_ZONE_WAIT_MS = 2_000


@attrs.frozen
class HostIdentity:
    """This host and this life of its process.

    Attributes:
        name: The host's name; a restarted process has the same.
        boot: Differs with each life.
        zone: Availability zone.
        core_share: Processors it may use; hosts with more come first.
    """

    name: str
    boot: str
    zone: str
    cpu_cores: float

    @property
    def turn_ms(self) -> int:
        """How long it lets others go first."""
        spread = xxhash.xxh32_intdigest(self.name.encode()) % 100 / 100
        weakness = 1 / (1 + self.cpu_cores)
        return int(LONGEST_TURN_MS * (0.5 * spread + 0.5 * weakness))


@attrs.frozen
class ClaimView:
    """What the decision to claim a cell rests on.

    Attributes:
        now_ms: Monotonic time.
        view_age_ms: How long ago the topic of jobs was known to be current.
        reachable_ms: For how long all reads have been answered.
        owner: Newest heartbeat and when it was seen.
        started_ms: When this process began to look.
    """

    now_ms: int
    view_age_ms: int
    reachable_ms: int
    owner: job_replica.ObservedHeartbeat | None
    started_ms: int


def reason_to_claim(
    view: ClaimView, host: HostIdentity
) -> reasons.ClaimReason | None:
    """Why a host should claim a cell now; None when it should not."""
    if view.view_age_ms > TAKEOVER_MS:
        return None
    sighting = view.owner
    if sighting is None:
        waited_ms = view.now_ms - view.started_ms
        if waited_ms >= host.turn_ms:
            return reasons.ClaimReason.NO_OWNER
        return None
    beat = sighting.heartbeat
    silent_ms = view.now_ms - sighting.seen_ms
    if beat.host == host.name and beat.boot != host.boot:
        return reasons.ClaimReason.RESTARTED
    if beat.is_released:
        is_cut_off = beat.is_isolated and beat.zone == host.zone
        wait_ms = ISOLATED_ZONE_WAIT_MS if is_cut_off else 0
        is_over = silent_ms >= wait_ms + host.turn_ms
        return reasons.ClaimReason.RELEASED if is_over else None
    quiet_ms = min(silent_ms, view.reachable_ms)
    if quiet_ms >= TAKEOVER_MS + host.turn_ms:
        return reasons.ClaimReason.OWNER_SILENT
    return None


def is_outdated(
    view: ClaimView, owner: job_replica.ObservedHeartbeat | None
) -> bool:
    """Whether a heartbeat has come since a view was taken."""
    return owner != view.owner

"""Decides when a host should claim a cell, on what it sees of the owner."""

from __future__ import annotations

import attrs
import xxhash

from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import reasons

# Three heartbeats. Shorter, and a slow append of the owner would cost it its
# cell; longer, and the work of a dead owner waits.
OWNER_TIMEOUT_MS = 1_500
# Hosts come forward one after the other, so that few claims collide.
MAX_CLAIM_DELAY_MS = 240
# Hosts of the zone of an owner that gave up as it reached few workers wait
# this much longer than others.
ISOLATED_ZONE_DELAY_MS = 2_000


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
    def claim_delay_ms(self) -> int:
        """How long it lets others go first."""
        spread = xxhash.xxh32_intdigest(self.name.encode()) % 100 / 100
        weakness = 1 / (1 + self.cpu_cores)
        return int(MAX_CLAIM_DELAY_MS * (0.5 * spread + 0.5 * weakness))


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
    if view.view_age_ms > OWNER_TIMEOUT_MS:
        return None
    observed = view.owner
    if observed is None:
        waited_ms = view.now_ms - view.started_ms
        if waited_ms >= host.claim_delay_ms:
            return reasons.ClaimReason.NO_OWNER
        return None
    heartbeat = observed.heartbeat
    silent_ms = view.now_ms - observed.seen_ms
    if heartbeat.host == host.name and heartbeat.boot != host.boot:
        return reasons.ClaimReason.RESTARTED
    if heartbeat.is_released:
        is_isolated_zone = heartbeat.is_isolated and heartbeat.zone == host.zone
        wait_ms = ISOLATED_ZONE_DELAY_MS if is_isolated_zone else 0
        is_due = silent_ms >= wait_ms + host.claim_delay_ms
        return reasons.ClaimReason.RELEASED if is_due else None
    quiet_ms = min(silent_ms, view.reachable_ms)
    if quiet_ms >= OWNER_TIMEOUT_MS + host.claim_delay_ms:
        return reasons.ClaimReason.OWNER_SILENT
    return None


def is_outdated(
    view: ClaimView, owner: job_replica.ObservedHeartbeat | None
) -> bool:
    """Whether a heartbeat has come since a view was taken."""
    return owner != view.owner

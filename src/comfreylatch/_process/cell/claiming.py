"""Decides from the owner's heartbeats when a host should claim a cell."""

from __future__ import annotations

import attrs
import xxhash

from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import reasons

# Three heartbeat intervals. With less, an owner would lose its cell to one slow
# append; with more, the work of a failed owner waits longer.
OWNER_TIMEOUT_MS = 1_500
# Longest delay of a claim. The delays of hosts differ, so that few claims
# collide.
MAX_CLAIM_DELAY_MS = 240
# Additional delay of hosts in the zone of an owner that released the cell as it
# could not reach most workers; a host of another zone should take over.
ISOLATED_ZONE_DELAY_MS = 2_000


@attrs.frozen
class HostIdentity:
    """Identifies this host and the incarnation of its process.

    Attributes:
        name: The host's name, which a restarted process keeps.
        boot: Identifies the incarnation of the process.
        zone: Availability zone.
        cpu_cores: Processors that the process may use; hosts with more claim
            first.
    """

    name: str
    boot: str
    zone: str
    cpu_cores: float

    @property
    def claim_delay_ms(self) -> int:
        """Delay before this host claims a cell, in milliseconds."""
        name_factor = xxhash.xxh32_intdigest(self.name.encode()) % 100 / 100
        delay_factor = 1 / (1 + self.cpu_cores)
        return int(
            MAX_CLAIM_DELAY_MS * (0.5 * name_factor + 0.5 * delay_factor)
        )


@attrs.frozen
class ClaimView:
    """Inputs of the decision to claim a cell.

    Attributes:
        now_ms: Monotonic time.
        view_age_ms: Time since the replica of the topic of jobs was current.
        reachable_ms: Time for which the store has answered all reads.
        last_heartbeat: Newest heartbeat of the owner; None before the first.
        started_ms: Monotonic time at which this host began to watch the cell.
    """

    now_ms: int
    view_age_ms: int
    reachable_ms: int
    last_heartbeat: job_replica.ObservedHeartbeat | None
    started_ms: int


def reason_to_claim(
    view: ClaimView, host: HostIdentity
) -> reasons.ClaimReason | None:
    """Returns why a host should claim a cell now; None if it should not."""
    if view.view_age_ms > OWNER_TIMEOUT_MS:
        return None
    observed = view.last_heartbeat
    if observed is None:
        waited_ms = view.now_ms - view.started_ms
        if waited_ms >= host.claim_delay_ms:
            return reasons.ClaimReason.NO_OWNER
        return None
    heartbeat = observed.heartbeat
    heartbeat_age_ms = view.now_ms - observed.seen_ms
    if heartbeat.host == host.name and heartbeat.boot != host.boot:
        return reasons.ClaimReason.RESTARTED
    if heartbeat.is_released:
        is_isolated_zone = heartbeat.is_isolated and heartbeat.zone == host.zone
        wait_ms = ISOLATED_ZONE_DELAY_MS if is_isolated_zone else 0
        is_due = heartbeat_age_ms >= wait_ms + host.claim_delay_ms
        return reasons.ClaimReason.RELEASED if is_due else None
    # Without answers from the store, no heartbeat could have been read.
    silent_ms = min(heartbeat_age_ms, view.reachable_ms)
    if silent_ms >= OWNER_TIMEOUT_MS + host.claim_delay_ms:
        return reasons.ClaimReason.OWNER_SILENT
    return None


def is_outdated(
    view: ClaimView, last_heartbeat: job_replica.ObservedHeartbeat | None
) -> bool:
    """Whether a heartbeat has arrived since a view was taken."""
    return last_heartbeat != view.last_heartbeat

"""Decides from the owner's heartbeats when a host should claim a cell."""

from __future__ import annotations

import attrs
import xxhash

from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import reasons
from comfreylatch._process.cell import records

# Three heartbeat intervals. With less, an owner would lose its cell to one slow
# append; with more, the work of a failed owner waits longer.
OWNER_TIMEOUT_MS = 1_500
# Longest delays of a claim by the host's name, so that few claims collide, by
# its processors and by the time for which its process has been up.
NAME_DELAY_MS = 45
CORES_DELAY_MS = 75
UPTIME_DELAY_MS = 180
MAX_CLAIM_DELAY_MS = NAME_DELAY_MS + CORES_DELAY_MS + UPTIME_DELAY_MS
# Time up at which a process has half of the delay by uptime.
HALF_DELAY_UPTIME_MS = 15_000
# Additional delay of hosts in the zone of an owner that released the cell as it
# could not reach most workers; a host of another zone should take over.
ISOLATED_ZONE_DELAY_MS = 2_000
# A host is weak beside one that has this many times its processors.
WEAK_RATIO = 2.0
# Additional delay of hosts that are weak beside the previous owner. The work of
# a cell may fill a strong host, and a weak one then falls behind.
WEAK_HOST_DELAY_MS = 500
# Hosts with fewer processors get that delay where there is no previous owner.
STRONG_HOST_CORES = 1.0
# How long a weak owner keeps its cell before a strong host replaces it.
WEAK_OWNER_MS = 1_500
# How long a host that gave up a cell, as it could not reach most workers, will
# replace no weak owner.
ISOLATED_HOST_PAUSE_MS = 10_000


@attrs.frozen
class HostIdentity:
    """Identifies this host and the incarnation of its process.

    Attributes:
        name: The host's name, which a restarted process keeps.
        boot: Identifies the incarnation of the process.
        zone: Availability zone.
        cpu_cores: Processors that the process may use; hosts with more claim
            first. 0 if unknown.
        caller_address: `IP:port` at which it answers callers.
    """

    name: str
    boot: str
    zone: str
    cpu_cores: float
    caller_address: str = ""

    @property
    def claim_delay_ms(self) -> int:
        """Delay before a process that just started claims a cell."""
        name_factor = xxhash.xxh32_intdigest(self.name.encode()) % 100 / 100
        cores_factor = 1 / (1 + self.cpu_cores)
        return int(NAME_DELAY_MS * name_factor + CORES_DELAY_MS * cores_factor)

    def delay_after_ms(
        self, owner: records.HeartbeatRecord | None, up_ms: int = 0
    ) -> int:
        """Delay before this host claims the cell of an owner that is gone.

        In a rolling restart, hosts that have been up for long stop next.

        Args:
            owner: The owner's last heartbeat; None if there was no owner.
            up_ms: Time for which this host's process has been up.
        """
        uptime_factor = up_ms / (up_ms + HALF_DELAY_UPTIME_MS)
        delay_ms = self.claim_delay_ms + int(UPTIME_DELAY_MS * uptime_factor)
        if owner is None:
            is_weak = self.cpu_cores < STRONG_HOST_CORES
        else:
            is_weak = is_weak_beside(self.cpu_cores, owner.cpu_cores)
        return delay_ms + (WEAK_HOST_DELAY_MS if is_weak else 0)


def is_weak_beside(cpu_cores: float, other_cpu_cores: float) -> bool:
    """Whether a host is weak beside another; False if either is unknown."""
    return cpu_cores > 0 and WEAK_RATIO * cpu_cores <= other_cpu_cores


@attrs.frozen
class ClaimView:
    """Inputs of the decision to claim a cell.

    Attributes:
        now_ms: Monotonic time.
        view_age_ms: Time since the replica of the topic of jobs was current.
        reachable_ms: Time for which the store has answered all reads.
        last_heartbeat: Newest heartbeat of the owner; None before the first.
        started_ms: Monotonic time at which this host began to watch the cell.
        isolated_ms: Monotonic time at which this host last gave up the cell, as
            it could not reach most workers; None if it never did.
        slow_ms: How much longer than usual an append to the store may take.
    """

    now_ms: int
    view_age_ms: int
    reachable_ms: int
    last_heartbeat: job_replica.ObservedHeartbeat | None
    started_ms: int
    isolated_ms: int | None = None
    slow_ms: int = 0

    @property
    def up_ms(self) -> int:
        """Time for which this host has watched the cell."""
        return self.now_ms - self.started_ms


def reason_to_claim(
    view: ClaimView, host: HostIdentity
) -> reasons.ClaimReason | None:
    """Returns why a host should claim a cell now; None if it should not."""
    if view.view_age_ms > OWNER_TIMEOUT_MS:
        return None
    observed = view.last_heartbeat
    if observed is None:
        if view.up_ms >= host.delay_after_ms(None, view.up_ms):
            return reasons.ClaimReason.NO_OWNER
        return None
    heartbeat = observed.heartbeat
    delay_ms = host.delay_after_ms(heartbeat, view.up_ms)
    heartbeat_age_ms = view.now_ms - observed.seen_ms
    if heartbeat.host == host.name and heartbeat.boot != host.boot:
        return reasons.ClaimReason.RESTARTED
    if heartbeat.is_released:
        is_isolated_zone = heartbeat.is_isolated and heartbeat.zone == host.zone
        wait_ms = ISOLATED_ZONE_DELAY_MS if is_isolated_zone else 0
        is_due = heartbeat_age_ms >= wait_ms + delay_ms
        return reasons.ClaimReason.RELEASED if is_due else None
    # Without answers from the store, no heartbeat could have been read.
    silent_ms = min(heartbeat_age_ms, view.reachable_ms)
    if silent_ms >= OWNER_TIMEOUT_MS + view.slow_ms + delay_ms:
        return reasons.ClaimReason.OWNER_SILENT
    if _should_replace(observed, view, host, delay_ms):
        return reasons.ClaimReason.OWNER_WEAK
    return None


def _should_replace(
    observed: job_replica.ObservedHeartbeat,
    view: ClaimView,
    host: HostIdentity,
    delay_ms: int,
) -> bool:
    """Whether a strong host should take the cell of a live but weak owner."""
    if not is_weak_beside(observed.heartbeat.cpu_cores, host.cpu_cores):
        return False
    if (
        view.isolated_ms is not None
        and view.now_ms - view.isolated_ms < ISOLATED_HOST_PAUSE_MS
    ):
        return False
    owned_ms = view.now_ms - observed.owner_since_ms
    return owned_ms >= WEAK_OWNER_MS + delay_ms


def is_outdated(
    view: ClaimView, last_heartbeat: job_replica.ObservedHeartbeat | None
) -> bool:
    """Whether a heartbeat has arrived since a view was taken."""
    return last_heartbeat != view.last_heartbeat

"""When the leases that previous owners of a cell renewed have ended.

A new owner asks the workers that it reaches what they run. On the others, the
runs of a previous owner end with the lease that was renewed last. An owner that
falls silent may have renewed all leases for AUTONOMY_MS after its last
heartbeat. One that releases the cell states how long the leases last, and has
renewed none on the workers that it has not reached. So a series of such owners
doesn't prolong the wait for a silent worker.
"""

from __future__ import annotations

from typing import final

import attrs

from comfreylatch._process.cell import fenced_writer
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import records
from comfreylatch._process.cell import worker_view

# Time that a worker takes to stop its runs, and drift of its clock since the
# reading from which the deadline of the lease was computed.
END_MARGIN_MS = 2 * worker_view.LEASE_END_MARGIN_MS


def longest_lease_ms(lease_ms: int) -> int:
    """Returns how long a lease lasts by the slowest clock of a worker."""
    return int(lease_ms / (1 - worker_view.MAX_CLOCK_DRIFT)) + END_MARGIN_MS


def longest_after_heartbeat_ms(lease_ms: int) -> int:
    """Returns how long leases may last after an owner's last heartbeat."""
    return fenced_writer.AUTONOMY_MS + longest_lease_ms(lease_ms)


@final
@attrs.frozen
class LeaseEnds:
    """Monotonic times by which the leases of previous owners have ended.

    Attributes:
        default_ms: For workers that are not listed below.
        older_ms: For workers that the last owner has not reached, by id.
    """

    default_ms: int
    older_ms: dict[str, int] = attrs.field(factory=dict)

    def end_ms(self, worker_id: str) -> int:
        """Returns the time by which the lease on a worker has ended."""
        return self.older_ms.get(worker_id, self.default_ms)

    def remaining(self, now_ms: int) -> records.RemainingLeases:
        """Returns what is left of them, to be stored."""
        return records.RemainingLeases(
            max(self.default_ms - now_ms, 0),
            {
                worker_id: max(end_ms - now_ms, 0)
                for worker_id, end_ms in self.older_ms.items()
            },
        )


def after_owner(
    observed: job_replica.ObservedHeartbeat | None,
    host_name: str,
    now_ms: int,
    lease_ms: int,
) -> LeaseEnds:
    """Returns when the leases after an owner end.

    Args:
        observed: The owner's last heartbeat; None if it may not have been read.
        host_name: Name of this host.
        now_ms: Monotonic time, not before this host's claim.
        lease_ms: Duration of a lease on a worker's clock.
    """
    longest_ms = longest_lease_ms(lease_ms)
    if observed is None:
        return LeaseEnds(now_ms + longest_after_heartbeat_ms(lease_ms))
    heartbeat = observed.heartbeat
    earlier_end_ms = _earlier_end_ms(observed, lease_ms)
    if heartbeat.is_released and heartbeat.leases is not None:
        seen_ms, leases = observed.seen_ms, heartbeat.leases
        return LeaseEnds(
            seen_ms + leases.default_ms,
            {
                worker_id: seen_ms + remaining_ms
                for worker_id, remaining_ms in leases.older_ms.items()
            },
        )
    if heartbeat.is_released or heartbeat.host == host_name:
        # An earlier version renews leases until its sessions are closed. The
        # process of an owner on this host has ended, as this is another one.
        return LeaseEnds(max(now_ms + longest_ms, earlier_end_ms))
    end_ms = observed.seen_ms + longest_after_heartbeat_ms(lease_ms)
    return LeaseEnds(max(end_ms, earlier_end_ms))


def _earlier_end_ms(
    observed: job_replica.ObservedHeartbeat, lease_ms: int
) -> int:
    """Returns when the leases of owners before an owner have ended."""
    earlier_leases_ms = observed.heartbeat.earlier_leases_ms
    if earlier_leases_ms:
        return observed.seen_ms + earlier_leases_ms
    # An earlier version states none. The owner before it had been replaced when
    # its first heartbeat was read.
    return observed.owner_since_ms + longest_after_heartbeat_ms(lease_ms)

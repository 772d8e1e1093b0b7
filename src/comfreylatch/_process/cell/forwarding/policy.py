"""Whether a host passes a caller's request on, and to which host.

The owner of the cell writes its heartbeat to the store, so it is the one host
that others know to reach it. A request is passed on once at most, and only
while enough of the caller's deadline is left for an answer.
"""

from __future__ import annotations

import attrs

from comfreylatch._process.cell import job_replica

# Least time that a forwarded request needs: a round trip between two zones, and
# a record at the owner while the store is slow.
MIN_FORWARD_MS = 300
# An owner that was last seen longer ago has probably been replaced by one that
# this host can't know.
MAX_OWNER_AGE_MS = 8_000


@attrs.frozen
class ForwardRequest:
    """What a host knows when it might pass a request on.

    Attributes:
        was_forwarded: Whether another host has passed the request on already.
        remaining_ms: Time left before the caller's deadline.
        host: Name of this host.
        owner: The owner's newest heartbeat that this host has read.
        now_ms: Monotonic time.
    """

    was_forwarded: bool
    remaining_ms: int
    host: str
    owner: job_replica.ObservedHeartbeat | None
    now_ms: int


def choose_address(request: ForwardRequest) -> str | None:
    """Returns the address to pass a request on to; None to refuse it."""
    if request.was_forwarded or request.remaining_ms < MIN_FORWARD_MS:
        return None
    if request.owner is None:
        return None
    heartbeat = request.owner.heartbeat
    if heartbeat.host == request.host or heartbeat.is_released:
        return None
    if request.now_ms - request.owner.seen_ms > MAX_OWNER_AGE_MS:
        return None
    return heartbeat.caller_address or None

"""Decides when a snapshot of a stream is due, and which seat publishes it."""

from __future__ import annotations

from collections.abc import Sequence
import enum

import attrs

DEFAULT_MAX_DISTANCE_OFFSETS = 20_000
DEFAULT_MAX_AGE_MS = 600_000
DEFAULT_TURN_MS = 10_000


class DueReason(enum.StrEnum):
    """Why a snapshot is due."""

    MISSING = "missing"
    EXPIRING = "expiring"
    DISTANCE = "distance"
    AGE = "age"


@attrs.frozen
class SnapshotPolicy:
    """When snapshots are published.

    Attributes:
        max_distance_offsets: Distance from the last snapshot at which the
            next one is due.
        max_age_ms: Age of the last snapshot at which the next one is due;
            keeps the snapshot of an idle stream from expiring.
        turn_ms: How long one seat has to publish a due snapshot before the
            next seat may.
    """

    max_distance_offsets: int = DEFAULT_MAX_DISTANCE_OFFSETS
    max_age_ms: int = DEFAULT_MAX_AGE_MS
    turn_ms: int = DEFAULT_TURN_MS


@attrs.frozen
class SnapshotPosition:
    """Positions of the stream and of its last snapshot.

    Attributes:
        offset: Last offset of the stream folded here; -1 for none.
        first_offset: Lowest offset of the stream the log still keeps.
        snapshot_offset: Offset of the last complete snapshot the log still
            keeps; -1 for none.
        snapshot_age_ms: Time since that snapshot was seen first.
    """

    offset: int
    first_offset: int
    snapshot_offset: int
    snapshot_age_ms: int


def due_reason(
    position: SnapshotPosition, policy: SnapshotPolicy
) -> DueReason | None:
    """Why a snapshot is due now; None if none is.

    Whatever the log's retention time is, the last snapshot has to lie in the
    newer half of the offsets it keeps, so that the records after the snapshot
    don't expire soon.
    """
    if position.offset < 0 or position.snapshot_offset >= position.offset:
        if (
            position.offset >= 0
            and position.snapshot_age_ms >= policy.max_age_ms
        ):
            return DueReason.AGE
        return None
    distance = position.offset - position.snapshot_offset
    if distance >= policy.max_distance_offsets:
        return DueReason.DISTANCE
    if position.first_offset > 0:
        if position.snapshot_offset < 0:
            return DueReason.MISSING
        midpoint = (position.first_offset + position.offset) // 2
        if position.snapshot_offset < midpoint:
            return DueReason.EXPIRING
    if position.snapshot_age_ms >= policy.max_age_ms:
        return DueReason.AGE
    return None


def turn_delay_ms(
    seat: str, seats: Sequence[str], snapshot_offset: int, turn_ms: int
) -> int:
    """How long a seat waits for the seats before it to publish.

    The order follows from the seats and the offset of the last snapshot, so
    that every host computes the same one and the first seat varies.
    """
    ordered_seats = sorted({*seats, seat})
    rank = (ordered_seats.index(seat) - snapshot_offset) % len(ordered_seats)
    return rank * turn_ms

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
        every_offsets: Distance from the last snapshot that makes one due.
        every_ms: Age of the last snapshot that makes one due; keeps a quiet
            stream's snapshot from expiring.
        turn_ms: How long each seat in turn is left to publish a due one.
    """

    max_distance_offsets: int = DEFAULT_MAX_DISTANCE_OFFSETS
    max_age_ms: int = DEFAULT_MAX_AGE_MS
    turn_ms: int = DEFAULT_TURN_MS


@attrs.frozen
class SnapshotPosition:
    """How the last snapshot lies to the stream.

    Attributes:
        offset: Last offset of the stream folded here; -1 for none.
        first_offset: Lowest offset of the stream the log still keeps.
        snapshot_offset: Offset of the last whole snapshot the log still
            keeps; -1 for none.
        snapshot_age_ms: Time since it was seen first.
    """

    offset: int
    first_offset: int
    snapshot_offset: int
    snapshot_age_ms: int


def due(position: SnapshotPosition, policy: SnapshotPolicy) -> DueReason | None:
    """Why a snapshot is due now; None when none is.

    A snapshot must lie in the newer half of what the log keeps, however long
    that is, so that a tail to it is there for long.
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


def wait_ms(
    seat: str, seats: Sequence[str], snapshot_offset: int, turn_ms: int
) -> int:
    """How long a seat leaves a due snapshot to the seats before it.

    Every host gets the same order from the same seats and last snapshot; the
    first place passes on with each snapshot.
    """
    ordered_seats = sorted({*seats, seat})
    position = (ordered_seats.index(seat) - snapshot_offset) % len(
        ordered_seats
    )
    return position * turn_ms

"""Detects repeated records by their writers' sequence numbers."""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

import attrs

# A writer is dropped this many offsets after its last record. Its host has
# been replaced long before, and no append stays pending for that long.
WRITER_RETENTION_OFFSETS = 200_000
SWEEP_INTERVAL_OFFSETS = 4_096


@attrs.frozen
class WriterPosition:
    """The last folded record of a writer.

    Attributes:
        writer: Writer id.
        sequence: Its highest folded sequence number.
        offset: Offset of that record.
    """

    writer: str
    sequence: int
    offset: int


@final
class WriterTable:
    """Detects repeated records by writer and sequence number.

    Its content depends only on the records and their offsets, so it is equal
    on every host at the same offset.
    """

    def __init__(self, positions: Iterable[WriterPosition] = ()) -> None:
        self._positions = {position.writer: position for position in positions}

    def record(self, writer: str, sequence: int, offset: int) -> bool:
        """Records a sequence number; returns False if it was seen before."""
        known = self._positions.get(writer)
        if known is not None and sequence <= known.sequence:
            return False
        self._positions[writer] = WriterPosition(writer, sequence, offset)
        return True

    def sweep(self, offset: int) -> None:
        """Drops expired writers; must be called for every offset."""
        if offset % SWEEP_INTERVAL_OFFSETS:
            return
        oldest = offset - WRITER_RETENTION_OFFSETS
        self._positions = {
            writer: position
            for writer, position in self._positions.items()
            if position.offset >= oldest
        }

    def position(self, writer: str) -> WriterPosition | None:
        """Returns a writer's last record; None if the writer is unknown."""
        return self._positions.get(writer)

    def positions(self) -> tuple[WriterPosition, ...]:
        """Returns the positions of all known writers."""
        return tuple(self._positions.values())

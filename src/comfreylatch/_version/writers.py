"""Which records of which writers a stream's fold has seen."""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

import attrs

# A writer is forgotten when its last record lies this many offsets back. A
# host is replaced long before, and none waits so long with an open append.
WRITER_RETENTION_OFFSETS = 200_000
SWEEP_INTERVAL_OFFSETS = 4_096


@attrs.frozen
class WriterPosition:
    """The last record folded of one writer.

    Attributes:
        writer: Writer id.
        sequence: Its highest sequence folded.
        offset: Offset of that record.
    """

    writer: str
    sequence: int
    offset: int


@final
class WriterTable:
    """Tells records from repetitions, by writer and sequence.

    Its content depends on the records and their offsets alone, so that it is
    equal on every host at the same offset.
    """

    def __init__(self, positions: Iterable[WriterPosition] = ()) -> None:
        self._positions = {position.writer: position for position in positions}

    def record(self, writer: str, sequence: int, offset: int) -> bool:
        """Notes a record; False when it is a repetition."""
        known = self._positions.get(writer)
        if known is not None and sequence <= known.sequence:
            return False
        self._positions[writer] = WriterPosition(writer, sequence, offset)
        return True

    def sweep(self, offset: int) -> None:
        """To be called at each offset; forgets writers of long ago."""
        if offset % SWEEP_INTERVAL_OFFSETS:
            return
        oldest = offset - WRITER_RETENTION_OFFSETS
        self._positions = {
            writer: position
            for writer, position in self._positions.items()
            if position.offset >= oldest
        }

    def position(self, writer: str) -> WriterPosition | None:
        """The last record of a writer; None when it is not known."""
        return self._positions.get(writer)

    def positions(self) -> tuple[WriterPosition, ...]:
        """All writers known."""
        return tuple(self._positions.values())

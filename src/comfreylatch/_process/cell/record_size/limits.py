"""Limits of the store on the size of records and appends."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator

import attrs

from comfreylatch._ports import store as store_port

# Lengths and key of a record; keys have at most 255 bytes.
RECORD_OVERHEAD_BYTES = 260


@attrs.frozen
class StoreLimits:
    """Limits of the store.

    Attributes:
        record_bytes: Longest record, with its key.
        append_bytes: Longest append, with the lengths of its records.
    """

    record_bytes: int = 262_144
    append_bytes: int = 2_097_152

    @property
    def value_bytes(self) -> int:
        """Longest value of a record, whatever its key."""
        return self.record_bytes - RECORD_OVERHEAD_BYTES

    def divide(
        self, records: Iterable[store_port.NewRecord]
    ) -> Iterator[tuple[store_port.NewRecord, ...]]:
        """Yields records in their order, as many as one append may contain."""
        appended: list[store_port.NewRecord] = []
        size = 0
        for record in records:
            record_size = RECORD_OVERHEAD_BYTES + len(record.value or b"")
            if appended and size + record_size > self.append_bytes:
                yield tuple(appended)
                appended, size = [], 0
            appended.append(record)
            size += record_size
        if appended:
            yield tuple(appended)

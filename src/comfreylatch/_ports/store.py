"""Interface to the platform's record store.

A topic has partitions; a partition is an ordered list of records with
increasing offsets. Every record has a key. The newest record of each key is
retained indefinitely, while older ones expire. A record without a value is a
tombstone that deletes its key.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import attrs
import result


@attrs.frozen
class StoredRecord:
    """A record as read. `value` is None for a tombstone."""

    offset: int
    key: str
    value: bytes | None


@attrs.frozen
class NewRecord:
    """A record to write; without a value it is a tombstone."""

    key: str
    value: bytes | None


@attrs.frozen
class StoreBatch:
    """A batch of records, and the offset to read next.

    `end_offset` is the end of the partition at the time of the read.
    """

    records: tuple[StoredRecord, ...]
    next_offset: int
    end_offset: int


@attrs.frozen
class Producer:
    """Identifies one append of a fenced writer.

    Attributes:
        name: Name of the writer; only its highest epoch may append.
        epoch: The store refuses appends with an epoch lower than the highest
            it has seen.
        sequence: Number of the append within its epoch and partition; a
            repeated append gets the answer of the first.
    """

    name: str
    epoch: int
    sequence: int


@attrs.frozen
class StoreUnavailable:
    """The store did not accept the call; nothing was done."""

    detail: str


@attrs.frozen
class StoreAnswerLost:
    """No valid answer; the append may have succeeded or still succeed."""

    detail: str


@attrs.frozen
class EndOffsetMismatch:
    """The partition does not end at the offset the append requires."""

    end_offset: int


@attrs.frozen
class ProducerFenced:
    """A producer with the same name and a higher epoch has written."""

    detail: str


@attrs.frozen
class SequenceMismatch:
    """The producer's sequence is out of order; `sequence` is expected."""

    sequence: int


@attrs.frozen
class RecordsExpired:
    """Some requested records have expired; the newest per key remain."""

    first_offset: int


AppendError = (
    StoreUnavailable
    | StoreAnswerLost
    | EndOffsetMismatch
    | ProducerFenced
    | SequenceMismatch
)
ReadError = StoreUnavailable | RecordsExpired


class RecordStore(Protocol):
    """Access to the store."""

    def append(
        self,
        topic: str,
        partition: int,
        records: Sequence[NewRecord],
        *,
        at_offset: int | None = None,
        producer: Producer | None = None,
        timeout_ms: int,
    ) -> result.Result[int, AppendError]:
        """Appends all records or none; Ok holds the offset of the first.

        With `at_offset`, appends only if the partition ends there. Without
        records, only sets the producer's epoch.
        """
        ...

    def read(
        self, topic: str, partition: int, from_offset: int, wait_ms: int
    ) -> result.Result[StoreBatch, ReadError]:
        """Reads from an offset; waits up to `wait_ms` for a record."""
        ...

    def newest(
        self, topic: str, partition: int
    ) -> result.Result[StoreBatch, StoreUnavailable]:
        """Returns the newest record of each key and the next offset."""
        ...

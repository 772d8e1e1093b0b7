"""The platform's store of records, as the rest of the program sees it.

A topic has partitions; a partition is an ordered list of records with rising
offsets. Every record has a key, and the newest record of each key is kept for
good, while older ones expire. A record without a value drops its key.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import attrs
import result


@attrs.frozen
class StoredRecord:
    """A record as read. `value` is None where the key was dropped."""

    offset: int
    key: str
    value: bytes | None


@attrs.frozen
class NewRecord:
    """A record to be written; without a value it drops its key."""

    key: str
    value: bytes | None


@attrs.frozen
class StoreBatch:
    """Consecutive records, and the offset to read next.

    `end_offset` is the end of the partition at the time of the answer.
    """

    records: tuple[StoredRecord, ...]
    next_offset: int
    end_offset: int


@attrs.frozen
class Producer:
    """Identifies one append of a fenced writer.

    Attributes:
        name: Writers of one name exclude each other.
        epoch: The store refuses appends of lower epochs than one it has seen.
        sequence: Counts the appends of an epoch and partition; a repeat gets
            the first answer again.
    """

    name: str
    epoch: int
    sequence: int


@attrs.frozen
class StoreUnavailable:
    """The store did not take the call; nothing was done."""

    detail: str


@attrs.frozen
class StoreAnswerLost:
    """No answer came; the append may have happened or may yet happen."""

    detail: str


@attrs.frozen
class EndOffsetMismatch:
    """The partition does not end where the append demanded."""

    end_offset: int


@attrs.frozen
class ProducerFenced:
    """A producer of the same name and a higher epoch has written."""

    detail: str


@attrs.frozen
class SequenceMismatch:
    """The producer's sequence does not follow the last one; this one would."""

    sequence: int


@attrs.frozen
class RecordsExpired:
    """Some records asked for are gone; the newest of each key remain."""

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
        """Appends all records or none; Ok holds the first one's offset.

        With `at_offset`, only if the partition ends there. Without records, a
        producer's epoch is set and nothing else is done.
        """
        ...

    def read(
        self, topic: str, partition: int, from_offset: int, wait_ms: int
    ) -> result.Result[StoreBatch, ReadError]:
        """Reads from an offset on; waits up to `wait_ms` for a record."""
        ...

    def newest(
        self, topic: str, partition: int
    ) -> result.Result[StoreBatch, StoreUnavailable]:
        """The newest record of each key, and where to read on."""
        ...

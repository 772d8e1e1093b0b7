"""An in-memory record store with the faults of the platform's store."""

from __future__ import annotations

from collections.abc import Sequence
import threading
from typing import final

import attrs
import result

from comfreylatch._ports import store as store_port


@attrs.define
class _Partition:
    records: list[store_port.StoredRecord] = attrs.field(factory=list)
    first_offset: int = 0
    epochs: dict[str, int] = attrs.field(factory=dict)
    sequences: dict[str, int] = attrs.field(factory=dict)
    answers: dict[tuple[str, int, int], int] = attrs.field(factory=dict)


@final
class MemoryStore:
    """Implements `RecordStore`.

    Attributes:
        is_down: While set, calls fail without effect.
        lose_answers: Number of next appends that take effect but report a
            lost answer.
        timeouts_ms: Timeout of each append.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.lose_answers = 0
        self.appends = 0
        self.timeouts_ms: list[int] = []
        self._partitions: dict[tuple[str, int], _Partition] = {}
        self._changed = threading.Condition()

    def _partition(self, topic: str, partition: int) -> _Partition:
        return self._partitions.setdefault((topic, partition), _Partition())

    def append(
        self,
        topic: str,
        partition: int,
        records: Sequence[store_port.NewRecord],
        *,
        at_offset: int | None = None,
        producer: store_port.Producer | None = None,
        timeout_ms: int = 0,
    ) -> result.Result[int, store_port.AppendError]:
        """See `RecordStore.append`."""
        with self._changed:
            self.appends += 1
            self.timeouts_ms.append(timeout_ms)
            if self.is_down:
                return result.Err(store_port.StoreUnavailable("down"))
            stored = self._partition(topic, partition)
            end = len(stored.records)
            if at_offset is not None and at_offset != end:
                return result.Err(store_port.EndOffsetMismatch(end))
            if producer is not None:
                refused = _check_producer(stored, producer, bool(records))
                if refused is not None:
                    return refused
                repeat = stored.answers.get(
                    (producer.name, producer.epoch, producer.sequence)
                )
                if records and repeat is not None:
                    return result.Ok(repeat)
            for record in records:
                stored.records.append(
                    store_port.StoredRecord(
                        len(stored.records), record.key, record.value
                    )
                )
            if producer is not None and records:
                stored.sequences[producer.name] = producer.sequence
                stored.answers[
                    producer.name, producer.epoch, producer.sequence
                ] = end
            self._changed.notify_all()
            if self.lose_answers:
                self.lose_answers -= 1
                return result.Err(store_port.StoreAnswerLost("lost"))
            return result.Ok(end)

    def read(
        self, topic: str, partition: int, from_offset: int, wait_ms: int
    ) -> result.Result[store_port.StoreBatch, store_port.ReadError]:
        """See `RecordStore.read`."""
        with self._changed:
            stored = self._partition(topic, partition)
            self._changed.wait_for(
                lambda: len(stored.records) > from_offset or self.is_down,
                wait_ms / 1_000,
            )
            if self.is_down:
                return result.Err(store_port.StoreUnavailable("down"))
            if from_offset < stored.first_offset:
                return result.Err(
                    store_port.RecordsExpired(stored.first_offset)
                )
            end = len(stored.records)
            return result.Ok(
                store_port.StoreBatch(
                    tuple(stored.records[from_offset:]),
                    max(end, from_offset),
                    end,
                )
            )

    def newest(
        self, topic: str, partition: int
    ) -> result.Result[store_port.StoreBatch, store_port.StoreUnavailable]:
        """See `RecordStore.newest`."""
        with self._changed:
            if self.is_down:
                return result.Err(store_port.StoreUnavailable("down"))
            stored = self._partition(topic, partition)
            newest_by_key = {record.key: record for record in stored.records}
            retained = [
                record
                for record in newest_by_key.values()
                if record.value is not None
            ]
            retained.sort(key=lambda record: record.offset)
            end = len(stored.records)
            return result.Ok(store_port.StoreBatch(tuple(retained), end, end))

    def expire(self, topic: str, partition: int) -> None:
        """Expires all records for `read`; `newest` still returns them."""
        with self._changed:
            stored = self._partition(topic, partition)
            stored.first_offset = len(stored.records)
            self._changed.notify_all()

    def keys(self, topic: str, partition: int) -> list[str]:
        """Returns the keys of all records, in order of offset."""
        stored = self._partition(topic, partition)
        return [record.key for record in stored.records]


def _check_producer(
    stored: _Partition, producer: store_port.Producer, has_records: bool
) -> result.Err[store_port.AppendError] | None:
    """Checks the epoch and sequence; returns the error of a refused append."""
    epoch = stored.epochs.get(producer.name, 0)
    if producer.epoch < epoch:
        return result.Err(store_port.ProducerFenced(f"epoch {epoch}"))
    if producer.epoch > epoch:
        stored.epochs[producer.name] = producer.epoch
        stored.sequences.pop(producer.name, None)
    last = stored.sequences.get(producer.name)
    if not has_records or last is None or producer.sequence <= last:
        return None
    if producer.sequence != last + 1:
        return result.Err(store_port.SequenceMismatch(last + 1))
    return None

"""An in-memory record store with the faults of the platform's store."""

from __future__ import annotations

from collections.abc import Sequence
import threading
import time
from typing import final

import attrs
import result

from comfreylatch._ports import store as store_port

# An append is turned away when more work than this is waiting.
MAX_QUEUED_S = 2.0
# As on the platform, of a record and of an append.
RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152


@attrs.define
class _Partition:
    records: list[store_port.StoredRecord] = attrs.field(factory=list)
    first_offset: int = 0
    epochs: dict[str, int] = attrs.field(factory=dict)
    sequences: dict[str, int] = attrs.field(factory=dict)
    answers: dict[tuple[str, int, int], int] = attrs.field(factory=dict)
    busy_until_s: float = 0.0


@final
class MemoryStore:
    """Implements `RecordStore`.

    Attributes:
        is_down: While set, calls fail without effect.
        lose_answers: Number of next appends that take effect but report a
            lost answer.
        timeouts_ms: Timeout of each append.
        answer_ms: Duration of each call. A partition carries out its appends
            one at a time, also those that nobody waits for any more.
        backlog_ms: Time for which an append to a topic waits for those of
            others, by topic.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.lose_answers = 0
        self.appends = 0
        self.timeouts_ms: list[int] = []
        self.answer_ms = 0
        self.backlog_ms: dict[str, int] = {}
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
            wait_s = self._queue_append(topic, partition)

        def append() -> result.Result[int, store_port.AppendError]:
            return self._append_now(
                topic, partition, records, at_offset, producer
            )

        if wait_s > MAX_QUEUED_S:
            return result.Err(store_port.StoreUnavailable("queue is full"))
        if wait_s > timeout_ms / 1_000 > 0:
            threading.Timer(wait_s, append).start()
            time.sleep(timeout_ms / 1_000)
            return result.Err(store_port.StoreAnswerLost("timed out"))
        if wait_s > 0:
            time.sleep(wait_s)
        return append()

    def _queue_append(self, topic: str, partition: int) -> float:
        """Returns the seconds until an append is carried out."""
        if not self.answer_ms or self.is_down:
            return 0.0
        stored = self._partition(topic, partition)
        now_s = time.monotonic()
        free_s = now_s + self.backlog_ms.get(topic, 0) / 1_000
        done_s = max(stored.busy_until_s, free_s) + self.answer_ms / 1_000
        if done_s - now_s <= MAX_QUEUED_S:
            stored.busy_until_s = done_s
        return done_s - now_s

    def _append_now(
        self,
        topic: str,
        partition: int,
        records: Sequence[store_port.NewRecord],
        at_offset: int | None,
        producer: store_port.Producer | None,
    ) -> result.Result[int, store_port.AppendError]:
        with self._changed:
            if self.is_down:
                return result.Err(store_port.StoreUnavailable("down"))
            sizes = [_size(record) for record in records]
            if max(sizes, default=0) > RECORD_BYTES or sum(sizes) > (
                REQUEST_BYTES
            ):
                return result.Err(store_port.StoreUnavailable("too long"))
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
        answer = self._read_now(topic, partition, from_offset, wait_ms)
        time.sleep(self.answer_ms / 1_000)
        return answer

    def _read_now(
        self, topic: str, partition: int, from_offset: int, wait_ms: int
    ) -> result.Result[store_port.StoreBatch, store_port.ReadError]:
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
        answer = self._newest_now(topic, partition)
        time.sleep(self.answer_ms / 1_000)
        return answer

    def _newest_now(
        self, topic: str, partition: int
    ) -> result.Result[store_port.StoreBatch, store_port.StoreUnavailable]:
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


def _size(record: store_port.NewRecord) -> int:
    return 5 + len(record.key.encode()) + len(record.value or b"")


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

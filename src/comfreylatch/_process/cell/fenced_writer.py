"""Writes the owner's records to the store under its fencing token."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import threading
import time
import types
from typing import final
from typing import Self

import attrs
import logbook
import result

from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import store as store_port
from comfreylatch._process import logs
from comfreylatch._process.cell import append_timeout
from comfreylatch._process.cell import records
from comfreylatch._process.cell import round_trips as round_trips_module
from comfreylatch._process.cell.record_size import limits as limits_module

# A third of the time without a heartbeat after which another host takes over.
HEARTBEAT_INTERVAL_MS = 500
# The store answers in 4 ms, and in 240 ms on its slowest days. The first tries
# time out early, so that a lost answer doesn't delay the heartbeat for long.
APPEND_TIMEOUT = append_timeout.GrowingTimeout(first_ms=350, growth=1.3)
# How long the last append may take when the writer is closed.
CLOSE_TIMEOUT_MS = 1_600
RETRY_PAUSE_MS = 60
# Time since its last stored heartbeat was first sent after which the owner
# starts no runs and renews no leases. It exceeds most outages of the store. A
# new owner waits for it, from when it read that heartbeat, before it restarts
# runs on workers that it can't reach. Other records don't count, as nobody can
# tell when they were written.
AUTONOMY_MS = 4_500

_logger = logbook.Logger(__name__)


@attrs.define(eq=False)
class _PendingRecords:
    """Records and callbacks of the next batch, one append per topic."""

    jobs: dict[str, bytes | None] = attrs.field(factory=dict)
    work: dict[str, bytes | None] = attrs.field(factory=dict)
    on_stored: list[Callable[[], None]] = attrs.field(factory=list)

    @property
    def is_empty(self) -> bool:
        return not (self.jobs or self.work or self.on_stored)


@final
class FencedWriter:
    """A thread that appends the owner's records in batches.

    A context manager; leaving it waits, for a bounded time, until pending
    records are written. The thread appends nothing before `fence` has succeeded
    or `release` is called: appends share a sequence number per topic, so there
    must be one at a time.

    Args:
        store: The store to write to.
        cell: Number of the cell, which is the partition of both topics.
        heartbeat: The heartbeat, written at each interval. Its
            `earlier_leases_ms` holds until `note_earlier_leases` is called.
        on_fenced: Called once when the store has seen a higher fencing token.
        clock: Source of monotonic time.
        round_trips: Measures the appends, which get more time while the store
            is slow.
        limits: Limits of the store on records and appends.
    """

    def __init__(
        self,
        store: store_port.RecordStore,
        cell: int,
        heartbeat: records.HeartbeatRecord,
        on_fenced: Callable[[str], None],
        clock: clock_port.Clock,
        round_trips: round_trips_module.RoundTrips | None = None,
        limits: limits_module.StoreLimits | None = None,
    ) -> None:
        self._limits = limits or limits_module.StoreLimits()
        self._store = store
        self._cell = cell
        self._heartbeat = heartbeat
        self._on_fenced = on_fenced
        self._clock = clock
        self._round_trips = round_trips or round_trips_module.RoundTrips(clock)
        self._name = f"cell-{cell}"
        self._sequences = {records.JOBS_TOPIC: 0, records.WORK_TOPIC: 0}
        self._condition = threading.Condition()
        self._pending = _PendingRecords()
        self._earlier_leases_end_ms: int | None = None
        self._may_append = False
        self._is_closing = False
        self._is_fenced = False
        self._has_stopped_acting = False
        self._is_heartbeat_requested = False
        self._confirmed_ms = 0
        self._appended_ms = clock.monotonic_ms()
        self._heartbeat_sent_ms = self._appended_ms
        self._last_heartbeat_ms = 0
        self._thread = threading.Thread(
            target=self._run, name=f"fenced-writer-{cell}", daemon=True
        )

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        with self._condition:
            self._is_closing = True
            self._condition.notify_all()
        self._thread.join(CLOSE_TIMEOUT_MS / 1_000)

    def fence(self) -> int | None:
        """Fences both topics against lower tokens; writes the first heartbeat.

        A previous owner reads this heartbeat ahead of all jobs that follow it,
        so that it starts none of those.

        Returns:
            The offset of the heartbeat; None if another token is higher.
        """
        if self._append_until_known(records.WORK_TOPIC, ()) is None:
            return None
        first_heartbeat = store_port.NewRecord(
            records.HEARTBEAT_KEY, self._encode_heartbeat()
        )
        offset = self._append_until_known(
            records.JOBS_TOPIC, (first_heartbeat,)
        )
        if offset is not None:
            self._allow_appends()
        return offset

    def _allow_appends(self) -> None:
        """Lets the thread append: the cell is fenced, or is not taken over."""
        with self._condition:
            self._may_append = True
            self._condition.notify_all()

    def may_act(self) -> bool:
        """Whether the owner may start tasks and renew leases."""
        if self._is_fenced or self._is_closing or self._has_stopped_acting:
            return False
        age_ms = self._clock.monotonic_ms() - self._heartbeat_sent_ms
        return age_ms < AUTONOMY_MS

    def stop_acting(self) -> None:
        """Ends the owner's right to start tasks and renew leases for good."""
        self._has_stopped_acting = True

    @property
    def append_age_ms(self) -> int:
        """Time since the last successful append was sent."""
        return self._clock.monotonic_ms() - self._appended_ms

    @property
    def confirmed_ms(self) -> int:
        """Latest time by which no other owner can have acted.

        A new owner fences both topics before it acts, so an append that is
        accepted shows that none has done so. It may have been stored by its
        first try, whose outcome the store repeats, so that counts.
        """
        return self._confirmed_ms

    def request_heartbeat(self) -> None:
        """Has a heartbeat written at once, ahead of its interval."""
        with self._condition:
            self._is_heartbeat_requested = True
            self._condition.notify_all()

    def note_earlier_leases(self, end_ms: int) -> None:
        """Sets when the leases of owners before this one have ended."""
        self._earlier_leases_end_ms = end_ms

    def _encode_heartbeat(self) -> bytes:
        heartbeat = self._heartbeat
        end_ms = self._earlier_leases_end_ms
        if end_ms is not None:
            remaining_ms = max(end_ms - self._clock.monotonic_ms(), 0)
            heartbeat = attrs.evolve(heartbeat, earlier_leases_ms=remaining_ms)
        return records.encode(heartbeat)

    def release(self, last_heartbeat: records.HeartbeatRecord) -> None:
        """Queues the heartbeat that releases the cell, as the last record."""
        self.stop_acting()
        with self._condition:
            self._heartbeat = last_heartbeat
            self._last_heartbeat_ms = 0
            self._pending.on_stored.append(lambda: None)
            self._may_append = True
            self._is_closing = True
            self._condition.notify_all()

    def write(
        self,
        jobs: dict[str, bytes | None],
        work: dict[str, bytes | None],
        on_stored: Sequence[Callable[[], None]],
    ) -> None:
        """Queues records by key, and callbacks for when they are stored."""
        if not (jobs or work or on_stored):
            return
        with self._condition:
            _replace(self._pending.jobs, jobs)
            _replace(self._pending.work, work)
            self._pending.on_stored.extend(on_stored)
            self._condition.notify_all()

    def _run(self) -> None:
        while True:
            with self._condition:
                self._condition.wait_for(self._may_start)
                self._condition.wait_for(
                    self._is_due, self._until_heartbeat_s()
                )
                pending, self._pending = self._pending, _PendingRecords()
                is_last = self._is_closing
            if self._is_fenced or (is_last and pending.is_empty):
                return
            if not self._write_batch(pending) or is_last:
                return

    def _may_start(self) -> bool:
        return self._may_append or self._is_closing

    def _is_due(self) -> bool:
        return (
            self._is_closing
            or self._is_heartbeat_requested
            or not self._pending.is_empty
        )

    def _until_heartbeat_s(self) -> float:
        next_ms = self._last_heartbeat_ms + HEARTBEAT_INTERVAL_MS
        return max(next_ms - self._clock.monotonic_ms(), 0) / 1_000

    def _add_due_heartbeat(self, pending: _PendingRecords) -> None:
        now_ms = self._clock.monotonic_ms()
        with self._condition:
            is_requested = self._is_heartbeat_requested
            self._is_heartbeat_requested = False
        is_due = now_ms - self._last_heartbeat_ms >= HEARTBEAT_INTERVAL_MS
        if self._may_append and (is_requested or is_due):
            self._last_heartbeat_ms = now_ms
            pending.jobs[records.HEARTBEAT_KEY] = self._encode_heartbeat()

    def _write_batch(self, pending: _PendingRecords) -> bool:
        """Appends a batch and calls back.

        Returns:
            False if the outcome of an append stays unknown. Nothing may be
            appended then: a try of it that is carried out late would take the
            sequence number, and count as the next append.
        """
        self._add_due_heartbeat(pending)
        for topic, values in (
            (records.JOBS_TOPIC, pending.jobs),
            (records.WORK_TOPIC, pending.work),
        ):
            for new_records in self._limits.divide(
                store_port.NewRecord(key, value)
                for key, value in values.items()
            ):
                if self._append_until_known(topic, new_records) is None:
                    return False
        for callback in pending.on_stored:
            callback()
        return True

    def _append_until_known(
        self, topic: str, new_records: tuple[store_port.NewRecord, ...]
    ) -> int | None:
        """Appends, with the same sequence number, until the outcome is known.

        Returns:
            The offset of the first record; None if this writer is fenced or
            closed before the outcome is known.
        """
        producer = store_port.Producer(
            self._name, self._heartbeat.token, self._sequences[topic]
        )
        tries = 0
        first_sent_ms = self._clock.monotonic_ms()
        while not self._is_fenced:
            tries += 1
            sent_ms = self._clock.monotonic_ms()
            timeout_ms = APPEND_TIMEOUT.of_try(tries)
            match self._store.append(
                topic,
                self._cell,
                new_records,
                producer=producer,
                timeout_ms=max(timeout_ms, self._round_trips.slow_ms),
            ):
                case result.Ok(offset):
                    self._note_stored(
                        topic, new_records, first_sent_ms, sent_ms
                    )
                    return offset
                case result.Err(store_port.ProducerFenced(detail)):
                    self._note_fenced(detail)
                    return None
                case result.Err(store_port.SequenceMismatch(sequence)):
                    logs.event(
                        _logger,
                        "append-out-of-sequence",
                        topic=topic,
                        sequence=producer.sequence,
                        expected=sequence,
                        tries=tries,
                    )
                    if not self._may_renumber(tries):
                        self._note_fenced(f"sequence {sequence} expected")
                        return None
                    self._sequences[topic] = sequence
                    producer = attrs.evolve(producer, sequence=sequence)
                    continue
                case result.Err(error):
                    logs.debug(
                        _logger, "append-retried", topic=topic, error=error
                    )
            if self._is_closing and self.append_age_ms > CLOSE_TIMEOUT_MS:
                return None
            time.sleep(RETRY_PAUSE_MS / 1_000)
        return None

    def _may_renumber(self, tries: int) -> bool:
        """Whether an append may be tried under another number.

        A former try that is carried out late would take its number from a later
        append, which the store then counts as the repeat of it.
        """
        return tries == 1

    def _note_fenced(self, detail: str) -> None:
        self._is_fenced = True
        self._on_fenced(detail)

    def _note_stored(
        self,
        topic: str,
        new_records: tuple[store_port.NewRecord, ...],
        first_sent_ms: int,
        sent_ms: int,
    ) -> None:
        """Notes that an append was accepted, which its first try may have been.

        Args:
            topic: The topic.
            new_records: The appended records.
            first_sent_ms: Monotonic time of the first try.
            sent_ms: Monotonic time of the last try.
        """
        self._round_trips.add(self._clock.monotonic_ms() - sent_ms)
        self._appended_ms = max(sent_ms, self._appended_ms)
        self._confirmed_ms = max(first_sent_ms, self._confirmed_ms)
        if new_records:
            self._sequences[topic] += 1
        if _has_heartbeat(topic, new_records):
            self._heartbeat_sent_ms = first_sent_ms


def _replace(
    pending: dict[str, bytes | None], newer: dict[str, bytes | None]
) -> None:
    """Replaces pending records, in the order of the newer ones.

    A batch may take several appends, of which the last ones may be missing.
    """
    for key in newer:
        pending.pop(key, None)
    pending.update(newer)


def _has_heartbeat(
    topic: str, new_records: tuple[store_port.NewRecord, ...]
) -> bool:
    return topic == records.JOBS_TOPIC and any(
        record.key == records.HEARTBEAT_KEY for record in new_records
    )

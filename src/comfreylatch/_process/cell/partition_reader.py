"""Reads one partition of the store continuously."""

from __future__ import annotations

from collections.abc import Callable
import enum
import threading
import types
from typing import final
from typing import Self

import logbook
import result

from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import store as store_port
from comfreylatch._process import logs
from comfreylatch._process.cell import round_trips as round_trips_module

# How long a read waits for a record. It bounds the age of a view without
# changes, and is below half of the two seconds after which callers must not be
# answered from the view.
READ_WAIT_MS = 700
# First and longest pause after a failed read. During an outage the store fails
# calls at once, so retries without a pause would use up the call rate.
MIN_RETRY_PAUSE_MS = 50
MAX_RETRY_PAUSE_MS = 400

MAX_LOGGED_KEYS = 5

ApplyRecords = Callable[[tuple[store_port.StoredRecord, ...], bool], None]

_logger = logbook.Logger(__name__)


class CatchUp(enum.Enum):
    """How a view compares with what was stored when it was asked."""

    CURRENT = "current"
    BEHIND = "behind"
    NO_ANSWER = "no-answer"


@final
class PartitionReader:
    """A thread that reads a partition's newest records and all that follow.

    A context manager: entering starts the thread, leaving stops it.

    Args:
        store: The store.
        topic: Topic of the partition.
        partition: Number of the partition.
        apply: Called with records in rising order of offset. The flag tells
            whether they are complete: the newest record of each key.
        clock: Source of monotonic time.
        read_wait_ms: How long a read waits for a record.
        pause_ms: Pause between two reads, so that one read returns several
            records; may be changed at any time. `refresh` ends it early.

    Attributes:
        round_trips: Measures the reads that returned no records.
    """

    def __init__(
        self,
        store: store_port.RecordStore,
        topic: str,
        partition: int,
        apply: ApplyRecords,
        clock: clock_port.Clock,
        read_wait_ms: int = READ_WAIT_MS,
        pause_ms: int = 0,
    ) -> None:
        self._store = store
        self._topic = topic
        self._partition = partition
        self._apply = apply
        self._clock = clock
        self._read_wait_ms = read_wait_ms
        self.pause_ms = pause_ms
        self.round_trips = round_trips_module.RoundTrips(clock)
        self._next_offset = -1
        # Before the first read, the view is too old for any use.
        self._synced_ms = -(10**9)
        self._started_ms = clock.monotonic_ms()
        self._reachable_since_ms = self._started_ms
        self._is_reachable = True
        self._stopping = threading.Event()
        self._refresh_requested = threading.Event()
        self._is_paused = False
        self._is_at_end = False
        # Numbers of the last read sent, and of the last that reached the end.
        self._sent_reads = 0
        self._current_read = 0
        self._offset_changed = threading.Condition()
        self._thread = threading.Thread(
            target=self._run, name=f"reader-{topic}-{partition}", daemon=True
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
        self._stopping.set()
        self._refresh_requested.set()

    @property
    def age_ms(self) -> int:
        """Time since the applied records were known to be current."""
        return self._clock.monotonic_ms() - self._synced_ms

    @property
    def reachable_ms(self) -> int:
        """Time for which all reads have succeeded; 0 if the last one failed."""
        if not self._is_reachable:
            return 0
        return self._clock.monotonic_ms() - self._reachable_since_ms

    @property
    def next_offset(self) -> int:
        """Records below this offset are applied; -1 before the first read."""
        return self._next_offset

    def wait_for(self, offset: int, timeout_ms: int) -> bool:
        """Waits until the record at an offset is applied."""
        with self._offset_changed:
            return self._offset_changed.wait_for(
                lambda: self._next_offset > offset, timeout_ms / 1_000
            )

    def refresh(self, timeout_ms: int) -> None:
        """Makes the view current, or waits for `timeout_ms` at most.

        A read that waits for records keeps the view current; a pause between
        two reads is ended.
        """
        with self._offset_changed:
            if not self._is_paused:
                return
            next_read = self._sent_reads + 1
            self._refresh_requested.set()
            self._offset_changed.wait_for(
                lambda: self._current_read >= next_read, timeout_ms / 1_000
            )

    def catch_up(self, timeout_ms: int) -> CatchUp:
        """Makes the view include all that was stored before this call.

        One read of its own shows where the partition ends. The reads of the
        thread don't: their answers may have been under way for a while.

        Args:
            timeout_ms: How long to wait for records that are stored, but not
                applied yet.
        """
        applied_offset = self._next_offset
        if applied_offset < 0:
            return CatchUp.NO_ANSWER
        match self._store.read(self._topic, self._partition, applied_offset, 0):
            case result.Ok(batch) if batch.end_offset == applied_offset:
                return CatchUp.CURRENT
            case result.Ok(batch) if batch.end_offset > applied_offset:
                self._refresh_requested.set()
                if self.wait_for(batch.end_offset - 1, timeout_ms):
                    return CatchUp.CURRENT
                return CatchUp.BEHIND
            case result.Ok(_):
                # The store has lost records, so that all are read again.
                return CatchUp.BEHIND
            case result.Err(_):
                return CatchUp.NO_ANSWER

    def _run(self) -> None:
        retry_ms = MIN_RETRY_PAUSE_MS
        wait_ms = self._read_wait_ms
        while not self._stopping.is_set():
            if self._read_once(wait_ms):
                retry_ms = MIN_RETRY_PAUSE_MS
                # A refresh has to return at once, also without new records.
                wait_ms = 0 if self._pause() else self._read_wait_ms
                continue
            self._stopping.wait(retry_ms / 1_000)
            retry_ms = min(2 * retry_ms, MAX_RETRY_PAUSE_MS)

    def _pause(self) -> bool:
        """Pauses between two reads; returns whether a refresh ended it.

        A partition that isn't read to its end is read on without a pause. A
        refresh requested during a read that was sent before it ends the next
        pause.
        """
        if not self.pause_ms or not self._is_at_end:
            return False
        with self._offset_changed:
            self._is_paused = True
        is_refresh = self._refresh_requested.wait(self.pause_ms / 1_000)
        self._refresh_requested.clear()
        if not is_refresh:
            with self._offset_changed:
                self._is_paused = False
        return is_refresh

    def _read_once(self, wait_ms: int) -> bool:
        """Makes one read; returns whether the store answered."""
        with self._offset_changed:
            self._sent_reads += 1
        sent_ms = self._clock.monotonic_ms()
        is_complete = self._next_offset < 0
        if is_complete:
            answer = self._store.newest(self._topic, self._partition)
        else:
            answer = self._store.read(
                self._topic,
                self._partition,
                self._next_offset,
                wait_ms,
            )
        match answer:
            case result.Ok(batch):
                if not batch.records and not is_complete:
                    elapsed_ms = self._clock.monotonic_ms() - sent_ms
                    self.round_trips.add(elapsed_ms - wait_ms)
                self._apply_batch(batch, is_complete, sent_ms)
                return True
            case result.Err(store_port.RecordsExpired(first_offset)):
                logs.event(
                    _logger,
                    "records-expired",
                    topic=self._topic,
                    partition=self._partition,
                    next_offset=self._next_offset,
                    first_offset=first_offset,
                )
                self._next_offset = -1
                return True
            case result.Err(error):
                self._mark_unreachable(error.detail)
                return False

    def _apply_batch(
        self, batch: store_port.StoreBatch, is_complete: bool, sent_ms: int
    ) -> None:
        if not self._is_reachable:
            now_ms = self._clock.monotonic_ms()
            logs.event(
                _logger,
                "store-regained",
                topic=self._topic,
                partition=self._partition,
                away_ms=now_ms - max(self._synced_ms, self._started_ms),
            )
            self._is_reachable = True
            self._reachable_since_ms = now_ms
        if not is_complete and batch.end_offset < self._next_offset:
            # The store has lost records that it returned before; read all.
            self._next_offset = -1
            return
        if batch.records or is_complete:
            self._apply_records(batch.records, is_complete)
        self._is_at_end = batch.next_offset >= batch.end_offset
        with self._offset_changed:
            self._next_offset = batch.next_offset
            # A read without records has waited for new ones until it returned,
            # so the view was current when it returned.
            if not batch.records:
                self._synced_ms = self._clock.monotonic_ms()
            elif self._is_at_end:
                self._synced_ms = max(sent_ms, self._synced_ms)
            if self._is_at_end:
                self._current_read = self._sent_reads
            self._offset_changed.notify_all()

    def _apply_records(
        self, batch: tuple[store_port.StoredRecord, ...], is_complete: bool
    ) -> None:
        """Applies records; one that raises an error is logged and skipped."""
        try:
            self._apply(batch, is_complete)
            return
        except Exception:
            self._log_unapplied(batch)
        for record in batch:
            try:
                self._apply((record,), False)
            except Exception:
                self._log_unapplied((record,))

    def _log_unapplied(
        self, batch: tuple[store_port.StoredRecord, ...]
    ) -> None:
        logs.exception(
            _logger,
            "records-not-applied",
            topic=self._topic,
            partition=self._partition,
            keys=[record.key for record in batch[:MAX_LOGGED_KEYS]],
        )

    def _mark_unreachable(self, detail: str) -> None:
        if not self._is_reachable:
            return
        self._is_reachable = False
        logs.warning(
            _logger,
            "store-lost",
            topic=self._topic,
            partition=self._partition,
            detail=detail,
            next_offset=self._next_offset,
        )

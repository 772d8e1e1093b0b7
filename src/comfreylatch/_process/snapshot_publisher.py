"""Publishes snapshots of a stream before its records expire."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import threading
import types
from typing import final

import attrs
import logbook
import result

from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import log as log_port
from comfreylatch._process import follower as follower_module
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import snapshot_schedule
from comfreylatch._process import snapshot_stream
from comfreylatch._version import records
from comfreylatch._version import snapshots

CHECK_INTERVAL_MS = 5_000

_logger = logbook.Logger(__name__)


@attrs.frozen
class _PublishedSnapshot:
    """The latest complete snapshot seen on the log.

    Attributes:
        offset: Offset of the followed stream that it covers; -1 for none.
        last_chunk_offset: Offset of its last chunk on the snapshot stream.
        seen_ms: When it was seen first.
    """

    offset: int = -1
    last_chunk_offset: int = -1
    seen_ms: int = 0


@final
class SnapshotPublisher:
    """Publishes snapshots of a followed stream when one is due.

    Any host may publish; the order of the seats only saves appends. Two
    snapshots of one offset are equal, so that duplicates after a race or a
    lost answer are harmless.

    Args:
        log: The platform's log.
        follower: Follower of the stream.
        writer: Host id, the writer id of the records.
        seat: Seat of this host.
        seats: Returns the seats that follow the stream.
        metrics: Counts appends.
        clock: Monotonic time.
        policy: When snapshots are published.
    """

    def __init__(
        self,
        log: log_port.LogPort,
        follower: follower_module.StreamFollower,
        writer: str,
        seat: str,
        seats: Callable[[], Sequence[str]],
        metrics: metrics_module.Metrics,
        clock: clock_port.Clock,
        *,
        policy: snapshot_schedule.SnapshotPolicy | None = None,
    ) -> None:
        self._log = log
        self._follower = follower
        self._writer = writer
        self._seat = seat
        self._seats = seats
        self._metrics = metrics
        self._clock = clock
        self._policy = policy or snapshot_schedule.SnapshotPolicy()
        self._latest = _PublishedSnapshot(seen_ms=clock.monotonic_ms())
        self._next_read_offset = 0
        self._due_since_ms = -1
        self._sequence = 0
        self._closing = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"snapshot-{follower.stream}", daemon=True
        )

    def __enter__(self) -> SnapshotPublisher:
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._closing.set()
        self._thread.join()

    def step(self) -> bool:
        """Publishes a snapshot if one is due and it is this seat's turn.

        Returns:
            Whether a snapshot was published.
        """
        if not self._follower.ready or not self._read_published():
            return False
        now_ms = self._clock.monotonic_ms()
        reason = snapshot_schedule.due_reason(
            self._position(now_ms), self._policy
        )
        if reason is None:
            self._due_since_ms = -1
            return False
        if self._due_since_ms < 0:
            self._due_since_ms = now_ms
        delay_ms = snapshot_schedule.turn_delay_ms(
            self._seat, self._seats(), self._latest.offset, self._policy.turn_ms
        )
        if now_ms - self._due_since_ms < delay_ms:
            return False
        return self._publish(reason)

    def _position(self, now_ms: int) -> snapshot_schedule.SnapshotPosition:
        return snapshot_schedule.SnapshotPosition(
            offset=self._follower.offset(),
            first_offset=self._follower.first_offset,
            snapshot_offset=self._latest.offset,
            snapshot_age_ms=now_ms - self._latest.seen_ms,
        )

    def _read_published(self) -> bool:
        """Reads newly published snapshots; False while the log is down."""
        stream = self._follower.stream
        while True:
            answer = snapshot_stream.read(
                self._log, stream, self._next_read_offset
            )
            if answer.is_err():
                return False
            batch = answer.ok()
            if batch.first_offset > self._latest.last_chunk_offset >= 0:
                self._latest = _PublishedSnapshot(seen_ms=self._latest.seen_ms)
            self._record_complete(batch)
            self._next_read_offset = batch.next_offset
            if not batch.entries:
                return True

    def _record_complete(self, batch: log_port.LogBatch) -> None:
        """Records the latest snapshot whose last chunk is in the batch."""
        for entry in batch.entries:
            chunk = snapshot_stream.decode_chunk(entry)
            if chunk is None or chunk.index + 1 < chunk.count:
                continue
            if chunk.offset >= self._latest.offset:
                self._latest = _PublishedSnapshot(
                    chunk.offset, entry.offset, self._clock.monotonic_ms()
                )
                self._due_since_ms = -1

    def _publish(self, reason: snapshot_schedule.DueReason) -> bool:
        snapshot = self._follower.snapshot()
        chunks = snapshots.split(snapshot)
        payloads: list[bytes] = []
        for chunk in chunks:
            self._sequence += 1
            payloads.append(records.encode(self._writer, self._sequence, chunk))
        name = snapshot_stream.name_of(snapshot.stream)
        self._metrics.count(metrics_module.Counter.LOG_APPENDS, name)
        match self._log.append(name, payloads):
            case result.Ok(_):
                self._metrics.count(
                    metrics_module.Counter.LOG_RECORDS, name, len(payloads)
                )
                logs.event(
                    _logger,
                    "snapshot-published",
                    stream=snapshot.stream,
                    offset=snapshot.offset,
                    reason=reason,
                    chunks=len(payloads),
                )
                return True
            case result.Err(error):
                logs.warning(
                    _logger,
                    "snapshot-failed",
                    stream=snapshot.stream,
                    detail=error.detail,
                )
                return False

    def _run(self) -> None:
        while not self._closing.wait(CHECK_INTERVAL_MS / 1_000):
            try:
                self.step()
            except Exception:
                logs.exception(
                    _logger,
                    "snapshot-step-failed",
                    stream=self._follower.stream,
                )

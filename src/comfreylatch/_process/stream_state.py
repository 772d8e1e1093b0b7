"""The folded state of one stream, up to its offset."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import enum
import threading
from typing import final

import attrs
import logbook
import result

from comfreylatch._ports import log as log_port
from comfreylatch._ports import streams
from comfreylatch._process import catch_up as catch_up_module
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._version import records
from comfreylatch._version import snapshots
from comfreylatch._version import writers

# Recent entries kept so that a peer can catch up without a snapshot.
MAX_RECENT_ENTRIES = 512
MAX_RECENT_BYTES = 256 * 1_024

_logger = logbook.Logger(__name__)


class EntrySource(enum.StrEnum):
    """Where applied entries were read from."""

    LOG = "log"
    PEER = "peer"


@attrs.frozen
class Applied:
    """The result of one change of the fold.

    Attributes:
        stream: Name of the stream.
        source: Where the entries were read from.
        entries: The entries in order, with malformed and repeated ones; empty
            after a snapshot was restored.
        last_records: Last record folded of each writer in `entries`, or of
            all writers after a snapshot was restored.
    """

    stream: str
    source: EntrySource
    entries: tuple[log_port.LogEntry, ...]
    last_records: Mapping[str, writers.WriterPosition]


AfterApply = Callable[[Applied], None]


@final
class StreamState:
    """A fold with its writer table and its offset. Thread-safe.

    Entries are applied only if they continue exactly from the offset, and
    snapshots only if they are later, so that the offset never decreases.
    """

    def __init__(
        self,
        stream: str,
        fold: streams.RecordFold,
        metrics: metrics_module.Metrics,
        after_apply: AfterApply | None,
    ) -> None:
        self._stream = stream
        self._fold = fold
        self._metrics = metrics
        self._after_apply = after_apply
        self._changed = threading.Condition(threading.RLock())
        self._writers = writers.WriterTable()
        self._offset = -1
        self._recent: collections.deque[log_port.LogEntry] = collections.deque()
        self._recent_bytes = 0

    @property
    def offset(self) -> int:
        """Offset of the last entry applied; -1 for none. Doesn't lock."""
        return self._offset

    def digest(self) -> str:
        """Digest of the fold."""
        with self._changed:
            return self._fold.digest()

    def position(self) -> tuple[int, str]:
        """Offset and digest of one consistent state."""
        with self._changed:
            return self._offset, self._fold.digest()

    def wait_for(self, offset: int, timeout_ms: int) -> bool:
        """Waits until an offset is applied; False on timeout."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._offset >= offset, timeout_ms / 1_000
            )

    def snapshot(self) -> snapshots.StreamSnapshot:
        """The state after the current offset."""
        with self._changed:
            return snapshots.StreamSnapshot(
                stream=self._stream,
                offset=self._offset,
                digest=self._fold.digest(),
                writers=self._writers.positions(),
                fold=self._fold.snapshot(),
            )

    def catch_up_from(self, after_offset: int) -> catch_up_module.CatchUp:
        """State that advances a host from `after_offset` to this offset."""
        with self._changed:
            entries = tuple(
                entry for entry in self._recent if entry.offset > after_offset
            )
            encoded = b""
            if self._offset - after_offset > len(entries):
                encoded = snapshots.encode(self.snapshot())
                entries = ()
            return catch_up_module.CatchUp(
                encoded, entries, self._offset, self._fold.digest()
            )

    def apply(
        self, entries: Sequence[log_port.LogEntry], source: EntrySource
    ) -> bool:
        """Folds the entries above the offset.

        Returns:
            Whether there were any that continue exactly from the offset;
            otherwise nothing was applied.
        """
        with self._changed:
            new_entries = tuple(
                entry for entry in entries if entry.offset > self._offset
            )
            if not self._is_contiguous(new_entries):
                return False
            last_records: dict[str, writers.WriterPosition] = {}
            for entry in new_entries:
                self._apply_entry(entry, last_records)
            self._changed.notify_all()
        self._notify(Applied(self._stream, source, new_entries, last_records))
        return True

    def restore(
        self, snapshot: snapshots.StreamSnapshot, source: EntrySource
    ) -> bool:
        """Replaces the state by a snapshot; False if it is older or invalid."""
        with self._changed:
            if (
                snapshot.stream != self._stream
                or snapshot.offset <= self._offset
            ):
                return False
            if not self._restore_fold(snapshot):
                return False
            self._writers = writers.WriterTable(snapshot.writers)
            self._offset = snapshot.offset
            self._recent.clear()
            self._recent_bytes = 0
            self._changed.notify_all()
        last_records = {
            position.writer: position for position in snapshot.writers
        }
        self._notify(Applied(self._stream, source, (), last_records))
        return True

    def _restore_fold(self, snapshot: snapshots.StreamSnapshot) -> bool:
        before = self._fold.snapshot()
        try:
            self._fold.restore(snapshot.offset, snapshot.fold)
        except ValueError as error:
            self._report_bad_record(snapshot.offset, f"snapshot: {error}")
            return False
        if self._fold.digest() == snapshot.digest:
            return True
        self._fold.restore(self._offset, before)
        self._report_bad_record(snapshot.offset, "snapshot: the digest differs")
        return False

    def _is_contiguous(self, entries: Sequence[log_port.LogEntry]) -> bool:
        start = self._offset + 1
        expected = range(start, start + len(entries))
        offsets = [entry.offset for entry in entries]
        return bool(entries) and offsets == list(expected)

    def _apply_entry(
        self,
        entry: log_port.LogEntry,
        last_records: dict[str, writers.WriterPosition],
    ) -> None:
        match records.decode(entry.payload):
            case result.Ok((envelope, body)):
                self._apply_record(entry.offset, envelope, body, last_records)
            case result.Err(bad):
                self._report_bad_record(entry.offset, bad.detail)
        self._offset = entry.offset
        self._writers.sweep(entry.offset)
        self._retain(entry)

    def _apply_record(
        self,
        offset: int,
        envelope: records.Envelope,
        body: object,
        last_records: dict[str, writers.WriterPosition],
    ) -> None:
        writer = envelope.writer
        if not self._writers.record(writer, envelope.sequence, offset):
            return
        last_records[writer] = writers.WriterPosition(
            writer, envelope.sequence, offset
        )
        try:
            self._fold.apply(offset, envelope, body)
        except Exception:
            # Every host fails on it in the same way; the stream must continue.
            logs.exception(_logger, "fold-failed", offset=offset)
            self._report_bad_record(offset, f"fold of {envelope.kind} failed")

    def _retain(self, entry: log_port.LogEntry) -> None:
        self._recent.append(entry)
        self._recent_bytes += len(entry.payload)
        while (
            len(self._recent) > MAX_RECENT_ENTRIES
            or self._recent_bytes > MAX_RECENT_BYTES
        ):
            self._recent_bytes -= len(self._recent.popleft().payload)

    def _notify(self, applied: Applied) -> None:
        if self._after_apply is None:
            return
        try:
            self._after_apply(applied)
        except Exception:
            logs.exception(_logger, "after-apply-failed", stream=self._stream)

    def _report_bad_record(self, offset: int, detail: str) -> None:
        self._metrics.count(metrics_module.Counter.BAD_RECORDS, self._stream)
        logs.error(
            _logger,
            "bad-record",
            stream=self._stream,
            offset=offset,
            detail=detail,
        )

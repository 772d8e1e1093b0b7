"""An in-memory log with fault injection."""

from __future__ import annotations

import collections
from collections.abc import Sequence
import enum
import threading
import time
from typing import final

import result

from comfreylatch._ports import log as log_port


class AppendFault(enum.Enum):
    """Fault injected into one append."""

    NONE = enum.auto()
    DOWN = enum.auto()
    LOST_BEFORE_EFFECT = enum.auto()
    LOST_AFTER_EFFECT = enum.auto()
    LOST_AND_LATE = enum.auto()


@final
class FakeLog:
    """Implements `LogPort`. Thread-safe.

    Attributes:
        down: While set, every call fails with `LogUnavailable`.
        faults: Faults of the next appends, in order; later ones succeed.
        append_s: Duration of each append, in seconds of real time.
        appends: Number of appends that took effect, by stream.
    """

    def __init__(self) -> None:
        self.down = False
        self.faults: collections.deque[AppendFault] = collections.deque()
        self.append_s = 0.0
        self.appends: collections.Counter[str] = collections.Counter()
        self._late: list[tuple[str, tuple[bytes, ...]]] = []
        self._changed = threading.Condition()
        self._streams: dict[str, list[bytes]] = {}
        self._first: collections.Counter[str] = collections.Counter()

    def append(
        self, stream: str, payloads: Sequence[bytes]
    ) -> result.Result[int, log_port.AppendError]:
        """See `LogPort.append`."""
        if self.append_s:
            time.sleep(self.append_s)
        with self._changed:
            fault = self.faults.popleft() if self.faults else AppendFault.NONE
            if self.down or fault is AppendFault.DOWN:
                return result.Err(log_port.LogUnavailable("down"))
            if fault is AppendFault.LOST_BEFORE_EFFECT:
                return result.Err(log_port.LogAnswerLost("lost before"))
            if fault is AppendFault.LOST_AND_LATE:
                self._late.append((stream, tuple(payloads)))
                return result.Err(log_port.LogAnswerLost("late"))
            offset = self.put(stream, payloads)
            if fault is AppendFault.LOST_AFTER_EFFECT:
                return result.Err(log_port.LogAnswerLost("lost after"))
            return result.Ok(offset)

    def read(
        self, stream: str, offset: int, max_entries: int, wait_ms: int
    ) -> result.Result[log_port.LogBatch, log_port.ReadError]:
        """See `LogPort.read`."""
        with self._changed:
            if self.down:
                return result.Err(log_port.LogUnavailable("down"))
            stored = self._streams.setdefault(stream, [])
            if offset < self._first[stream]:
                return result.Err(log_port.LogExpired(self._first[stream]))
            self._changed.wait_for(
                lambda: len(stored) > offset or self.down, wait_ms / 1_000
            )
            if self.down:
                return result.Err(log_port.LogUnavailable("down"))
            batch = stored[offset : offset + max_entries]
            entries = tuple(
                log_port.LogEntry(offset + index, payload)
                for index, payload in enumerate(batch)
            )
            following = offset + len(batch) if batch else len(stored)
            return result.Ok(
                log_port.LogBatch(entries, self._first[stream], following)
            )

    def put(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Appends payloads without faults; returns the first one's offset."""
        with self._changed:
            stored = self._streams.setdefault(stream, [])
            stored.extend(payloads)
            self.appends[stream] += 1
            self._changed.notify_all()
            return len(stored) - len(payloads)

    def deliver_late(self) -> None:
        """Applies the appends that were lost with `LOST_AND_LATE`."""
        late, self._late = self._late, []
        for stream, payloads in late:
            self.put(stream, payloads)

    def expire_below(self, stream: str, offset: int) -> None:
        """Expires all records below an offset."""
        with self._changed:
            self._first[stream] = max(self._first[stream], offset)

    def payloads(self, stream: str) -> list[bytes]:
        """Returns every payload ever appended, including expired ones."""
        with self._changed:
            return list(self._streams.get(stream, []))

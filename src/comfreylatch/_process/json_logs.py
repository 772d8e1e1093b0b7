"""Structured JSON logs on standard output that never block the program.

Each event is one line of JSON. Lines go through a bounded queue to a writer
thread. When the queue is full, lines are dropped and counted by event, and the
counts are logged as `lines-dropped` with the next lines. Frequent events are
rate-limited: lines above the limit are counted by event as `lines-folded`.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator
import os
import threading
import time
from typing import Any
from typing import Final
from typing import final
from typing import Self

import logbook
import msgspec

from comfreylatch._process import logs

# About one second of lines at peak load, in 1 MB of memory.
MAX_QUEUED_LINES = 4_096
# Interval between two writes, and thereby the longest delay of a line.
WRITE_INTERVAL_S = 0.1
# Longest wait for the last lines to be written on exit.
FLUSH_TIMEOUT_S = 0.5
# Limit for each of `RATE_LIMITED_EVENTS`; lines above it are only counted.
MAX_EVENT_LINES_PER_SECOND = 20
RATE_LIMITED_EVENTS: Final = frozenset(
    {
        "append-retried",
        "bad-record",
        "bad-worker-entry",
        "pace",
        "start-refused",
        "stray-stopped",
        "worker-added",
        "worker-answers",
    }
)
# The platform keeps no more of a single write.
MAX_WRITE_BYTES = 8_192


@final
class JsonLogOutput(logbook.Handler):
    """Writes the lines of every logger to a file descriptor.

    Use as a context manager; lines are written while it is entered.

    Args:
        level: One of logbook's level names, in lower case.
        descriptor: File descriptor of the output; standard output by default.
    """

    def __init__(self, level: str, descriptor: int = 1) -> None:
        super().__init__(level=logbook.lookup_level(level.upper()))
        self._descriptor = descriptor
        # Reentrant, as a signal handler may log while its thread is logging.
        self._lock = threading.RLock()
        self._lines: collections.deque[bytes] = collections.deque()
        self._dropped: collections.Counter[str] = collections.Counter()
        self._suppressed: collections.Counter[str] = collections.Counter()
        self._lines_this_second: collections.Counter[str] = (
            collections.Counter()
        )
        self._current_second = 0
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )

    def __enter__(self) -> Self:
        self.push_application()
        self._thread.start()
        return self

    def __exit__(self, *exception: object) -> None:
        self.pop_application()
        self._stopping.set()
        self._thread.join(FLUSH_TIMEOUT_S)

    def emit(self, record: logbook.LogRecord) -> None:
        """Queues a record's line without blocking."""
        message = record.msg
        if isinstance(message, logs.LogEvent):
            name, fields = message.name, message.fields
        else:
            name, fields = "message", {"text": record.message}
        if self._is_over_rate(name):
            return
        line = self._encode(record, name, fields)
        with self._lock:
            if len(self._lines) < MAX_QUEUED_LINES:
                self._lines.append(line)
            else:
                self._dropped[name] += 1

    def _is_over_rate(self, name: str) -> bool:
        if name not in RATE_LIMITED_EVENTS:
            return False
        second = int(time.monotonic())
        with self._lock:
            if second != self._current_second:
                self._current_second = second
                self._lines_this_second.clear()
            self._lines_this_second[name] += 1
            if self._lines_this_second[name] <= MAX_EVENT_LINES_PER_SECOND:
                return False
            self._suppressed[name] += 1
            return True

    def _encode(
        self, record: logbook.LogRecord, name: str, fields: dict[str, Any]
    ) -> bytes:
        line: dict[str, Any] = {
            "time": record.time.isoformat(timespec="milliseconds") + "Z",
            "level": record.level_name.lower(),
            "logger": record.channel,
            "event": name,
            **fields,
        }
        if record.exc_info:
            line["traceback"] = record.formatted_exception
        return msgspec.json.encode(line, enc_hook=str) + b"\n"

    def _run(self) -> None:
        while not self._stopping.wait(WRITE_INTERVAL_S):
            self._write_queued()
        self._write_queued()

    def _write_queued(self) -> None:
        with self._lock:
            lines = list(self._lines)
            self._lines.clear()
            counts = {"dropped": self._dropped, "folded": self._suppressed}
            self._dropped = collections.Counter()
            self._suppressed = collections.Counter()
        for kind, by_event in counts.items():
            if by_event:
                summary = {"event": f"lines-{kind}", "by_event": by_event}
                lines.append(msgspec.json.encode(summary) + b"\n")
        if not lines:
            return
        try:
            for chunk in _chunks(lines):
                _write_fully(self._descriptor, chunk)
        except OSError:
            # The reader closed the output, so the failure can't be logged.
            self._stopping.set()


def _chunks(lines: list[bytes]) -> Iterator[bytes]:
    """Joins lines to chunks that can each be written at once."""
    chunk = b""
    for line in lines:
        if chunk and len(chunk) + len(line) > MAX_WRITE_BYTES:
            yield chunk
            chunk = b""
        chunk += line
    yield chunk


def _write_fully(descriptor: int, content: bytes) -> None:
    view = memoryview(content)
    while view:
        view = view[os.write(descriptor, view) :]

"""The record of a case: what was sent, answered and run, with its times."""

from __future__ import annotations

import pathlib
import threading
import time
from typing import Any


class Record:
    """Writes events to `record.txt`. A context manager; thread-safe.

    Args:
        path: The file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._lock = threading.Lock()
        self._started_s = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def __enter__(self) -> Record:
        return self

    def __exit__(self, *_: object) -> None:
        with self._lock:
            self._file.close()

    def now_s(self) -> float:
        """Seconds since the case began, on the steady clock."""
        return time.monotonic() - self._started_s

    def note(self, event: str, **fields: Any) -> float:
        """Writes an event; returns its time."""
        with self._lock:
            at_s = self.now_s()
            if not self._file.closed:
                text = " ".join(
                    f"{key}={value}" for key, value in fields.items()
                )
                self._file.write(f"{at_s:8.3f} {event} {text}\n")
                self._file.flush()
            return at_s

"""Interface to the platform's append-only log.

A stream is an ordered list of payloads with increasing offsets. The platform
retains a payload for a limited time, so the first readable offset of a stream
increases. An append is atomic: all payloads of a call get consecutive offsets,
or none is appended.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import attrs
import result


@attrs.frozen
class LogEntry:
    """One payload of a stream, with its offset."""

    offset: int
    payload: bytes


@attrs.frozen
class LogBatch:
    """Consecutive entries of a stream.

    Attributes:
        entries: In increasing order of offset; empty if nothing new arrived.
        first_offset: Lowest offset that the platform still retains.
        next_offset: Offset to read next; the head of the stream if `entries`
            is empty.
    """

    entries: tuple[LogEntry, ...]
    first_offset: int
    next_offset: int


@attrs.frozen
class LogUnavailable:
    """The log did not accept the call; nothing was done."""

    detail: str


@attrs.frozen
class LogAnswerLost:
    """The call was sent but its answer was lost; it may have succeeded."""

    detail: str


@attrs.frozen
class LogExpired:
    """The requested offset is older than the first retained one."""

    first_offset: int


AppendError = LogUnavailable | LogAnswerLost
ReadError = LogUnavailable | LogExpired


class LogPort(Protocol):
    """Access to the platform's log."""

    def append(
        self, stream: str, payloads: Sequence[bytes]
    ) -> result.Result[int, AppendError]:
        """Appends payloads; Ok holds the offset of the first one."""
        ...

    def read(
        self, stream: str, offset: int, max_entries: int, wait_ms: int
    ) -> result.Result[LogBatch, ReadError]:
        """Reads from `offset` on, waiting up to `wait_ms` for a first entry."""
        ...

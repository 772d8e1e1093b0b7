"""The platform's append-only log, as the rest of the program sees it.

A stream is an ordered list of payloads with ever-growing offsets. The
platform keeps a payload for a limited time, so the first readable offset of a
stream rises. An append is atomic: all payloads of one call get consecutive
offsets, or none does.
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
        entries: In rising order of offset; empty when nothing new came.
        first_offset: The lowest offset the platform still keeps.
        next_offset: The offset to be read next; the head of the stream when
            `entries` is empty.
    """

    entries: tuple[LogEntry, ...]
    first_offset: int
    next_offset: int


@attrs.frozen
class LogUnavailable:
    """The log did not take the call; nothing happened."""

    detail: str


@attrs.frozen
class LogAnswerLost:
    """The call was sent but its answer was lost; it may have happened."""

    detail: str


@attrs.frozen
class LogExpired:
    """The offset asked for is older than what the platform keeps."""

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

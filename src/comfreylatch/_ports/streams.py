"""Writing to and following one stream of records."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any
from typing import Protocol

import attrs
import result

from comfreylatch._version import records


@attrs.frozen
class NotAccepted:
    """Nothing was written and nothing will be.

    Attributes:
        retry_after_ms: When to come back.
    """

    detail: str
    retry_after_ms: int


@attrs.frozen
class AppendUnknown:
    """The time was up before it was known whether the records are kept.

    The appender goes on until it knows; the fold tells the end of it.
    """

    detail: str


@attrs.frozen
class Appended:
    """The records are on the stream.

    Attributes:
        offset: Offset of the first record of the call. After a resend it
            may be that of a later copy; a fold that has passed it has folded
            the record.
    """

    offset: int


AppendRefusal = NotAccepted | AppendUnknown


class RecordAppender(Protocol):
    """Appends records to one stream, many callers' records in one append."""

    def append(
        self, bodies: Sequence[Any], timeout_ms: int
    ) -> result.Result[Appended, AppendRefusal]:
        """Appends bodies of registered classes, in order, and waits."""
        ...


class RecordFold(Protocol):
    """State built from one stream by a deterministic function."""

    def apply(self, offset: int, envelope: records.Envelope, body: Any) -> None:
        """Folds one record; never raises for a bad one, but counts it."""
        ...

    def snapshot(self) -> bytes:
        """The whole state in a form `restore` takes."""
        ...

    def restore(self, offset: int, snapshot: bytes) -> None:
        """Replaces the state by the snapshot taken after `offset`."""
        ...

    def digest(self) -> str:
        """Short hash of the state; equal on hosts with equal state."""
        ...

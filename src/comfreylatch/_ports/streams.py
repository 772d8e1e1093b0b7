"""Interfaces for appending to a stream of records and for folding it."""

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
        retry_after_ms: Time after which to retry.
    """

    detail: str
    retry_after_ms: int


@attrs.frozen
class AppendUnknown:
    """The call timed out before it was known whether the records are stored.

    The appender keeps trying until it knows; the fold shows the outcome.
    """

    detail: str


@attrs.frozen
class Appended:
    """The records are on the stream.

    Attributes:
        offset: Offset of the first record of the call. After a retry it may
            be that of a later copy; a fold past this offset has folded the
            record.
    """

    offset: int


AppendError = NotAccepted | AppendUnknown


class RecordAppender(Protocol):
    """Appends records to a stream, batching concurrent callers."""

    def append(
        self, bodies: Sequence[Any], timeout_ms: int
    ) -> result.Result[Appended, AppendError]:
        """Appends bodies of registered classes in order and waits."""
        ...


class RecordFold(Protocol):
    """State that a deterministic function builds from one stream."""

    def apply(self, offset: int, envelope: records.Envelope, body: Any) -> None:
        """Folds one record; counts an invalid one and never raises."""
        ...

    def snapshot(self) -> bytes:
        """Returns the complete state, encoded for `restore`."""
        ...

    def restore(self, offset: int, snapshot: bytes) -> None:
        """Replaces the state with the snapshot taken after `offset`."""
        ...

    def digest(self) -> str:
        """Returns a hash that is equal on hosts with equal state."""
        ...

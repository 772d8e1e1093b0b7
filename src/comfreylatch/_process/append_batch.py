"""Records on their way to the log, and what their callers are told."""

from __future__ import annotations

import threading

import attrs
import result

from comfreylatch._ports import streams

AppendOutcome = result.Result[streams.Appended, streams.AppendRefusal]


@attrs.define(eq=False)
class PendingAppend:
    """One caller's records on their way to the log."""

    payloads: tuple[bytes, ...]
    first_sequence: int
    done: threading.Event = attrs.field(factory=threading.Event)
    outcome: AppendOutcome | None = None

    def settle(self, outcome: AppendOutcome) -> None:
        """Sets the outcome, once."""
        if self.outcome is None:
            self.outcome = outcome
            self.done.set()


@attrs.define(eq=False)
class AppendBatch:
    """Records that go into one append, and what is known of it.

    Attributes:
        calls: Whose records they are, in order.
        payloads: All records, encoded.
        maybe_appended: Whether an answer to sending it was ever lost.
        settled: Whether the callers have been told.
    """

    appends: tuple[PendingAppend, ...]
    payloads: tuple[bytes, ...]
    maybe_appended: bool = False
    settled: bool = False

    @property
    def first_sequence(self) -> int:
        """Sequence of the first record."""
        return self.appends[0].first_sequence

    @property
    def last_sequence(self) -> int:
        """Sequence of the last record."""
        last = self.appends[-1]
        return last.first_sequence + len(last.payloads) - 1

    def settle_appended(self, first_offset: int) -> None:
        """Tells the callers that all records are on the stream."""
        offset = first_offset
        for pending in self.appends:
            pending.settle(result.Ok(streams.Appended(offset)))
            offset += len(pending.payloads)
        self.settled = True

    def settle_refused(self, refusal: streams.AppendRefusal) -> None:
        """Tells the callers why their records are not, or not known to be."""
        for pending in self.appends:
            pending.settle(result.Err(refusal))
        self.settled = True

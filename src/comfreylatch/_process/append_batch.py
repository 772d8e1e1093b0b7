"""Queued and sent appends to the log, with the outcome for each caller."""

from __future__ import annotations

import threading

import attrs
import result

from comfreylatch._ports import streams

AppendOutcome = result.Result[streams.Appended, streams.AppendError]


@attrs.define(eq=False)
class PendingAppend:
    """Records of one `append` call that wait for their outcome."""

    payloads: tuple[bytes, ...]
    first_sequence: int
    done: threading.Event = attrs.field(factory=threading.Event)
    outcome: AppendOutcome | None = None

    def settle(self, outcome: AppendOutcome) -> None:
        """Sets the outcome; later calls have no effect."""
        if self.outcome is None:
            self.outcome = outcome
            self.done.set()


@attrs.define(eq=False)
class AppendBatch:
    """Records of several callers that are sent to the log in one append.

    Attributes:
        appends: The callers' appends, in the order of their records.
        payloads: All records, encoded.
        maybe_appended: Whether the log may already hold the records, because
            an answer was lost or an unexpected error occurred.
        settled: Whether every caller's outcome is set.
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
        """Settles every append as appended, the first at `first_offset`."""
        offset = first_offset
        for pending in self.appends:
            pending.settle(result.Ok(streams.Appended(offset)))
            offset += len(pending.payloads)
        self.settled = True

    def settle_refused(self, refusal: streams.AppendError) -> None:
        """Settles every append with the same refusal."""
        for pending in self.appends:
            pending.settle(result.Err(refusal))
        self.settled = True

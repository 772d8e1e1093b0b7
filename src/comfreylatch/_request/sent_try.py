"""A try of a request that was sent, as the request's handler sees it."""

from __future__ import annotations

from collections.abc import Sequence
import select
import time

import attrs

from comfreylatch._connection import pending_answer


@attrs.frozen
class SentTry:
    """A try that was sent."""

    endpoint: str
    pending: pending_answer.PendingAnswer
    started_s: float

    @property
    def elapsed_ms(self) -> float:
        """Time since it was begun."""
        return (time.monotonic() - self.started_s) * 1_000


def first_readable(
    sent: Sequence[SentTry], timeout_ms: float
) -> SentTry | None:
    """The first try whose answer begins to arrive; None when none does."""
    poll = select.poll()
    by_descriptor = {one.pending.fileno(): one for one in sent}
    for descriptor in by_descriptor:
        poll.register(descriptor, select.POLLIN)
    ready = poll.poll(max(timeout_ms, 0))
    return by_descriptor[ready[0][0]] if ready else None

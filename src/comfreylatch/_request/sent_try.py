"""Tries that were sent, and waiting for the first answer among them."""

from __future__ import annotations

from collections.abc import Sequence
import select
import time

import attrs

from comfreylatch._connection import pending_answer


@attrs.frozen
class SentTry:
    """A try that was sent to an endpoint and awaits its answer.

    Attributes:
        endpoint: Name of the endpoint.
        pending: The answer that is awaited.
        started_s: `time.monotonic()` at the start of the try.
    """

    endpoint: str
    pending: pending_answer.PendingAnswer
    started_s: float

    @property
    def elapsed_ms(self) -> float:
        """Time since the start of the try."""
        return (time.monotonic() - self.started_s) * 1_000


def first_readable(
    tries: Sequence[SentTry], timeout_ms: float
) -> SentTry | None:
    """Returns a try whose answer has begun to arrive.

    Returns None if none has after `timeout_ms`.
    """
    poll = select.poll()
    try_by_descriptor = {sent.pending.fileno(): sent for sent in tries}
    for descriptor in try_by_descriptor:
        poll.register(descriptor, select.POLLIN)
    events = poll.poll(max(timeout_ms, 0))
    return try_by_descriptor[events[0][0]] if events else None

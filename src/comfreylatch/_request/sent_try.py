"""Tries that were sent, and waiting for the first answer among them."""

from __future__ import annotations

from collections.abc import Sequence
import select
import time

import attrs

from comfreylatch._connection import pending_answer


@attrs.frozen
class SentTry:
    """A try that was sent to an endpoint and awaits its answer."""

    endpoint: str
    pending: pending_answer.PendingAnswer
    started_s: float

    @property
    def elapsed_ms(self) -> float:
        """Time since the try was started."""
        return (time.monotonic() - self.started_s) * 1_000


def first_readable(
    tries: Sequence[SentTry], timeout_ms: float
) -> SentTry | None:
    """Returns the first try whose answer begins to arrive, or None."""
    poll = select.poll()
    by_descriptor = {each.pending.fileno(): each for each in tries}
    for descriptor in by_descriptor:
        poll.register(descriptor, select.POLLIN)
    ready = poll.poll(max(timeout_ms, 0))
    return by_descriptor[ready[0][0]] if ready else None

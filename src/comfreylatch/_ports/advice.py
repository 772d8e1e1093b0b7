"""Interface to the service that tells which workers may run a step."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import attrs
import result


@attrs.frozen
class Advice:
    """The workers, of those asked about, that may run a step.

    Attributes:
        tickets: Ticket to send with a start order, by allowed worker.
        valid_ms: How long the tickets are valid; 0 if unknown.
    """

    tickets: dict[str, str]
    valid_ms: int = 0


@attrs.frozen
class AdviceUnavailable:
    """No advice is available now; the call may be retried later."""

    detail: str


class AdviceService(Protocol):
    """Access to the advice service, which applies the policy of the queue.

    It accepts one call per host at a time.
    """

    def advise(
        self, step: str, worker_ids: Sequence[str], timeout_ms: int
    ) -> result.Result[Advice, AdviceUnavailable]:
        """Returns which workers may run a step, `job.occurrence.step`."""
        ...

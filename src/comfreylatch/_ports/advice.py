"""A service that says which workers a queue's policy allows for a step."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import attrs
import result


@attrs.frozen
class Advice:
    """The workers, of those named, that may run a step.

    Attributes:
        tickets: By allowed worker, what a start there has to carry.
        valid_ms: For how long the tickets are good; 0 where it isn't said.
    """

    tickets: dict[str, str]
    valid_ms: int = 0


@attrs.frozen
class AdviceUnavailable:
    """No advice was to be had; asking again later may bring some."""

    detail: str


class AdviceService(Protocol):
    """Gives advice, one call at a time for each host."""

    def advise(
        self, step: str, worker_ids: Sequence[str], timeout_ms: int
    ) -> result.Result[Advice, AdviceUnavailable]:
        """Asks which of some workers may run a step, `job.occurrence.step`."""
        ...

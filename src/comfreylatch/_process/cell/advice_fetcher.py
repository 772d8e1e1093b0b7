"""Asks for advice beside the owner's thread."""

from __future__ import annotations

from collections.abc import Callable
import types
from typing import final
from typing import Self

from comfreylatch._ports import advice as advice_port
from comfreylatch._ports import clock as clock_port
from comfreylatch._process.cell import advice
from comfreylatch._process.cell import call_executor
from comfreylatch._process.cell import events

# The service takes its time for each worker named, and calls of a host take
# turns; thirty workers are decided on in well under a second.
CALL_TIMEOUT_MS = 2_500


@final
class AdviceFetcher:
    """Asks, one call at a time. A context manager.

    Args:
        adviser: The service.
        post: Told what came of each call.
        clock: For the times of calls.
    """

    def __init__(
        self,
        adviser: advice_port.Adviser,
        post: Callable[[events.Event], None],
        clock: clock_port.Clock,
    ) -> None:
        self._adviser = adviser
        self._post = post
        self._clock = clock
        self._desk = call_executor.CallExecutor("advice")

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._desk.__exit__(exc_type, exc, traceback)

    def fetch(self, request: advice.AdviceRequest) -> None:
        """Queues a call."""
        self._desk.submit(lambda: self._ask(request))

    def _ask(self, request: advice.AdviceRequest) -> None:
        sent_ms = self._clock.monotonic_ms()
        outcome = self._adviser.advise(
            request.step.name, tuple(request.workers), CALL_TIMEOUT_MS
        )
        self._post(
            events.AdviceReturned(
                request.step,
                request.workers,
                sent_ms,
                self._clock.monotonic_ms(),
                outcome,
            )
        )

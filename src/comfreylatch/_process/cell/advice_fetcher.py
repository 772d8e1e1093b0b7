"""Calls the advice service on a thread of its own."""

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

# The response time grows with the number of workers named in the call; for
# thirty it is well under a second. The service handles a host's calls one at a
# time.
CALL_TIMEOUT_MS = 2_500


@final
class AdviceFetcher:
    """Calls the advice service, one call at a time. A context manager.

    Args:
        advice_service: The advice service.
        post: Receives the outcome of each call as an event.
        clock: Measures the times of calls.
    """

    def __init__(
        self,
        advice_service: advice_port.AdviceService,
        post: Callable[[events.Event], None],
        clock: clock_port.Clock,
    ) -> None:
        self._advice_service = advice_service
        self._post = post
        self._clock = clock
        self._executor = call_executor.CallExecutor("advice")

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._executor.__exit__(exc_type, exc, traceback)

    def fetch(self, request: advice.AdviceRequest) -> None:
        """Queues a call; its outcome is posted as an event."""
        self._executor.submit(lambda: self._fetch(request))

    def _fetch(self, request: advice.AdviceRequest) -> None:
        sent_ms = self._clock.monotonic_ms()
        outcome = self._advice_service.advise(
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

"""Runs blocking calls off the owner's thread, one at a time."""

from __future__ import annotations

from collections.abc import Callable
import queue
import threading
import types
from typing import final
from typing import Self

Call = Callable[[], None]


@final
class CallExecutor:
    """A thread that runs calls in the order of submission. A context manager.

    The thread is started by the first call, as most owners submit none.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._queue: queue.SimpleQueue[Call | None] = queue.SimpleQueue()
        self._thread: threading.Thread | None = None

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._queue.put(None)

    def submit(self, call: Call) -> None:
        """Queues a call. Only the owner's thread may call this."""
        if self._thread is None:
            self._thread = threading.Thread(
                target=self._run, name=self._name, daemon=True
            )
            self._thread.start()
        self._queue.put(call)

    def _run(self) -> None:
        while True:
            call = self._queue.get()
            if call is None:
                return
            call()

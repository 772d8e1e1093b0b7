"""In-memory workers of a cell; their tasks end only when tests end them."""

from __future__ import annotations

import threading
import time
from typing import final

import attrs
import result

from comfreylatch._ports import cell_workers
from comfreylatch._ports import clock as clock_port


@attrs.frozen
class RecordedStart:
    """A start order that a worker executed."""

    worker_id: str
    task: str
    run: int
    token: int
    ticket: str = ""


def entry(
    worker_id: str,
    cpu_millicores: int = 8_000,
    rack: str = "r1-1",
    born_ms: int = 1,
) -> cell_workers.WorkerEntry:
    """Returns a worker entry with default values."""
    return cell_workers.WorkerEntry(
        worker_id,
        f"10.0.0.1:{9_000 + int(worker_id.strip('w') or 0)}",
        "skyproc",
        "bole",
        False,
        cell_workers.Resources(cpu_millicores, 64_000),
        ("a", rack),
        born_ms,
    )


@final
class FakeWorker:
    """Implements `WorkerOrders`; tasks run until a test ends them.

    Attributes:
        is_unreachable: While set, orders fail without being executed.
        starts: Every start order executed.
        deadlines_ms: Lease deadlines received.
        answer_delay_ms: How late answers to hold orders arrive.
    """

    def __init__(
        self, entry: cell_workers.WorkerEntry, clock: clock_port.Clock
    ) -> None:
        self.entry = entry
        self.is_unreachable = False
        self.starts: list[RecordedStart] = []
        self.deadlines_ms: list[int] = []
        self.answer_delay_ms = 0
        self._clock = clock
        self._changed = threading.Condition()
        self._boot_clock_ms = 0
        self._reset(entry.born_ms)

    def _reset(self, born_ms: int) -> None:
        self._born_ms = born_ms
        self._running: dict[str, int] = {}
        self._closed: dict[str, int] = {}
        self._ended: list[cell_workers.EndedRun] = []
        self._last_number = 0
        self._token = 0

    def restart(self, born_ms: int) -> None:
        """Starts again under the same id.

        The next incarnation knows nothing of the former one and counts anew. It
        carries out orders that were meant for the former one, which name the
        worker only by its id. A session with it needs an `entry` of its own.
        """
        with self._changed:
            self._boot_clock_ms = self._clock.monotonic_ms()
            self._reset(born_ms)

    def _clock_ms(self) -> int:
        return self._clock.monotonic_ms() - self._boot_clock_ms

    def _check_order(
        self, token: int
    ) -> result.Err[cell_workers.OrderError] | None:
        if self.is_unreachable:
            return result.Err(cell_workers.OrderUnanswered("unreachable"))
        if token < self._token:
            return result.Err(
                cell_workers.OrderRefused(cell_workers.Refusal.FENCED)
            )
        self._token = token
        return None

    def hold(
        self, order: cell_workers.HoldOrder, timeout_ms: int
    ) -> result.Result[cell_workers.HoldAnswer, cell_workers.OrderError]:
        """See `WorkerOrders.hold`."""
        del timeout_ms
        answer = self._hold(order)
        time.sleep(self.answer_delay_ms / 1_000)
        return answer

    def _hold(
        self, order: cell_workers.HoldOrder
    ) -> result.Result[cell_workers.HoldAnswer, cell_workers.OrderError]:
        with self._changed:
            refused = self._check_order(order.token)
            if refused:
                return refused
            if order.deadline_ms:
                self.deadlines_ms.append(order.deadline_ms)
            self._ended = [
                end
                for end in self._ended
                if end.number > order.acknowledged_end
            ]
            self._changed.wait_for(
                lambda: bool(self._ended), min(order.wait_ms, 50) / 1_000
            )
            if self._born_ms != self.entry.born_ms:
                return result.Err(
                    cell_workers.OrderRefused(
                        cell_workers.Refusal.OTHER_INCARNATION
                    )
                )
            return result.Ok(
                cell_workers.HoldAnswer(
                    self._clock_ms(),
                    tuple(
                        cell_workers.RunningTask(task, run, "", 50.0, 0)
                        for task, run in self._running.items()
                    ),
                    tuple(self._ended[: cell_workers.MAX_LISTED_ENDS]),
                )
            )

    def start(
        self, order: cell_workers.StartOrder, timeout_ms: int
    ) -> result.Result[int, cell_workers.OrderError]:
        """See `WorkerOrders.start`."""
        del timeout_ms
        with self._changed:
            refused = self._check_order(order.token)
            if refused:
                return refused
            if order.run <= self._closed.get(order.task, 0):
                return result.Err(
                    cell_workers.OrderRefused(cell_workers.Refusal.OLD_RUN)
                )
            if self._running.get(order.task) != order.run:
                self._running[order.task] = order.run
                self.starts.append(
                    RecordedStart(
                        self.entry.worker_id,
                        order.task,
                        order.run,
                        order.token,
                        order.ticket,
                    )
                )
            return result.Ok(self._clock_ms())

    def stop(
        self, order: cell_workers.StopOrder, timeout_ms: int
    ) -> result.Result[int, cell_workers.OrderError]:
        """See `WorkerOrders.stop`."""
        del timeout_ms
        with self._changed:
            refused = self._check_order(order.token)
            if refused:
                return refused
            if self._running.get(order.task) == order.run:
                self._end(order.task, cell_workers.RunEnd.STOPPED)
            self._closed[order.task] = order.run
            return result.Ok(self._clock_ms())

    def pace(
        self, order: cell_workers.PaceOrder, timeout_ms: int
    ) -> result.Result[int, cell_workers.OrderError]:
        """See `WorkerOrders.pace`."""
        del order, timeout_ms
        return result.Ok(self._clock_ms())

    def close(self) -> None:
        """See `WorkerOrders.close`."""

    def _end(self, task: str, how: cell_workers.RunEnd) -> None:
        run = self._running.pop(task)
        self._closed[task] = run
        self._last_number += 1
        self._ended.append(
            cell_workers.EndedRun(self._last_number, task, run, how, "")
        )
        self._changed.notify_all()

    def end_all(self, how: cell_workers.RunEnd) -> None:
        """Ends every running task."""
        with self._changed:
            for task in list(self._running):
                self._end(task, how)

    @property
    def unread_ends(self) -> list[cell_workers.EndedRun]:
        """Ends that no hold order has acknowledged."""
        with self._changed:
            return list(self._ended)

    @property
    def running(self) -> dict[str, int]:
        """Run number of each running task."""
        with self._changed:
            return dict(self._running)

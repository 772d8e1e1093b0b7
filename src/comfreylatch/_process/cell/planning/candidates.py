"""Candidate workers of a step's tasks, ordered by cost."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import heapq
from typing import final

from comfreylatch._process.cell import worker_view

# The cost of a worker for a task of the step; None if it can't take the task.
CostFunction = Callable[[worker_view.WorkerView], float | None]


@final
class Candidates:
    """Picks the cheapest worker for each of many similar tasks.

    Placing a task changes the cost of one worker only, so only the worker on
    top of the heap is recomputed. A cost that falls while its worker is
    deeper in the heap is noticed late. This matters little: costs fall only
    where a task of the step was placed, and that worker was the cheapest.
    """

    def __init__(
        self, workers: Iterable[worker_view.WorkerView], cost: CostFunction
    ) -> None:
        self._cost = cost
        self._heap: list[tuple[float, int, worker_view.WorkerView]] = []
        for index, worker in enumerate(workers):
            initial_cost = cost(worker)
            if initial_cost is not None:
                self._heap.append((initial_cost, index, worker))
        heapq.heapify(self._heap)

    def pick(
        self, avoided: Collection[str] = (), excluded: Collection[str] = ()
    ) -> worker_view.WorkerView | None:
        """Returns the cheapest worker now; None if no worker qualifies.

        Args:
            avoided: Ids of workers to pick only if there are no others.
            excluded: Ids of workers never to pick.
        """
        set_aside = []
        chosen = None
        while self._heap:
            stored_cost, index, worker = self._heap[0]
            current_cost = self._cost(worker)
            if current_cost is None:
                heapq.heappop(self._heap)
            elif current_cost > stored_cost:
                heapq.heapreplace(self._heap, (current_cost, index, worker))
            elif worker.worker_id in avoided or worker.worker_id in excluded:
                set_aside.append(heapq.heappop(self._heap))
            else:
                chosen = worker
                break
        for entry in set_aside:
            heapq.heappush(self._heap, entry)
            if chosen is None and entry[2].worker_id not in excluded:
                chosen = entry[2]
        return chosen

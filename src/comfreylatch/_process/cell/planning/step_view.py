"""What a placement pass would see of a step."""

from __future__ import annotations

import attrs

from comfreylatch._process.cell import worker_view


@attrs.frozen
class CostedWorker:
    """A worker that could take a task, and its cost."""

    worker: worker_view.WorkerView
    cost: float


@attrs.frozen
class StepView:
    """What a placement pass would see of a step.

    Attributes:
        candidates: Workers that could take a task, cheapest first.
        cleared: Workers that are closed to the step as cleared.
        rack: Rack on which the step runs faster; empty for any.
        waits_for_rack: Whether its first task would wait for that rack.
    """

    candidates: tuple[CostedWorker, ...]
    cleared: frozenset[str]
    rack: str
    waits_for_rack: bool

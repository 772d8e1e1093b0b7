"""The log line about the load of a cell."""

from __future__ import annotations

from collections.abc import Iterable

import logbook

from comfreylatch._process import logs
from comfreylatch._process.cell import job_table as job_table_module
from comfreylatch._process.cell import worker_view

_logger = logbook.Logger(__name__)


def log_load(
    token: int,
    workers: Iterable[worker_view.WorkerView],
    jobs: job_table_module.JobTable,
    pressures: dict[str, float],
    append_age_ms: int,
) -> None:
    """Logs the used and free capacity and the pending work of a cell.

    Args:
        token: The owner's fencing token.
        workers: All workers.
        jobs: All unfinished jobs.
        pressures: Interference coefficients of filling images.
        append_age_ms: Time since the last successful append was sent.
    """
    views = list(workers)
    answering = [view for view in views if view.is_answering]
    steps = jobs.ready_steps()
    logs.event(
        _logger,
        "cell",
        token=token,
        workers=len(views),
        answering=len(answering),
        cpu_millicores=sum(
            view.entry.capacity.cpu_millicores for view in answering
        ),
        free_millicores=sum(view.free_cpu for view in answering),
        lasting_millicores=sum(view.lasting_millicores for view in answering),
        lasting_workers=sum(view.lasting_millicores > 0 for view in answering),
        fill_millicores=sum(view.fill_millicores for view in answering),
        jobs=len(jobs),
        waiting_steps=len(steps),
        waiting_tasks=sum(len(step.pending_tasks) for step in steps),
        append_age_ms=append_age_ms,
        pressures=pressures,
    )

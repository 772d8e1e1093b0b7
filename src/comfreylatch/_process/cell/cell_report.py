"""The log line about the load of a cell."""

from __future__ import annotations

from collections.abc import Iterable

import logbook

from comfreylatch._process import logs
from comfreylatch._process.cell import job_table as job_table_module
from comfreylatch._process.cell import worker_view

MAX_LOGGED_WORKERS = 5

_logger = logbook.Logger(__name__)


def log_load(
    token: int,
    workers: Iterable[worker_view.WorkerView],
    jobs: job_table_module.JobTable,
    pressures: dict[str, float],
    append_age_ms: int,
    now_ms: int,
) -> None:
    """Logs the used and free capacity and the pending work of a cell.

    Args:
        token: The owner's fencing token.
        workers: All workers.
        jobs: All unfinished jobs.
        pressures: Interference coefficients of filling images.
        append_age_ms: Time since the last successful append was sent.
        now_ms: Monotonic time.
    """
    views = list(workers)
    answering = [view for view in views if view.is_answering]
    steps = jobs.ready_steps()
    lasting_waits_ms = [
        now_ms - task.waiting_since_ms
        for step in steps
        if step.spec.is_lasting
        for task in step.pending_tasks.values()
    ]
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
        waiting_lasting_tasks=len(lasting_waits_ms),
        longest_lasting_wait_ms=max(lasting_waits_ms, default=0),
        reserved_workers=sum(view.is_reserved for view in views),
        evacuated_workers=sum(view.is_evacuated for view in views),
        runs_in_evacuated=sum(
            len(view.runs) for view in views if view.is_evacuated
        ),
        cleared_workers=sum(now_ms < view.cleared_until_ms for view in views),
        append_age_ms=append_age_ms,
        pressures=pressures,
    )


def log_takeover_wait(
    token: int,
    unknown_workers: list[str],
    older_leases_ms: dict[str, int],
    jobs: job_table_module.JobTable,
) -> None:
    """Logs what a new owner still waits for before it starts older tasks.

    Args:
        token: The owner's fencing token.
        unknown_workers: Workers that may have runs of a previous owner.
        older_leases_ms: How much longer leases may last on workers that have
            not answered.
        jobs: All unfinished jobs.
    """
    held_back = [s for s in jobs.ready_steps() if s.may_have_unknown_runs]
    logs.event(
        _logger,
        "takeover-waits",
        token=token,
        unknown=len(unknown_workers),
        workers=unknown_workers[:MAX_LOGGED_WORKERS],
        steps=len(held_back),
        tasks=sum(len(step.pending_tasks) for step in held_back),
        older_leases_ms=max(older_leases_ms.values(), default=0),
    )

"""Schedules jobs of dependent steps on cells of workers, one owner per cell.

Terms of this package:

    cell: Workers and jobs that one host, the owner, schedules.
    task, run: A step consists of equal tasks. A run is one start of a task on a
        worker, with a run number that rises with each start.
    end: A worker's report that a run is over, and how; it is reported again
        until the owner has recorded and acknowledged it.
    hold: The call by which the owner renews a worker's lease and learns of its
        running tasks and ends. Without it, the worker stops its runs when
        the lease expires.
    incarnation: One process of a worker or host, from its start to its end.
    fencing token: Number of an ownership. Store and workers refuse an owner
        once they have seen a higher token.
    lasting task: Runs until its job is cancelled; may have a target for its
        tail latency.
    filling task: Uses processors that other tasks of its worker leave idle,
        and is slowed down to a pace if it disturbs lasting tasks.
    cleared worker: Takes no lasting tasks for a while, except overdue ones, so
        that filling tasks that would disturb them can run there.
    advice: Decision of a service on which workers may run a step; it gives a
        ticket for each worker that is allowed.
    suspected task: One that may have crashed its worker. Its next run is a
        trial: it is recorded first and, where possible, alone on its worker.
    prime run: One of the runs that most likely crashed their worker, as they
        had been started last.
    reserved worker: Takes only trials, and is emptied for them.
    wave: Maintenance of a set of machines that operators have requested.
"""

from __future__ import annotations

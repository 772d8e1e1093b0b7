"""Batch jobs: zone ownership, scheduling and the zone's workers.

Terms of this package:

    stream: Durable, ordered log of a zone's records, with an offset each.
    fold: State of the zone's jobs and claims, computed from the stream. Each
        host has a copy; a record is folded once that copy includes it.
    owner, claim, term: The owner is the one host that schedules the zone's
        jobs. It claims the zone by a record, which starts a new, higher term.
    fence: A worker that has answered a term refuses all lower ones.
    exchange: A call to a worker; it can renew the lease and carry commands, and
        returns a report. It quotes the number of the report that it is based
        on, so that the worker can refuse commands that arrive too late.
    lease: Time for which a worker may run its tasks without another exchange.
    attempt: One assignment of a job to a worker, as the stream records it; the
        worker calls it a task.
    round: One pass over the queued jobs, which assigns those that fit.
    size: Resources that are reserved for an attempt.
    share: Of a team, the used part of its quota; of an attempt, the part of its
        processors to which it is throttled.
    eviction: A stop of an attempt, usually after a checkpoint, that makes room
        for another job or relieves a service; its job is queued again.
    parked job: Failed too often; it waits for an operator.
    progress, checkpoint: In milliseconds of work done, as run time without
        interference.
"""

from __future__ import annotations

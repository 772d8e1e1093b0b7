"""State of a cell that a new owner recovers from the store."""

from __future__ import annotations

import attrs

from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import records


@attrs.frozen
class RecoveredState:
    """State that a new owner starts from.

    Attributes:
        token: Fencing token of the new owner.
        jobs: Unfinished jobs in this host's replica.
        progress: Recorded progress by job.
        release_after_ms: Monotonic time after which no run of the previous
            owner can remain on a worker that the new owner can't reach.
        known_workers: Incarnations of the previous owner's workers, by worker
            id.
        learned: Models that the previous owner learned.
        waves: Maintenance waves that the previous owner recorded, by number.
    """

    token: int
    jobs: tuple[job_replica.JobEntry, ...]
    progress: dict[str, records.ProgressRecord]
    release_after_ms: int
    known_workers: dict[str, int]
    learned: records.LearnedRecord = records.LearnedRecord()
    waves: dict[int, records.WaveRecord] = attrs.field(factory=dict)

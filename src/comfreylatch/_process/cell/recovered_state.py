"""What a new owner of a cell recovers from the store."""

from __future__ import annotations

import attrs

from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import records


@attrs.frozen
class RecoveredState:
    """State that a new owner starts from.

    Attributes:
        token: Its fencing token.
        jobs: Unfinished jobs as the replica has them.
        progress: Recorded progress by job.
        release_after_ms: Monotonic time after which no run of the previous
            owner can remain on a worker that this one can't reach.
        known_workers: Incarnations of the previous owner's workers, by id.
        learned: Models that the previous owner has learned.
        waves: Waves of maintenance that it has recorded, by number.
    """

    token: int
    jobs: tuple[job_replica.JobEntry, ...]
    progress: dict[str, records.ProgressRecord]
    release_after_ms: int
    known_workers: dict[str, int]
    learned: records.LearnedRecord = records.LearnedRecord()
    waves: dict[int, records.WaveRecord] = attrs.field(factory=dict)

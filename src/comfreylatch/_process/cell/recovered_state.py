"""What a new owner of a cell takes over."""

from __future__ import annotations

import attrs

from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import records


@attrs.frozen
class RecoveredState:
    """What a new owner takes over.

    Attributes:
        token: Its fencing token.
        jobs: Unfinished jobs as the book has them.
        progress: Recorded progress by job.
        release_after_ms: Monotonic time after which nothing that the owner
            before started can run where this one reaches no worker.
        known_workers: Birth times of the workers of the owner before.
        learned: What it has learned.
        waves: Waves of maintenance that it has seen, by number.
    """

    token: int
    jobs: tuple[job_replica.JobEntry, ...]
    progress: dict[str, records.ProgressRecord]
    release_after_ms: int
    known_workers: dict[str, int]
    learned: records.LearnedRecord = records.LearnedRecord()
    waves: dict[int, records.WaveRecord] = attrs.field(factory=dict)

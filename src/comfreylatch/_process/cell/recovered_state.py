"""What a new owner of a cell recovers from the store."""

from __future__ import annotations

import attrs

from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import records


@attrs.frozen
class KnownWorker:
    """A worker that may have runs of a previous owner.

    Attributes:
        born_ms: Its incarnation.
        release_after_ms: Monotonic time after which no such run can remain if
            the worker can't be reached.
        address: Its address; empty if it isn't known.
    """

    born_ms: int
    release_after_ms: int
    address: str = ""


@attrs.frozen
class RecoveredState:
    """State that a new owner starts from.

    Attributes:
        token: Its fencing token.
        jobs: Unfinished jobs as the replica has them.
        progress: Recorded progress by job.
        known_workers: Workers that may have runs of a previous owner, by id.
        learned: Models that the previous owner has learned.
        waves: Waves of maintenance that it has recorded, by number.
    """

    token: int
    jobs: tuple[job_replica.JobEntry, ...]
    progress: dict[str, records.ProgressRecord]
    known_workers: dict[str, KnownWorker]
    learned: records.LearnedRecord = records.LearnedRecord()
    waves: dict[int, records.WaveRecord] = attrs.field(factory=dict)

    @property
    def leases_end_ms(self) -> int:
        """Monotonic time by which all leases of previous owners have ended."""
        return max(
            (known.release_after_ms for known in self.known_workers.values()),
            default=0,
        )

    def remaining_leases(self, now_ms: int) -> records.RemainingLeases:
        """How long leases last if this host has renewed none of them."""
        return records.RemainingLeases(
            max(self.leases_end_ms - now_ms, 0),
            {
                worker_id: max(known.release_after_ms - now_ms, 0)
                for worker_id, known in self.known_workers.items()
            },
        )

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
        former_leases_end_ms: Monotonic time by which leases have ended that
            calls to its former incarnations may have given it; 0 if there are
            none.
        next_release_after_ms: The same as `release_after_ms` for its next
            incarnation, which calls to this one may have reached.
    """

    born_ms: int
    release_after_ms: int
    address: str = ""
    former_leases_end_ms: int = 0
    next_release_after_ms: int = 0

    def release_of(self, born_ms: int) -> int:
        """Returns `release_after_ms` of an incarnation under its id."""
        if born_ms > self.born_ms:
            return max(self.release_after_ms, self.next_release_after_ms)
        return self.release_after_ms

    def former_leases_of(self, born_ms: int) -> int:
        """Returns `former_leases_end_ms` of an incarnation under its id."""
        if born_ms > self.born_ms:
            return self.next_release_after_ms
        return self.former_leases_end_ms


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
        progress_keys: Keys of the parts of progress that is divided, by job.
    """

    token: int
    jobs: tuple[job_replica.JobEntry, ...]
    progress: dict[str, records.ProgressRecord]
    known_workers: dict[str, KnownWorker]
    learned: records.LearnedRecord = records.LearnedRecord()
    waves: dict[int, records.WaveRecord] = attrs.field(factory=dict)
    progress_keys: dict[str, tuple[str, ...]] = attrs.field(factory=dict)

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

"""State of a job and of a claim, as folded from a zone's records."""

from __future__ import annotations

import enum

import attrs
import msgspec
import xxhash

from comfreylatch._ports import workers
from comfreylatch._version import job_records

_encoder = msgspec.json.Encoder()


class JobPhase(enum.StrEnum):
    """Phase of a job."""

    QUEUED = "queued"
    ASSIGNED = "assigned"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    PARKED = "parked"
    MOVED = "moved"


ENDED_PHASES = frozenset(
    {JobPhase.FINISHED, JobPhase.CANCELLED, JobPhase.MOVED}
)


@attrs.frozen
class JobState:
    """State of one job.

    Attributes:
        spec: The job as submitted.
        order: Offset of its admission; jobs queue in this order.
        phase: Current phase.
        cancelled: Whether a cancellation has been folded.
        attempt: Number of the last assigned attempt, 0 before the first.
        term: Term under which that attempt was assigned.
        worker: Worker of the last assigned attempt.
        reserved: Resources that the last attempt may use; None for the
            declared ones.
        checkpoint_ms: Progress from which the next attempt resumes.
        failures: Failed attempts not caused by the worker.
        failed_workers: Distinct workers on which those failed.
        evictions: Attempts ended by eviction.
        losses: Attempts lost with their worker or lease.
        changed_offset: Offset of the last record that changed it.
        detail: Why it is parked, or where it was moved.
    """

    spec: job_records.JobSpec
    order: int
    phase: JobPhase = JobPhase.QUEUED
    cancelled: bool = False
    attempt: int = 0
    term: int = 0
    worker: str = ""
    reserved: workers.Resources | None = None
    checkpoint_ms: int = 0
    failures: int = 0
    failed_workers: tuple[str, ...] = ()
    evictions: int = 0
    losses: int = 0
    changed_offset: int = -1
    detail: str = ""

    @property
    def size(self) -> workers.Resources:
        """Resources reserved for its attempt, else the declared ones."""
        return self.reserved or self.spec.resources

    @property
    def ended(self) -> bool:
        """Whether the job has ended in this zone."""
        return self.phase in ENDED_PHASES


@attrs.frozen
class Claim:
    """One claim on the zone's workers.

    Attributes:
        offset: Offset of the claim.
        touched_offset: Offset of its last renewal or release.
        released: Whether its host released it.
    """

    term: int
    host: str
    bounds: job_records.ClaimBounds
    offset: int
    touched_offset: int
    released: bool = False


def state_hash(state: JobState) -> int:
    """Returns a 64-bit hash of a job's complete state."""
    return xxhash.xxh3_64_intdigest(_encoder.encode(state))


def spec_hash(spec: job_records.JobSpec) -> int:
    """Returns a 64-bit hash of a job's spec."""
    return xxhash.xxh3_64_intdigest(_encoder.encode(spec))


def id_hash(job: str) -> int:
    """Returns a 64-bit hash of a job's id."""
    return xxhash.xxh3_64_intdigest(job.encode("utf-8", "surrogatepass"))

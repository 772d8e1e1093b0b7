"""One job as the zone's records tell it, and the claim on the zone."""

from __future__ import annotations

import enum

import attrs
import msgspec
import xxhash

from comfreylatch._ports import workers
from comfreylatch._version import job_records

_encoder = msgspec.json.Encoder()


class JobPhase(enum.StrEnum):
    """Where a job stands."""

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
    """One job.

    Attributes:
        spec: The job as submitted.
        order: Offset of its admission; jobs queue in this order.
        phase: Where it stands.
        cancelled: Whether a cancellation was folded.
        attempt: Number of the last assigned attempt, 0 before the first.
        term: Term under which that attempt was assigned.
        worker: Worker of the last assigned attempt.
        reserved: What the last attempt may use.
        checkpoint_ms: Progress from which the next attempt resumes.
        failures: Failed attempts that were the job's own fault.
        failed_workers: Distinct workers on which those failed.
        evictions: Attempts ended by eviction.
        losses: Attempts lost with their worker or lease.
        changed_offset: Offset of the last record that changed it.
        detail: Why it is parked.
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
        """What its running attempt holds, or the next one declares."""
        return self.reserved or self.spec.resources

    @property
    def ended(self) -> bool:
        """Whether nothing more will happen to it in this zone."""
        return self.phase in ENDED_PHASES


@attrs.frozen
class Claim:
    """One claim on the zone's workers.

    Attributes:
        offset: Offset of the claim.
        touched_offset: Offset of its last renewal or release.
        released: Whether its host gave it up.
    """

    term: int
    host: str
    bounds: job_records.ClaimBounds
    offset: int
    touched_offset: int
    released: bool = False


def state_hash(state: JobState) -> int:
    """64-bit hash of everything a job's state holds."""
    return xxhash.xxh3_64_intdigest(_encoder.encode(state))


def spec_hash(spec: job_records.JobSpec) -> int:
    """64-bit hash of a job's content."""
    return xxhash.xxh3_64_intdigest(_encoder.encode(spec))


def id_hash(job: str) -> int:
    """64-bit hash of a job's id."""
    return xxhash.xxh3_64_intdigest(job.encode("utf-8", "surrogatepass"))

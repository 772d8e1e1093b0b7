"""Records of a zone's stream: jobs, their attempts, and the owner's claims.

Records that only the zone's owner may write carry the term of its claim; the
fold refuses them under any other term.
"""

from __future__ import annotations

import enum

import attrs

from comfreylatch._ports import workers
from comfreylatch._version import records


def zone_stream(zone: str) -> str:
    """Name of the stream that holds a zone's jobs and claims."""
    return f"zone.{zone}"


class AttemptEnd(enum.StrEnum):
    """How an attempt ended."""

    FINISHED = "finished"
    FAILED = "failed"
    EVICTED = "evicted"
    LOST = "lost"


class ParkReason(enum.StrEnum):
    """Why a job is set aside until an operator looks at it."""

    FAILED_OFTEN = "failed-often"


@attrs.frozen
class JobSpec:
    """A job as submitted.

    Attributes:
        id: The submitter's id; the same id with the same content is the same
            job.
        team: Team whose quota it uses.
        zone: Availability zone it runs in.
        job_class: Kind of work, for learned sizes and interference.
        resources: Declared size.
        run_time_ms: Declared run time, unthrottled and undisturbed.
        urgent: Whether it shall start within seconds, by eviction if needed.
    """

    id: str
    team: str
    zone: str
    job_class: str
    resources: workers.Resources
    run_time_ms: int
    urgent: bool = False


@attrs.frozen
class ClaimBounds:
    """Bounds that an owner keeps for the whole of its term.

    Attributes:
        claim_ms: How long the claim holds unrenewed.
        lease_ms: Longest lease it grants to a worker.
        autonomy_ms: How long it renews running leases without the log.
        command_ttl_ms: Age at which workers refuse a quoted report.
        drift_margin_ms: Added to each wait against drift of clocks.
    """

    claim_ms: int
    lease_ms: int
    autonomy_ms: int
    command_ttl_ms: int
    drift_margin_ms: int


@attrs.frozen
class JobAdmitted:
    """A job is taken on; `checkpoint_ms` and `attempt` of a moved job."""

    spec: JobSpec
    checkpoint_ms: int = 0
    attempt: int = 0


@attrs.frozen
class JobCancelled:
    """A submitter no longer wants a job."""

    job: str


@attrs.frozen
class OwnerClaimed:
    """A host claims a zone's workers; valid if `replaces` is in force."""

    term: int
    replaces: int
    host: str
    bounds: ClaimBounds


@attrs.frozen
class OwnerRenewed:
    """The owner still is the owner."""

    term: int
    host: str


@attrs.frozen
class OwnerReleased:
    """The owner has stopped; it sends nothing more under this term."""

    term: int
    host: str


@attrs.frozen
class AttemptAssigned:
    """An attempt may be started on a worker, from a checkpoint.

    Attributes:
        reserved: What it may use there; the declared size when None.
    """

    term: int
    job: str
    attempt: int
    worker: str
    checkpoint_ms: int
    reserved: workers.Resources | None = None


@attrs.frozen
class AttemptCheckpointed:
    """An attempt has kept its progress."""

    term: int
    job: str
    attempt: int
    checkpoint_ms: int


@attrs.frozen
class AttemptEnded:
    """An attempt runs no more, and never will.

    Attributes:
        progress_ms: How far it came.
        checkpoint_ms: What of it is kept.
        worker_fault: Whether its worker, not the job, is to blame; such a
            failure doesn't count towards parking.
    """

    term: int
    job: str
    attempt: int
    end: AttemptEnd
    progress_ms: int
    checkpoint_ms: int
    worker_fault: bool = False


@attrs.frozen
class JobParked:
    """A job is set aside."""

    term: int
    job: str
    reason: ParkReason
    detail: str


@attrs.frozen
class JobMoved:
    """A job that runs nowhere is given up to another zone."""

    term: int
    job: str
    zone: str


records.register("job-admitted", JobAdmitted)
records.register("job-cancelled", JobCancelled)
records.register("owner-claimed", OwnerClaimed)
records.register("owner-renewed", OwnerRenewed)
records.register("owner-released", OwnerReleased)
records.register("attempt-assigned", AttemptAssigned)
records.register("attempt-checkpointed", AttemptCheckpointed)
records.register("attempt-ended", AttemptEnded)
records.register("job-parked", JobParked)
records.register("job-moved", JobMoved)

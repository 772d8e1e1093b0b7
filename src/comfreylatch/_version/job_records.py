"""Records of a zone's stream: jobs, their attempts, and the owner's claims.

Records that only the zone's owner may write carry the term of its claim; the
fold ignores them under any other term.
"""

from __future__ import annotations

import enum

import attrs

from comfreylatch._ports import workers
from comfreylatch._version import records


def zone_stream(zone: str) -> str:
    """Returns the name of the stream of a zone's jobs and claims."""
    return f"zone.{zone}"


class AttemptEnd(enum.StrEnum):
    """How an attempt ended."""

    FINISHED = "finished"
    FAILED = "failed"
    EVICTED = "evicted"
    LOST = "lost"


class ParkReason(enum.StrEnum):
    """Why a job is parked until an operator intervenes."""

    FAILED_OFTEN = "failed-often"


@attrs.frozen
class JobSpec:
    """A job as submitted.

    Attributes:
        id: The submitter's id; a submission with the same id and content is
            the same job.
        team: Team whose quota it uses.
        zone: Availability zone it runs in.
        job_class: Kind of work, by which sizes and interference are learned.
        resources: Declared resources.
        run_time_ms: Declared run time without throttling or interference.
        urgent: Whether it must start within seconds, evicting jobs if needed.
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
    """Bounds that an owner keeps throughout its term.

    Attributes:
        claim_ms: Time after its last renewal at which the claim expires.
        lease_ms: Maximum lease it grants to a worker.
        autonomy_ms: How long it renews leases while the log is unreachable.
        command_ttl_ms: Maximum age of the worker's report that a command is
            based on; a worker refuses commands based on an older one.
        drift_margin_ms: Added to each wait to cover clock drift.
    """

    claim_ms: int
    lease_ms: int
    autonomy_ms: int
    command_ttl_ms: int
    drift_margin_ms: int


@attrs.frozen
class JobAdmitted:
    """A job is admitted; a moved job keeps `checkpoint_ms` and `attempt`."""

    spec: JobSpec
    checkpoint_ms: int = 0
    attempt: int = 0


@attrs.frozen
class JobCancelled:
    """A submitter cancelled a job."""

    job: str


@attrs.frozen
class OwnerClaimed:
    """A host claims a zone's workers; valid if `replaces` is current."""

    term: int
    replaces: int
    host: str
    bounds: ClaimBounds


@attrs.frozen
class OwnerRenewed:
    """The owner renews its claim."""

    term: int
    host: str


@attrs.frozen
class OwnerReleased:
    """The owner has stopped and sends no more commands in this term."""

    term: int
    host: str


@attrs.frozen
class AttemptAssigned:
    """An attempt is assigned to a worker, to resume from a checkpoint.

    Attributes:
        reserved: Resources it may use; None for the declared ones.
    """

    term: int
    job: str
    attempt: int
    worker: str
    checkpoint_ms: int
    reserved: workers.Resources | None = None


@attrs.frozen
class AttemptCheckpointed:
    """An attempt has written a checkpoint."""

    term: int
    job: str
    attempt: int
    checkpoint_ms: int


@attrs.frozen
class AttemptEnded:
    """An attempt has ended and will not run again.

    Attributes:
        progress_ms: Work done in the attempt.
        checkpoint_ms: Progress saved in the last checkpoint.
        worker_fault: Whether the worker, not the job, caused the failure;
            such a failure doesn't count towards parking.
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
    """A queued job is parked."""

    term: int
    job: str
    reason: ParkReason
    detail: str


@attrs.frozen
class JobMoved:
    """A queued job is handed over to another zone."""

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

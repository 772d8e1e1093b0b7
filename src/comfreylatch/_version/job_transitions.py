"""What each record of a zone's stream makes of a job or of the claim."""

from __future__ import annotations

import enum
from typing import Any

import attrs

from comfreylatch._version import job_records
from comfreylatch._version import job_state

JobRecord = (
    job_records.JobCancelled
    | job_records.AttemptAssigned
    | job_records.AttemptCheckpointed
    | job_records.AttemptEnded
    | job_records.JobParked
    | job_records.JobMoved
)
ClaimRecord = (
    job_records.OwnerClaimed
    | job_records.OwnerRenewed
    | job_records.OwnerReleased
)


class IgnoredReason(enum.StrEnum):
    """Why a record changed nothing."""

    REPEATED_RECORD = "repeated-record"
    UNKNOWN_KIND = "unknown-kind"
    CLAIM_LOST = "claim-lost"
    WRONG_TERM = "wrong-term"
    DUPLICATE_JOB = "duplicate-job"
    JOB_ID_TAKEN = "job-id-taken"
    UNKNOWN_JOB = "unknown-job"
    JOB_ENDED = "job-ended"
    ASSIGN_REFUSED = "assign-refused"
    LATE_END = "late-end"
    LATE_CHECKPOINT = "late-checkpoint"
    NOT_QUEUED = "not-queued"


def next_claim(
    claim: job_state.Claim | None, offset: int, body: ClaimRecord
) -> job_state.Claim | IgnoredReason:
    """The claim in force after a record, or why it changes nothing."""
    match body:
        case job_records.OwnerClaimed():
            term = 0 if claim is None else claim.term
            if body.replaces != term or body.term != term + 1:
                return IgnoredReason.CLAIM_LOST
            return job_state.Claim(
                body.term, body.host, body.bounds, offset, offset
            )
        case job_records.OwnerRenewed() | job_records.OwnerReleased():
            if claim is None or claim.released:
                return IgnoredReason.WRONG_TERM
            if (body.term, body.host) != (claim.term, claim.host):
                return IgnoredReason.WRONG_TERM
            released = isinstance(body, job_records.OwnerReleased)
            return attrs.evolve(claim, touched_offset=offset, released=released)


def may_return(
    known: job_state.JobState, body: job_records.JobAdmitted
) -> bool:
    """Whether a job that was moved away may come back."""
    moved_away = known.phase is job_state.JobPhase.MOVED
    return moved_away and body.attempt >= known.attempt > 0


def next_state(
    state: job_state.JobState, offset: int, body: JobRecord
) -> job_state.JobState | IgnoredReason:
    """The job after a record in force, or why it changes nothing."""
    changes: dict[str, Any] | IgnoredReason
    match body:
        case job_records.JobCancelled():
            changes = _cancelled(state)
        case job_records.AttemptAssigned():
            changes = _assigned(state, body)
        case job_records.AttemptCheckpointed():
            changes = _checkpointed(state, body)
        case job_records.AttemptEnded():
            changes = _ended(state, body)
        case job_records.JobParked():
            detail = f"{body.reason}: {body.detail}"
            changes = _set_aside(state, job_state.JobPhase.PARKED, detail)
        case job_records.JobMoved():
            detail = f"moved to zone {body.zone}"
            changes = _set_aside(state, job_state.JobPhase.MOVED, detail)
    if isinstance(changes, IgnoredReason):
        return changes
    return attrs.evolve(state, changed_offset=offset, **changes)


def _cancelled(state: job_state.JobState) -> dict[str, Any] | IgnoredReason:
    if state.ended or state.cancelled:
        return IgnoredReason.JOB_ENDED
    if state.phase is job_state.JobPhase.ASSIGNED:
        return {"cancelled": True}
    return {"cancelled": True, "phase": job_state.JobPhase.CANCELLED}


def _assigned(
    state: job_state.JobState, body: job_records.AttemptAssigned
) -> dict[str, Any] | IgnoredReason:
    queued = state.phase is job_state.JobPhase.QUEUED
    if not queued or body.attempt != state.attempt + 1:
        return IgnoredReason.ASSIGN_REFUSED
    return {
        "phase": job_state.JobPhase.ASSIGNED,
        "attempt": body.attempt,
        "term": body.term,
        "worker": body.worker,
        "reserved": body.reserved,
    }


def _runs(state: job_state.JobState, attempt: int) -> bool:
    assigned = state.phase is job_state.JobPhase.ASSIGNED
    return assigned and state.attempt == attempt


def _checkpointed(
    state: job_state.JobState, body: job_records.AttemptCheckpointed
) -> dict[str, Any] | IgnoredReason:
    newer = body.checkpoint_ms > state.checkpoint_ms
    if not newer or not _runs(state, body.attempt):
        return IgnoredReason.LATE_CHECKPOINT
    return {"checkpoint_ms": body.checkpoint_ms}


def _ended(
    state: job_state.JobState, body: job_records.AttemptEnded
) -> dict[str, Any] | IgnoredReason:
    if not _runs(state, body.attempt):
        return IgnoredReason.LATE_END
    changes: dict[str, Any] = {
        "phase": job_state.JobPhase.QUEUED,
        "checkpoint_ms": max(state.checkpoint_ms, body.checkpoint_ms),
        "reserved": None,
    }
    match body.end:
        case job_records.AttemptEnd.FINISHED:
            changes["phase"] = job_state.JobPhase.FINISHED
        case job_records.AttemptEnd.FAILED if not body.worker_fault:
            changes["failures"] = state.failures + 1
            if state.worker not in state.failed_workers:
                failed = (*state.failed_workers, state.worker)
                changes["failed_workers"] = failed
        case job_records.AttemptEnd.EVICTED:
            changes["evictions"] = state.evictions + 1
        case _:
            changes["losses"] = state.losses + 1
    if state.cancelled:
        changes["phase"] = job_state.JobPhase.CANCELLED
    return changes


def _set_aside(
    state: job_state.JobState, phase: job_state.JobPhase, detail: str
) -> dict[str, Any] | IgnoredReason:
    if state.phase is not job_state.JobPhase.QUEUED:
        return IgnoredReason.NOT_QUEUED
    return {"phase": phase, "detail": detail}

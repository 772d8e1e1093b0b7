"""State transitions of jobs and claims for the records of a zone's stream."""

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
    """Why a fold ignored a record."""

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
    """Returns the claim after a record, or why the record is ignored."""
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


def can_be_readmitted(
    existing: job_state.JobState, body: job_records.JobAdmitted
) -> bool:
    """Whether an admission may bring a moved job back into the zone."""
    moved_away = existing.phase is job_state.JobPhase.MOVED
    return moved_away and body.attempt >= existing.attempt > 0


def next_state(
    state: job_state.JobState, offset: int, body: JobRecord
) -> job_state.JobState | IgnoredReason:
    """Returns the job after a record, or why the record is ignored."""
    changes: dict[str, Any] | IgnoredReason
    match body:
        case job_records.JobCancelled():
            changes = _on_cancelled(state)
        case job_records.AttemptAssigned():
            changes = _on_assigned(state, body)
        case job_records.AttemptCheckpointed():
            changes = _on_checkpointed(state, body)
        case job_records.AttemptEnded():
            changes = _on_ended(state, body)
        case job_records.JobParked():
            detail = f"{body.reason}: {body.detail}"
            changes = _dequeued(state, job_state.JobPhase.PARKED, detail)
        case job_records.JobMoved():
            detail = f"moved to zone {body.zone}"
            changes = _dequeued(state, job_state.JobPhase.MOVED, detail)
    if isinstance(changes, IgnoredReason):
        return changes
    return attrs.evolve(state, changed_offset=offset, **changes)


def _on_cancelled(state: job_state.JobState) -> dict[str, Any] | IgnoredReason:
    if state.ended or state.cancelled:
        return IgnoredReason.JOB_ENDED
    if state.phase is job_state.JobPhase.ASSIGNED:
        return {"cancelled": True}
    return {"cancelled": True, "phase": job_state.JobPhase.CANCELLED}


def _on_assigned(
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


def _is_current_attempt(state: job_state.JobState, attempt: int) -> bool:
    assigned = state.phase is job_state.JobPhase.ASSIGNED
    return assigned and state.attempt == attempt


def _on_checkpointed(
    state: job_state.JobState, body: job_records.AttemptCheckpointed
) -> dict[str, Any] | IgnoredReason:
    newer = body.checkpoint_ms > state.checkpoint_ms
    if not newer or not _is_current_attempt(state, body.attempt):
        return IgnoredReason.LATE_CHECKPOINT
    return {"checkpoint_ms": body.checkpoint_ms}


def _on_ended(
    state: job_state.JobState, body: job_records.AttemptEnded
) -> dict[str, Any] | IgnoredReason:
    if not _is_current_attempt(state, body.attempt):
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


def _dequeued(
    state: job_state.JobState, phase: job_state.JobPhase, detail: str
) -> dict[str, Any] | IgnoredReason:
    if state.phase is not job_state.JobPhase.QUEUED:
        return IgnoredReason.NOT_QUEUED
    return {"phase": phase, "detail": detail}

"""Reasons for a cell's decisions, as logged, counted and documented."""

from __future__ import annotations

import enum


class Refusal(enum.StrEnum):
    """Why a caller's request was refused."""

    NO_CONFIGURATION = "no-configuration"
    UNKNOWN_QUEUE = "unknown-queue"
    UNKNOWN_JOB = "unknown-job"
    BAD_JOB_ID = "bad-job-id"
    BAD_JOB = "bad-job"
    PAYLOAD_TOO_LONG = "payload-too-long"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    STORE_UNAVAILABLE = "store-unavailable"
    VIEW_TOO_OLD = "view-too-old"
    UNDECIDED = "undecided"
    STOPPING = "stopping"
    STOPPING_UNDECIDED = "stopping-undecided"


class StopReason(enum.StrEnum):
    """Why the owner stopped a run."""

    JOB_ENDED = "job-ended"
    DONE_ELSEWHERE = "done-elsewhere"
    START_UNANSWERED = "start-unanswered"
    START_REFUSED = "start-refused"
    STALLED = "stalled"
    SLOWED_DOWN = "slowed-down"
    SHORT_TASK = "room-for-short-task"
    WORKER_CLEARED = "worker-cleared"
    WORKER_LEAVES = "worker-leaves"
    ZONE_EVACUATED = "zone-evacuated"
    WORKER_RESERVED = "worker-reserved"


class MissingAdvice(enum.StrEnum):
    """Why there is no advice on where a step may run."""

    NO_SERVICE = "no-advice-service"
    NO_ANSWER = "no-advice"


class LossReason(enum.StrEnum):
    """Why a run is lost: it is over, but its worker reported no end."""

    REBORN = "reborn"
    WORKER_GONE = "worker-gone"
    LEASE_OVER = "lease-over"
    NOT_LISTED = "not-listed"


class CrashCause(enum.StrEnum):
    """What may have crashed a worker."""

    ITS_RUNS = "its-runs"
    MANY_WORKERS = "many-workers"
    FAULTY_MACHINE = "faulty-machine"
    OLD_RUNS = "old-runs"


class Verdict(enum.StrEnum):
    """Why a task was given up as one that crashes its workers."""

    ALONE = "crashed-alone"
    REPEATEDLY = "crashed-repeatedly"


class ClaimReason(enum.StrEnum):
    """Why a host claimed a cell."""

    NO_OWNER = "no-owner"
    RESTARTED = "restarted"
    RELEASED = "released"
    OWNER_SILENT = "owner-silent"
    OWNER_WEAK = "owner-weak"


class OwnershipEnd(enum.StrEnum):
    """Why a host stopped owning a cell."""

    STOPPING = "stopping"
    ISOLATED = "isolated"
    SUPERSEDED = "superseded"
    FENCED = "fenced"

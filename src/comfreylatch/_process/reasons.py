"""Reason codes of decisions, used in metrics, replies and `explain`."""

from __future__ import annotations

import enum


class Outcome(enum.StrEnum):
    """Outcome of a caller's request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RefusalReason(enum.StrEnum):
    """Why a request, job or ticket was refused."""

    BAD_REQUEST = "bad-request"
    BODY_TOO_LONG = "body-too-long"
    UNKNOWN_SERVICE = "unknown-service"
    NO_ENDPOINT = "no-endpoint"
    NO_FREE_SLOT = "no-free-slot"
    DEADLINE_TOO_SHORT = "deadline-too-short"
    DEADLINE_PASSED = "deadline-passed"
    CALLER_OVER_SHARE = "caller-over-share"
    STOPPING = "stopping"
    NO_CONFIGURATION = "no-configuration"
    DUPLICATE_REQUEST = "duplicate-request"
    REQUEST_TOO_OLD = "request-too-old"
    GUARD_UNREACHABLE = "guard-unreachable"
    LOG_DOWN = "log-down"
    UNKNOWN_TEAM = "unknown-team"
    NEVER_FITS = "never-fits"
    UNKNOWN_ZONE = "unknown-zone"
    TICKET_CONFLICT = "ticket-conflict"
    TICKET_NUMBER_TAKEN = "ticket-number-taken"
    BAD_TICKET = "bad-ticket"
    UNKNOWN_JOB = "unknown-job"
    NO_FREE_THREAD = "no-free-thread"
    ANSWER_LOST = "answer-lost"
    RETRIES_SPENT = "retries-spent"
    BAD_JOB = "bad-job"
    JOB_ID_TAKEN = "job-id-taken"
    URGENT_NOT_ALLOWED = "urgent-not-allowed"


class RetryReason(enum.StrEnum):
    """Why a try was retried, or was not."""

    CONNECT_FAILED = "connect-failed"
    CONNECTION_LOST = "connection-lost"
    ANSWER_TRUNCATED = "answer-truncated"
    ENDPOINT_BUSY = "endpoint-busy"
    TRY_TIMED_OUT = "try-timed-out"
    HEDGED = "hedged"
    BUDGET_SPENT = "budget-spent"
    LOG_ANSWER_LOST = "log-answer-lost"
    LOG_DOWN = "log-down"
    WORKER_UNREACHABLE = "worker-unreachable"
    NO_CONNECTION_FREE = "no-connection-free"
    WRONG_ANSWER_ID = "wrong-answer-id"
    ENDPOINTS_BROKE_OFF = "endpoints-broke-off"
    HEDGE_CANCELLED = "hedge-cancelled"
    SPILLED = "spilled"
    SLOT_HELD_TOO_LONG = "slot-held-too-long"


class Subject(enum.StrEnum):
    """Kind of subject of a decision; the argument of `explain`."""

    REQUEST = "request"
    JOB = "job"
    TICKET = "ticket"
    ENDPOINT = "endpoint"
    WORKER = "worker"

"""Outcomes of requests, and their replies to callers and peers."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from comfreylatch._connection import http
from comfreylatch._process import reasons
from comfreylatch._wire.gen.peer import ttypes

ID_HEADER = "X-Request-Id"
OUTCOME_HEADER = "X-Outcome"
STATUS_NOT_RUN = 503
STATUS_UNKNOWN = 504

_STATUS_BY_REASON = {
    reasons.RefusalReason.BAD_REQUEST: 400,
    reasons.RefusalReason.UNKNOWN_SERVICE: 404,
    reasons.RefusalReason.BODY_TOO_LONG: 413,
}


@attrs.frozen
class Answered:
    """An endpoint returned a complete answer.

    Attributes:
        status: HTTP status.
        headers: Headers of the answer.
        body: The complete body.
        endpoint: Name of the endpoint, or of the seat that the request was
            forwarded to.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    endpoint: str = ""


@attrs.frozen
class NotRun:
    """No endpoint has run the request.

    Attributes:
        reason: Reason code.
        sentence: The reason as a sentence for people.
        retry_after_ms: Time until a retry is useful; 0 if none is.
    """

    reason: reasons.RefusalReason
    sentence: str
    retry_after_ms: int = 0


@attrs.frozen
class Unknown:
    """An endpoint may have run the request.

    Attributes:
        reason: Reason code.
        sentence: The reason as a sentence for people.
        retry_after_ms: Time until a retry is useful; 0 if none is.
    """

    reason: reasons.RefusalReason
    sentence: str
    retry_after_ms: int = 0


@attrs.frozen
class Claim:
    """The exclusive right to dispatch a request id.

    Attributes:
        request_id: The claimed id.
        claimant: Identifies this claim uniquely over all hosts.
    """

    request_id: str
    claimant: str


RequestOutcome = Answered | NotRun | Unknown


def to_http(request_id: str, outcome: RequestOutcome) -> http.HttpReply:
    """Converts an outcome to the reply for the caller."""
    match outcome:
        case Answered():
            headers = {
                **outcome.headers,
                ID_HEADER: request_id,
                OUTCOME_HEADER: reasons.Outcome.ANSWERED.value,
            }
            return http.HttpReply(outcome.status, outcome.body, headers)
        case NotRun():
            status = _STATUS_BY_REASON.get(outcome.reason, STATUS_NOT_RUN)
            return _refusal(
                request_id, outcome, status, reasons.Outcome.NOT_RUN
            )
        case Unknown():
            return _refusal(
                request_id, outcome, STATUS_UNKNOWN, reasons.Outcome.UNKNOWN
            )


def _refusal(
    request_id: str,
    outcome: NotRun | Unknown,
    status: int,
    kind: reasons.Outcome,
) -> http.HttpReply:
    reply = http.error_reply(
        status, outcome.reason.value, outcome.sentence, outcome.retry_after_ms
    )
    headers = {
        **reply.headers,
        ID_HEADER: request_id,
        OUTCOME_HEADER: kind.value,
    }
    return attrs.evolve(reply, headers=headers)


def to_forward_reply(
    request_id: str, outcome: RequestOutcome
) -> ttypes.ForwardReply:
    """Converts an outcome to the reply for another zone's host."""
    match outcome:
        case Answered():
            return ttypes.ForwardReply(
                request_id=request_id,
                outcome=reasons.Outcome.ANSWERED.value,
                reason="",
                status=outcome.status,
                headers=dict(outcome.headers),
                body=outcome.body,
                retry_after_ms=0,
            )
        case NotRun() | Unknown():
            kind = (
                reasons.Outcome.NOT_RUN
                if isinstance(outcome, NotRun)
                else reasons.Outcome.UNKNOWN
            )
            return ttypes.ForwardReply(
                request_id=request_id,
                outcome=kind.value,
                reason=outcome.reason.value,
                status=0,
                headers={},
                body=outcome.sentence.encode(),
                retry_after_ms=outcome.retry_after_ms,
            )


def from_forward_reply(
    request_id: str, seat: str, reply: ttypes.ForwardReply
) -> RequestOutcome:
    """Converts the reply of another zone's host to an outcome.

    Any reply other than `answered` or `not-run` becomes unknown, and so does a
    reply with the id of another request.
    """
    if reply.request_id != request_id:
        return Unknown(
            reasons.RefusalReason.ANSWER_LOST,
            f"{seat} replied with the id of another request",
        )
    if reply.outcome == reasons.Outcome.ANSWERED:
        return Answered(reply.status, reply.headers, reply.body, seat)
    sentence = f"{seat}: {reply.body.decode('utf-8', 'replace')}"
    if reply.outcome == reasons.Outcome.NOT_RUN:
        return NotRun(
            _parse_reason(reply.reason, reasons.RefusalReason.NO_FREE_SLOT),
            sentence,
            reply.retry_after_ms,
        )
    return Unknown(
        _parse_reason(reply.reason, reasons.RefusalReason.ANSWER_LOST),
        sentence,
        reply.retry_after_ms,
    )


def _parse_reason(
    text: str, default: reasons.RefusalReason
) -> reasons.RefusalReason:
    try:
        return reasons.RefusalReason(text)
    except ValueError:
        return default

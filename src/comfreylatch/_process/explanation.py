"""Merges the decisions about one subject in the journals of all hosts."""

from __future__ import annotations

import concurrent.futures
import enum
import time
from typing import final

import attrs
import msgspec
import result

from comfreylatch._ports import peers as peers_port
from comfreylatch._process import journal as journal_module
from comfreylatch._process import reasons

MAX_CONCURRENT_CALLS = 16
EXPLAIN_TIMEOUT_MS = 2_000


class Verdict(enum.StrEnum):
    """Whether decisions about a subject are known."""

    KNOWN = "known"
    UNKNOWN = "unknown"
    MAY_BE_FORGOTTEN = "may-be-forgotten"
    MAY_BE_ELSEWHERE = "may-be-elsewhere"


@attrs.frozen
class HostExplanation:
    """Decisions about a subject in the journal of one host.

    Attributes:
        host: Host id.
        decisions: Decisions about the subject, oldest first.
        forgotten: Number of decisions, about any subject, that the full
            journal has dropped.
    """

    host: str
    decisions: tuple[journal_module.Decision, ...]
    forgotten: int


@attrs.frozen
class UnansweredSeat:
    """A seat that did not answer, and the reason."""

    seat: str
    detail: str


@attrs.frozen
class Explanation:
    """Decisions about a subject on all hosts that answered.

    Attributes:
        summary: The verdict and the hosts it rests on, as one sentence.
        decisions: Decisions of all hosts, ordered by time.
        hosts: Ids of the hosts that answered.
        silent: Seats that did not answer; they may know more.
    """

    subject: reasons.Subject
    name: str
    verdict: Verdict
    summary: str
    decisions: tuple[journal_module.Decision, ...]
    hosts: tuple[str, ...]
    silent: tuple[UnansweredSeat, ...]


def explain_locally(
    journal: journal_module.Journal, subject: reasons.Subject, name: str
) -> HostExplanation:
    """Returns the decisions about a subject in this host's journal."""
    return HostExplanation(
        host=journal.host,
        decisions=journal.about(subject, name),
        forgotten=journal.forgotten,
    )


def encode(explanation: HostExplanation) -> bytes:
    """Encodes an explanation as JSON for a peer."""
    return msgspec.json.encode(explanation)


@final
class Explainer:
    """Collects explanations from this host and all peers.

    Args:
        journal: This host's journal.
        peers: The other hosts.
        timeout_ms: Time limit for the answers of all peers together.
    """

    def __init__(
        self,
        journal: journal_module.Journal,
        peers: peers_port.Peers,
        timeout_ms: int = EXPLAIN_TIMEOUT_MS,
    ) -> None:
        self._journal = journal
        self._peers = peers
        self._timeout_ms = timeout_ms

    def explain(self, subject: reasons.Subject, name: str) -> Explanation:
        """Returns the decisions that are collected within the timeout."""
        answers = [explain_locally(self._journal, subject, name)]
        silent = []
        for seat, answer in self._query_peers(subject, name).items():
            match answer:
                case result.Ok(reply):
                    answers.append(reply)
                case result.Err(detail):
                    silent.append(UnansweredSeat(seat, detail))
        return _merge(subject, name, answers, silent)

    def _query_peers(
        self, subject: reasons.Subject, name: str
    ) -> dict[str, result.Result[HostExplanation, str]]:
        # Unreachable peers may have recovered, so they are queried last.
        views = sorted(self._peers.views(), key=lambda view: not view.reachable)
        if not views:
            return {}
        deadline = time.monotonic() + self._timeout_ms / 1_000
        pool = concurrent.futures.ThreadPoolExecutor(
            min(len(views), MAX_CONCURRENT_CALLS), "explain"
        )
        futures = {
            view.seat: pool.submit(self._query_peer, view.seat, subject, name)
            for view in views
        }
        answers = {}
        for seat, future in futures.items():
            remaining_s = max(deadline - time.monotonic(), 0)
            answers[seat] = _await_answer(future, remaining_s)
        pool.shutdown(wait=False, cancel_futures=True)
        return answers

    def _query_peer(
        self, seat: str, subject: reasons.Subject, name: str
    ) -> result.Result[HostExplanation, str]:
        reply = self._peers.explain(seat, subject.value, name, self._timeout_ms)
        match reply:
            case result.Err(error):
                return result.Err(error.detail)
            case result.Ok(page):
                return _decode(page)


def _await_answer(
    future: concurrent.futures.Future[result.Result[HostExplanation, str]],
    remaining_s: float,
) -> result.Result[HostExplanation, str]:
    try:
        return future.result(remaining_s)
    except concurrent.futures.TimeoutError:
        return result.Err("no answer in time")


def _decode(page: bytes) -> result.Result[HostExplanation, str]:
    try:
        return result.Ok(msgspec.json.decode(page, type=HostExplanation))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return result.Err(f"invalid answer that can't be read: {error}")


def _merge(
    subject: reasons.Subject,
    name: str,
    answers: list[HostExplanation],
    silent: list[UnansweredSeat],
) -> Explanation:
    decisions = [
        decision for answer in answers for decision in answer.decisions
    ]
    decisions.sort(key=lambda decision: decision.wall_ms)
    forgotten = sum(answer.forgotten for answer in answers)
    verdict = _verdict(bool(decisions), forgotten, len(silent))
    return Explanation(
        subject=subject,
        name=name,
        verdict=verdict,
        summary=_summary(verdict, f"{subject} {name}", len(answers), silent),
        decisions=tuple(decisions),
        hosts=tuple(answer.host for answer in answers),
        silent=tuple(silent),
    )


def _verdict(known: bool, forgotten: int, silent: int) -> Verdict:
    if known:
        return Verdict.KNOWN
    if silent:
        return Verdict.MAY_BE_ELSEWHERE
    if forgotten:
        return Verdict.MAY_BE_FORGOTTEN
    return Verdict.UNKNOWN


def _summary(
    verdict: Verdict,
    subject_label: str,
    hosts: int,
    silent: list[UnansweredSeat],
) -> str:
    answered = f"{hosts} host{'s' if hosts > 1 else ''} answered"
    missing = ", ".join(seat.seat for seat in silent)
    match verdict:
        case Verdict.KNOWN if silent:
            return f"{subject_label}: {answered}; no answer from: {missing}."
        case Verdict.KNOWN:
            return f"{subject_label}: {answered}, none is missing."
        case Verdict.UNKNOWN:
            return (
                f"No decision about {subject_label} is known: {answered}, and "
                "none has dropped a decision from its journal."
            )
        case Verdict.MAY_BE_FORGOTTEN:
            return (
                f"No decision about {subject_label} is known: {answered}, but "
                "older decisions have been dropped from the journals."
            )
        case Verdict.MAY_BE_ELSEWHERE:
            return (
                f"No decision about {subject_label} is known: {answered}; "
                f"no answer from: {missing}. Ask again when they are back."
            )

"""Joins what several hosts' journals hold of one subject."""

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
    """How much is known of a subject."""

    KNOWN = "known"
    UNKNOWN = "unknown"
    MAY_BE_FORGOTTEN = "may-be-forgotten"
    MAY_BE_ELSEWHERE = "may-be-elsewhere"


@attrs.frozen
class HostExplanation:
    """What one host's journal holds.

    Attributes:
        host: Host id.
        decisions: About the subject, oldest first.
        forgotten: Decisions of any kind that no longer fit the journal.
    """

    host: str
    decisions: tuple[journal_module.Decision, ...]
    forgotten: int


@attrs.frozen
class UnansweredSeat:
    """A seat that did not answer in time, and why."""

    seat: str
    detail: str


@attrs.frozen
class Explanation:
    """What all hosts reached know of a subject.

    Attributes:
        summary: One sentence that says how much is known.
        decisions: Of all hosts, by time.
        hosts: Host ids that answered.
        silent: Seats that did not; they may know more.
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
    """What this host's own journal holds of a subject."""
    return HostExplanation(
        host=journal.host,
        decisions=journal.about(subject, name),
        forgotten=journal.forgotten,
    )


def encode(explanation: HostExplanation) -> bytes:
    """The form in which a peer is told."""
    return msgspec.json.encode(explanation)


@final
class Explainer:
    """Asks this host and every peer.

    Args:
        journal: This host's journal.
        peers: The other hosts.
        budget_ms: How long all of them together may take.
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
        """Returns what is known, within the budget of time."""
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
        # A peer taken for unreachable may have come back; it is asked last.
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
            left_s = max(deadline - time.monotonic(), 0)
            answers[seat] = _await_answer(future, left_s)
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
    left_s: float,
) -> result.Result[HostExplanation, str]:
    try:
        return future.result(left_s)
    except concurrent.futures.TimeoutError:
        return result.Err("no answer in time")


def _decode(page: bytes) -> result.Result[HostExplanation, str]:
    try:
        return result.Ok(msgspec.json.decode(page, type=HostExplanation))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return result.Err(f"an answer that can't be read: {error}")


def _merge(
    subject: reasons.Subject,
    name: str,
    answers: list[HostExplanation],
    silent: list[UnansweredSeat],
) -> Explanation:
    decisions = [each for answer in answers for each in answer.decisions]
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
    verdict: Verdict, described: str, hosts: int, silent: list[UnansweredSeat]
) -> str:
    asked = f"{hosts} host{'s' if hosts > 1 else ''} asked"
    unheard = ", ".join(seat.seat for seat in silent)
    match verdict:
        case Verdict.KNOWN if silent:
            return f"{described}: {asked}; not heard from: {unheard}."
        case Verdict.KNOWN:
            return f"{described}: {asked}, all answered."
        case Verdict.UNKNOWN:
            return (
                f"Nothing is known of {described}: {asked}, none has decided "
                "anything about it or forgotten a decision."
            )
        case Verdict.MAY_BE_FORGOTTEN:
            return (
                f"Nothing is remembered of {described}: {asked}, and decisions "
                "older than those they keep are forgotten."
            )
        case Verdict.MAY_BE_ELSEWHERE:
            return (
                f"{described} is not known to the hosts reached ({asked}); "
                f"not heard from: {unheard}. Ask again when they are back."
            )

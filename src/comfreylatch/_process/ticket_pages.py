"""Response bodies for tickets and objects."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

import attrs

from comfreylatch._ports import peers as peers_port
from comfreylatch._process import follower as follower_module
from comfreylatch._process import journal as journal_module
from comfreylatch._version import configuration
from comfreylatch._version import objects
from comfreylatch._version import schema
from comfreylatch._version import verdicts


@attrs.frozen
class OwnView:
    """Position of this host's configuration."""

    seat: str
    offset: int
    digest: str
    age_ms: int


@attrs.frozen
class SeatLine:
    """Whether one seat has applied a ticket.

    Attributes:
        seat: Name of the seat.
        applied: Whether the seat has folded the ticket's record.
        offset: Offset of its configuration, as of the last heartbeat.
        digest: Digest of its configuration at that offset.
        reachable: Whether the seat answers now.
        diverged: Whether its state differs from this host's at the same
            offset, which is a fault of one of them.
    """

    seat: str
    applied: bool
    offset: int
    digest: str
    reachable: bool
    diverged: bool = False


@attrs.frozen
class VerdictPage:
    """Verdict on a submitted ticket."""

    number: int
    verdict: verdicts.Verdict
    reason: str
    detail: str
    offset: int
    conflicts: tuple[verdicts.Conflict, ...]


@attrs.frozen
class TicketPage:
    """One ticket, its verdict, and the seats on which it is in force.

    Attributes:
        number: Number of the ticket.
        author: Who wrote it.
        reason: Why it was written.
        verdict: Accepted, or why not.
        detail: The reason for a refusal in words; empty when accepted.
        offset: Offset of its record.
        objects: Objects that it changes, as `kind/name`.
        conflicts: Its changes that conflict with accepted ones.
        age_ms: Time since this host's state matched the head of the log.
        since_wall_ms: When this host folded it, in milliseconds since the
            epoch; 0 if that was before this host was ready.
        in_force: Seats on which it is in force.
        not_yet: Seats that are not known to have folded it.
        sentence: A summary for operators.
    """

    number: int
    author: str
    reason: str
    verdict: verdicts.Verdict
    detail: str
    offset: int
    objects: tuple[str, ...]
    conflicts: tuple[verdicts.Conflict, ...]
    age_ms: int
    since_wall_ms: int
    in_force: tuple[SeatLine, ...]
    not_yet: tuple[SeatLine, ...]
    sentence: str


@attrs.frozen
class TicketSummary:
    """A ticket in the list of tickets."""

    number: int
    author: str
    reason: str
    verdict: verdicts.Verdict
    offset: int


@attrs.frozen
class ObjectLine:
    """One object, with the version that a ticket names to replace it."""

    kind: objects.ObjectKind
    name: str
    version: int
    ticket: int
    offset: int
    state: Any


@attrs.frozen
class ObjectPage:
    """All objects, with the position and age of the configuration."""

    offset: int
    digest: str
    age_ms: int
    objects: tuple[ObjectLine, ...]


@attrs.frozen
class ProblemPage:
    """Answer to a malformed ticket."""

    reason: str
    detail: str
    problems: tuple[schema.Problem, ...]


def problem_page(problems: Sequence[schema.Problem]) -> ProblemPage:
    """Lists the problems of a malformed ticket, also as one text."""
    detail = "; ".join(map(str, problems))
    return ProblemPage("bad-ticket", detail, tuple(problems))


def verdict_page(entry: verdicts.TicketEntry, reason: str) -> VerdictPage:
    """Builds the reply to the submitter of a ticket."""
    return VerdictPage(
        number=entry.number,
        verdict=entry.verdict,
        reason=reason,
        detail=entry.detail,
        offset=entry.offset,
        conflicts=entry.conflicts,
    )


def ticket_list(
    entries: Iterable[verdicts.TicketEntry],
) -> tuple[TicketSummary, ...]:
    """Summarises tickets in log order."""
    return tuple(
        TicketSummary(
            entry.number,
            entry.author,
            entry.reason,
            entry.verdict,
            entry.offset,
        )
        for entry in entries
    )


def ticket_page(
    entry: verdicts.TicketEntry,
    own: OwnView,
    views: Iterable[peers_port.PeerView],
    decisions: Iterable[journal_module.Decision],
) -> TicketPage:
    """Describes a ticket and the seats that have or haven't folded it."""
    seats = [
        SeatLine(
            own.seat, own.offset >= entry.offset, own.offset, own.digest, True
        )
    ]
    seats += [_seat_line(entry, own, view) for view in views]
    in_force = tuple(seat for seat in seats if seat.applied)
    not_yet = tuple(seat for seat in seats if not seat.applied)
    return TicketPage(
        number=entry.number,
        author=entry.author,
        reason=entry.reason,
        verdict=entry.verdict,
        detail=entry.detail,
        offset=entry.offset,
        objects=entry.objects,
        conflicts=entry.conflicts,
        age_ms=own.age_ms,
        since_wall_ms=_since_wall_ms(entry, decisions),
        in_force=in_force if entry.accepted else (),
        not_yet=not_yet,
        sentence=_sentence(entry, in_force, not_yet, own.age_ms),
    )


def object_list(
    versions: Mapping[tuple[objects.ObjectKind, str], configuration.Versioned],
    current: configuration.Configuration,
    age_ms: int,
) -> ObjectPage:
    """Lists all objects; recently removed ones have a null state."""
    lines = tuple(
        ObjectLine(
            kind,
            name,
            versioned.version,
            versioned.ticket,
            versioned.offset,
            versioned.state,
        )
        for (kind, name), versioned in sorted(versions.items())
    )
    return ObjectPage(current.offset, current.digest, age_ms, lines)


def format_age(age_ms: int) -> str:
    """Describes how long ago this host's state matched the log."""
    if age_ms >= follower_module.NEVER_SYNCED_AGE_MS:
        return "never yet up to date with the log"
    return f"as of {age_ms} ms ago"


def _since_wall_ms(
    entry: verdicts.TicketEntry, decisions: Iterable[journal_module.Decision]
) -> int:
    for decision in decisions:
        if decision.offset == entry.offset and decision.reason == entry.verdict:
            return decision.wall_ms
    return 0


def _seat_line(
    entry: verdicts.TicketEntry, own: OwnView, view: peers_port.PeerView
) -> SeatLine:
    same_offset = view.config_offset == own.offset
    return SeatLine(
        seat=view.seat,
        applied=view.config_offset >= entry.offset,
        offset=view.config_offset,
        digest=view.config_digest,
        reachable=view.reachable,
        diverged=same_offset and view.config_digest != own.digest,
    )


def _sentence(
    entry: verdicts.TicketEntry,
    in_force: Sequence[SeatLine],
    not_yet: Sequence[SeatLine],
    age_ms: int,
) -> str:
    if not entry.accepted:
        return (
            f"Ticket {entry.number} was refused at offset {entry.offset}"
            f" ({entry.verdict}) and changed nothing: {entry.detail}."
        )
    text = (
        f"Ticket {entry.number} was accepted at offset {entry.offset} and is in"
        f" force on {len(in_force)} of {len(in_force) + len(not_yet)} seats"
    )
    if not_yet:
        names = ", ".join(map(_seat_name, not_yet))
        text += f"; not yet known to be on {names}"
    diverged = [seat.seat for seat in (*in_force, *not_yet) if seat.diverged]
    if diverged:
        text += f"; its state differs on {', '.join(diverged)}: restart them"
    return f"{text} ({format_age(age_ms)})."


def _seat_name(seat: SeatLine) -> str:
    if seat.reachable:
        return f"{seat.seat} (at offset {seat.offset})"
    return f"{seat.seat} (unreachable, last heard at offset {seat.offset})"

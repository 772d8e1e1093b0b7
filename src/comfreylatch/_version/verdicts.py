"""What the fold decided about a ticket."""

from __future__ import annotations

import enum

import attrs

from comfreylatch._version import objects


class Verdict(enum.StrEnum):
    """Whether a ticket is in force, and if not, why."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    BROKEN_REFERENCE = "broken-reference"
    MALFORMED = "malformed"


@attrs.frozen
class Conflict:
    """A change that named a version which was no longer current.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        replaces: Version the ticket named.
        current: Version in force at the ticket's offset, 0 for none.
        winner: Ticket that set the current version, 0 for none.
        removed: Whether the current version is a removal.
    """

    kind: objects.ObjectKind
    name: str
    replaces: int
    current: int
    winner: int
    removed: bool = False

    def __str__(self) -> str:
        thing = f"{self.kind} {self.name!r}"
        if self.current == 0:
            return (
                f"{thing} does not exist, but the ticket replaces version"
                f" {self.replaces}: name 0 to make it"
            )
        did = "removed it as" if self.removed else "set"
        return (
            f"ticket {self.winner} {did} version {self.current} of {thing},"
            f" but the ticket replaces version {self.replaces}: look at the"
            f" object and submit a new number that replaces {self.current}"
        )


@attrs.frozen
class TicketEntry:
    """A ticket as the fold remembers it.

    Attributes:
        number: Number of the ticket.
        content_hash: Tells tickets of one number apart.
        author: Who wrote it.
        reason: Why it was written.
        offset: Offset of its first record.
        verdict: Accepted, or why not.
        detail: The same for a person; empty when accepted.
        conflicts: The changes that lost, for `CONFLICT`.
        objects: What it touches, as `kind/name`.
    """

    number: int
    content_hash: str
    author: str
    reason: str
    offset: int
    verdict: Verdict
    detail: str = ""
    conflicts: tuple[Conflict, ...] = ()
    objects: tuple[str, ...] = ()

    @property
    def accepted(self) -> bool:
        """Whether its changes came into force."""
        return self.verdict is Verdict.ACCEPTED

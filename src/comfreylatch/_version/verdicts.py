"""The fold's decisions on tickets."""

from __future__ import annotations

import enum

import attrs

from comfreylatch._version import objects


class Verdict(enum.StrEnum):
    """Whether a ticket was accepted, and if not, why."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    BROKEN_REFERENCE = "broken-reference"
    MALFORMED = "malformed"


@attrs.frozen
class Conflict:
    """A change that replaces a version which is not the current one.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        replaces: Version that the ticket replaces.
        current: Current version at the ticket's offset; 0 for none.
        winner: Ticket that set the current version; 0 for none.
        removed: Whether the current version is a removal.
    """

    kind: objects.ObjectKind
    name: str
    replaces: int
    current: int
    winner: int
    removed: bool = False

    def __str__(self) -> str:
        label = f"{self.kind} {self.name!r}"
        if self.current == 0:
            return (
                f"{label} does not exist, but the ticket replaces version"
                f" {self.replaces}: name 0 to make it"
            )
        action = "removed it as" if self.removed else "set"
        return (
            f"ticket {self.winner} {action} version {self.current} of {label},"
            f" but the ticket replaces version {self.replaces}: look at the"
            f" object and submit a new number that replaces {self.current}"
        )


@attrs.frozen
class TicketEntry:
    """A ticket and the decision on it, as the fold stores it.

    Attributes:
        number: Number of the ticket.
        content_hash: Distinguishes tickets that use the same number.
        author: Author of the ticket.
        reason: Author's reason for the change.
        offset: Offset of its first record.
        verdict: Whether it was accepted.
        detail: Explanation for operators; empty if accepted. It is hashed into
            the fold's digest, so a reworded text makes hosts of two versions
            take each other for diverged.
        conflicts: The conflicting changes, for `CONFLICT`.
        objects: Objects it changes, as `kind/name`.
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
        """Whether its changes were applied."""
        return self.verdict is Verdict.ACCEPTED

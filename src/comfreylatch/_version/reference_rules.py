"""Rules between objects: what an object names must exist."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from comfreylatch._version import configuration
from comfreylatch._version import objects
from comfreylatch._version import tickets

Find = Callable[[objects.ObjectKind, str], objects.ConfigObject | None]


def broken_references(
    ticket: tickets.Ticket, current: configuration.Configuration
) -> list[str]:
    """What would be wrong if the ticket came into force, as sentences.

    Only objects which the ticket touches, and those that name them, are
    looked at.
    """
    touched = {
        (change.kind, change.name): change.state for change in ticket.changes
    }

    def find(
        kind: objects.ObjectKind, name: str
    ) -> objects.ConfigObject | None:
        if (kind, name) in touched:
            return touched[kind, name]
        return _in_force(current, kind, name)

    sentences: list[str] = []
    for change in ticket.changes:
        if isinstance(change.state, objects.Endpoint):
            sentences += _endpoint_sentences(change.name, change.state, find)
        elif change.state is None:
            sentences += _users_left(change, current, touched)
    return sentences


def _in_force(
    current: configuration.Configuration, kind: objects.ObjectKind, name: str
) -> objects.ConfigObject | None:
    match kind:
        case objects.ObjectKind.SERVICE:
            return current.services.get(name)
        case objects.ObjectKind.ZONE:
            return current.zones.get(name)
        case _:
            return None


def _endpoint_sentences(
    name: str, endpoint: objects.Endpoint, find: Find
) -> list[str]:
    sentences: list[str] = []
    if find(objects.ObjectKind.SERVICE, endpoint.service) is None:
        sentences.append(
            f"endpoint {name!r} names service {endpoint.service!r}, which"
            " does not exist: set it in the same ticket or before"
        )
    if find(objects.ObjectKind.ZONE, endpoint.zone) is None:
        sentences.append(
            f"endpoint {name!r} names zone {endpoint.zone!r}, which does not"
            " exist: set it in the same ticket or before"
        )
    return sentences


def _users_left(
    change: tickets.Change,
    current: configuration.Configuration,
    touched: dict[tuple[objects.ObjectKind, str], objects.ConfigObject | None],
) -> list[str]:
    """Endpoints that would still name a removed service or zone."""
    match change.kind:
        case objects.ObjectKind.SERVICE:
            users = _named(current, lambda one: one.service == change.name)
        case objects.ObjectKind.ZONE:
            users = _named(current, lambda one: one.zone == change.name)
        case _:
            return []
    left = [
        name
        for name in users
        if (objects.ObjectKind.ENDPOINT, name) not in touched
    ]
    if not left:
        return []
    sentence = (
        f"{change.kind} {change.name!r} is still used by endpoint"
        f" {_some(left)}: remove or move them in the same ticket or before"
    )
    return [sentence]


def _named(
    current: configuration.Configuration,
    uses: Callable[[objects.Endpoint], bool],
) -> list[str]:
    return sorted(
        name for name, endpoint in current.endpoints.items() if uses(endpoint)
    )


def _some(names: Iterable[str], most: int = 5) -> str:
    listed = list(names)
    text = ", ".join(map(repr, listed[:most]))
    if len(listed) > most:
        text += f" and {len(listed) - most} more"
    return text

"""Rules between objects: what one names exists, what it holds is its own."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import TypeVar

from comfreylatch._version import configuration
from comfreylatch._version import objects
from comfreylatch._version import tickets

Touched = Mapping[tuple[objects.ObjectKind, str], objects.ConfigObject | None]
T = TypeVar("T", objects.Endpoint, objects.Zone)
Find = Callable[[objects.ObjectKind, str], objects.ConfigObject | None]

_KIND_BY_CLASS = {
    object_class: kind for kind, object_class in objects.CLASS_BY_KIND.items()
}


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
    return sentences + _shared_things(current, touched)


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
    touched: Touched,
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


def _shared_things(
    current: configuration.Configuration, touched: Touched
) -> list[str]:
    """Addresses and seats that two objects would hold.

    Limits are kept for each endpoint and for each zone's seats; one place
    under two names would be given twice its limit.
    """
    sentences: list[str] = []
    kinds = {kind for kind, _ in touched}
    if objects.ObjectKind.ENDPOINT in kinds:
        endpoints = _after(current.endpoints, objects.Endpoint, touched)
        addresses = [(name, one.address) for name, one in endpoints]
        sentences += _held_twice("address", "endpoints", addresses)
    if objects.ObjectKind.ZONE in kinds:
        zones = _after(current.zones, objects.Zone, touched)
        seats = [(name, seat) for name, one in zones for seat in one.seats]
        sentences += _held_twice("seat", "zones", seats)
    return sentences


def _after(
    in_force: Mapping[str, T], object_class: type[T], touched: Touched
) -> Iterator[tuple[str, T]]:
    """All objects of a class as they would be after the ticket."""
    kind = _KIND_BY_CLASS[object_class]
    for name, state in in_force.items():
        if (kind, name) not in touched:
            yield name, state
    for (_, name), new_state in touched.items():
        if isinstance(new_state, object_class):
            yield name, new_state


def _held_twice(
    what: str, holders_are: str, held: Iterable[tuple[str, str]]
) -> list[str]:
    holder_by_thing: dict[str, str] = {}
    sentences: list[str] = []
    for name, thing in held:
        first = holder_by_thing.setdefault(thing, name)
        if first != name:
            sentences.append(
                f"{what} {thing!r} would belong to the {holders_are}"
                f" {first!r} and {name!r}: give each its own"
            )
    return sentences


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

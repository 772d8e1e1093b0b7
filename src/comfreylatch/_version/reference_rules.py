"""Rules between objects: references must resolve, allocations be unique."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import TypeVar

from comfreylatch._version import configuration
from comfreylatch._version import objects
from comfreylatch._version import tickets

ChangedObjects = Mapping[
    tuple[objects.ObjectKind, str], objects.ConfigObject | None
]
T = TypeVar("T", objects.Endpoint, objects.Zone)
FindObject = Callable[[objects.ObjectKind, str], objects.ConfigObject | None]

_KIND_BY_CLASS = {
    object_class: kind for kind, object_class in objects.CLASS_BY_KIND.items()
}


def broken_references(
    ticket: tickets.Ticket, current: configuration.Configuration
) -> list[str]:
    """Returns an error message for each rule that the ticket would violate.

    Checks only the objects that the ticket changes and those that refer to
    them.
    """
    changed = {
        (change.kind, change.name): change.state for change in ticket.changes
    }

    def find(
        kind: objects.ObjectKind, name: str
    ) -> objects.ConfigObject | None:
        if (kind, name) in changed:
            return changed[kind, name]
        return _current_object(current, kind, name)

    errors: list[str] = []
    for change in ticket.changes:
        if isinstance(change.state, objects.Endpoint):
            errors += _missing_references(change.name, change.state, find)
        elif change.state is None:
            errors += _remaining_users(change, current, changed)
    return errors + _duplicate_allocations(current, changed)


def _current_object(
    current: configuration.Configuration, kind: objects.ObjectKind, name: str
) -> objects.ConfigObject | None:
    match kind:
        case objects.ObjectKind.SERVICE:
            return current.services.get(name)
        case objects.ObjectKind.ZONE:
            return current.zones.get(name)
        case _:
            return None


def _missing_references(
    name: str, endpoint: objects.Endpoint, find: FindObject
) -> list[str]:
    errors: list[str] = []
    if find(objects.ObjectKind.SERVICE, endpoint.service) is None:
        errors.append(
            f"endpoint {name!r} names service {endpoint.service!r}, which"
            " does not exist: set it in the same ticket or before"
        )
    if find(objects.ObjectKind.ZONE, endpoint.zone) is None:
        errors.append(
            f"endpoint {name!r} names zone {endpoint.zone!r}, which does not"
            " exist: set it in the same ticket or before"
        )
    return errors


def _remaining_users(
    change: tickets.Change,
    current: configuration.Configuration,
    changed: ChangedObjects,
) -> list[str]:
    """Reports endpoints that would still refer to a removed object."""
    match change.kind:
        case objects.ObjectKind.SERVICE:
            users = _endpoints_where(
                current, lambda endpoint: endpoint.service == change.name
            )
        case objects.ObjectKind.ZONE:
            users = _endpoints_where(
                current, lambda endpoint: endpoint.zone == change.name
            )
        case _:
            return []
    remaining = [
        name
        for name in users
        if (objects.ObjectKind.ENDPOINT, name) not in changed
    ]
    if not remaining:
        return []
    error = (
        f"{change.kind} {change.name!r} is still used by endpoint"
        f" {_join_names(remaining)}: remove or move them in the same ticket or"
        " before"
    )
    return [error]


def _duplicate_allocations(
    current: configuration.Configuration, changed: ChangedObjects
) -> list[str]:
    """Reports addresses and seats that would belong to two objects.

    Limits apply per endpoint and per zone seat, so an address or seat under
    two names would get twice its limit.
    """
    errors: list[str] = []
    kinds = {kind for kind, _ in changed}
    if objects.ObjectKind.ENDPOINT in kinds:
        endpoints = _objects_after(current.endpoints, objects.Endpoint, changed)
        addresses = [(name, endpoint.address) for name, endpoint in endpoints]
        errors += _find_duplicates("address", "endpoints", addresses)
    if objects.ObjectKind.ZONE in kinds:
        zones = _objects_after(current.zones, objects.Zone, changed)
        seats = [(name, seat) for name, zone in zones for seat in zone.seats]
        errors += _find_duplicates("seat", "zones", seats)
    return errors


def _objects_after(
    current_objects: Mapping[str, T],
    object_class: type[T],
    changed: ChangedObjects,
) -> Iterator[tuple[str, T]]:
    """Yields all objects of a class as they would be after the ticket."""
    kind = _KIND_BY_CLASS[object_class]
    for name, state in current_objects.items():
        if (kind, name) not in changed:
            yield name, state
    for (_, name), new_state in changed.items():
        if isinstance(new_state, object_class):
            yield name, new_state


def _find_duplicates(
    value_kind: str, owner_kind: str, owned: Iterable[tuple[str, str]]
) -> list[str]:
    owner_by_value: dict[str, str] = {}
    errors: list[str] = []
    for name, value in owned:
        first = owner_by_value.setdefault(value, name)
        if first != name:
            errors.append(
                f"{value_kind} {value!r} would belong to the {owner_kind}"
                f" {first!r} and {name!r}: give each its own"
            )
    return errors


def _endpoints_where(
    current: configuration.Configuration,
    matches: Callable[[objects.Endpoint], bool],
) -> list[str]:
    return sorted(
        name
        for name, endpoint in current.endpoints.items()
        if matches(endpoint)
    )


def _join_names(names: Iterable[str], max_names: int = 5) -> str:
    listed = list(names)
    text = ", ".join(map(repr, listed[:max_names]))
    if len(listed) > max_names:
        text += f" and {len(listed) - max_names} more"
    return text

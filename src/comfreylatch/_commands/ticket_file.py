"""Ticket files: their check and the template of a new one."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
import enum
from typing import Any
from typing import get_type_hints

import attrs
import msgspec

from comfreylatch._process import shapes
from comfreylatch._version import objects

INDENT = "  "


@attrs.frozen
class ChangeDocument:
    """One change of a ticket file, as in docs/API.md."""

    kind: objects.ObjectKind
    name: str
    replaces: int
    state: Any


@attrs.frozen
class TicketDocument:
    """A ticket file, as in docs/API.md."""

    number: int
    author: str
    reason: str
    changes: tuple[ChangeDocument, ...]


@attrs.frozen
class ObjectInForce:
    """An object and the version that a change of it must name.

    Attributes:
        version: 0 when no object of that name has ever been in force.
        state: None when there is none now.
    """

    kind: str
    name: str
    version: int
    state: Any


@attrs.frozen
class ObjectsPage:
    """Answer of `GET /objects`."""

    objects: tuple[ObjectInForce, ...]


def check(value: Any) -> list[shapes.Problem]:
    """Returns everything wrong with a decoded ticket file."""
    problems = shapes.check(value, TicketDocument)
    if not isinstance(value, dict):
        return problems
    if isinstance(value.get("number"), int) and value["number"] < 1:
        found = str(value["number"])
        problems.append(shapes.Problem(("number",), "1 or more", found))
    changes = value.get("changes")
    if not isinstance(changes, list):
        return problems
    if not changes:
        problems.append(shapes.Problem(("changes",), "a change", "none"))
    seen = set()
    for index, change in enumerate(changes):
        if not isinstance(change, dict):
            continue
        path = ("changes", index)
        problems.extend(_check_state(change, path))
        key = (str(change.get("kind")), str(change.get("name")))
        if key in seen:
            found = " ".join(key) + " again"
            problems.append(shapes.Problem(path, "each object once", found))
        seen.add(key)
    return problems


def _check_state(
    change: Mapping[str, Any], path: shapes.Path
) -> list[shapes.Problem]:
    kind = change.get("kind")
    state = change.get("state")
    if state is None or kind not in list(objects.ObjectKind):
        return []
    state_class = objects.CLASS_BY_KIND[objects.ObjectKind(kind)]
    return shapes.check(state, state_class, (*path, "state"))


def template(
    number: int,
    author: str,
    reason: str,
    found: Sequence[ObjectInForce],
) -> str:
    """A commented ticket file that sets the objects given."""
    lines = [
        "// A change ticket. It is taken whole or not at all.",
        "{",
        f'{INDENT}"number": {number},  // yours; never used for another ticket',
        f'{INDENT}"author": {_json(author)},',
        f'{INDENT}"reason": {_json(reason)},',
        f'{INDENT}"changes": [',
    ]
    for each in found:
        lines.extend(_change_lines(each))
    lines.extend([f"{INDENT}]", "}"])
    return "\n".join(lines) + "\n"


def _change_lines(found: ObjectInForce) -> list[str]:
    margin = INDENT * 2
    inner = margin + INDENT
    state = found.state
    if state is None:
        state = example(objects.ObjectKind(found.kind))
    version_note = "new" if found.version == 0 else "the version in force"
    return [
        f"{margin}{{",
        f'{inner}"kind": {_json(found.kind)},',
        f'{inner}"name": {_json(found.name)},',
        f'{inner}"replaces": {found.version},  // {version_note}',
        f"{inner}// The whole new state; null removes the object.",
        f'{inner}"state": {_state_text(state, inner)}',
        f"{margin}}},",
    ]


def _state_text(state: Any, margin: str) -> str:
    text = msgspec.json.format(msgspec.json.encode(state), indent=2).decode()
    return text.replace("\n", "\n" + margin)


def example(kind: objects.ObjectKind) -> dict[str, Any]:
    """Every field of a kind of object, with its default or an example."""
    return _example_of(objects.CLASS_BY_KIND[kind])


def _example_of(state_class: type) -> dict[str, Any]:
    hints = get_type_hints(state_class)
    values = {}
    for field in attrs.fields(state_class):
        if field.default is not attrs.NOTHING:
            values[field.name] = msgspec.to_builtins(field.default)
        else:
            values[field.name] = _example_value(field.name, hints[field.name])
    return values


def _example_value(name: str, kind: Any) -> Any:
    if attrs.has(kind):
        return _example_of(kind)
    if name == "address":
        return "10.0.0.1:8080"
    if kind is int:
        return 0
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return next(iter(kind)).value
    return f"{name} name" if kind is str else [f"{name} name"]


def _json(value: Any) -> str:
    return msgspec.json.encode(value).decode()

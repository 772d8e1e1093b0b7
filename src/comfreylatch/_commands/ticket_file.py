"""Checks ticket files and renders new ones."""

from __future__ import annotations

from collections.abc import Sequence
import enum
from typing import Any
from typing import get_type_hints

import attrs
import msgspec
import result

from comfreylatch._version import objects
from comfreylatch._version import schema
from comfreylatch._version import tickets

INDENT = "  "


@attrs.frozen
class ObjectInForce:
    """An object and the version that a change of it must replace.

    Attributes:
        version: 0 if no object of that name has ever been in force.
        state: None if no object of that name is in force.
    """

    kind: str
    name: str
    version: int
    state: Any


@attrs.frozen
class ObjectsPage:
    """Answer of `GET /objects`."""

    objects: tuple[ObjectInForce, ...]


def check(value: Any) -> schema.Problems:
    """Returns all problems of a decoded ticket file."""
    match tickets.check(value):
        case result.Ok():
            return []
        case result.Err(problems):
            return list(problems)


def render_template(
    number: int,
    author: str,
    reason: str,
    targets: Sequence[ObjectInForce],
) -> str:
    """Renders a commented ticket file that sets the given objects."""
    lines = [
        "// A change ticket. All of its changes are made, or none.",
        "{",
        f'{INDENT}"number": {number},  // chosen by you; unique per ticket',
        f'{INDENT}"author": {_json(author)},',
        f'{INDENT}"reason": {_json(reason)},',
        f'{INDENT}"changes": [',
    ]
    for target in targets:
        lines.extend(_change_lines(target))
    lines.extend([f"{INDENT}]", "}"])
    return "\n".join(lines) + "\n"


def _change_lines(target: ObjectInForce) -> list[str]:
    margin = INDENT * 2
    inner = margin + INDENT
    state = target.state
    if state is None:
        state = example_state(objects.ObjectKind(target.kind))
    version_note = "new" if target.version == 0 else "the version in force"
    return [
        f"{margin}{{",
        f'{inner}"kind": {_json(target.kind)},',
        f'{inner}"name": {_json(target.name)},',
        f'{inner}"replaces": {target.version},  // {version_note}',
        f"{inner}// The complete new state; null removes the object.",
        f'{inner}"state": {_state_text(state, inner)}',
        f"{margin}}},",
    ]


def _state_text(state: Any, margin: str) -> str:
    text = msgspec.json.format(msgspec.json.encode(state), indent=2).decode()
    return text.replace("\n", "\n" + margin)


def example_state(kind: objects.ObjectKind) -> dict[str, Any]:
    """Returns all fields of a kind with their defaults or examples."""
    return _example_fields(objects.CLASS_BY_KIND[kind])


def _example_fields(state_class: type) -> dict[str, Any]:
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
        return _example_fields(kind)
    if name == "address":
        return "10.0.0.1:8080"
    if kind is int:
        return 0
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return next(iter(kind)).value
    return f"{name} name" if kind is str else [f"{name} name"]


def _json(value: Any) -> str:
    return msgspec.json.encode(value).decode()

"""Change tickets that operators submit, and their schema.

A ticket carries the complete new state of every object it changes, each with
the version it replaces. `check` runs before a ticket is appended and again
when its record is folded.
"""

from __future__ import annotations

from collections.abc import Mapping
import typing
from typing import Any

import attrs
import msgspec
import result
import xxhash

from comfreylatch._version import object_rules
from comfreylatch._version import objects
from comfreylatch._version import records
from comfreylatch._version import schema

MAX_INTEGER = 2**53 - 1
MAX_TEXT_CHARACTERS = 1_000
MAX_NAME_CHARACTERS = 128
MAX_CHANGES = 1_000
EXPECTED_STATE = "an object, or null to remove it"


@attrs.frozen
class Change:
    """The complete new state of one object.

    Attributes:
        kind: Kind of the object.
        name: Name of the object, unique within its kind.
        replaces: Version it replaces; 0 for a new object.
        state: The new state; None removes the object.
    """

    kind: objects.ObjectKind
    name: str
    replaces: int
    state: objects.ConfigObject | None


@attrs.frozen
class Ticket:
    """A numbered set of changes, applied completely or not at all."""

    number: int
    author: str
    reason: str
    changes: tuple[Change, ...]


@attrs.frozen
class TicketRecord:
    """Body of a record that carries a ticket as `to_json` returns it."""

    ticket: dict[str, Any]


records.register("ticket", TicketRecord)


def check(value: Any) -> result.Result[Ticket, tuple[schema.Problem, ...]]:
    """Builds a ticket from a JSON value; Err holds all problems found."""
    problems = _ticket_problems(value)
    if problems:
        return result.Err(tuple(problems))
    changes = tuple(_to_change(change) for change in value["changes"])
    return result.Ok(
        Ticket(value["number"], value["author"], value["reason"], changes)
    )


def to_json(ticket: Ticket) -> dict[str, Any]:
    """Returns the ticket as a JSON value, including all defaults."""
    return msgspec.json.decode(msgspec.json.encode(ticket))


def is_ticket_number(value: Any) -> bool:
    """Whether a JSON value is a valid ticket number."""
    return type(value) is int and 1 <= value <= MAX_INTEGER


def content_hash(ticket: Ticket) -> str:
    """Returns a hash that ignores key order and omitted defaults."""
    encoded = msgspec.json.encode(to_json(ticket), order="sorted")
    return xxhash.xxh3_128_hexdigest(encoded)


def _to_change(value: Mapping[str, Any]) -> Change:
    kind = objects.ObjectKind(value["kind"])
    state = value["state"]
    if state is not None:
        state = msgspec.convert(state, type=objects.CLASS_BY_KIND[kind])
    return Change(kind, value["name"], value["replaces"], state)


def _ticket_problems(value: Any) -> schema.Problems:
    if not isinstance(value, Mapping):
        return [
            schema.Problem("ticket", "an object", schema.describe_value(value))
        ]
    known = [field.name for field in attrs.fields(Ticket)]
    problems = schema.unknown_keys(value, known, "")
    problems += _missing_keys(value, known, "")
    problems += _number_problems(value, "number", "", minimum=1)
    for key in ("author", "reason"):
        problems += _text_problems(value, key, "", MAX_TEXT_CHARACTERS)
    if "changes" in value:
        problems += _changes_problems(value["changes"])
    return problems


def _changes_problems(value: Any) -> schema.Problems:
    if not isinstance(value, list) or not 1 <= len(value) <= MAX_CHANGES:
        expected = f"a list of 1 to {MAX_CHANGES} changes"
        found = schema.describe_value(value)
        if isinstance(value, list):
            found = f"{len(value)} changes"
        return [schema.Problem("changes", expected, found)]
    problems: schema.Problems = []
    for index, change in enumerate(value):
        problems += _change_problems(change, f"changes[{index}]")
    return problems + _duplicate_problems(value)


def _change_problems(value: Any, path: str) -> schema.Problems:
    if not isinstance(value, Mapping):
        return [schema.Problem(path, "an object", schema.describe_value(value))]
    known = [field.name for field in attrs.fields(Change)]
    problems = schema.unknown_keys(value, known, path)
    problems += _missing_keys(value, known, path)
    problems += _text_problems(value, "name", path, MAX_NAME_CHARACTERS)
    problems += _number_problems(value, "replaces", path, minimum=0)
    if "kind" not in value:
        return problems
    field_path = schema.join_path(path, "kind")
    bad_kind = schema.check(value["kind"], objects.ObjectKind, field_path)
    if bad_kind or "state" not in value:
        return problems + bad_kind
    return problems + _state_problems(value, path)


def _state_problems(value: Mapping[str, Any], path: str) -> schema.Problems:
    kind = objects.ObjectKind(value["kind"])
    field_path = schema.join_path(path, "state")
    state = value["state"]
    if state is None:
        if value.get("replaces") == 0:
            expected = "an object, as a new one can't be removed"
            return [schema.Problem(field_path, expected, "null")]
        return []
    if not isinstance(state, Mapping):
        return [
            schema.Problem(
                field_path, EXPECTED_STATE, schema.describe_value(state)
            )
        ]
    object_class = objects.CLASS_BY_KIND[kind]
    problems = schema.check(state, object_class, field_path)
    if problems:
        return problems
    found = msgspec.convert(state, type=object_class)
    return object_rules.problems(value.get("name"), found, path)


def _missing_keys(
    value: Mapping[str, Any], known: list[str], path: str
) -> schema.Problems:
    return [
        schema.Problem(schema.join_path(path, key), "a value", "nothing")
        for key in known
        if key not in value
    ]


def _number_problems(
    value: Mapping[str, Any], key: str, path: str, minimum: int
) -> schema.Problems:
    if key not in value:
        return []
    number = value[key]
    if type(number) is int and minimum <= number <= MAX_INTEGER:
        return []
    expected = f"a whole number from {minimum}"
    return [schema.Problem(schema.join_path(path, key), expected, repr(number))]


def _text_problems(
    value: Mapping[str, Any], key: str, path: str, max_length: int
) -> schema.Problems:
    if key not in value:
        return []
    text = value[key]
    usable = isinstance(text, str) and text.strip() and text.isprintable()
    if usable and len(text) <= max_length:
        return []
    expected = f"a text of 1 to {max_length} printable characters"
    field_path = schema.join_path(path, key)
    return [schema.Problem(field_path, expected, schema.describe_value(text))]


def _duplicate_problems(changes: list[Any]) -> schema.Problems:
    """Returns a problem for each object that a ticket changes twice."""
    problems: schema.Problems = []
    seen: set[tuple[str, str]] = set()
    for index, change in enumerate(changes):
        if not isinstance(change, Mapping):
            continue
        key = (str(change.get("kind")), str(change.get("name")))
        if key in seen:
            problems.append(
                schema.Problem(
                    f"changes[{index}]",
                    "each object once in a ticket",
                    f"{key[0]} {key[1]!r} again",
                )
            )
        seen.add(key)
    return problems


def format_problems(problems: typing.Iterable[schema.Problem]) -> str:
    """Formats problems as one line."""
    return "; ".join(map(str, problems))

"""Validates a JSON value against an attrs class, reporting all errors."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import difflib
import enum
import types
import typing
from typing import Any

import attrs

MAX_SHOWN_CHARACTERS = 60
UNKNOWN_KEY = "unknown key"


@attrs.frozen
class Problem:
    """One error in a JSON value.

    Attributes:
        path: Path of the value, such as `changes[0].state.slots`.
        expected: Description of a valid value.
        found: Description of the actual value.
        nearest: Known name closest to an unknown one; empty for none.
    """

    path: str
    expected: str
    found: str
    nearest: str = ""

    def __str__(self) -> str:
        text = f"{self.path}: expected {self.expected}, found {self.found}"
        if self.nearest:
            text += f"; did you mean {self.nearest!r}?"
        return text


Problems = list[Problem]
_Checker = Callable[[Any, str, Any], Problems]


def check(value: Any, expected: Any, path: str) -> Problems:
    """Returns all problems of a value of an expected type.

    Args:
        value: A value as decoded from JSON.
        expected: `int`, `float`, `str`, `bool`, an enum of strings,
            `tuple[T, ...]` or an attrs class of such fields.
        path: Path of `value`, for the messages.
    """
    if typing.get_origin(expected) is tuple:
        return _check_list(value, typing.get_args(expected)[0], path)
    if attrs.has(expected):
        return _check_object(value, expected, path)
    if issubclass(expected, enum.StrEnum):
        return _check_enum(value, expected, path)
    if type(value) is expected or (expected is float and type(value) is int):
        return []
    return [Problem(path, _TYPE_NAMES[expected], describe_value(value))]


def unknown_keys(
    value: Mapping[str, Any], known: list[str], path: str
) -> Problems:
    """Returns a problem for each key of `value` that is not in `known`."""
    problems: Problems = []
    for key in value:
        if key not in known:
            matches = difflib.get_close_matches(key, known, n=1)
            expected = "one of " + ", ".join(known)
            problems.append(
                Problem(
                    join_path(path, key),
                    expected,
                    f"{UNKNOWN_KEY} {key!r}",
                    matches[0] if matches else "",
                )
            )
    return problems


def join_path(path: str, key: str) -> str:
    """Returns the path of a member of the value at `path`."""
    return f"{path}.{key}" if path else key


def describe_value(value: Any) -> str:
    """Returns a short description of a JSON value for messages."""
    if value is None:
        return "null"
    if isinstance(value, Mapping):
        return "an object"
    if isinstance(value, list):
        return "a list"
    text = repr(value)
    if len(text) > MAX_SHOWN_CHARACTERS:
        text = text[:MAX_SHOWN_CHARACTERS] + "..."
    return text


_TYPE_NAMES: Mapping[type, str] = types.MappingProxyType(
    {
        int: "a whole number",
        float: "a number",
        str: "a text",
        bool: "true or false",
    }
)


def _check_list(value: Any, item: Any, path: str) -> Problems:
    if not isinstance(value, list):
        return [Problem(path, "a list", describe_value(value))]
    return [
        problem
        for index, element in enumerate(value)
        for problem in check(element, item, f"{path}[{index}]")
    ]


def _check_enum(
    value: Any, expected: type[enum.StrEnum], path: str
) -> Problems:
    values = [str(member) for member in expected]
    if value in values:
        return []
    matches = difflib.get_close_matches(str(value), values, n=1)
    return [
        Problem(
            path,
            "one of " + ", ".join(values),
            describe_value(value),
            matches[0] if matches else "",
        )
    ]


def _check_object(value: Any, expected: type, path: str) -> Problems:
    if not isinstance(value, Mapping):
        return [Problem(path, "an object", describe_value(value))]
    hints = typing.get_type_hints(expected)
    fields = attrs.fields(expected)
    known = [field.name for field in fields]
    problems = unknown_keys(value, known, path)
    for field in fields:
        field_path = join_path(path, field.name)
        if field.name in value:
            problems += check(value[field.name], hints[field.name], field_path)
        elif field.default is attrs.NOTHING:
            problems.append(Problem(field_path, "a value", "nothing"))
    return problems

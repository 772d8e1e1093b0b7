"""Checks a JSON value against an attrs class and finds all errors at once."""

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
        path: Where, as in `changes[0].state.slots`.
        expected: What should stand there.
        found: What stands there.
        nearest: The known key nearest to an unknown one, or empty.
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
    """Returns all problems of `value` as an instance of a type.

    Args:
        value: A value as decoded from JSON.
        expected: `int`, `float`, `str`, `bool`, an enum of strings,
            `tuple[T, ...]` or an attrs class of such fields.
        path: Where `value` stands, for the messages.
    """
    if typing.get_origin(expected) is tuple:
        return _check_list(value, typing.get_args(expected)[0], path)
    if attrs.has(expected):
        return _check_object(value, expected, path)
    if issubclass(expected, enum.StrEnum):
        return _check_enum(value, expected, path)
    if type(value) is expected or (expected is float and type(value) is int):
        return []
    return [Problem(path, _NAMES[expected], describe_value(value))]


def unknown_keys(
    value: Mapping[str, Any], known: list[str], path: str
) -> Problems:
    """A problem for each key of `value` that is not among the known ones."""
    problems: Problems = []
    for key in value:
        if key not in known:
            near = difflib.get_close_matches(key, known, n=1)
            expected = "one of " + ", ".join(known)
            problems.append(
                Problem(
                    join_path(path, key),
                    expected,
                    f"{UNKNOWN_KEY} {key!r}",
                    near[0] if near else "",
                )
            )
    return problems


def join_path(path: str, key: str) -> str:
    """The path of a member of the value at `path`."""
    return f"{path}.{key}" if path else key


def describe_value(value: Any) -> str:
    """A short text for a value found."""
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


_NAMES: Mapping[type, str] = types.MappingProxyType(
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
    words = [str(member) for member in expected]
    if value in words:
        return []
    near = difflib.get_close_matches(str(value), words, n=1)
    return [
        Problem(
            path,
            "one of " + ", ".join(words),
            describe_value(value),
            near[0] if near else "",
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
        where = join_path(path, field.name)
        if field.name in value:
            problems += check(value[field.name], hints[field.name], where)
        elif field.default is attrs.NOTHING:
            problems.append(Problem(where, "a value", "nothing"))
    return problems

"""Checks a decoded JSON value against attrs classes, every error at once."""

from __future__ import annotations

from collections.abc import Iterable
import difflib
import json
import types
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints
from typing import Union

import attrs
import msgspec

Path = tuple[str | int, ...]

MAX_FOUND_LETTERS = 60
_WORD_BY_TYPE = {
    str: "text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    type(None): "null",
}


@attrs.frozen
class Problem:
    """One thing wrong with a value.

    Attributes:
        path: Keys and indexes from the root to the value.
        expected: What should stand there.
        found: What stands there.
        at_key: Whether the key is at fault, not the value.
    """

    path: Path
    expected: str
    found: str
    at_key: bool = False


def check(value: Any, kind: Any, path: Path = ()) -> list[Problem]:
    """Returns every difference between a value and a class or type."""
    if kind is Any:
        return []
    if attrs.has(kind):
        return _check_object(value, kind, path)
    if get_origin(kind) is tuple:
        return _check_array(value, get_args(kind)[0], path)
    if get_origin(kind) in (Union, types.UnionType):
        return _check_union(value, get_args(kind), path)
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError:
        return [Problem(path, _type_words(kind), describe(value))]
    return []


def describe(value: Any) -> str:
    """A value as JSON, short enough for an error line."""
    text = json.dumps(value, ensure_ascii=False)
    if len(text) > MAX_FOUND_LETTERS:
        return text[:MAX_FOUND_LETTERS] + "..."
    return text


def nearest(name: str, known: Iterable[str]) -> str:
    """A hint with the nearest known name, or with all when none is near."""
    names = sorted(known)
    close = difflib.get_close_matches(name, names, n=1)
    if close:
        return f"{close[0]!r} (the nearest known name)"
    return "one of " + ", ".join(names)


def _check_object(value: Any, kind: type, path: Path) -> list[Problem]:
    if not isinstance(value, dict):
        return [Problem(path, "an object", describe(value))]
    hints = get_type_hints(kind)
    fields = {field.name: field for field in attrs.fields(kind)}
    problems = []
    for key, member in value.items():
        here = (*path, key)
        if key in fields:
            problems.extend(check(member, hints[key], here))
        else:
            expected = nearest(key, fields)
            problems.append(Problem(here, expected, f"{key!r}", at_key=True))
    for name, field in fields.items():
        if name not in value and field.default is attrs.NOTHING:
            problems.append(Problem((*path, name), _needed(name), "nothing"))
    return problems


def _needed(name: str) -> str:
    return f"a member {name!r}"


def _check_array(value: Any, kind: Any, path: Path) -> list[Problem]:
    if not isinstance(value, list):
        return [Problem(path, "an array", describe(value))]
    problems = []
    for index, member in enumerate(value):
        problems.extend(check(member, kind, (*path, index)))
    return problems


def _check_union(
    value: Any, kinds: tuple[Any, ...], path: Path
) -> list[Problem]:
    problems: list[Problem] = []
    for kind in kinds:
        problems = check(value, kind, path)
        if not problems:
            return []
    concrete = [kind for kind in kinds if kind is not type(None)]
    if len(concrete) == 1:
        return check(value, concrete[0], path)
    return problems


def _type_words(kind: Any) -> str:
    members = getattr(kind, "__members__", None)
    if members is not None:
        return "one of " + ", ".join(member.value for member in kind)
    return _WORD_BY_TYPE.get(kind, getattr(kind, "__name__", str(kind)))

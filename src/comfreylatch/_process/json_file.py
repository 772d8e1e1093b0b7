"""Reads JSON-with-comments files and reports the position of each error."""

from __future__ import annotations

from collections.abc import Callable
import pathlib
from typing import Any

import attrs
import result

from comfreylatch._version import schema

MAX_FILE_BYTES = 4 * 1024 * 1024
MAX_NESTING_DEPTH = 64

Checker = Callable[[Any], schema.Problems]


@attrs.frozen
class LocatedError:
    """One error of a file.

    Attributes:
        file: Name of the file as given.
        line: Line from 1; 0 if the file could not be read.
        column: Column from 1, in characters; 0 if the file could not be read.
        key: Dotted path of the value; empty for the whole file.
        expected: Description of a valid value.
        found: Description of the value or text found.
        nearest: The known name nearest to an unknown one, or empty.
    """

    file: str
    line: int
    column: int
    key: str
    expected: str
    found: str
    nearest: str = ""

    def __str__(self) -> str:
        position = f"{self.file}:{self.line}:{self.column}"
        key = f"{self.key}: " if self.key else ""
        text = f"{position}: {key}expected {self.expected}, found {self.found}"
        if self.nearest:
            text += f"; did you mean {self.nearest!r}?"
        return text


@attrs.frozen
class FileErrors:
    """All errors of one file, in text order."""

    errors: tuple[LocatedError, ...]


def read(path: str, checker: Checker) -> result.Result[Any, FileErrors]:
    """Reads a file and returns its value if `checker` finds no problem."""
    match _read_text(path):
        case result.Err(detail):
            error = LocatedError(path, 0, 0, "", "a readable file", detail)
            return result.Err(FileErrors((error,)))
        case result.Ok(text):
            return decode(text, path, checker)


def decode(
    text: str, file: str, checker: Checker
) -> result.Result[Any, FileErrors]:
    """Like `read`, for a text; `file` is the name used in errors."""
    import jsonc

    repeated: list[str] = []

    def build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        value = dict(pairs)
        if len(value) != len(pairs):
            repeated.append(file)
        return value

    try:
        value = jsonc.loads(
            text,
            object_pairs_hook=build_object,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError):
        return result.Err(_syntax_errors(text, file))
    if _depth(value) > MAX_NESTING_DEPTH:
        error = LocatedError(file, 1, 1, "", "fewer levels", "deep nesting")
        return result.Err(FileErrors((error,)))
    problems = checker(value)
    if problems or repeated:
        return result.Err(_locate_problems(text, file, problems))
    return result.Ok(value)


def _read_text(path: str) -> result.Result[str, str]:
    try:
        content = pathlib.Path(path).read_bytes()
        if len(content) > MAX_FILE_BYTES:
            return result.Err(f"a file of more than {MAX_FILE_BYTES} bytes")
        return result.Ok(content.decode("utf-8-sig"))
    except OSError as error:
        return result.Err(error.strerror or str(error))
    except UnicodeDecodeError as error:
        return result.Err(f"a byte at offset {error.start} that is not UTF-8")


def _reject_constant(word: str) -> Any:
    raise ValueError(f"{word} is not JSON")


def _depth(value: Any) -> int:
    deepest = 0
    pending = [(value, 1)]
    while pending:
        current, depth = pending.pop()
        deepest = max(deepest, depth)
        if isinstance(current, dict):
            pending.extend((each, depth + 1) for each in current.values())
        elif isinstance(current, list):
            pending.extend((each, depth + 1) for each in current)
    return deepest


def _syntax_errors(text: str, file: str) -> FileErrors:
    from comfreylatch._process import json_positions

    problem = json_positions.SyntaxTree(text).syntax_problem()
    error = LocatedError(
        file=file,
        line=problem.position.line,
        column=problem.position.column,
        key="",
        expected=problem.expected,
        found=problem.found,
    )
    return FileErrors((error,))


def _locate_problems(
    text: str, file: str, problems: schema.Problems
) -> FileErrors:
    from comfreylatch._process import json_positions

    syntax_tree = json_positions.SyntaxTree(text)
    errors = []
    for problem in problems:
        is_key = problem.found.startswith(schema.UNKNOWN_KEY)
        find = syntax_tree.key_position if is_key else syntax_tree.position
        position = find(problem.path)
        errors.append(
            LocatedError(
                file=file,
                line=position.line,
                column=position.column,
                key=problem.path,
                expected=problem.expected,
                found=problem.found,
                nearest=problem.nearest,
            )
        )
    for path, position in syntax_tree.duplicate_keys():
        expected = "each key once"
        found = "a repeated key"
        errors.append(
            LocatedError(
                file, position.line, position.column, path, expected, found
            )
        )
    errors.sort(key=lambda error: (error.line, error.column))
    return FileErrors(tuple(errors))

"""Positions of keys and values in a JSON-with-comments text.

Imported only when an error has to be located.
"""

from __future__ import annotations

from collections.abc import Iterator
import json
from typing import Any

import attrs
import tree_sitter
import tree_sitter_json

_LANGUAGE = tree_sitter.Language(tree_sitter_json.language())
_VALUE_TYPES = frozenset(
    {"object", "array", "string", "number", "true", "false", "null"}
)


@attrs.frozen
class Position:
    """A line and a column in a text, from 1, in characters."""

    line: int
    column: int


@attrs.frozen
class SyntaxProblem:
    """Position of a syntax error, with what was expected and found."""

    position: Position
    expected: str
    found: str


@attrs.frozen
class _Member:
    """A member of an object or array; its label is `.key` or `[index]`."""

    label: str
    key: tree_sitter.Node | None
    value: tree_sitter.Node


class SyntaxTree:
    """The syntax tree of one text."""

    def __init__(self, text: str) -> None:
        self._source = text.encode("utf-8")
        tree = tree_sitter.Parser(_LANGUAGE).parse(self._source)
        self._tree = tree
        self._lines = self._source.split(b"\n")

    def position(self, path: str) -> Position:
        """Position of a value, or of the innermost existing value around it.

        Args:
            path: A path such as `changes[0].state.slots`.
        """
        _, value = self._find(path)
        return Position(1, 1) if value is None else self._start(value)

    def key_position(self, path: str) -> Position:
        """Like `position`, but for the key of the value."""
        key, _ = self._find(path)
        return self.position(path) if key is None else self._start(key)

    def duplicate_keys(self) -> list[tuple[str, Position]]:
        """Path and position of every key that repeats one of its object."""
        root = _first_value(self._tree.root_node)
        return [] if root is None else self._duplicates(root, "")

    def _find(
        self, path: str
    ) -> tuple[tree_sitter.Node | None, tree_sitter.Node | None]:
        """Finds the key and value at a path, as deep as the text has it."""
        key = None
        value = _first_value(self._tree.root_node)
        rest = path
        while rest and value is not None:
            step = _resolve_step(value, rest)
            if step is None:
                break
            key, value, rest = step
        return key, value

    def syntax_problem(self) -> SyntaxProblem:
        """Locates the first error of a text that isn't JSON with comments."""
        blanked = self._blank_comments_and_trailing_commas()
        try:
            json.loads(blanked, parse_constant=_reject_constant)
        except RecursionError:
            return SyntaxProblem(Position(1, 1), "fewer levels", "deep nesting")
        except json.JSONDecodeError as error:
            lines = blanked.split("\n")
            rest = lines[error.lineno - 1][error.colno - 1 :].strip()
            return SyntaxProblem(
                Position(error.lineno, error.colno),
                _expectation(error.msg),
                repr(rest[:20]) if rest else "the end of the line",
            )
        except ValueError as error:
            word = str(error)
            return SyntaxProblem(self._position_of(word), "a JSON value", word)
        return SyntaxProblem(Position(1, 1), "JSON with comments", "other text")

    def _position_of(self, word: str) -> Position:
        for row, line in enumerate(self._lines):
            column = line.decode("utf-8", "replace").find(word)
            if column >= 0:
                return Position(row + 1, column + 1)
        return Position(1, 1)

    def _start(self, node: tree_sitter.Node) -> Position:
        row, byte_column = node.start_point
        before = self._lines[row][:byte_column]
        return Position(row + 1, len(before.decode("utf-8", "replace")) + 1)

    def _duplicates(
        self, node: tree_sitter.Node, path: str
    ) -> list[tuple[str, Position]]:
        duplicates = []
        seen_labels = set()
        for member in _members(node):
            member_path = (
                path + member.label if path else member.label.lstrip(".")
            )
            if member.key is not None and member.label in seen_labels:
                duplicates.append((member_path, self._start(member.key)))
            seen_labels.add(member.label)
            duplicates.extend(self._duplicates(member.value, member_path))
        return duplicates

    def _blank_comments_and_trailing_commas(self) -> str:
        """Converts the text to strict JSON with unchanged positions."""
        blanked = bytearray(self._source)
        comma = None
        for leaf in _leaves(self._tree.root_node):
            if leaf.type == "comment":
                _blank(blanked, leaf)
                continue
            if leaf.type in ("}", "]") and comma is not None:
                _blank(blanked, comma)
            if not leaf.is_missing:
                comma = leaf if leaf.type == "," else None
        return blanked.decode("utf-8", "replace")


def _reject_constant(word: str) -> Any:
    raise ValueError(word)


def _blank(source: bytearray, node: tree_sitter.Node) -> None:
    text = bytes(source[node.start_byte : node.end_byte]).decode("utf-8")
    spaces = "".join("\n" if char == "\n" else " " for char in text)
    # The padding keeps the byte offsets of later nodes unchanged.
    padding = len(text.encode("utf-8")) - len(spaces)
    source[node.start_byte : node.end_byte] = (spaces + " " * padding).encode()


def _leaves(node: tree_sitter.Node) -> Iterator[tree_sitter.Node]:
    pending = [node]
    while pending:
        current = pending.pop()
        if current.children and current.type != "string":
            pending.extend(reversed(current.children))
        else:
            yield current


def _first_value(root: tree_sitter.Node) -> tree_sitter.Node | None:
    for child in root.children:
        if child.type in _VALUE_TYPES:
            return child
    return None


def _pairs(node: tree_sitter.Node) -> list[tree_sitter.Node]:
    if node.type != "object":
        return []
    return [child for child in node.children if child.type == "pair"]


def _key(pair: tree_sitter.Node) -> str:
    try:
        return json.loads(pair.children[0].text)
    except ValueError:
        return ""


def _members(node: tree_sitter.Node) -> list[_Member]:
    if node.type == "array":
        values = [each for each in node.children if each.type in _VALUE_TYPES]
        return [
            _Member(f"[{index}]", None, value)
            for index, value in enumerate(values)
        ]
    return [
        _Member(f".{_key(pair)}", pair.children[0], pair.children[-1])
        for pair in _pairs(node)
    ]


def _resolve_step(
    node: tree_sitter.Node, path: str
) -> tuple[tree_sitter.Node | None, tree_sitter.Node, str] | None:
    """Finds the member at the start of a path, and the rest of the path."""
    resolved = None
    suffix = path if path.startswith("[") else f".{path.removeprefix('.')}"
    for member in _members(node):
        rest = suffix[len(member.label) :]
        if suffix.startswith(member.label) and rest[:1] in ("", ".", "["):
            # The last member of a name overrides the earlier ones.
            resolved = (member.key, member.value, rest)
    return resolved


def _expectation(message: str) -> str:
    if message.startswith("Expecting "):
        return message.removeprefix("Expecting ")
    return f"JSON with comments ({message})"

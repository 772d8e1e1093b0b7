"""Lines and columns of the parts of a JSON-with-comments text.

Only needed to place an error, so it is imported when there is one.
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
    """A place in a text; line and column count from 1, in characters."""

    line: int
    column: int


@attrs.frozen
class SyntaxProblem:
    """Where a text stops being JSON with comments, and what was expected."""

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
        """Position of a value, or of the nearest value around it.

        Args:
            path: As in `changes[0].state.slots`.
        """
        _, value = self._find(path)
        return Position(1, 1) if value is None else self._start(value)

    def key_position(self, path: str) -> Position:
        """Like `position`, but of the key that names the value."""
        key, _ = self._find(path)
        return self.position(path) if key is None else self._start(key)

    def duplicate_keys(self) -> list[tuple[str, Position]]:
        """Path and place of every key that its object has had before."""
        root = _first_value(self._tree.root_node)
        return [] if root is None else self._duplicates(root, "")

    def _find(
        self, path: str
    ) -> tuple[tree_sitter.Node | None, tree_sitter.Node | None]:
        """The key and the value at a path, as far as the text has them."""
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
        """The first error of a text that is not JSON with comments."""
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
        found = []
        seen = set()
        for member in _members(node):
            member_path = (
                path + member.label if path else member.label.lstrip(".")
            )
            if member.key is not None and member.label in seen:
                found.append((member_path, self._start(member.key)))
            seen.add(member.label)
            found.extend(self._duplicates(member.value, member_path))
        return found

    def _blank_comments_and_trailing_commas(self) -> str:
        """The text with the same positions, as strict JSON."""
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
    # Padding keeps byte offsets of later nodes right.
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
    """The member that a path leads to, and the rest of the path."""
    found = None
    suffix = path if path.startswith("[") else f".{path.removeprefix('.')}"
    for member in _members(node):
        rest = suffix[len(member.label) :]
        if suffix.startswith(member.label) and rest[:1] in ("", ".", "["):
            # A later member of the same name is the one in force.
            found = (member.key, member.value, rest)
    return found


def _expectation(message: str) -> str:
    if message.startswith("Expecting "):
        return message.removeprefix("Expecting ")
    return f"JSON with comments ({message})"

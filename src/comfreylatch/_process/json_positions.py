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

Path = tuple[str | int, ...]

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


class Outline:
    """The syntax tree of one text."""

    def __init__(self, text: str) -> None:
        self._source = text.encode("utf-8")
        tree = tree_sitter.Parser(_LANGUAGE).parse(self._source)
        self._tree = tree
        self._lines = self._source.split(b"\n")

    def position(self, path: Path) -> Position:
        """Position of a value, or of the nearest value around it."""
        node = _first_value(self._tree.root_node)
        for step in path:
            inner = None if node is None else _child(node, step)
            if inner is None:
                break
            node = inner
        return Position(1, 1) if node is None else self._start(node)

    def key_position(self, path: Path) -> Position:
        """Position of the key that names a member of an object."""
        parent = _first_value(self._tree.root_node)
        for step in path[:-1]:
            parent = None if parent is None else _child(parent, step)
        if parent is None:
            return self.position(path)
        for pair in _pairs(parent):
            if _key(pair) == path[-1]:
                return self._start(pair.children[0])
        return self._start(parent)

    def duplicate_keys(self) -> list[tuple[Path, Position]]:
        """Every key that stands a second time in its object."""
        root = _first_value(self._tree.root_node)
        return [] if root is None else self._duplicates(root, ())

    def syntax_problem(self) -> SyntaxProblem:
        """The first error of a text that is not JSON with comments."""
        blanked = self._blank_comments_and_trailing_commas()
        try:
            json.loads(blanked, parse_constant=_no_constant)
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
            return SyntaxProblem(self._find(word), "a JSON value", word)
        return SyntaxProblem(Position(1, 1), "JSON with comments", "other text")

    def _find(self, word: str) -> Position:
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
        self, node: tree_sitter.Node, path: Path
    ) -> list[tuple[Path, Position]]:
        found = []
        seen = set()
        for pair in _pairs(node):
            key = _key(pair)
            if key in seen:
                place = self._start(pair.children[0])
                found.append(((*path, key), place))
            seen.add(key)
        for step, value in _members(node):
            found.extend(self._duplicates(value, (*path, step)))
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


def _no_constant(word: str) -> Any:
    raise ValueError(word)


def _blank(source: bytearray, node: tree_sitter.Node) -> None:
    text = bytes(source[node.start_byte : node.end_byte]).decode("utf-8")
    spaces = "".join("\n" if letter == "\n" else " " for letter in text)
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


def _members(
    node: tree_sitter.Node,
) -> list[tuple[str | int, tree_sitter.Node]]:
    if node.type == "array":
        values = [each for each in node.children if each.type in _VALUE_TYPES]
        return list(enumerate(values))
    return [(_key(pair), pair.children[-1]) for pair in _pairs(node)]


def _child(node: tree_sitter.Node, step: str | int) -> tree_sitter.Node | None:
    found = None
    for name, value in _members(node):
        if name == step:
            found = value
    return found


def _expectation(message: str) -> str:
    if message.startswith("Expecting "):
        return message.removeprefix("Expecting ")
    return f"JSON with comments ({message})"

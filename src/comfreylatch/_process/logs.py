"""Structured logs: one line per event, with its fields as `key=value`."""

from __future__ import annotations

import json
import sys
from typing import Any
from typing import Final
from typing import final
from typing import Self
from typing import TextIO

import logbook
from logbook import handlers

MAX_VALUE_CHARS = 500

_LINE_FORMAT: Final = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z level={record.level_name} "
    "logger={record.channel} {record.message}"
)
_UNQUOTED_CHARS: Final = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+@[],%"
)


@final
class _SingleLineFormatter(handlers.StringFormatter):
    """Formats every event on one line, with its traceback if it has one."""

    def __call__(
        self, record: logbook.LogRecord, handler: logbook.Handler
    ) -> str:
        line = self.format_record(record, handler)
        traceback = self.format_exception(record)
        if traceback:
            line += f" traceback={json.dumps(traceback)}"
        return line.replace("\r", "\\r").replace("\n", "\\n")


@final
class TextLogOutput:
    """Writes the lines of every logger to a text stream.

    Use as a context manager; lines are written while it is entered.

    Args:
        level: One of logbook's level names, in lower case.
        stream: Stream for the lines; standard error if None.
    """

    def __init__(self, level: str, stream: TextIO | None = None) -> None:
        self._handler = logbook.StreamHandler(
            stream or sys.stderr,
            level=logbook.lookup_level(level.upper()),
        )
        self._handler.formatter = _SingleLineFormatter(_LINE_FORMAT)

    def __enter__(self) -> Self:
        self._handler.push_application()
        return self

    def __exit__(self, *exception: object) -> None:
        self._handler.pop_application()
        self._handler.flush()


def event(logger: logbook.Logger, name: str, /, **fields: Any) -> None:
    """Logs an event at level info."""
    logger.info(LogEvent(name, fields))


def debug(logger: logbook.Logger, name: str, /, **fields: Any) -> None:
    """Logs an event at level debug."""
    logger.debug(LogEvent(name, fields))


def warning(logger: logbook.Logger, name: str, /, **fields: Any) -> None:
    """Logs a condition that an operator should check, at level warning."""
    logger.warning(LogEvent(name, fields))


def error(logger: logbook.Logger, name: str, /, **fields: Any) -> None:
    """Logs a fault of this process, at level error."""
    logger.error(LogEvent(name, fields))


def exception(logger: logbook.Logger, name: str, /, **fields: Any) -> None:
    """Logs the exception being handled with its traceback, at level error."""
    logger.exception(LogEvent(name, fields))


class LogEvent:
    """An event with its fields; formatted only if a handler needs the text.

    Attributes:
        name: Name of the event.
        fields: Values of its fields by name.
    """

    def __init__(self, name: str, fields: dict[str, Any]) -> None:
        self.name = name
        self.fields = fields

    def __str__(self) -> str:
        parts = [f"event={self.name}"]
        for key, value in self.fields.items():
            parts.append(f"{key}={_quoted(value)}")
        return " ".join(parts)


def _quoted(value: Any) -> str:
    text = str(value)
    if len(text) > MAX_VALUE_CHARS:
        text = text[:MAX_VALUE_CHARS] + "..."
    if text and _UNQUOTED_CHARS.issuperset(text):
        return text
    return json.dumps(text, ensure_ascii=False)

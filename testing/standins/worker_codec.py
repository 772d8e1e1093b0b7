"""Decodes exchanges in the format of docs/PLATFORM.md."""

from __future__ import annotations

from typing import Any

import attrs
import msgspec

from comfreylatch._ports import workers

COMMAND_CLASSES: dict[str, type] = {
    "start": workers.StartTask,
    "stop": workers.StopTask,
    "checkpoint": workers.CheckpointTask,
    "throttle": workers.ThrottleTask,
    "forget": workers.ForgetTask,
}


@attrs.frozen
class _Header:
    owner: str
    term: int
    quoted_report: int
    lease_ms: int = 0


def decode(body: bytes) -> workers.Exchange:
    """Decodes one exchange; raises ValueError for a malformed one."""
    raw = msgspec.json.decode(body)
    if not isinstance(raw, dict):
        raise ValueError("an exchange must be an object")
    header = msgspec.convert(raw, _Header)
    return workers.Exchange(
        owner=header.owner,
        term=header.term,
        quoted_report=header.quoted_report,
        lease_ms=header.lease_ms,
        commands=tuple(
            _decode_command(command) for command in raw.get("commands") or ()
        ),
    )


def _decode_command(raw: Any) -> workers.Command:
    if not isinstance(raw, dict) or len(raw) != 1:
        raise ValueError("a command must be an object with exactly one member")
    ((name, fields),) = raw.items()
    if name not in COMMAND_CLASSES:
        raise ValueError(f"unknown command {name!r}")
    command: workers.Command = msgspec.convert(fields, COMMAND_CLASSES[name])
    return command

"""Reads and checks the settings file of an entry host."""

from __future__ import annotations

import collections
from collections.abc import Iterator
from typing import Any

import attrs
import msgspec
import result

from comfreylatch._connection import address as addresses
from comfreylatch._process import json_file
from comfreylatch._process import settings as settings_module
from comfreylatch._process import shapes

MAX_THREADS = 1_024
MIN_THREADS = 2
MAX_TIMING_MS = 3_600_000
LOG_LEVELS = (
    "trace",
    "debug",
    "info",
    "notice",
    "warning",
    "error",
    "critical",
)

SettingsErrors = json_file.FileErrors

_ADDRESS_PATHS: tuple[shapes.Path, ...] = (
    ("caller_address",),
    ("operator_address",),
    ("peer_address",),
    ("platform", "log_address"),
    ("platform", "host_list_address"),
)


def load(
    path: str,
) -> result.Result[settings_module.Settings, SettingsErrors]:
    """Loads a file; Err holds every error of it, with line and column."""
    match json_file.read(path, check):
        case result.Err() as refused:
            return refused
        case result.Ok(value):
            return result.Ok(msgspec.convert(value, settings_module.Settings))


def check(value: Any) -> list[shapes.Problem]:
    """Returns everything wrong with a decoded settings file."""
    problems = shapes.check(value, settings_module.Settings)
    if not isinstance(value, dict):
        return problems
    wrong = {problem.path for problem in problems}
    for problem in _value_problems(value):
        if problem.path not in wrong:
            problems.append(problem)
    return problems


def _value_problems(value: dict[str, Any]) -> Iterator[shapes.Problem]:
    yield from _names(value)
    yield from _addresses(value)
    yield from _timing(value)
    yield from _ranges(value)
    yield from _seats(value)


def _at(value: Any, path: shapes.Path) -> Any:
    """The value at a path; None when it, or a part of the way, is absent."""
    for step in path:
        if isinstance(step, str) and isinstance(value, dict):
            value = value.get(step)
        elif isinstance(step, int) and isinstance(value, list):
            value = value[step]
        else:
            return None
    return value


def _peers(value: dict[str, Any]) -> list[tuple[int, dict[str, Any]]]:
    listed = value.get("peers")
    if not isinstance(listed, list):
        return []
    return [
        (index, peer)
        for index, peer in enumerate(listed)
        if isinstance(peer, dict)
    ]


def _names(value: dict[str, Any]) -> Iterator[shapes.Problem]:
    paths: list[shapes.Path] = [("seat",), ("zone",)]
    for index, _ in _peers(value):
        paths.append(("peers", index, "seat"))
        paths.append(("peers", index, "zone"))
    for path in paths:
        name = _at(value, path)
        if isinstance(name, str) and not name.strip():
            yield shapes.Problem(path, "a name", shapes.describe(name))


def _addresses(value: dict[str, Any]) -> Iterator[shapes.Problem]:
    paths = list(_ADDRESS_PATHS)
    for index, _ in _peers(value):
        paths.append(("peers", index, "peer_address"))
    for path in paths:
        text = _at(value, path)
        if not isinstance(text, str):
            continue
        expected = "IP:port, such as 10.0.0.5:8080"
        match addresses.parse(text):
            case result.Err(bad):
                yield shapes.Problem(path, expected, bad.detail)
            case result.Ok(parsed) if parsed.port == 0:
                yield shapes.Problem(path, "a port from 1 on", text)
    yield from _repeated_listeners(value)


def _repeated_listeners(value: dict[str, Any]) -> Iterator[shapes.Problem]:
    names = ("caller_address", "operator_address", "peer_address")
    first_by_text: dict[str, str] = {}
    for name in names:
        text = value.get(name)
        if not isinstance(text, str):
            continue
        if text in first_by_text:
            expected = f"an address other than {first_by_text[text]}"
            yield shapes.Problem((name,), expected, text)
        first_by_text.setdefault(text, name)


def _timing(value: dict[str, Any]) -> Iterator[shapes.Problem]:
    for field in attrs.fields(settings_module.TimingSettings):
        path = ("timing", field.name)
        duration_ms = _at(value, path)
        if not _is_int(duration_ms):
            continue
        if not 1 <= duration_ms <= MAX_TIMING_MS:
            expected = f"1 to {MAX_TIMING_MS} milliseconds"
            yield shapes.Problem(path, expected, str(duration_ms))


def _ranges(value: dict[str, Any]) -> Iterator[shapes.Problem]:
    threads = value.get("threads")
    if _is_int(threads) and not MIN_THREADS <= threads <= MAX_THREADS:
        expected = f"{MIN_THREADS} to {MAX_THREADS} threads"
        yield shapes.Problem(("threads",), expected, str(threads))
    level = value.get("log_level")
    if isinstance(level, str) and level not in LOG_LEVELS:
        expected = "one of " + ", ".join(LOG_LEVELS)
        yield shapes.Problem(("log_level",), expected, shapes.describe(level))


def _is_int(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _seats(value: dict[str, Any]) -> Iterator[shapes.Problem]:
    own = value.get("seat")
    uses: collections.Counter[str] = collections.Counter()
    used_addresses: set[str] = set()
    for index, peer in _peers(value):
        seat = peer.get("seat")
        path = ("peers", index, "seat")
        if isinstance(seat, str):
            uses[seat] += 1
            if seat == own:
                yield shapes.Problem(path, "other seats only", f"own {seat!r}")
            elif uses[seat] > 1:
                yield shapes.Problem(path, "each seat once", f"{seat!r} again")
        peer_address = peer.get("peer_address")
        if isinstance(peer_address, str):
            if peer_address in (value.get("peer_address"), *used_addresses):
                yield shapes.Problem(
                    ("peers", index, "peer_address"),
                    "an address of its own",
                    f"{peer_address!r} again",
                )
            used_addresses.add(peer_address)

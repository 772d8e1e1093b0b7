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
from comfreylatch._process.routing import load_balancing
from comfreylatch._version import schema

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

_OWN_ADDRESSES = ("caller_address", "operator_address", "peer_address")
_PLATFORM_ADDRESSES = ("log_address", "host_list_address")


def load(
    path: str,
) -> result.Result[settings_module.Settings, SettingsErrors]:
    """Loads a file; Err holds all its errors, with line and column."""
    match json_file.read(path, check):
        case result.Err() as failed:
            return failed
        case result.Ok(value):
            return result.Ok(msgspec.convert(value, settings_module.Settings))


def check(value: Any) -> schema.Problems:
    """Returns all problems of a decoded settings file."""
    problems = schema.check(value, settings_module.Settings, "")
    if not isinstance(value, dict):
        return problems
    reported = {problem.path for problem in problems}
    for problem in _value_problems(value):
        if problem.path not in reported:
            problems.append(problem)
    return problems


def _value_problems(value: dict[str, Any]) -> Iterator[schema.Problem]:
    yield from _check_names(value)
    yield from _check_addresses(value)
    yield from _check_timing(value)
    yield from _check_threads_and_log_level(value)
    yield from _check_seats(value)
    yield from _check_routing(value)


def _peers(value: dict[str, Any]) -> list[tuple[str, dict[str, Any]]]:
    """Lists the peers that are objects, each with its path."""
    listed = value.get("peers")
    if not isinstance(listed, list):
        return []
    return [
        (f"peers[{index}]", peer)
        for index, peer in enumerate(listed)
        if isinstance(peer, dict)
    ]


def _object_member(value: dict[str, Any], key: str) -> dict[str, Any]:
    """Returns a member that is an object, else an empty object."""
    member = value.get(key)
    return member if isinstance(member, dict) else {}


def _check_names(value: dict[str, Any]) -> Iterator[schema.Problem]:
    for path, named in [("", value), *_peers(value)]:
        for key in ("seat", "zone"):
            name = named.get(key)
            if isinstance(name, str) and not name.strip():
                name_path = schema.join_path(path, key)
                yield schema.Problem(
                    name_path, "a name", schema.describe_value(name)
                )


def _check_addresses(value: dict[str, Any]) -> Iterator[schema.Problem]:
    texts = [(key, value.get(key)) for key in _OWN_ADDRESSES]
    platform = _object_member(value, "platform")
    for key in _PLATFORM_ADDRESSES:
        texts.append((f"platform.{key}", platform.get(key)))
    for path, peer in _peers(value):
        texts.append((f"{path}.peer_address", peer.get("peer_address")))
    for path, text in texts:
        if isinstance(text, str):
            yield from _check_address(path, text)
    yield from _check_listeners_differ(value)


def _check_address(path: str, text: str) -> Iterator[schema.Problem]:
    match addresses.parse(text):
        case result.Err(bad):
            expected = "IP:port, such as 10.0.0.5:8080"
            yield schema.Problem(path, expected, bad.detail)
        case result.Ok(parsed) if parsed.port == 0:
            yield schema.Problem(path, "a port of at least 1", text)


def _check_listeners_differ(value: dict[str, Any]) -> Iterator[schema.Problem]:
    first_by_text: dict[str, str] = {}
    for name in _OWN_ADDRESSES:
        text = value.get(name)
        if not isinstance(text, str):
            continue
        if text in first_by_text:
            expected = f"an address other than {first_by_text[text]}"
            yield schema.Problem(name, expected, text)
        first_by_text.setdefault(text, name)


def _check_timing(value: dict[str, Any]) -> Iterator[schema.Problem]:
    timing = _object_member(value, "timing")
    for field in attrs.fields(settings_module.TimingSettings):
        duration_ms = timing.get(field.name)
        if not _is_int(duration_ms):
            continue
        if not 1 <= duration_ms <= MAX_TIMING_MS:
            expected = f"1 to {MAX_TIMING_MS} milliseconds"
            path = f"timing.{field.name}"
            yield schema.Problem(path, expected, str(duration_ms))


def _check_threads_and_log_level(
    value: dict[str, Any],
) -> Iterator[schema.Problem]:
    threads = value.get("threads")
    if _is_int(threads) and not MIN_THREADS <= threads <= MAX_THREADS:
        expected = f"{MIN_THREADS} to {MAX_THREADS} threads"
        yield schema.Problem("threads", expected, str(threads))
    level = value.get("log_level")
    if isinstance(level, str) and level not in LOG_LEVELS:
        expected = "one of " + ", ".join(LOG_LEVELS)
        yield schema.Problem(
            "log_level", expected, schema.describe_value(level)
        )


def _check_routing(value: dict[str, Any]) -> Iterator[schema.Problem]:
    routing = _object_member(value, "routing")
    policy = routing.get("policy")
    policies = [member.value for member in load_balancing.Policy]
    if isinstance(policy, str) and policy not in policies:
        expected = "one of " + ", ".join(policies)
        found = schema.describe_value(policy)
        yield schema.Problem("routing.policy", expected, found)
    keep_ms = routing.get("mark_keep_ms")
    if _is_int(keep_ms) and not 1 <= keep_ms <= MAX_TIMING_MS:
        expected = f"1 to {MAX_TIMING_MS} milliseconds"
        yield schema.Problem("routing.mark_keep_ms", expected, str(keep_ms))
    seed = routing.get("seed")
    if _is_int(seed) and seed < 0:
        yield schema.Problem("routing.seed", "0 or more", str(seed))


def _is_int(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _check_seats(value: dict[str, Any]) -> Iterator[schema.Problem]:
    own = value.get("seat")
    uses: collections.Counter[str] = collections.Counter()
    used_addresses: set[str] = set()
    for path, peer in _peers(value):
        seat = peer.get("seat")
        seat_path = f"{path}.seat"
        if isinstance(seat, str):
            uses[seat] += 1
            if seat == own:
                yield schema.Problem(
                    seat_path,
                    "a seat other than this host's",
                    f"own seat {seat!r}",
                )
            elif uses[seat] > 1:
                yield schema.Problem(
                    seat_path, "each seat once", f"{seat!r} repeated"
                )
        peer_address = peer.get("peer_address")
        if isinstance(peer_address, str):
            if peer_address in (value.get("peer_address"), *used_addresses):
                yield schema.Problem(
                    f"{path}.peer_address",
                    "an address used only once",
                    f"{peer_address!r} repeated",
                )
            used_addresses.add(peer_address)

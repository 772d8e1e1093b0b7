"""Builds tickets as JSON values."""

from __future__ import annotations

from typing import Any
import zlib


def change(
    kind: str, name: str, replaces: int, state: dict[str, Any] | None
) -> dict[str, Any]:
    """Returns one change of a ticket."""
    return {"kind": kind, "name": name, "replaces": replaces, "state": state}


def ticket(number: int, *changes: dict[str, Any]) -> dict[str, Any]:
    """Returns a ticket with the given changes."""
    return {
        "number": number,
        "author": "mona",
        "reason": "a test",
        "changes": list(changes),
    }


def service(name: str, replaces: int = 0, **state: int) -> dict[str, Any]:
    """Returns a change that sets a service."""
    return change("service", name, replaces, dict(state))


def zone(name: str, replaces: int = 0) -> dict[str, Any]:
    """Returns a change that sets a zone with one seat."""
    return change("zone", name, replaces, {"seats": [f"{name}-1"]})


def endpoint(
    name: str, service_name: str, zone_name: str, replaces: int = 0
) -> dict[str, Any]:
    """Returns a change that sets an endpoint; the name gives its address."""
    name_hash = zlib.crc32(name.encode())
    port = 1_024 + name_hash % 60_000
    state = {
        "service": service_name,
        "zone": zone_name,
        "address": f"127.0.{name_hash >> 24}.1:{port}",
    }
    return change("endpoint", name, replaces, state)

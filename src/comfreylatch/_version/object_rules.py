"""Validation of the values of a single configuration object."""

from __future__ import annotations

from typing import Any

import attrs

from comfreylatch._connection import address
from comfreylatch._ports import workers
from comfreylatch._version import objects
from comfreylatch._version import schema

MAX_INTEGER = 2**53 - 1
MAX_PERCENT = 100
# Integer fields that may be 0; the minimum of all others is 1.
_FIELDS_WITH_ZERO = frozenset(
    {
        "retry_budget_percent",
        "hedge_percentile",
        "drift_margin_ms",
        "evictions_per_hour",
        "max_body_bytes",
        "processors_milli",
        "memory_mib",
        "accelerators",
    }
)
_PERCENT_FIELDS = frozenset({"retry_budget_percent", "hedge_percentile"})


def problems(
    name: Any, state: objects.ConfigObject, path: str
) -> schema.Problems:
    """Returns the values of one object that are out of bounds.

    Args:
        name: Name of the object, as found in the ticket.
        state: The object, with types already checked.
        path: Path of the change that sets it.
    """
    field_path = schema.join_path(path, "state")
    found = _bound_problems(state, field_path)
    match state:
        case objects.Endpoint():
            found += _address_problems(state.address, field_path)
        case objects.Zone():
            found += _seat_problems(state.seats, field_path)
        case objects.Limits() if name != objects.FLEET_LIMITS_NAME:
            expected = f"the name {objects.FLEET_LIMITS_NAME!r}"
            found.append(
                schema.Problem(
                    schema.join_path(path, "name"),
                    expected,
                    schema.describe_value(name),
                )
            )
        case _:
            pass
    return found


def _bound_problems(value: Any, path: str) -> schema.Problems:
    found: schema.Problems = []
    for field in attrs.fields(type(value)):
        member = getattr(value, field.name)
        field_path = schema.join_path(path, field.name)
        if isinstance(member, workers.Resources):
            found += _bound_problems(member, field_path)
        elif type(member) is int:
            found += _number_problems(member, field.name, field_path)
    return found


def _number_problems(number: int, name: str, path: str) -> schema.Problems:
    minimum = 0 if name in _FIELDS_WITH_ZERO else 1
    maximum = MAX_PERCENT if name in _PERCENT_FIELDS else MAX_INTEGER
    if minimum <= number <= maximum:
        return []
    expected = f"a whole number from {minimum} to {maximum}"
    return [schema.Problem(path, expected, str(number))]


def _address_problems(text: str, path: str) -> schema.Problems:
    parsed = address.parse(text)
    if parsed.is_ok():
        return []
    field_path = schema.join_path(path, "address")
    return [schema.Problem(field_path, "IP:port", schema.describe_value(text))]


def _seat_problems(seats: tuple[str, ...], path: str) -> schema.Problems:
    field_path = schema.join_path(path, "seats")
    if len(set(seats)) != len(seats):
        return [schema.Problem(field_path, "each seat once", repr(list(seats)))]
    return []

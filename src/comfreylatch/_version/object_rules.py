"""Bounds on the values of configuration objects, each seen by itself."""

from __future__ import annotations

from typing import Any

import attrs

from comfreylatch._connection import address
from comfreylatch._ports import workers
from comfreylatch._version import objects
from comfreylatch._version import schema

MAX_WHOLE_NUMBER = 2**53 - 1
MAX_PERCENT = 100
# Fields for which 0 has a meaning; all other whole numbers start at 1.
_MAY_BE_ZERO = frozenset(
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
_PERCENTS = frozenset({"retry_budget_percent", "hedge_percentile"})


def problems(
    name: Any, state: objects.ConfigObject, path: str
) -> schema.Problems:
    """Values of one object that are out of bounds.

    Args:
        name: Name of the object, as found in the ticket.
        state: The object, already of the right types.
        path: Path of the change that sets it.
    """
    where = schema.join_path(path, "state")
    found = _bound_problems(state, where)
    match state:
        case objects.Endpoint():
            found += _address_problems(state.address, where)
        case objects.Zone():
            found += _seat_problems(state.seats, where)
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
        where = schema.join_path(path, field.name)
        if isinstance(member, workers.Resources):
            found += _bound_problems(member, where)
        elif type(member) is int:
            found += _number_problems(member, field.name, where)
    return found


def _number_problems(number: int, name: str, path: str) -> schema.Problems:
    lowest = 0 if name in _MAY_BE_ZERO else 1
    highest = MAX_PERCENT if name in _PERCENTS else MAX_WHOLE_NUMBER
    if lowest <= number <= highest:
        return []
    expected = f"a whole number from {lowest} to {highest}"
    return [schema.Problem(path, expected, str(number))]


def _address_problems(text: str, path: str) -> schema.Problems:
    parsed = address.parse(text)
    if parsed.is_ok():
        return []
    where = schema.join_path(path, "address")
    return [schema.Problem(where, "IP:port", schema.describe_value(text))]


def _seat_problems(seats: tuple[str, ...], path: str) -> schema.Problems:
    where = schema.join_path(path, "seats")
    if len(set(seats)) != len(seats):
        return [schema.Problem(where, "each seat once", repr(list(seats)))]
    return []

"""Tests of the capacity model with synthetic slopes."""

from __future__ import annotations

import typing
from typing import Any

import attrs
import testtools

from testing.capacity import costs
from testing.capacity import model
from testing.capacity import report
from testing.capacity import slope


def _line(fixed: float, per_unit: float) -> slope.Slope:
    return slope.Slope("made up", "units", "B", (), (), fixed, per_unit)


def _fill_slopes(slopes_class: type, line: slope.Slope, number: int) -> Any:
    """Returns an instance with equal slopes and equal numbers throughout."""
    values = {}
    for name, hint in typing.get_type_hints(slopes_class).items():
        if hint is slope.Slope:
            values[name] = line
        elif attrs.has(hint):
            values[name] = _fill_slopes(hint, line, number)
        else:
            values[name] = number
    return slopes_class(**values)


class CapacityTest(testtools.TestCase):
    """Costs that the model computes from slopes."""

    def model(self, per_unit: float, **size: int) -> model.Model:
        slopes = _fill_slopes(model.Slopes, _line(0, per_unit), 100)
        return model.Model(costs.DesignSize(**size), slopes)

    def role_cost(self, name: costs.Role, **size: int) -> costs.RoleCost:
        roles = {role.role: role for role in self.model(1, **size).roles()}
        return roles[name]

    def test_line_through_measured_values(self) -> None:
        fitted = slope.fit("f", "n", "B", (1, 2, 4), lambda n: 3.0 + 2.0 * n)
        self.assertAlmostEqual(3.0, fitted.fixed)
        self.assertAlmostEqual(23.0, fitted.at(10))

    def test_values_between_measured_sizes_are_interpolated(self) -> None:
        fitted = slope.fit("f", "n", "B", (1, 2, 4), lambda n: float(n * n))
        self.assertAlmostEqual(10.0, fitted.at(3))
        self.assertAlmostEqual(1.0, fitted.at(1))

    def test_front_has_more_traffic_than_a_relay(self) -> None:
        front = self.role_cost(costs.Role.FRONT, seats_per_zone=8)
        relay = self.role_cost(costs.Role.RELAY, seats_per_zone=8)
        self.assertGreater(
            front.total("bytes_per_s"), relay.total("bytes_per_s")
        )

    def test_worker_exchanges_grow_with_the_number_of_workers(self) -> None:
        single = self.model(1, workers=1_000).worker_exchanges()
        double = self.model(1, workers=2_000).worker_exchanges()
        starts = 3 * costs.DesignSize().zone_starts_per_s
        self.assertAlmostEqual(
            2 * (single.messages_per_s - starts), double.messages_per_s - starts
        )

    def test_page_lists_every_role_and_missed_budgets(self) -> None:
        page = report.page(self.model(1_000))
        for role in costs.Role:
            self.assertIn(f"## Role: {role}", page)
        self.assertIn("**missed**", page)

    def test_every_expensive_mechanism_has_a_remedy(self) -> None:
        for role in self.model(1_000).roles():
            for cost in role.costs:
                if cost.mechanism.startswith(("routing", "marks", "90 ")):
                    continue
                self.assertNotEqual("", report.find_remedy(cost))

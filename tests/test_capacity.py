"""Tests of the capacity model with made-up slopes."""

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


def _made_up(kind: type, line: slope.Slope, number: int) -> Any:
    """An instance of a class of slopes, filled with one line and one number."""
    values = {}
    for name, hint in typing.get_type_hints(kind).items():
        if hint is slope.Slope:
            values[name] = line
        elif attrs.has(hint):
            values[name] = _made_up(hint, line, number)
        else:
            values[name] = number
    return kind(**values)


class CapacityTest(testtools.TestCase):
    """Costs that the model computes from slopes."""

    def model(self, per_unit: float, **size: int) -> model.Model:
        slopes = _made_up(model.Slopes, _line(0, per_unit), 100)
        return model.Model(costs.DesignSize(**size), slopes)

    def role(self, name: costs.Role, **size: int) -> costs.RoleCost:
        roles = {role.role: role for role in self.model(1, **size).roles()}
        return roles[name]

    def test_line_through_measured_values(self) -> None:
        fitted = slope.fit("f", "n", "B", (1, 2, 4), lambda n: 3.0 + 2.0 * n)
        self.assertAlmostEqual(3.0, fitted.fixed)
        self.assertAlmostEqual(23.0, fitted.at(10))

    def test_between_measured_sizes_the_measured_values_count(self) -> None:
        fitted = slope.fit("f", "n", "B", (1, 2, 4), lambda n: float(n * n))
        self.assertAlmostEqual(10.0, fitted.at(3))
        self.assertAlmostEqual(1.0, fitted.at(1))

    def test_all_seats_cost_a_front_more_than_a_relay(self) -> None:
        front = self.role(costs.Role.FRONT, seats_per_zone=8)
        relay = self.role(costs.Role.RELAY, seats_per_zone=8)
        self.assertGreater(
            front.total("bytes_per_s"), relay.total("bytes_per_s")
        )

    def test_exchanges_follow_the_number_of_workers(self) -> None:
        one = self.model(1, workers=1_000).worker_exchanges()
        two = self.model(1, workers=2_000).worker_exchanges()
        starts = 3 * costs.DesignSize().zone_starts_per_s
        self.assertAlmostEqual(
            2 * (one.messages_per_s - starts), two.messages_per_s - starts
        )

    def test_page_has_every_role_and_says_what_is_missed(self) -> None:
        page = report.page(self.model(1_000))
        for role in costs.Role:
            self.assertIn(f"## Role: {role}", page)
        self.assertIn("**missed**", page)

    def test_every_mechanism_that_may_be_missed_has_a_remedy(self) -> None:
        for role in self.model(1_000).roles():
            for cost in role.costs:
                if cost.mechanism.startswith(("routing", "marks", "90 ")):
                    continue
                self.assertNotEqual("", report.find_remedy(cost))

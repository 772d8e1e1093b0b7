"""Tests of the load-balancing policies."""

from __future__ import annotations

import collections
import random

import testtools

from comfreylatch._process.routing import endpoint_stats
from comfreylatch._process.routing import load_balancing
from tests import fakes

NAMES = tuple(f"ex-{number}" for number in range(8))


class LeastExpectedTest(testtools.TestCase):
    """Least expected answer time, the default policy."""

    def setUp(self) -> None:
        super().setUp()
        clock = fakes.FakeClock()
        self.stats = endpoint_stats.EndpointStatsTable(clock, random.Random(5))
        self.picker = load_balancing.LeastExpectedPicker(
            self.stats, clock, random.Random(5)
        )
        self.free = dict.fromkeys(NAMES, 1)

    def pick(
        self, excluded_endpoints: frozenset[str] = frozenset()
    ) -> str | None:
        return self.picker.pick(
            load_balancing.PickArgs(
                NAMES, self.free.__getitem__, True, excluded_endpoints
            )
        )

    def test_slow_endpoint_gets_fewer_requests(self) -> None:
        for _ in range(50):
            self.stats.record_answer("ex-0", 60.0)
        chosen = collections.Counter(self.pick() for _ in range(400))
        self.assertLess(chosen["ex-0"], 10)

    def test_busy_endpoint_gets_fewer_requests(self) -> None:
        for _ in range(4):
            self.stats.record_start("ex-0", 1_000_000)
        chosen = collections.Counter(self.pick() for _ in range(400))
        self.assertLess(chosen["ex-0"], 10)

    def test_only_endpoint_with_a_free_slot_is_picked(self) -> None:
        self.free = dict.fromkeys(NAMES, 0) | {"ex-7": 1}
        self.assertEqual({"ex-7"}, {self.pick() for _ in range(20)})

    def test_no_free_slot_returns_none(self) -> None:
        self.free = dict.fromkeys(NAMES, 0)
        self.assertIsNone(self.pick())

    def test_tried_endpoint_is_picked_only_as_last_resort(self) -> None:
        tried = frozenset({"ex-1"})
        chosen = {self.pick(tried) for _ in range(100)}
        self.assertNotIn("ex-1", chosen)
        self.free = dict.fromkeys(NAMES, 0) | {"ex-1": 1}
        self.assertEqual("ex-1", self.pick(tried))

    def test_ejected_endpoint_is_not_picked(self) -> None:
        for _ in range(5):
            self.stats.get("ex-2")
            self.stats.record_failure("ex-0", "reset")
        self.stats.update_endpoints(NAMES)
        for _ in range(5):
            self.stats.record_failure("ex-0", "reset")
        self.assertNotIn("ex-0", {self.pick() for _ in range(200)})


class BaselineTest(testtools.TestCase):
    """The baseline policies respect slot limits as well."""

    def test_round_robin_cycles_through_endpoints(self) -> None:
        picker = load_balancing.RoundRobinPicker()
        args = load_balancing.PickArgs(NAMES, lambda _: 1, True)
        chosen = [picker.pick(args) for _ in range(16)]
        self.assertEqual(list(NAMES) * 2, chosen)

    def test_random_skips_full_endpoints(self) -> None:
        picker = load_balancing.RandomPicker(random.Random(1))
        args = load_balancing.PickArgs(NAMES, lambda name: name == "ex-3", True)
        self.assertEqual("ex-3", picker.pick(args))

"""Tests of which workers may be sent starts while zones are evacuated."""

from __future__ import annotations

import testtools

from comfreylatch._ports import evacuations
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.cell import worker_view
from comfreylatch._process.cell.evacuation import guard
from testing.fakes import cell_workers as fake_workers

IN_FORCE_MS = 5_000
ZONE = fake_workers.entry("w1").zone


class EvacuationGuardTest(testtools.TestCase):
    """A host's reading of the requests, set by the test."""

    def setUp(self) -> None:
        super().setUp()
        self.zones: frozenset[str] = frozenset()
        self.age_ms = 0
        self.metrics = metrics_module.Metrics()
        self.guard = self.make_guard(IN_FORCE_MS)

    def make_guard(self, in_force_ms: int) -> guard.EvacuationGuard:
        """Returns a guard on the test's reading."""
        return guard.EvacuationGuard(
            evacuations.EvacuationFeed(
                lambda: self.zones, lambda: self.age_ms, in_force_ms
            ),
            self.metrics,
        )

    def test_only_the_evacuated_zone_gets_no_starts(self) -> None:
        self.zones = frozenset({"entoto"})
        self.assertFalse(self.guard.permits_start("entoto"))
        self.assertTrue(self.guard.permits_start("kality"))

    # Guards against an owner that is cut off from the store and starts tasks
    # in a zone whose evacuation it could not read.
    def test_no_zone_gets_starts_once_the_reading_is_too_old(self) -> None:
        self.age_ms = IN_FORCE_MS - guard.START_MARGIN_MS
        self.assertTrue(self.guard.permits_start("kality"))
        self.age_ms += 1
        self.assertFalse(self.guard.permits_start("kality"))

    def test_age_does_not_matter_where_the_platform_states_no_bound(
        self,
    ) -> None:
        self.age_ms = 10**9
        self.assertTrue(self.make_guard(0).permits_start("kality"))

    def test_workers_and_gauges_follow_the_reading(self) -> None:
        view = worker_view.WorkerView(fake_workers.entry("w1"))
        evacuated = metrics_module.Gauge.EVACUATED
        self.zones = frozenset({ZONE})
        self.guard.update([view])
        self.assertTrue(view.is_evacuated)
        self.assertFalse(view.may_get_starts)
        self.assertEqual(1, self.metrics.gauge(evacuated, ZONE))
        self.zones = frozenset()
        self.guard.update([view])
        self.assertFalse(view.is_evacuated)
        self.assertTrue(view.may_get_starts)
        self.assertEqual(0, self.metrics.gauge(evacuated, ZONE))

    def test_suspension_of_all_starts_is_a_gauge(self) -> None:
        suspended = metrics_module.Gauge.STARTS_SUSPENDED
        self.age_ms = IN_FORCE_MS
        self.guard.update([])
        self.assertEqual(1, self.metrics.gauge(suspended))
        self.age_ms = 0
        self.guard.update([])
        self.assertEqual(0, self.metrics.gauge(suspended))

"""Tests of ejection, probing and slow start."""

from __future__ import annotations

import random

import testtools

from comfreylatch._process.routing import endpoint_stats
from tests import fakes

NAMES = tuple(f"ex-{number}" for number in range(6))


class StatsTableTest(testtools.TestCase):
    """Statistics of six endpoints."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = fakes.FakeClock()
        self.table = endpoint_stats.EndpointStatsTable(
            self.clock, random.Random(3)
        )
        self.table.update_endpoints(NAMES)

    def record_failures(self, endpoint: str, times: int = 3) -> None:
        for _ in range(times):
            self.table.record_start(endpoint, self.clock.now_ms)
            self.table.record_failure(endpoint, "reset")
            self.table.record_end(endpoint, self.clock.now_ms)

    def record_answers(
        self, endpoint: str, elapsed_ms: float, times: int
    ) -> None:
        for _ in range(times):
            self.table.record_start(endpoint, self.clock.now_ms)
            self.table.record_answer(endpoint, elapsed_ms)
            self.table.record_end(endpoint, self.clock.now_ms)

    def test_consecutive_failures_eject(self) -> None:
        self.record_failures("ex-0")
        self.assertTrue(self.table.get("ex-0").is_ejected)

    def test_ejected_share_is_bounded(self) -> None:
        for name in NAMES:
            self.record_failures(name)
        allowed = int(len(NAMES) * endpoint_stats.MAX_EJECTED_SHARE)
        self.assertEqual(allowed, self.table.ejected_count)

    def test_far_slower_endpoint_is_ejected(self) -> None:
        for _ in range(40):
            self.clock.now_ms += 50
            for name in NAMES[1:]:
                self.record_answers(name, 20.0, 1)
            self.record_answers("ex-0", 400.0, 1)
        self.assertTrue(self.table.get("ex-0").is_ejected)
        self.assertEqual(1, self.table.ejected_count)

    def test_one_probe_at_a_time_after_the_ejection_time(self) -> None:
        self.record_failures("ex-0")
        self.assertFalse(self.table.is_probe_due("ex-0", idempotent=True))
        self.clock.now_ms += endpoint_stats.BASE_EJECTION_MS * 2
        self.assertTrue(self.table.is_probe_due("ex-0", idempotent=True))
        self.table.record_start("ex-0", self.clock.now_ms)
        self.assertFalse(self.table.is_probe_due("ex-0", idempotent=True))

    def test_non_idempotent_requests_probe_later(self) -> None:
        self.record_failures("ex-0")
        self.clock.now_ms += endpoint_stats.BASE_EJECTION_MS * 2
        self.assertFalse(self.table.is_probe_due("ex-0", idempotent=False))
        self.clock.now_ms += endpoint_stats.NON_IDEMPOTENT_PROBE_DELAY_MS
        self.assertTrue(self.table.is_probe_due("ex-0", idempotent=False))

    def test_successful_probe_readmits_with_slow_start(self) -> None:
        self.record_failures("ex-0")
        self.clock.now_ms += endpoint_stats.BASE_EJECTION_MS * 2
        self.record_answers("ex-0", 20.0, 1)
        stats = self.table.get("ex-0")
        self.assertFalse(stats.is_ejected)
        self.assertEqual(
            endpoint_stats.SLOW_START_MIN_SHARE,
            stats.slow_start_share(self.clock.now_ms),
        )
        later_ms = self.clock.now_ms + endpoint_stats.SLOW_START_MS
        self.assertEqual(1.0, stats.slow_start_share(later_ms))

    def test_failed_probe_doubles_ejection_time(self) -> None:
        self.record_failures("ex-0")
        self.clock.now_ms += endpoint_stats.BASE_EJECTION_MS * 2
        self.record_failures("ex-0", times=1)
        wait_ms = self.table.get("ex-0").ejected_until_ms - self.clock.now_ms
        self.assertGreater(wait_ms, endpoint_stats.BASE_EJECTION_MS * 1.4)

    def test_long_running_request_raises_expected_time(self) -> None:
        now_ms = self.clock.now_ms + endpoint_stats.SLOW_START_MS
        for name in ("ex-0", "ex-1"):
            self.table.record_start(name, now_ms - 300 * (name == "ex-0"))
        slow_ms = self.table.get("ex-0").expected_ms(now_ms)
        self.assertGreater(
            slow_ms, self.table.get("ex-1").expected_ms(now_ms) * 5
        )

    def test_removed_endpoint_is_not_counted_as_ejected(self) -> None:
        self.record_failures("ex-0")
        self.table.update_endpoints(NAMES[1:])
        self.assertEqual(0, self.table.ejected_count)

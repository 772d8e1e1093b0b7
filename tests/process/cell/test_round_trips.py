"""Tests of how slow a host takes the store for."""

from __future__ import annotations

import testtools

from comfreylatch._process.cell import round_trips as round_trips_module
from testing.fakes import clock as fake_clock


class RoundTripsTest(testtools.TestCase):
    """Round trips of a host's calls to the store."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = fake_clock.FakeClock()
        self.round_trips = round_trips_module.RoundTrips(self.clock)

    def slow_ms(self, *durations_ms: int) -> int:
        """Returns the additional time after these round trips."""
        for duration_ms in durations_ms:
            self.round_trips.add(duration_ms)
        return self.round_trips.slow_ms

    def test_store_without_calls_is_not_slow(self) -> None:
        self.assertEqual(0, self.slow_ms())

    def test_store_at_its_usual_pace_is_not_slow(self) -> None:
        self.assertEqual(0, self.slow_ms(4, 4))

    def test_slow_store_gets_the_time_of_the_appends_ahead(self) -> None:
        self.assertEqual(1_500, self.slow_ms(80, 80))

    def test_time_is_bounded(self) -> None:
        self.assertEqual(
            round_trips_module.MAX_SLOW_MS, self.slow_ms(8_000, 8_000)
        )

    def test_single_late_answer_does_not_count(self) -> None:
        self.assertEqual(0, self.slow_ms(240, 4))
        self.assertEqual(0, self.slow_ms(240))

    def test_old_round_trips_do_not_count(self) -> None:
        self.slow_ms(240, 240)
        self.clock.advance(round_trips_module.RECENT_MS)
        self.assertEqual(0, self.slow_ms())

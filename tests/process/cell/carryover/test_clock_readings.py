"""Tests of telling a worker's incarnations apart by its clock."""

from __future__ import annotations

import testtools

from comfreylatch._process.cell.carryover import clock_readings

# Read 100 ms before the call is sent.
READING = clock_readings.ClockReading(clock_ms=5_000, read_ms=10_000)
SENT_MS = 10_100


class ClockReadingTest(testtools.TestCase):
    """A reading of an incarnation that has been up for 5 s."""

    def test_clock_that_went_on_is_of_the_same_incarnation(self) -> None:
        self.assertFalse(READING.excludes(5_100, SENT_MS))

    # Guards against runs in doubt on workers whose clock is slow.
    def test_slowest_clock_is_of_the_same_incarnation(self) -> None:
        self.assertFalse(READING.excludes(14_800, SENT_MS + 9_900))

    def test_clock_that_starts_anew_is_of_another_incarnation(self) -> None:
        self.assertTrue(READING.excludes(300, SENT_MS))

    # Guards against an incarnation that was up for half a second only.
    def test_incarnation_after_a_short_one_is_another(self) -> None:
        reading = clock_readings.ClockReading(clock_ms=500, read_ms=10_000)
        self.assertTrue(reading.excludes(700, SENT_MS + 900))

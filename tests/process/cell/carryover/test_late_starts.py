"""Tests of starts that may still be carried out."""

from __future__ import annotations

import testtools

from comfreylatch._process.cell.carryover import delays
from comfreylatch._process.cell.carryover import late_starts
from testing.fakes import clock as fake_clock

FIRST = late_starts.RunId("a.0.0.0", 1)
SECOND = late_starts.RunId("b.0.0.0", 1)


class LateStartsTest(testtools.TestCase):
    """Starts on a worker that restarts."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = fake_clock.FakeClock(100_000)
        self.starts = late_starts.LateStarts(self.clock)

    def test_start_counts_as_long_as_it_may_be_carried_out(self) -> None:
        self.starts.add(FIRST)
        self.clock.advance(delays.MAX_CALL_DELAY_MS)
        self.assertEqual({FIRST}, self.starts.recent())
        self.clock.advance(1)
        self.assertEqual(set(), self.starts.recent())

    # Guards against a start that reaches the incarnation after the next.
    def test_starts_of_a_former_incarnation_count_on(self) -> None:
        self.starts.add(FIRST)
        following = late_starts.LateStarts(self.clock)
        following.add(SECOND)
        following.update(self.starts)
        self.assertEqual({FIRST, SECOND}, following.recent())

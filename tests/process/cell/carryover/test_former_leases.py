"""Tests of the ends of leases from calls to former incarnations."""

from __future__ import annotations

import testtools

from comfreylatch._process.cell import lease_ends
from comfreylatch._process.cell.carryover import delays
from comfreylatch._process.cell.carryover import former_leases
from testing.fakes import cell_workers as fake_workers
from testing.fakes import clock as fake_clock

START_MS = 100_000
MAX_LEASE_MS = 10_000
# From the end of the last call on.
LONGEST_MS = delays.MAX_CALL_DELAY_MS + lease_ends.longest_lease_ms(
    MAX_LEASE_MS
)
FIRST = fake_workers.entry("w1", born_ms=1)
SECOND = fake_workers.entry("w1", born_ms=2)
THIRD = fake_workers.entry("w1", born_ms=3)


class FormerLeasesTest(testtools.TestCase):
    """Incarnations of one worker that are dropped one after the other."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = fake_clock.FakeClock(START_MS)
        self.leases = former_leases.FormerLeases(MAX_LEASE_MS, self.clock)

    def test_late_call_may_give_the_next_incarnation_the_longest_lease(
        self,
    ) -> None:
        self.leases.note_dropped(FIRST, 0, START_MS)
        self.assertEqual(START_MS + LONGEST_MS, self.leases.end_ms(SECOND))

    def test_calls_without_a_deadline_give_no_lease(self) -> None:
        self.leases.note_dropped(FIRST, 0, 0)
        self.assertEqual(0, self.leases.end_ms(SECOND))

    def test_incarnation_that_is_listed_again_has_its_own_deadlines(
        self,
    ) -> None:
        self.leases.note_dropped(FIRST, 0, START_MS)
        self.assertEqual(0, self.leases.end_ms(FIRST))

    # Guards against forgetting the first incarnation's calls with the second.
    def test_calls_to_an_incarnation_before_the_last_count(self) -> None:
        self.leases.note_dropped(FIRST, 0, START_MS)
        self.leases.note_dropped(SECOND, self.leases.end_ms(SECOND), 0)
        self.assertEqual(START_MS + LONGEST_MS, self.leases.end_ms(THIRD))

    # Guards against a record of every worker that ever left.
    def test_ends_in_the_past_are_dropped(self) -> None:
        self.leases.note_dropped(FIRST, 0, START_MS)
        self.clock.advance(LONGEST_MS)
        self.assertEqual(0, self.leases.end_ms(SECOND))
        self.assertEqual({}, self.leases._former)

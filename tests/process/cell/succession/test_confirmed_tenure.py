"""Tests of when a lease on a silent worker has ended for every owner."""

from __future__ import annotations

import testtools

from comfreylatch._process.cell.succession import confirmed_tenure
from testing.fakes import clock as fake_clock

END_MS = 100_500


class ConfirmedTenureTest(testtools.TestCase):
    """An owner whose last stored append was sent before a lease ended."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = fake_clock.FakeClock(END_MS + 1)
        self.confirmed_ms = END_MS
        self.requests = 0
        self.tenure = confirmed_tenure.ConfirmedTenure(
            lambda: self.confirmed_ms, self.request, self.clock
        )

    def request(self) -> None:
        """Counts the requests for a confirmation."""
        self.requests += 1

    def test_time_has_passed_once_a_later_append_is_stored(self) -> None:
        self.assertFalse(self.tenure.has_passed(END_MS))
        self.confirmed_ms = END_MS + 1
        self.assertTrue(self.tenure.has_passed(END_MS))

    # Guards against runs that stay lost until the next heartbeat is due.
    def test_confirmation_is_requested_when_the_time_has_passed(self) -> None:
        self.clock.now_ms = END_MS
        self.assertFalse(self.tenure.has_passed(END_MS))
        self.assertEqual(0, self.requests)
        self.clock.advance(1)
        self.assertFalse(self.tenure.has_passed(END_MS))
        self.assertEqual(1, self.requests)

    # Guards against an append at each tick of the owner while the store is
    # away.
    def test_one_request_covers_all_times_before_it(self) -> None:
        self.confirmed_ms = END_MS - 200
        for _ in range(3):
            self.assertFalse(self.tenure.has_passed(END_MS))
            self.assertFalse(self.tenure.has_passed(END_MS - 100))
        self.assertEqual(1, self.requests)
        later_ms = self.clock.now_ms + 100
        self.clock.now_ms = later_ms + 1
        self.assertFalse(self.tenure.has_passed(later_ms))
        self.assertEqual(2, self.requests)

"""Tests of which ends of runs no previous owner can hear of."""

from __future__ import annotations

import testtools

from comfreylatch._process.cell import worker_session
from comfreylatch._process.cell.succession import exclusive_reports

FIRST_MS = 7_000
WAIT_MS = worker_session.HOLD_WAIT_MS + exclusive_reports.TIMER_MARGIN_MS


class ExclusiveReportTest(testtools.TestCase):
    """A worker that had accepted a hold call of a previous owner."""

    # Guards against a call that was accepted just before the first answer.
    def test_call_of_a_previous_owner_may_wait_for_as_long_as_allowed(
        self,
    ) -> None:
        for elapsed_ms in (0, WAIT_MS):
            self.assertFalse(
                exclusive_reports.is_exclusive(FIRST_MS, FIRST_MS + elapsed_ms)
            )

    def test_run_that_outlasts_it_ends_for_this_owner_alone(self) -> None:
        self.assertTrue(
            exclusive_reports.is_exclusive(FIRST_MS, FIRST_MS + WAIT_MS + 1)
        )

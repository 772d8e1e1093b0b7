"""Tests of the timeouts of appends to a slow store.

Pattern: a store that answers 60 times as slowly carries out four appends a
second, while each of 31 hosts adds one every three seconds.
"""

from __future__ import annotations

import testtools

from comfreylatch._process.cell import append_timeout
from comfreylatch._process.cell import claiming
from comfreylatch._process.cell import fenced_writer
from comfreylatch._process.cell import job_api

SERVICE_MS = 244
CALLER_DEADLINE_MS = 2_700


def count_appends(
    timeout: append_timeout.GrowingTimeout, waiting_ms: int
) -> int:
    """Counts tries until the first is answered, with a queue before it."""
    answered_ms = waiting_ms + SERVICE_MS
    tries = 1
    elapsed_ms = timeout.of_try(1)
    while elapsed_ms < min(answered_ms, CALLER_DEADLINE_MS):
        tries += 1
        elapsed_ms += timeout.of_try(tries)
    return tries


class GrowingTimeoutTest(testtools.TestCase):
    """Numbers of tries while the store is slow, and after lost answers."""

    def test_full_queue_gets_at_most_one_repeat_of_a_submission(self) -> None:
        constant = append_timeout.GrowingTimeout(700, 1.0)
        self.assertEqual(4, count_appends(constant, waiting_ms=2_000))
        growing = job_api.APPEND_TIMEOUT
        self.assertLessEqual(count_appends(growing, waiting_ms=1_800), 2)

    def test_owner_outlives_three_lost_answers(self) -> None:
        timeout = fenced_writer.APPEND_TIMEOUT
        lost_ms = sum(timeout.of_try(number) for number in (1, 2, 3))
        self.assertLess(lost_ms, claiming.OWNER_TIMEOUT_MS)

    def test_timeouts_are_bounded(self) -> None:
        timeout = append_timeout.GrowingTimeout(350, 2.0, max_ms=1_000)
        self.assertEqual(
            [350, 700, 1_000, 1_000],
            [timeout.of_try(number) for number in (1, 2, 3, 4)],
        )

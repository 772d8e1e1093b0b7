"""Tests of the retry budget."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies
import testtools

from comfreylatch._process.routing import retry_budget


class RetryBudgetTest(testtools.TestCase):
    """Retries in proportion to first tries."""

    @given(
        percent=strategies.integers(0, 100),
        first_tries=strategies.integers(0, 500),
    )
    def test_retries_stay_below_share(
        self, percent: int, first_tries: int
    ) -> None:
        budget = retry_budget.RetryBudget(percent)
        retries = 0
        for _ in range(first_tries):
            budget.earn()
            retries += budget.try_spend()
            retries += budget.try_spend()
        allowed = first_tries * percent / 100 + retry_budget.INITIAL_TOKENS
        self.assertLessEqual(retries, allowed + 1e-6)

    def test_saved_tokens_are_bounded(self) -> None:
        budget = retry_budget.RetryBudget(100)
        for _ in range(1_000):
            budget.earn()
        spent = sum(budget.try_spend() for _ in range(1_000))
        self.assertEqual(int(retry_budget.MAX_TOKENS), spent)

    def test_zero_percent_allows_no_retry(self) -> None:
        budget = retry_budget.RetryBudget(0)
        budget.earn()
        self.assertFalse(budget.try_spend())

    def test_backoff_grows_and_is_bounded(self) -> None:
        rng = random.Random(7)
        waits = [retry_budget.backoff_ms(9, rng) for _ in range(200)]
        self.assertLessEqual(max(waits), retry_budget.MAX_BACKOFF_MS)
        self.assertGreater(max(waits), retry_budget.BASE_BACKOFF_MS)

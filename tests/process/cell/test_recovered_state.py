"""Tests of what a new owner recovers from the store."""

from __future__ import annotations

import testtools

from comfreylatch._process.cell import records
from comfreylatch._process.cell import recovered_state

NOW_MS = 10_000


def recovered(**release_after_ms: int) -> recovered_state.RecoveredState:
    """Returns a state with known workers, by when their leases end."""
    known_workers = {
        worker_id: recovered_state.KnownWorker(1, end_ms)
        for worker_id, end_ms in release_after_ms.items()
    }
    return recovered_state.RecoveredState(1, (), {}, known_workers)


class RemainingLeasesTest(testtools.TestCase):
    """What an owner states that stops before it has acted."""

    def test_it_states_what_is_left_on_each_worker(self) -> None:
        state = recovered(w1=NOW_MS + 300, w2=NOW_MS + 900, w3=NOW_MS - 1)
        self.assertEqual(
            records.RemainingLeases(900, {"w1": 300, "w2": 900, "w3": 0}),
            state.remaining_leases(NOW_MS),
        )

    def test_nothing_is_left_without_workers(self) -> None:
        self.assertEqual(
            records.RemainingLeases(0), recovered().remaining_leases(NOW_MS)
        )

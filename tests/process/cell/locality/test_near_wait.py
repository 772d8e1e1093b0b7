"""Tests of whether a task waits for a near worker or starts far."""

from __future__ import annotations

from typing import Any

import testtools

from comfreylatch._process.cell.locality import calibration
from comfreylatch._process.cell.locality import near_wait


def waits(**fields: Any) -> bool:
    """Whether a task waits; `fields` change a wait that pays."""
    values: dict[str, Any] = {
        "duration_ms": 2_000.0,
        "remote_penalty": 1.5,
        "near_start_ms": 300.0,
        "waited_ms": 0,
        "reliability": 1.0,
        **fields,
    }
    return near_wait.should_wait(near_wait.NearWait(**values))


class ShouldWaitTest(testtools.TestCase):
    """A task of two seconds whose rack has room in 0.3 s."""

    def test_wait_that_ends_the_task_earlier_pays(self) -> None:
        self.assertTrue(waits())

    def test_short_task_starts_far(self) -> None:
        self.assertFalse(waits(duration_ms=600.0))

    def test_the_same_task_waits_where_far_work_takes_three_times_as_long(
        self,
    ) -> None:
        self.assertTrue(waits(duration_ms=600.0, remote_penalty=3.0))

    def test_nothing_waits_for_a_rack_that_frees_no_room(self) -> None:
        self.assertFalse(waits(near_start_ms=None))

    # Guards against accepted work that counts as lost beside free capacity.
    def test_no_wait_goes_on_for_longer_than_the_limit(self) -> None:
        late = {"duration_ms": 60_000.0, "near_start_ms": 300.0}
        self.assertTrue(waits(waited_ms=1_700, **late))
        self.assertFalse(waits(waited_ms=1_701, **late))

    def test_waits_that_fail_make_the_rack_worth_less(self) -> None:
        shares = calibration.Calibration()
        self.assertTrue(waits(reliability=shares.reliability("r1-1", 0)))
        for _ in range(12):
            shares.observe("r1-1", False, 0)
        self.assertFalse(waits(reliability=shares.reliability("r1-1", 0)))
        self.assertTrue(waits(reliability=shares.reliability("r1-2", 0)))

    # Guards against a rack that is never tried again.
    def test_failed_waits_are_forgotten(self) -> None:
        shares = calibration.Calibration()
        for _ in range(12):
            shares.observe("r1-1", False, 0)
        later_ms = 3 * calibration.FORGETTING_TIME_CONSTANT_MS
        self.assertTrue(waits(reliability=shares.reliability("r1-1", later_ms)))

    def test_task_behind_others_that_want_all_the_room_starts_far(
        self,
    ) -> None:
        self.assertTrue(waits(contention=0.5))
        self.assertFalse(waits(contention=0.9))

    def test_next_owner_goes_on_with_the_calibration(self) -> None:
        before, after = calibration.Calibration(), calibration.Calibration()
        before.observe("r1-1", False, 0)
        after.restore(before.export(), 0)
        self.assertAlmostEqual(
            before.reliability("r1-1", 0), after.reliability("r1-1", 0), 3
        )
        after.restore({"r1-1": 7.0}, 0)
        self.assertEqual(1.0, after.reliability("r1-1", 0))

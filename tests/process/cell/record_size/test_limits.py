"""Tests of the store's limits on appends."""

from __future__ import annotations

import testtools

from comfreylatch._ports import store as store_port
from comfreylatch._process.cell.record_size import limits


class StoreLimitsTest(testtools.TestCase):
    """Records that take several appends."""

    def sizes(self, *values: bytes | None) -> list[int]:
        """Returns how many records each append contains."""
        overhead = limits.RECORD_OVERHEAD_BYTES
        store_limits = limits.StoreLimits(
            append_bytes=2 * overhead + 100, record_bytes=overhead + 100
        )
        return [
            len(appended)
            for appended in store_limits.divide(
                store_port.NewRecord(f"key/{number}", value)
                for number, value in enumerate(values)
            )
        ]

    def test_records_that_fit_are_one_append(self) -> None:
        self.assertEqual([2], self.sizes(b"x" * 50, b"x" * 50))

    # Guards against an append that the store refuses for ever.
    def test_records_that_do_not_fit_are_several_appends(self) -> None:
        self.assertEqual([1, 2], self.sizes(b"x" * 60, b"x" * 50, None))

    def test_nothing_is_no_append(self) -> None:
        self.assertEqual([], self.sizes())

"""Tests of the marks of dispatched request ids."""

from __future__ import annotations

import testtools

from comfreylatch._process import dispatch_marks
from comfreylatch._wire.gen.peer import ttypes
from tests import fakes

KEEP_MS = 10_000
FRESH = ttypes.MarkVerdict.FRESH
SEEN = ttypes.MarkVerdict.SEEN
TOO_OLD = ttypes.MarkVerdict.TOO_OLD


class DispatchMarksTest(testtools.TestCase):
    """A single holder of marks."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = fakes.FakeClock()
        self.marks = dispatch_marks.DispatchMarks("h", self.clock)
        self.clock.now_ms += KEEP_MS

    def mark(
        self, request_id: str, claimant: str, keep_ms: int = KEEP_MS
    ) -> int:
        request = ttypes.MarkRequest(request_id, claimant, keep_ms, False)
        return self.marks.mark(request).verdict

    def test_id_is_granted_once(self) -> None:
        self.assertEqual(FRESH, self.mark("r1", "a/1"))
        self.assertEqual(SEEN, self.mark("r1", "b/1"))
        self.assertEqual(SEEN, self.mark("r1", "a/2"))

    def test_same_claim_may_ask_again(self) -> None:
        self.mark("r1", "a/1")
        self.assertEqual(FRESH, self.mark("r1", "a/1"))

    def test_recently_started_holder_grants_nothing(self) -> None:
        marks = dispatch_marks.DispatchMarks("h", self.clock)
        request = ttypes.MarkRequest("r1", "a/1", KEEP_MS, False)
        self.assertEqual(TOO_OLD, marks.mark(request).verdict)
        self.clock.now_ms += KEEP_MS
        self.assertEqual(FRESH, marks.mark(request).verdict)

    def test_mark_is_kept_for_its_time(self) -> None:
        self.mark("r1", "a/1")
        self.clock.now_ms += KEEP_MS - 1
        self.assertEqual(SEEN, self.mark("r1", "b/1"))
        self.clock.now_ms += 1
        self.assertEqual(FRESH, self.mark("r1", "b/1"))
        self.assertEqual(1, len(self.marks))

    def test_only_claimant_removes_mark(self) -> None:
        self.mark("r1", "a/1")
        self.mark("r1", "b/1", keep_ms=0)
        self.assertEqual(SEEN, self.mark("r1", "c/1"))
        self.mark("r1", "a/1", keep_ms=0)
        self.assertEqual(FRESH, self.mark("r1", "c/1"))

    def test_recreated_mark_outlives_first_expiry(self) -> None:
        self.mark("r1", "a/1")
        self.clock.now_ms += KEEP_MS - 1
        self.mark("r1", "a/1", keep_ms=0)
        self.mark("r1", "b/1")
        self.clock.now_ms += 1
        self.assertEqual(SEEN, self.mark("r1", "c/1"))

"""Tests that docs/OPERATIONS.md has every reason of a cell, and no other."""

from __future__ import annotations

import enum
import pathlib
import re

import testtools

from comfreylatch._ports import machines
from comfreylatch._process.cell import reasons

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "OPERATIONS.md"
ROW = re.compile(r"^\| `([a-z-]+)` \|", re.MULTILINE)


class ReasonsDocumentedTest(testtools.TestCase):
    """The page has one table for each enum of reasons."""

    def assert_rows(self, title: str, kind: type[enum.StrEnum]) -> None:
        """Checks that the section's table has one row for each value."""
        text = PAGE.read_text(encoding="utf-8")
        section = text.partition(f"\n### {title}\n")[2]
        section = re.split(r"\n##", section)[0]
        self.assertEqual(sorted(kind), sorted(ROW.findall(section)))

    def test_every_reason_has_one_row(self) -> None:
        self.assert_rows("Refusals", reasons.Refusal)
        self.assert_rows("Stops", reasons.StopReason)
        self.assert_rows("Missing advice", reasons.MissingAdvice)
        self.assert_rows("Refused maintenance", machines.Refusal)
        self.assert_rows("Losses", reasons.LossReason)
        self.assert_rows("Crashes", reasons.CrashCause)
        self.assert_rows("Verdicts", reasons.Verdict)
        self.assert_rows("Claims", reasons.ClaimReason)
        self.assert_rows("Ends of an ownership", reasons.OwnershipEnd)

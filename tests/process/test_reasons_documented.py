"""Tests that the operators' page lists exactly the reasons in the code."""

from __future__ import annotations

import enum
import pathlib
import re

import testtools

from comfreylatch._process import journal
from comfreylatch._process import reasons

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "OPERATORS.md"
ROW = re.compile(r"^\| `([a-z-]+)` \|", re.MULTILINE)


def _rows_of(title: str) -> list[str]:
    """First column of the table under a heading."""
    text = PAGE.read_text(encoding="utf-8")
    section = text.partition(f"\n## {title}\n")[2].partition("\n## ")[0]
    return ROW.findall(section)


class ReasonsDocumentedTest(testtools.TestCase):
    """Compares the tables of docs/OPERATORS.md with the enums."""

    def assert_rows_match(self, title: str, kind: type[enum.StrEnum]) -> None:
        self.assertEqual(sorted(kind), sorted(_rows_of(title)))

    def test_every_refusal_reason_has_one_row(self) -> None:
        self.assert_rows_match("Read a refusal", reasons.RefusalReason)

    def test_every_retry_reason_has_one_row(self) -> None:
        self.assert_rows_match("Read a retry", reasons.RetryReason)

    def test_every_subject_has_an_explain_command(self) -> None:
        text = PAGE.read_text(encoding="utf-8")
        for subject in reasons.Subject:
            self.assertIn(f"comfreylatch explain {subject} ", text)

    def test_journal_size_is_documented(self) -> None:
        text = PAGE.read_text(encoding="utf-8")
        self.assertIn(f"keeps its last {journal.MAX_DECISIONS:,}.", text)

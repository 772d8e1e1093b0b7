"""Tests of the pytest plugin that tolerates known failures."""

from __future__ import annotations

import pathlib
import subprocess
import sys
import tempfile

import testtools

from testing import known_red

REPO = pathlib.Path(__file__).resolve().parent.parent
ENTRY = "test_a.py::test_red\n  command: pytest\n  seen: boom\n  issue: 9\n"
TESTS = "def test_red(): assert {red}\ndef test_other(): assert {other}\n"


class KnownRedTest(testtools.TestCase):
    """Effects of KNOWN-RED.txt on the result of a test run."""

    def run_listed(
        self, listing: str, red: bool, other: bool = True
    ) -> subprocess.CompletedProcess[str]:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        root = pathlib.Path(folder.name)
        (root / "pytest.ini").write_text("[pytest]\n", encoding="utf-8")
        (root / "KNOWN-RED.txt").write_text(listing, encoding="utf-8")
        tests = TESTS.format(red=red, other=other)
        (root / "test_a.py").write_text(tests, encoding="utf-8")
        return subprocess.run(
            [sys.executable, "-m", "pytest", "-p", "testing.known_red"],
            cwd=root,
            env={"PYTHONPATH": str(REPO)},
            capture_output=True,
            text=True,
            check=False,
            timeout=60,
        )

    def test_listed_failure_is_tolerated_and_printed(self) -> None:
        finished = self.run_listed(ENTRY, red=False)
        self.assertEqual(0, finished.returncode)
        self.assertIn("FAILED as known: test_a.py::test_red", finished.stdout)

    def test_other_failure_still_fails_the_run(self) -> None:
        finished = self.run_listed(ENTRY, red=False, other=False)
        self.assertEqual(1, finished.returncode)

    def test_listed_test_that_passes_is_reported(self) -> None:
        finished = self.run_listed(ENTRY, red=True)
        self.assertEqual(0, finished.returncode)
        self.assertIn("take it off the list: test_a.py", finished.stdout)

    def test_unlisted_failure_fails_the_run(self) -> None:
        self.assertEqual(1, self.run_listed("# none\n", red=False).returncode)

    def test_entry_without_an_issue_is_refused(self) -> None:
        incomplete = ENTRY.replace("  issue: 9\n", "")
        self.assertRaises(known_red.BadEntryError, known_red.parse, incomplete)

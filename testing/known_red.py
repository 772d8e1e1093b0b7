"""A pytest plugin that tolerates the failures listed in KNOWN-RED.txt.

Listed tests run like all others, but their failures don't fail the run. Each
failure is printed at the end of the run, and so is a listed test that passed,
as its entry should be removed.
"""

from __future__ import annotations

from collections.abc import Generator
import pathlib
from typing import Any

import attrs
import pytest

FILE_NAME = "KNOWN-RED.txt"
FIELDS = frozenset({"command", "seen", "issue"})
_ENTRIES_KEY: pytest.StashKey[dict[str, KnownRed]] = pytest.StashKey()


@attrs.frozen
class KnownRed:
    """One entry of the file.

    Attributes:
        test: Node id of the test, as pytest prints it.
        command: Command that runs it, with its seed.
        seen: Observed failure.
        issue: Number of the issue.
    """

    test: str
    command: str
    seen: str
    issue: str


class BadEntryError(ValueError):
    """The file does not follow the format described at its top."""


def parse(text: str) -> dict[str, KnownRed]:
    """Returns the entries by test; raises BadEntryError if one is invalid."""
    fields_by_test: dict[str, dict[str, str]] = {}
    fields: dict[str, str] = {}
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        if not line.startswith(" "):
            fields = {}
            if fields_by_test.setdefault(line.strip(), fields) is not fields:
                raise BadEntryError(f"{line.strip()} is listed twice")
            continue
        name, colon, value = line.strip().partition(":")
        if not colon or name not in FIELDS or not value.strip():
            raise BadEntryError(
                f"expected one of {sorted(FIELDS)} and its value, got {line!r}"
            )
        fields[name] = value.strip()
    return {
        test: _entry(test, fields) for test, fields in fields_by_test.items()
    }


def _entry(test: str, fields: dict[str, str]) -> KnownRed:
    missing = FIELDS - fields.keys()
    if missing:
        raise BadEntryError(
            f"entry of {test} lacks the fields {sorted(missing)}"
        )
    return KnownRed(test=test, **fields)


def pytest_configure(config: pytest.Config) -> None:
    """Reads the file before any test runs."""
    file = pathlib.Path(config.rootpath) / FILE_NAME
    text = file.read_text(encoding="utf-8") if file.exists() else ""
    try:
        config.stash[_ENTRIES_KEY] = parse(text)
    except BadEntryError as error:
        raise pytest.UsageError(f"{FILE_NAME}: {error}") from error


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item,
) -> Generator[None, Any, None]:
    """Reports the failure of a listed test as an expected failure."""
    outcome = yield
    entry = item.config.stash[_ENTRIES_KEY].get(item.nodeid)
    report = outcome.get_result()
    if entry is not None and report.failed:
        report.outcome = "skipped"
        report.wasxfail = f"known red, issue {entry.issue}: {entry.seen}"


def pytest_terminal_summary(terminalreporter: Any) -> None:
    """Prints the outcome of every listed test."""
    entries = terminalreporter.config.stash[_ENTRIES_KEY]
    if not entries:
        return
    stats = terminalreporter.stats
    failed = {report.nodeid for report in stats.get("xfailed", [])}
    passed = {report.nodeid for report in stats.get("passed", [])}
    terminalreporter.section(FILE_NAME)
    for test, entry in entries.items():
        if test in failed:
            line = f"FAILED as known: {test} (issue {entry.issue})"
        elif test in passed:
            line = f"PASSED, take it off the list: {test}"
        else:
            line = f"NOT RUN: {test}"
        terminalreporter.write_line(line)

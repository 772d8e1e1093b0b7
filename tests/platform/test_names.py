"""Tests that the platform's names are used only in the adapter."""

from __future__ import annotations

import pathlib
import re

import testtools

from comfreylatch.platform import wire

SOURCE = pathlib.Path(wire.__file__).parents[1]
# Names of the platform that other code would not use by chance.
NAMES = re.compile(
    r"FencingToken|LastSeen|run-start|run-stop|log-append|log-read|log-newest"
    r"|JobSteps|CpuMillicores|RequestedMemoryMb|ClockMs|MaxHoldMs|NodeName"
    r"|X-Expected-Instance|EnforcesCapacity|PathPrefix"
)


class NamesTest(testtools.TestCase):
    """Searches all source files outside the adapter."""

    def test_platform_names_are_used_only_in_the_adapter(self) -> None:
        found = [
            f"{path.relative_to(SOURCE)}: {match.group()}"
            for path in sorted(SOURCE.rglob("*.py"))
            if path.parent.name != "platform"
            for match in NAMES.finditer(path.read_text(encoding="utf-8"))
        ]
        self.assertEqual([], found)

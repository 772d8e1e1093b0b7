"""Tests that the platform's names stay within the adapter."""

from __future__ import annotations

import pathlib
import re

import testtools

from comfreylatch.platform import wire

SOURCE = pathlib.Path(wire.__file__).parents[1]
# Names of the platform that are no ordinary words of a program.
NAMES = re.compile(
    r"FencingToken|LastSeen|run-start|run-stop|log-append|log-read|log-newest"
    r"|JobSteps|CpuMillicores|RequestedMemoryMb|ClockMs|MaxHoldMs|NodeName"
    r"|X-Expected-Instance|EnforcesCapacity|PathPrefix"
)


class NamesTest(testtools.TestCase):
    """Every source file outside the adapter."""

    def test_no_name_of_the_platform_stands_elsewhere(self) -> None:
        found = [
            f"{path.relative_to(SOURCE)}: {match.group()}"
            for path in sorted(SOURCE.rglob("*.py"))
            if path.parent.name != "platform"
            for match in NAMES.finditer(path.read_text(encoding="utf-8"))
        ]
        self.assertEqual([], found)

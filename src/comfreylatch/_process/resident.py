"""Resident memory of this process, marked at points of its start.

Imports nothing but the standard library, so that the first mark is not
raised by what it measures.
"""

from __future__ import annotations

import os

INTERPRETER = "interpreter"
LIBRARIES = "libraries"

_marked_kib: dict[str, int] = {}


def resident_kib() -> int:
    """Resident memory of the process now, in KiB."""
    with open("/proc/self/statm", encoding="ascii") as statm:
        pages = int(statm.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") // 1_024


def mark(point: str) -> None:
    """Remembers the resident memory at a point of the start."""
    _marked_kib[point] = resident_kib()


def marked_kib(point: str) -> int:
    """Resident memory at a marked point; 0 when it was not marked."""
    return _marked_kib.get(point, 0)

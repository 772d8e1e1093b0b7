"""Resident memory of this process, recorded at points of its start.

Imports only the standard library, so that this module doesn't raise the first
value that it records.
"""

from __future__ import annotations

import os

INTERPRETER = "interpreter"
LIBRARIES = "libraries"

_marked_kib: dict[str, int] = {}


def resident_kib() -> int:
    """Returns the current resident memory of the process, in KiB."""
    with open("/proc/self/statm", encoding="ascii") as statm:
        pages = int(statm.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") // 1_024


def mark(point: str) -> None:
    """Records the resident memory at a point of the start."""
    _marked_kib[point] = resident_kib()


def marked_kib(point: str) -> int:
    """Returns the resident memory at a point; 0 if it was not marked."""
    return _marked_kib.get(point, 0)

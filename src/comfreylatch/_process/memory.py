"""Resident memory split into interpreter, libraries and state."""

from __future__ import annotations

import attrs

from comfreylatch._process import resident


@attrs.frozen
class MemorySplit:
    """Where the resident memory of the process goes.

    Attributes:
        interpreter_kib: Resident before any library was imported.
        libraries_kib: Added by imports, up to the mark after them.
        state_kib: Added since.
        resident_kib: The sum, as the kernel has it.
    """

    interpreter_kib: int
    libraries_kib: int
    state_kib: int
    resident_kib: int


def measure() -> MemorySplit:
    """Splits the resident memory of this moment at the marked points."""
    now_kib = resident.resident_kib()
    interpreter_kib = resident.marked_kib(resident.INTERPRETER)
    loaded_kib = max(resident.marked_kib(resident.LIBRARIES), interpreter_kib)
    return MemorySplit(
        interpreter_kib=interpreter_kib,
        libraries_kib=loaded_kib - interpreter_kib,
        state_kib=max(now_kib - loaded_kib, 0),
        resident_kib=now_kib,
    )

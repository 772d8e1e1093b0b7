"""Resident memory by interpreter, libraries and state."""

from __future__ import annotations

import attrs

from comfreylatch._process import resident


@attrs.frozen
class MemorySplit:
    """Resident memory of the process by what uses it.

    Attributes:
        interpreter_kib: Resident memory before any library was imported.
        libraries_kib: Increase up to the mark that follows the imports.
        state_kib: Increase since that mark.
        resident_kib: Total resident memory, as the kernel reports it.
    """

    interpreter_kib: int
    libraries_kib: int
    state_kib: int
    resident_kib: int


def measure() -> MemorySplit:
    """Splits the current resident memory at the marked points."""
    now_kib = resident.resident_kib()
    interpreter_kib = resident.marked_kib(resident.INTERPRETER)
    loaded_kib = max(resident.marked_kib(resident.LIBRARIES), interpreter_kib)
    return MemorySplit(
        interpreter_kib=interpreter_kib,
        libraries_kib=loaded_kib - interpreter_kib,
        state_kib=max(now_kib - loaded_kib, 0),
        resident_kib=now_kib,
    )

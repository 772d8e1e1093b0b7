"""Exit codes of the command line."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3


HELP = (
    "Exit codes: 0 success; 1 refused or not run; 2 usage error or invalid "
    "file; 3 unknown outcome (the message says how to check it)."
)

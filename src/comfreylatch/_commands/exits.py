"""Exit codes of the command line."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """What a command's exit code says."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3


HELP = (
    "Exit codes: 0 done; 1 refused, or not run at all; 2 usage or a faulty "
    "file; 3 unknown outcome, which the message says how to find out."
)

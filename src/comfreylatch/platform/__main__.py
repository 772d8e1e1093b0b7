"""Entry point of the program on the users' platform."""

from __future__ import annotations

import os
import sys

from comfreylatch._ports import clock
from comfreylatch.platform import process_signals


def main() -> int:
    """Runs a host; returns the exit code."""
    signals = process_signals.ProcessSignals(clock.SystemClock())
    signals.install()
    # A signal that arrives during this import is taken note of already.
    from comfreylatch.platform import host

    return host.run(signals)


if __name__ == "__main__":
    exit_code = main()
    sys.stdout.flush()
    sys.stderr.flush()
    # The end of the interpreter would wait for threads that are in a call.
    os._exit(exit_code)

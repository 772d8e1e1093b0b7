"""Entry point of the command line."""

from __future__ import annotations

import os
import pathlib
import sys

from comfreylatch._process import resident

# The package that unpacks the one-file program before this module runs.
BOOTSTRAP_MODULE = "_bootstrap"


def main() -> None:
    """Runs the command line; never returns a value, may exit."""
    resident.mark(resident.INTERPRETER)
    match sys.argv[1:]:
        case ["serve", path] if not path.startswith("-"):
            _reexec_without_bootstrap(path)
            # The command-line library would stay in a serving process's
            # memory for good.
            from comfreylatch._process import entry_host

            sys.exit(entry_host.run(path))
        case _:
            from comfreylatch._commands import main as commands

            commands.run()


def _reexec_without_bootstrap(path: str) -> None:
    """Goes on in a fresh interpreter, in the same process.

    What the one-file program imported to unpack itself would stay in a
    serving process's memory for good.
    """
    if BOOTSTRAP_MODULE not in sys.modules:
        return
    site = str(pathlib.Path(__file__).resolve().parent.parent)
    os.environ["PYTHONPATH"] = site
    os.execv(
        sys.executable,
        [sys.executable, "-P", "-m", "comfreylatch", "serve", path],
    )


if __name__ == "__main__":
    main()

"""Entry point of the command line."""

from __future__ import annotations

import os
import pathlib
import sys

from comfreylatch._process import resident

# Package that unpacks the single-file executable before this module runs.
BOOTSTRAP_MODULE = "_bootstrap"


def main() -> None:
    """Runs the command line; usually ends with SystemExit."""
    resident.mark(resident.INTERPRETER)
    match sys.argv[1:]:
        case ["serve", path] if not path.startswith("-"):
            _reexec_without_bootstrap(path)
            # The command-line library is not imported here, because it would
            # occupy memory for the lifetime of the serving process.
            from comfreylatch._process import entry_host

            sys.exit(entry_host.run(path))
        case _:
            from comfreylatch._commands import main as commands

            commands.run()


def _reexec_without_bootstrap(path: str) -> None:
    """Replaces the process image with a new interpreter if unpacked.

    Modules that the single-file executable imported to unpack itself would
    otherwise occupy memory for the lifetime of the serving process.
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

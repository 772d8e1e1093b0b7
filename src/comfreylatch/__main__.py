"""Entry point of the command line."""

from __future__ import annotations

import sys

from comfreylatch._process import resident


def main() -> None:
    """Runs the command line; never returns a value, may exit."""
    resident.mark(resident.INTERPRETER)
    match sys.argv[1:]:
        case ["serve", path] if not path.startswith("-"):
            # The command-line library would stay in a serving process's
            # memory for good.
            from comfreylatch._process import entry_host

            sys.exit(entry_host.run(path))
        case _:
            from comfreylatch._commands import main as commands

            commands.run()


if __name__ == "__main__":
    main()

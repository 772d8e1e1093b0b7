"""Entry point of the command line."""

from __future__ import annotations

from comfreylatch._process import resident


def main() -> None:
    """Runs the command line; never returns a value, may exit."""
    resident.mark(resident.INTERPRETER)
    from comfreylatch._commands import main as commands

    commands.run()


if __name__ == "__main__":
    main()

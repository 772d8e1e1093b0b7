"""Commands of the entry host itself: `serve` and `check-settings`."""

from __future__ import annotations

from typing import Annotated

import result
import typer

from comfreylatch._commands import exits
from comfreylatch._commands import options
from comfreylatch._commands import output
from comfreylatch._process import entry_host
from comfreylatch._process import settings_file

SettingsPath = Annotated[
    str, typer.Argument(metavar="FILE", help="Settings: JSON with comments.")
]


def serve(file: SettingsPath) -> None:
    """Runs an entry host until SIGTERM or SIGINT.

    It stays in the foreground, starts no other process, writes its log to
    standard error, and on the first signal stops gracefully: it is no longer
    ready, takes nothing new, finishes what is in progress and exits 0.
    """
    raise typer.Exit(entry_host.run(file))


def check_settings(file: SettingsPath, as_json: options.AsJson = False) -> None:
    """Checks a settings file and lists every error at once.

    Each line names file, line, column, what was expected and what was found.
    Exits 0 when the file is right and 2 when it is not.
    """
    match settings_file.load(file):
        case result.Err(errors):
            output.show_file_errors(errors, as_json)
            raise typer.Exit(exits.ExitCode.USAGE)
        case result.Ok(settings):
            if as_json:
                output.print_value(settings, as_json)
            else:
                typer.echo(f"{file}: ok (seat {settings.seat})")

"""The commands `serve` and `check-settings`."""

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
    str,
    typer.Argument(metavar="FILE", help="Settings file: JSON with comments."),
]


def serve(file: SettingsPath) -> None:
    """Runs an entry host until SIGTERM or SIGINT.

    Runs in the foreground, starts no other process and logs to standard
    error. On the first signal it shuts down gracefully: it reports not ready,
    refuses new work, completes work in progress and exits 0.
    """
    raise typer.Exit(entry_host.run(file))


def check_settings(file: SettingsPath, as_json: options.AsJson = False) -> None:
    """Checks a settings file and lists all errors.

    Each line names the file, line and column, the expected and the found
    value. Exits 0 if the file is valid and 2 if not.
    """
    match settings_file.load(file):
        case result.Err(errors):
            output.print_file_errors(errors, as_json)
            raise typer.Exit(exits.ExitCode.USAGE)
        case result.Ok(settings):
            if as_json:
                output.print_value(settings, as_json)
            else:
                typer.echo(f"{file}: ok (seat {settings.seat})")

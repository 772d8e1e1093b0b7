"""The command line."""

from __future__ import annotations

from typing import Annotated

import typer

from comfreylatch import __version__
from comfreylatch._commands import exits
from comfreylatch._commands import host
from comfreylatch._commands import job
from comfreylatch._commands import options
from comfreylatch._commands import replay
from comfreylatch._commands import serve
from comfreylatch._commands import ticket

EPILOG = (
    "Commands that ask a host take its operator address from --host or the "
    f"variable {options.HOST_VARIABLE}. {exits.HELP}"
)

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    epilog=EPILOG,
)


@app.callback(invoke_without_command=True)
def _root(
    version: Annotated[
        bool, typer.Option("--version", help="Print the version and exit.")
    ] = False,
) -> None:
    """Schedules latency-critical requests and batch jobs side by side.

    Start an entry host with `serve FILE`. Put services, endpoints, teams and
    limits in force with `ticket`, run batch work with `job`, and ask why
    anything happened with `explain`.
    """
    if version:
        typer.echo(f"comfreylatch {__version__}")
        raise typer.Exit


app.command(epilog=exits.HELP)(serve.serve)
app.command("check-settings", epilog=exits.HELP)(serve.check_settings)
app.add_typer(ticket.app, name="ticket")
app.add_typer(job.app, name="job")
app.command(epilog=exits.HELP)(host.status)
app.command(epilog=exits.HELP)(host.explain)
app.command(epilog=exits.HELP)(host.metrics)
app.command(epilog=exits.HELP)(replay.replay)


def run() -> None:
    """Runs the command line on the process's arguments."""
    app(prog_name="comfreylatch")

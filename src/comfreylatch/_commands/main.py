"""Entry point of the command line."""

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
    "Commands that call a host take its operator address from --host or the "
    f"environment variable {options.HOST_VARIABLE}. {exits.HELP}"
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
    """Schedules latency-critical requests and batch jobs on shared hosts.

    Start an entry host with `serve FILE`. Configure services, endpoints, teams
    and limits with `ticket`, run batch jobs with `job`, and show the reasons
    of scheduling decisions with `explain`.
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
    """Runs the command line with the arguments of the process."""
    app(prog_name="comfreylatch")

"""The command line."""

from __future__ import annotations

import typer

app = typer.Typer(no_args_is_help=True, add_completion=False)


@app.callback()
def _root() -> None:
    """Schedules latency-critical requests and batch jobs side by side."""


def run() -> None:
    """Runs the command line on the process's arguments."""
    app(prog_name="comfreylatch")

"""Options and arguments that several commands share."""

from __future__ import annotations

from typing import Annotated

import typer

HOST_VARIABLE = "COMFREYLATCH_HOST"

Hosts = Annotated[
    list[str],
    typer.Option(
        "--host",
        metavar="IP:PORT",
        envvar=HOST_VARIABLE,
        help="Operator address of an entry host. May be given several times "
        "(or several in the variable, with spaces between): the next one is "
        "tried when it is certain that the one before did nothing.",
    ),
]
OptionalHosts = Annotated[
    list[str] | None,
    typer.Option(
        "--host",
        metavar="IP:PORT",
        envvar=HOST_VARIABLE,
        help="Operator address of an entry host; may be given several times.",
    ),
]
AsJson = Annotated[
    bool, typer.Option("--json", help="Print the host's answer as JSON.")
]
TimeoutMs = Annotated[
    int,
    typer.Option(
        "--timeout-ms",
        min=1,
        max=600_000,
        metavar="MS",
        help="How long to wait for the answer.",
    ),
]
DEFAULT_TIMEOUT_MS = 15_000

"""Options shared by several commands."""

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
        "(in the variable, separated by spaces); the next host is tried if a "
        "read fails or if a change was certainly not executed.",
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
    bool, typer.Option("--json", help="Print the result as JSON.")
]
TimeoutMs = Annotated[
    int,
    typer.Option(
        "--timeout-ms",
        min=1,
        max=600_000,
        metavar="MS",
        help="Timeout of the answer of a host.",
    ),
]
DEFAULT_TIMEOUT_MS = 15_000

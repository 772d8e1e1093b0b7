"""Commands that ask entry hosts about themselves and their decisions."""

from __future__ import annotations

import datetime
from typing import Annotated
from typing import Any
from urllib import parse

import result
import typer

from comfreylatch._commands import exits
from comfreylatch._commands import options
from comfreylatch._commands import output
from comfreylatch._process import reasons

_RETRY_HINT = "nothing was changed; ask again"


def status(
    hosts: options.Hosts,
    as_json: options.AsJson = False,
    timeout_ms: options.TimeoutMs = options.DEFAULT_TIMEOUT_MS,
) -> None:
    """Shows how each host given sees itself, its peers and endpoints.

    Exits 1 when any of the hosts can't be reached.
    """
    pages = {}
    for host in hosts:
        with output.connect([host], timeout_ms) as client:
            answer = client.read("/status")
        match answer:
            case result.Ok(reply):
                pages[host] = reply.value
            case result.Err(error):
                unreached = output.CommandError("not reached", str(error))
                pages[host] = unreached
    output.print_value(pages, as_json)
    if any(isinstance(p, output.CommandError) for p in pages.values()):
        raise typer.Exit(exits.ExitCode.REFUSED)


def metrics(
    hosts: options.Hosts,
    as_json: options.AsJson = False,
    timeout_ms: options.TimeoutMs = options.DEFAULT_TIMEOUT_MS,
) -> None:
    """Prints the counters and latencies of a host, one line a metric."""
    path = "/metrics" if as_json else "/metrics?format=text"
    with output.connect(hosts, timeout_ms) as client:
        answer = client.read(path)
    output.print_answer(answer, as_json, _RETRY_HINT)


def explain(
    subject: Annotated[
        reasons.Subject,
        typer.Argument(metavar="SUBJECT", help=", ".join(reasons.Subject)),
    ],
    name: Annotated[str, typer.Argument(metavar="ID", help="Its id or name.")],
    hosts: options.Hosts,
    as_json: options.AsJson = False,
    timeout_ms: options.TimeoutMs = options.DEFAULT_TIMEOUT_MS,
) -> None:
    """Says what was decided about a request, job, ticket, endpoint or worker.

    One line a decision, oldest first: when, on which host, why, and the
    record that decided. Exits 1 when nothing is known of it.
    """
    path = f"/explain/{subject.value}/{parse.quote(name, safe='')}"
    with output.connect(hosts, timeout_ms) as client:
        answer = client.read(path)
    is_page = answer.is_ok() and answer.ok_value.status == 200
    if as_json or not is_page:
        page = output.print_answer(answer, as_json, _RETRY_HINT).value
    else:
        page = answer.ok_value.value
        for line in explanation_lines(page):
            typer.echo(line)
    if not page["decisions"]:
        raise typer.Exit(exits.ExitCode.REFUSED)


def explanation_lines(page: dict[str, Any]) -> list[str]:
    """An explanation page as sentences."""
    lines = []
    for decision in page["decisions"]:
        when = datetime.datetime.fromtimestamp(
            decision["wall_ms"] / 1_000, datetime.UTC
        )
        stamp = when.strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]
        record = ""
        if decision["offset"] >= 0:
            record = f", record {decision['offset']}"
        lines.append(
            f"{stamp} {decision['host']}: {decision['sentence']} "
            f"[{decision['reason']}{record}]"
        )
    lines.append(page["summary"])
    return lines

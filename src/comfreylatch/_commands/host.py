"""Commands that show the state and the decisions of entry hosts."""

from __future__ import annotations

import datetime
import enum
from typing import Annotated
from typing import Any
from urllib import parse

import result
import typer

from comfreylatch._commands import exits
from comfreylatch._commands import options
from comfreylatch._commands import output
from comfreylatch._commands import placement
from comfreylatch._process import reasons

_RETRY_HINT = "nothing was changed; run the command again"


def status(
    hosts: options.Hosts,
    as_json: options.AsJson = False,
    timeout_ms: options.TimeoutMs = options.DEFAULT_TIMEOUT_MS,
) -> None:
    """Shows the status of each host, its peers and its endpoints.

    Exits 1 if any of the hosts can't be reached.
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
    """Prints the counters and latencies of a host, one metric per line."""
    path = "/metrics" if as_json else "/metrics?format=text"
    with output.connect(hosts, timeout_ms) as client:
        answer = client.read(path)
    output.print_answer(answer, as_json, _RETRY_HINT)


class Explained(enum.StrEnum):
    """What `explain` explains: the subjects of decisions, and placements."""

    REQUEST = reasons.Subject.REQUEST.value
    JOB = reasons.Subject.JOB.value
    TICKET = reasons.Subject.TICKET.value
    ENDPOINT = reasons.Subject.ENDPOINT.value
    WORKER = reasons.Subject.WORKER.value
    PLACEMENT = "placement"


def explain(
    subject: Annotated[
        Explained,
        typer.Argument(metavar="SUBJECT", help=", ".join(Explained)),
    ],
    name: Annotated[
        str,
        typer.Argument(
            metavar="ID",
            help="Id or name of the subject; for a placement, a file.",
        ),
    ],
    hosts: options.Hosts,
    as_json: options.AsJson = False,
    timeout_ms: options.TimeoutMs = options.DEFAULT_TIMEOUT_MS,
) -> None:
    """Lists the decisions about a request, job, ticket, endpoint or worker.

    Prints one line per decision, oldest first: its time, host, explanation,
    reason and log record. Exits 1 if no decision is known.

    `placement FILE` tells where a job would go now, and why, without sending
    it. The file has its `queue_host`, `queue_path` and `job`.
    """
    if subject is Explained.PLACEMENT:
        placement.explain(name, hosts, as_json, timeout_ms)
        return
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
    """Formats an explanation page as lines of text."""
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

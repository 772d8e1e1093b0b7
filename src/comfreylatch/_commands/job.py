"""Commands for batch jobs."""

from __future__ import annotations

from typing import Annotated
from typing import Any
from urllib import parse

import attrs
import msgspec
import result
import typer

from comfreylatch._commands import exits
from comfreylatch._commands import options
from comfreylatch._commands import output
from comfreylatch._ports import workers
from comfreylatch._process import json_file
from comfreylatch._version import schema

app = typer.Typer(
    no_args_is_help=True,
    help="Submit, show, list and cancel batch jobs.",
    epilog=exits.HELP,
)

JobId = Annotated[str, typer.Argument(metavar="ID", help="Id of the job.")]


@attrs.frozen
class JobDocument:
    """A job file, specified in docs/API.md."""

    id: str
    team: str
    resources: workers.Resources
    run_time_ms: int
    zone: str = ""
    job_class: str = "other"
    urgent: bool = False


@app.command()
def submit(
    file: Annotated[
        str,
        typer.Argument(metavar="FILE", help="Job file: JSON with comments."),
    ],
    hosts: options.Hosts,
    as_json: options.AsJson = False,
    timeout_ms: options.TimeoutMs = options.DEFAULT_TIMEOUT_MS,
) -> None:
    """Submits a job; submitting the same file again has no effect."""
    match json_file.read(file, check):
        case result.Err(errors):
            output.print_file_errors(errors, as_json)
            raise typer.Exit(exits.ExitCode.USAGE)
        case result.Ok(value):
            body = msgspec.json.encode(value)
    with output.connect(hosts, timeout_ms) as client:
        answer = client.change("POST", "/jobs", body)
    output.print_answer(
        answer,
        as_json,
        f"check with `comfreylatch job show {value['id']}` whether the job "
        "was accepted; submitting the same file again is safe",
    )


@app.command()
def show(
    job_id: JobId,
    hosts: options.Hosts,
    as_json: options.AsJson = False,
    timeout_ms: options.TimeoutMs = options.DEFAULT_TIMEOUT_MS,
) -> None:
    """Shows the state, zone, worker and attempts of a job."""
    with output.connect(hosts, timeout_ms) as client:
        answer = client.read("/jobs/" + parse.quote(job_id, safe=""))
    output.print_answer(
        answer, as_json, "nothing was changed; run the command again"
    )


@app.command("list")
def list_jobs(
    hosts: options.Hosts,
    as_json: options.AsJson = False,
    timeout_ms: options.TimeoutMs = options.DEFAULT_TIMEOUT_MS,
) -> None:
    """Lists the jobs known to the host."""
    with output.connect(hosts, timeout_ms) as client:
        answer = client.read("/jobs")
    output.print_answer(
        answer, as_json, "nothing was changed; run the command again"
    )


@app.command()
def cancel(
    job_id: JobId,
    hosts: options.Hosts,
    as_json: options.AsJson = False,
    timeout_ms: options.TimeoutMs = options.DEFAULT_TIMEOUT_MS,
) -> None:
    """Cancels a job; cancelling it again has no effect."""
    with output.connect(hosts, timeout_ms) as client:
        path = "/jobs/" + parse.quote(job_id, safe="")
        answer = client.change("DELETE", path)
    output.print_answer(
        answer,
        as_json,
        f"check with `comfreylatch job show {job_id}` whether the job was "
        "cancelled; cancelling it again is safe",
    )


def check(value: Any) -> schema.Problems:
    """Returns all problems of a decoded job file."""
    return schema.check(value, JobDocument, "")

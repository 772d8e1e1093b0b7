"""Commands for change tickets."""

from __future__ import annotations

import pathlib
from typing import Annotated
from typing import Any

import attrs
import msgspec
import result
import typer

from comfreylatch._commands import exits
from comfreylatch._commands import options
from comfreylatch._commands import output
from comfreylatch._commands import ticket_file
from comfreylatch._process import json_file
from comfreylatch._version import objects

app = typer.Typer(
    no_args_is_help=True,
    help="Create, check and submit change tickets and show where they are in "
    "force.",
    epilog=exits.HELP,
)

TicketPath = Annotated[
    str, typer.Argument(metavar="FILE", help="Ticket file: JSON with comments.")
]
_RETRY_HINT = "nothing was changed; run the command again"


@attrs.frozen
class FieldDifference:
    """A field that a ticket would change, with its JSON values."""

    field: str
    now: Any
    then: Any


@attrs.frozen
class ObjectDifference:
    """Changes that a ticket would make to one object.

    Attributes:
        replaces: Version that the ticket replaces.
        in_force: Version in force; the ticket is refused if it differs.
        effect: `creates`, `changes`, `removes` or `nothing`.
    """

    kind: str
    name: str
    replaces: int
    in_force: int
    effect: str
    fields: tuple[FieldDifference, ...]


@app.command()
def new(
    objects_named: Annotated[
        list[str],
        typer.Argument(
            metavar="KIND/NAME...",
            help="Objects to set, such as service/skyproc. Kinds: "
            + ", ".join(objects.ObjectKind),
        ),
    ],
    hosts: options.OptionalHosts = None,
    number: Annotated[
        int, typer.Option(min=1, help="Number of the ticket.")
    ] = 1,
    author: Annotated[str, typer.Option(help="Author of the ticket.")] = "",
    reason: Annotated[str, typer.Option(help="Reason of the change.")] = "",
    to_file: Annotated[
        str,
        typer.Option(
            "--output", metavar="FILE", help="Write the ticket to a new file."
        ),
    ] = "",
    timeout_ms: options.TimeoutMs = options.DEFAULT_TIMEOUT_MS,
) -> None:
    """Creates a commented ticket with all fields of the objects.

    With --host, fields are filled in with the state and version in force;
    otherwise with the defaults of new objects.
    """
    keys = [_parse_kind_and_name(text) for text in objects_named]
    in_force = _objects_in_force(hosts, timeout_ms) if hosts else {}
    targets = []
    for kind, name in keys:
        absent = ticket_file.ObjectInForce(kind, name, 0, None)
        targets.append(in_force.get((kind, name), absent))
    text = ticket_file.render_template(number, author, reason, targets)
    if not to_file:
        typer.echo(text, nl=False)
        return
    try:
        with pathlib.Path(to_file).open("x", encoding="utf-8") as target:
            target.write(text)
    except OSError as error:
        output.fail("not written", str(error), exits.ExitCode.REFUSED)


@app.command()
def check(file: TicketPath, as_json: options.AsJson = False) -> None:
    """Checks a ticket file without a host and lists all errors."""
    value = _read(file, as_json)
    if as_json:
        output.print_value(value, as_json)
    else:
        count = len(value["changes"])
        typer.echo(f"{file}: ok (ticket {value['number']}, {count} changes)")


@app.command()
def submit(
    file: TicketPath,
    hosts: options.Hosts,
    as_json: options.AsJson = False,
    timeout_ms: options.TimeoutMs = options.DEFAULT_TIMEOUT_MS,
) -> None:
    """Submits a ticket and waits for the verdict.

    Submitting the same file again is safe: the same number with the same
    content is the same ticket.
    """
    value = _read(file, as_json)
    with output.connect(hosts, timeout_ms) as client:
        answer = client.change("POST", "/tickets", msgspec.json.encode(value))
    output.print_answer(
        answer,
        as_json,
        f"check with `comfreylatch ticket show {value['number']}`; "
        "submitting the same file again is safe",
    )


@app.command()
def show(
    number: Annotated[
        int, typer.Argument(metavar="N", help="Number of the ticket.", min=1)
    ],
    hosts: options.Hosts,
    as_json: options.AsJson = False,
    timeout_ms: options.TimeoutMs = options.DEFAULT_TIMEOUT_MS,
) -> None:
    """Shows the verdict of a ticket, its reason and where it is in force."""
    with output.connect(hosts, timeout_ms) as client:
        answer = client.read(f"/tickets/{number}")
    output.print_answer(answer, as_json, _RETRY_HINT)


@app.command("list")
def list_tickets(
    hosts: options.Hosts,
    as_json: options.AsJson = False,
    timeout_ms: options.TimeoutMs = options.DEFAULT_TIMEOUT_MS,
) -> None:
    """Lists the tickets known to the host."""
    with output.connect(hosts, timeout_ms) as client:
        answer = client.read("/tickets")
    output.print_answer(answer, as_json, _RETRY_HINT)


@app.command()
def diff(
    file: TicketPath,
    hosts: options.Hosts,
    as_json: options.AsJson = False,
    timeout_ms: options.TimeoutMs = options.DEFAULT_TIMEOUT_MS,
) -> None:
    """Shows what a ticket would change in the objects in force.

    Exits 1 if the ticket would be refused because it replaces a version that
    is not in force.
    """
    value = _read(file, as_json)
    in_force = _objects_in_force(hosts, timeout_ms)
    differences = []
    for change in value["changes"]:
        key = (change["kind"], change["name"])
        absent = ticket_file.ObjectInForce(*key, 0, None)
        differences.append(difference(change, in_force.get(key, absent)))
    output.print_value(differences, as_json)
    if any(each.replaces != each.in_force for each in differences):
        output.fail(
            "would be refused",
            "the ticket replaces a version that is not in force",
            exits.ExitCode.REFUSED,
        )


def difference(
    change: dict[str, Any], now: ticket_file.ObjectInForce
) -> ObjectDifference:
    """Compares one change of a checked ticket with the object in force."""
    then = change["state"]
    if then is not None:
        state_class = objects.CLASS_BY_KIND[objects.ObjectKind(change["kind"])]
        # Adds the defaults of fields that the ticket omits.
        then = msgspec.to_builtins(msgspec.convert(then, state_class))
    fields = _field_differences(now.state or {}, then or {})
    match now.state, then:
        case None, None:
            effect = "nothing"
        case None, _:
            effect = "creates"
        case _, None:
            effect = "removes"
        case _:
            effect = "changes" if fields else "nothing"
    return ObjectDifference(
        kind=change["kind"],
        name=change["name"],
        replaces=change["replaces"],
        in_force=now.version,
        effect=effect,
        fields=fields,
    )


def _field_differences(
    now: dict[str, Any], then: dict[str, Any]
) -> tuple[FieldDifference, ...]:
    names = [*then, *(name for name in now if name not in then)]
    return tuple(
        FieldDifference(name, now.get(name), then.get(name))
        for name in names
        if now.get(name) != then.get(name)
    )


def _read(file: str, as_json: bool) -> dict[str, Any]:
    match json_file.read(file, ticket_file.check):
        case result.Ok(value):
            return value
        case result.Err(errors):
            output.print_file_errors(errors, as_json)
            raise typer.Exit(exits.ExitCode.USAGE)


def _parse_kind_and_name(text: str) -> tuple[str, str]:
    kind, slash, name = text.partition("/")
    if not slash or not name or kind not in set(objects.ObjectKind):
        raise typer.BadParameter(
            f"{text!r} is not KIND/NAME; kinds are "
            + ", ".join(objects.ObjectKind)
        )
    return kind, name


def _objects_in_force(
    hosts: list[str], timeout_ms: int
) -> dict[tuple[str, str], ticket_file.ObjectInForce]:
    with output.connect(hosts, timeout_ms) as client:
        answer = client.read("/objects")
    page = output.require_value(answer, "objects not read")
    try:
        current = msgspec.convert(page, ticket_file.ObjectsPage).objects
    except msgspec.ValidationError as error:
        output.fail("objects not read", str(error), exits.ExitCode.REFUSED)
    return {(each.kind, each.name): each for each in current}

"""Prints answers and errors as text or JSON."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any
from typing import NoReturn

import attrs
import msgspec
import result
import typer

from comfreylatch._commands import client
from comfreylatch._commands import exits
from comfreylatch._connection import address as addresses
from comfreylatch._process import json_file

INDENT = "  "
MAX_CELL_CHARS = 40


@attrs.frozen
class CommandError:
    """JSON output of a command that failed without an answer of a host."""

    error: str
    detail: str


def print_value(value: Any, as_json: bool) -> None:
    """Prints a value of JSON types or an attrs object."""
    if as_json:
        encoded = msgspec.json.encode(value)
        typer.echo(msgspec.json.format(encoded, indent=2).decode())
        return
    if isinstance(value, str):
        typer.echo(value.rstrip("\n"))
        return
    decoded = msgspec.json.decode(msgspec.json.encode(value))
    if isinstance(decoded, dict) and decoded.get("sentence"):
        typer.echo(decoded.pop("sentence"))
    for line in format_lines(decoded):
        typer.echo(line)


def format_lines(value: Any, indent: str = "") -> list[str]:
    """Formats a value of JSON types as indented `key: value` lines."""
    if isinstance(value, dict):
        return _object_lines(value, indent)
    if isinstance(value, list):
        return _array_lines(value, indent)
    return [indent + _scalar(value)]


def fail(error: str, detail: str, code: exits.ExitCode) -> NoReturn:
    """Prints an error to standard error and exits with a code."""
    typer.echo(f"comfreylatch: {error}: {detail}", err=True)
    raise typer.Exit(code)


def print_file_errors(errors: json_file.FileErrors, as_json: bool) -> None:
    """Prints all errors of a file, to standard error unless as JSON."""
    if as_json:
        print_value(errors, as_json=True)
        return
    for error in errors.errors:
        typer.echo(str(error), err=True)


def print_answer(
    answer: result.Result[client.Reply, client.CallError],
    as_json: bool,
    on_unknown: str,
) -> client.Reply:
    """Prints an answer and returns the reply; exits if the call failed.

    Args:
        answer: Result of the client.
        as_json: Whether to print JSON.
        on_unknown: How to check the outcome and whether a retry is safe;
            printed with exit code 3.
    """
    match answer:
        case result.Err(client.NoHostReached() as unreached):
            fail("no host reached", str(unreached), exits.ExitCode.REFUSED)
        case result.Err(client.AnswerLost(host, detail)):
            typer.echo(f"comfreylatch: {on_unknown}", err=True)
            fail(
                "unknown outcome",
                f"{host} may have run it, but its answer was lost ({detail})",
                exits.ExitCode.UNKNOWN,
            )
        case result.Ok(reply):
            print_value(reply.value, as_json)
            code = exit_code(reply.status)
            if code is exits.ExitCode.UNKNOWN:
                typer.echo(f"comfreylatch: {on_unknown}", err=True)
            if code is not exits.ExitCode.DONE:
                raise typer.Exit(code)
            return reply


def require_value(
    answer: result.Result[client.Reply, client.CallError], error: str
) -> Any:
    """Returns the value of a page or ends the command with an error."""
    match answer:
        case result.Ok(reply) if reply.status == 200:
            return reply.value
        case result.Ok(reply):
            detail = (
                f"{reply.host} answered status {reply.status}: {reply.value}"
            )
        case result.Err(failed):
            detail = str(failed)
    return fail(error, detail, exits.ExitCode.REFUSED)


def exit_code(status: int) -> exits.ExitCode:
    """Maps the HTTP status of an answer to an exit code."""
    if 200 <= status < 300:
        return exits.ExitCode.DONE
    if status in (500, 502, 504):
        return exits.ExitCode.UNKNOWN
    return exits.ExitCode.REFUSED


def connect(hosts: list[str], timeout_ms: int) -> client.Client:
    """Creates a client for the addresses of `--host`."""
    return client.Client(parse_addresses(hosts, "--host"), timeout_ms)


def parse_addresses(
    texts: Sequence[str], option: str
) -> list[addresses.Address]:
    """Parses the addresses of an option; an invalid one is a usage error."""
    parsed = []
    for text in texts:
        match addresses.parse(text):
            case result.Ok(address):
                parsed.append(address)
            case result.Err(bad):
                raise typer.BadParameter(bad.detail, param_hint=option)
    return parsed


def _object_lines(value: dict[str, Any], indent: str) -> list[str]:
    if not value:
        return [indent + "(none)"]
    lines = []
    for key, member in value.items():
        if isinstance(member, dict | list) and member:
            lines.append(f"{indent}{key}:")
            lines.extend(format_lines(member, indent + INDENT))
        else:
            lines.append(f"{indent}{key}: {_scalar(member)}")
    return lines


def _array_lines(value: list[Any], indent: str) -> list[str]:
    table = _table_lines(value, indent)
    if table:
        return table
    lines = []
    for member in value:
        member_lines = format_lines(member, indent + INDENT)
        first = member_lines[0][len(indent) + len(INDENT) :]
        lines.append(f"{indent}- {first}")
        lines.extend(member_lines[1:])
    return lines or [indent + "(none)"]


def _table_lines(value: list[Any], indent: str) -> list[str]:
    """Formats objects with equal keys as a table; empty if not possible."""
    if not all(isinstance(member, dict) for member in value):
        return []
    names = list(value[0]) if value else []
    if not names or any(list(member) != names for member in value):
        return []
    rows = [names]
    rows += [[_cell(member[name]) for name in names] for member in value]
    if any(len(cell) > MAX_CELL_CHARS for row in rows for cell in row):
        return []
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        indent
        + "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]


def _cell(value: Any) -> str:
    if isinstance(value, dict):
        members = [f"{key}={_cell(member)}" for key, member in value.items()]
        return ",".join(members) or "-"
    if isinstance(value, list):
        return ",".join(map(_cell, value)) or "-"
    return _scalar(value) or "-"


def _scalar(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, dict | list):
        return "(none)"
    return str(value)

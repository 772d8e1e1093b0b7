"""The command that explains where a job would go now."""

from __future__ import annotations

from typing import Any

import attrs
import msgspec
import result
import typer

from comfreylatch._commands import exits
from comfreylatch._commands import output
from comfreylatch._process import json_file
from comfreylatch._version import schema

_PATH = "/explain/placement"
_HINT = "nothing was sent to a queue; ask again, or ask the host that is named"


@attrs.frozen
class _Queue:
    """The queue in a file; the job is checked by the host."""

    queue_host: str
    queue_path: str


def check(value: Any) -> schema.Problems:
    """Returns the problems of a file; its form is in docs/API.md."""
    if not isinstance(value, dict):
        return schema.check(value, _Queue, "")
    rest = {key: value[key] for key in value if key != "job"}
    problems = schema.check(rest, _Queue, "")
    if not isinstance(value.get("job"), dict):
        found = schema.describe_value(value.get("job"))
        problems.append(schema.Problem("job", "an object", found))
    return problems


def explain(
    path: str, hosts: list[str], as_json: bool, timeout_ms: int
) -> None:
    """Prints where the job in a file would go; exits 1 if it can't be told."""
    match json_file.read(path, check):
        case result.Err(errors):
            output.print_file_errors(errors, as_json)
            raise typer.Exit(exits.ExitCode.USAGE)
        case result.Ok(value):
            body = msgspec.json.encode(value)
    with output.connect(hosts, timeout_ms) as client:
        answer = client.change("POST", _PATH, body)
    is_page = answer.is_ok() and answer.ok_value.status == 200
    if as_json or not is_page:
        output.print_answer(answer, as_json, _HINT)
        return
    for line in explanation_lines(answer.ok_value.value):
        typer.echo(line)


def explanation_lines(page: dict[str, Any]) -> list[str]:
    """Formats an explanation as lines of text."""
    age_ms = page["oldest_report_ms"]
    lines = [f"queue {page['queue']}, as workers reported within {age_ms} ms"]
    for step in page["steps"]:
        lines.extend(_step_lines(step))
    if page["later_steps"]:
        numbers = ", ".join(map(str, page["later_steps"]))
        lines.append(f"steps {numbers}: can't be known before others are done")
    return lines


def _step_lines(step: dict[str, Any]) -> list[str]:
    where = f" on {step['worker']}" if step["worker"] else ""
    timeliness = step["timeliness"].replace("_", " ")
    lines = [
        f"step {step['step']}: the first of {step['tasks']} tasks "
        + step["decision"]
        + where,
        f"  {step['steps_ahead']} waiting steps go first; the job can end "
        + timeliness,
    ]
    if step["expected_wait_ms"] is not None:
        lines.append(f"  room is expected in {step['expected_wait_ms']} ms")
    if step["wanted_rack"]:
        lines.append(f"  faster on rack {step['wanted_rack']}")
    for candidate in step["candidates"]:
        lines.append(
            f"  {candidate['worker']} ({candidate['zone']}, "
            f"{candidate['rack']}): cost {candidate['cost']}, "
            f"{candidate['free_millicores']} millicores free"
        )
    for reason, count in step["ruled_out"].items():
        lines.append(f"  {count} workers ruled out: {reason}")
    return lines

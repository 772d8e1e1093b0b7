"""The command `replay`: a recorded trace against a running system."""

from __future__ import annotations

from collections.abc import Sequence
import time
from typing import Annotated
from typing import TYPE_CHECKING

import result
import typer

from comfreylatch._commands import exits
from comfreylatch._commands import options
from comfreylatch._commands import output
from comfreylatch._commands import trace as traces
from comfreylatch._connection import address as addresses

if TYPE_CHECKING:
    from comfreylatch._commands import replay_report


TracePath = Annotated[
    str, typer.Argument(metavar="TRACE", help="Trace of JSON lines.")
]
Callers = Annotated[
    list[str],
    typer.Option(
        "--caller",
        metavar="[ZONE=]IP:PORT",
        help="Caller address of an entry host; may be given several times. "
        "Requests of a zone go to the hosts of that zone, if any.",
    ),
]
Speed = Annotated[
    float, typer.Option(min=0.01, max=100, help="Trace time per real time.")
]
Threads = Annotated[
    int, typer.Option(min=1, max=2_000, help="Requests open at once.")
]
SettleMs = Annotated[
    int,
    typer.Option(
        min=0, metavar="MS", help="How long to wait for jobs at the end."
    ),
]
Run = Annotated[
    str, typer.Option(help="Prefix of all ids; must be new for each replay.")
]
Label = Annotated[str, typer.Option(help="Name of the policy under test.")]
DEFAULT_THREADS = 512
DEFAULT_SETTLE_MS = 60_000


def replay(
    trace: TracePath,
    callers: Callers,
    hosts: options.OptionalHosts = None,
    speed: Speed = 1.0,
    threads: Threads = DEFAULT_THREADS,
    settle_ms: SettleMs = DEFAULT_SETTLE_MS,
    run: Run = "",
    label: Label = "",
    as_json: options.AsJson = False,
) -> None:
    """Sends what a trace recorded, at its times, and reports what came.

    Requests are sent when they are due, whether or not earlier ones were
    answered, and times count from then. Jobs and the count of tries need the
    operator addresses (--host). Exits 1 when an outcome that the trace
    states was not kept.
    """
    from comfreylatch._commands import load_generator
    from comfreylatch._commands import replay_run

    found = _read(trace, as_json)
    operators = output.parse_addresses(hosts or [], "--host")
    if found.has_jobs and not operators:
        raise typer.BadParameter(
            "the trace has jobs, and they need a host of each zone",
            param_hint="--host",
        )
    load_options = load_generator.LoadOptions(
        callers=_callers_by_zone(callers),
        run=run or f"replay-{time.time_ns() // 1_000_000}",
        speed=speed,
        threads=threads,
    )
    report = replay_run.run(found, load_options, operators, label, settle_ms)
    _show(report, as_json)
    if not report.kept:
        raise typer.Exit(exits.ExitCode.REFUSED)


def _show(report: replay_report.ReplayReport, as_json: bool) -> None:
    from comfreylatch._commands import replay_text

    if as_json:
        output.print_value(report, as_json)
        return
    for line in replay_text.text_lines(report):
        typer.echo(line)


def _read(path: str, as_json: bool) -> traces.Trace:
    match traces.read(path):
        case result.Ok(found):
            return found
        case result.Err(bad):
            detail = f"{path}:{bad.line}: {bad.detail}"
            if as_json:
                error = output.CommandError("bad trace", detail)
                output.print_value(error, as_json)
                raise typer.Exit(exits.ExitCode.USAGE)
            return output.fail("bad trace", detail, exits.ExitCode.USAGE)


def _callers_by_zone(
    texts: Sequence[str],
) -> dict[str, list[addresses.Address]]:
    found: dict[str, list[addresses.Address]] = {}
    for text in texts:
        zone, _, address = text.rpartition("=")
        parsed = output.parse_addresses([address], "--caller")
        found.setdefault(zone, []).extend(parsed)
    return found

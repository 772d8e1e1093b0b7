"""The command `replay`, which replays a trace against running hosts."""

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
    str, typer.Argument(metavar="TRACE", help="Trace file of JSON lines.")
]
Callers = Annotated[
    list[str],
    typer.Option(
        "--caller",
        metavar="[ZONE=]IP:PORT",
        help="Caller address of an entry host; may be given several times. "
        "Requests of a zone are sent to the hosts of that zone, if any.",
    ),
]
Speed = Annotated[
    float,
    typer.Option(min=0.01, max=100, help="Ratio of trace time to real time."),
]
Threads = Annotated[
    int, typer.Option(min=1, max=2_000, help="Limit of concurrent requests.")
]
SettleMs = Annotated[
    int,
    typer.Option(
        min=0, metavar="MS", help="How long to wait for jobs after the trace."
    ),
]
Run = Annotated[
    str, typer.Option(help="Prefix of all ids; must be unique per replay.")
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
    """Replays the requests and jobs of a trace and reports the results.

    Each request is sent when it is due, even if earlier ones are unanswered;
    latencies count from the due time. Jobs and the number of tries need
    operator addresses (--host). Exits 1 if an outcome stated in the trace is
    missed.
    """
    from comfreylatch._commands import load_generator
    from comfreylatch._commands import replay_run

    recorded = _read(trace, as_json)
    operators = output.parse_addresses(hosts or [], "--host")
    if recorded.has_jobs and not operators:
        raise typer.BadParameter(
            "the trace contains jobs, which need a host of each zone",
            param_hint="--host",
        )
    load_options = load_generator.LoadOptions(
        callers=_callers_by_zone(callers),
        run=run or f"replay-{time.time_ns() // 1_000_000}",
        speed=speed,
        threads=threads,
    )
    report = replay_run.run(recorded, load_options, operators, label, settle_ms)
    _print_report(report, as_json)
    if not report.all_outcomes_met:
        raise typer.Exit(exits.ExitCode.REFUSED)


def _print_report(report: replay_report.ReplayReport, as_json: bool) -> None:
    from comfreylatch._commands import replay_text

    if as_json:
        output.print_value(report, as_json)
        return
    for line in replay_text.text_lines(report):
        typer.echo(line)


def _read(path: str, as_json: bool) -> traces.Trace:
    match traces.read(path):
        case result.Ok(recorded):
            return recorded
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
    callers: dict[str, list[addresses.Address]] = {}
    for text in texts:
        zone, _, address = text.rpartition("=")
        parsed = output.parse_addresses([address], "--caller")
        callers.setdefault(zone, []).extend(parsed)
    return callers

"""Measures how soon a ticket is in force on every host; see `--help`.

Runs a fleet on loopback with the deployment's delays between zones. Prints
one JSON line with all hosts connected and one with a host cut off the log.
"""

from __future__ import annotations

import time
from typing import Annotated

import attrs
import msgspec
import typer

from testing import deployments
from testing import fleet
from testing import fleet_plan
from testing.fakes import tickets as samples

CUT_SEAT = "bole-1"
POLL_S = 0.002


@attrs.frozen
class InForceLine:
    """Times since the submission of a ticket, in milliseconds.

    Attributes:
        hosts: Number of entry hosts.
        cut_from_log: Whether one of them is cut off the log.
        tickets: Number of tickets, submitted one after another.
        answered_p50_ms: Median time to the answer.
        everywhere_p50_ms: Median time until every host's status shows the
            ticket's offset; hosts are polled one after another.
        everywhere_max_ms: Maximum of the same time.
    """

    hosts: int
    cut_from_log: bool
    tickets: int
    answered_p50_ms: float
    everywhere_p50_ms: float
    everywhere_max_ms: float


def measure(
    running: fleet.Fleet, tickets: int, first_number: int, cut: bool
) -> InForceLine:
    """Submits tickets through the last seat and polls every host."""
    seat = list(running.hosts)[-1]
    answered_ms: list[float] = []
    everywhere_ms: list[float] = []
    for number in range(first_number, first_number + tickets):
        value = samples.ticket(number, samples.zone(f"zone-{number}"))
        started_s = time.monotonic()
        answer = running.submit_ticket(value, seat)
        answered_ms.append((time.monotonic() - started_s) * 1_000)
        offset = answer.json()["offset"]
        for other in running.hosts:
            while running.status(other)["host"]["config_offset"] < offset:
                time.sleep(POLL_S)
        everywhere_ms.append((time.monotonic() - started_s) * 1_000)
    answered_ms.sort()
    everywhere_ms.sort()
    return InForceLine(
        hosts=len(running.hosts),
        cut_from_log=cut,
        tickets=tickets,
        answered_p50_ms=round(answered_ms[tickets // 2], 1),
        everywhere_p50_ms=round(everywhere_ms[tickets // 2], 1),
        everywhere_max_ms=round(everywhere_ms[-1], 1),
    )


def run(
    tickets: Annotated[int, typer.Option(help="Tickets a measurement.")] = 50,
    seed: Annotated[int, typer.Option(help="Seed of the stand-ins.")] = 1,
) -> None:
    """Prints a JSON line for each measurement."""
    options = fleet_plan.FleetOptions(
        links=frozenset({fleet_plan.Link.PLATFORM, fleet_plan.Link.PEERS}),
        delays=True,
        seed=seed,
    )
    with fleet.Fleet(deployments.small(), options) as running:
        lines = [measure(running, tickets, 1, cut=False)]
        running.network.set_faults(f"log/{CUT_SEAT}", cut=True)
        lines.append(measure(running, tickets, tickets + 1, cut=True))
    for line in lines:
        typer.echo(msgspec.json.encode(line).decode())


if __name__ == "__main__":
    typer.run(run)

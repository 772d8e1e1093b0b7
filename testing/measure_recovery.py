"""Measures how soon batch work resumes after an owner's crash or a log outage.

Runs a fleet with the timing of the tests or with the default timing, and
prints a Markdown table.
"""

from __future__ import annotations

import argparse
import statistics
import time

from comfreylatch._version import objects
from testing import batch_fleet
from testing import fleet as fleet_module
from testing import fleet_plan

OUTAGE_S = 20.0
START_TIMEOUT_S = 60.0
WARMUP_STARTS = 20


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--timing", choices=("tests", "default"), default="tests"
    )
    args = parser.parse_args()
    death_recoveries_s: list[float] = []
    outage_recoveries_s: list[float] = []
    for run in range(args.runs):
        deployment = batch_fleet.deployment()
        if args.timing == "default":
            deployment = batch_fleet.deployment(
                limits=objects.Limits(), autonomy_ms=60_000
            )
        options = fleet_plan.FleetOptions(
            links=batch_fleet.LINKS, seed=args.seed + run
        )
        with fleet_module.Fleet(deployment, options) as running:
            running.apply_first_ticket()
            batch_fleet.wait_limits_applied(running)
            seed = args.seed + run
            with batch_fleet.submitter(running, seed=seed):
                batch_fleet.wait_started(running, WARMUP_STARTS)
                death_recoveries_s.append(measure_owner_death(running))
                batch_fleet.wait_started(running, WARMUP_STARTS)
                outage_recoveries_s.append(measure_log_outage(running))
    print("| from | to | runs | least s | median s | most s |")
    print("|---|---|---|---|---|---|")
    _print_row(
        "death of the owner", "first start by its successor", death_recoveries_s
    )
    _print_row(
        f"end of a log outage of {OUTAGE_S:.0f} s",
        "first start",
        outage_recoveries_s,
    )


def _print_row(start: str, end: str, seconds: list[float]) -> None:
    print(
        f"| {start} | {end} | {len(seconds)} | {min(seconds):.1f} "
        f"| {statistics.median(seconds):.1f} | {max(seconds):.1f} |"
    )


def measure_owner_death(running: fleet_module.Fleet) -> float:
    """Kills the owner.

    Returns:
        Seconds until the first start under a higher term.
    """
    owner = batch_fleet.find_owner(running)
    term = max(event.term for event in running.worker_events())
    died_ms = time.monotonic() * 1_000
    running.kill_host(owner)
    seconds = _seconds_until_start(running, died_ms, term)
    running.start_host(owner)
    running.wait_ready(owner)
    return seconds


def measure_log_outage(running: fleet_module.Fleet) -> float:
    """Makes the log unavailable for `OUTAGE_S`.

    Returns:
        Seconds from the end of the outage to the first start.
    """
    running.log.control(down=True)
    time.sleep(OUTAGE_S)
    back_ms = time.monotonic() * 1_000
    running.log.control(down=False)
    return _seconds_until_start(running, back_ms, 0)


def _seconds_until_start(
    running: fleet_module.Fleet, since_ms: float, above_term: int
) -> float:
    def start_times_ms() -> list[float]:
        return [
            event.at_ms
            for event in running.worker_events()
            if event.kind == "start"
            and event.at_ms > since_ms
            and event.term > above_term
        ]

    running.wait_until(
        lambda: start_times_ms() != [],
        "an attempt has started",
        START_TIMEOUT_S,
    )
    return (min(start_times_ms()) - since_ms) / 1_000


if __name__ == "__main__":
    main()

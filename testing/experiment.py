"""Replays a trace against a whole deployment and checks the journals.

`python -m testing.experiment utility-night burst --duration-ms 30000`
"""

from __future__ import annotations

import argparse
import collections
import pathlib
import subprocess
import sys

import attrs

from comfreylatch._commands import trace as trace_module
from testing import checker
from testing import fault_injection
from testing import fleet
from testing import fleet_plan
from testing import traces
from testing.standins import worker_records

SETTLE_MS = 60_000
MAX_SHOWN_VIOLATIONS = 10
# More than all slots, so that the replay tool never delays a request.
REPLAY_THREADS = 1_000


@attrs.frozen
class Experiment:
    """Parameters of one experiment.

    Attributes:
        workload: Name of the workload, as in `traces.WORKLOADS`.
        duration_ms: Length of the trace.
        scale: Factor on the workload's request and job rates.
        delays: Whether links between zones and to callers carry the
            deployment's delays.
        speed: Task time per real time on the workers.
        label: Name of the policy in the report.
        fault: Fault that is active from a third to two thirds of the trace.
    """

    workload: str
    shape: traces.LoadShape
    seed: int
    duration_ms: int
    scale: float
    delays: bool
    speed: float
    label: str
    fault: fault_injection.Fault
    with_jobs: bool
    as_json: bool


def run(experiment: Experiment) -> int:
    """Runs an experiment.

    Returns:
        0 if the stated outcomes were met and no rule was violated, else 1.
    """
    workload = traces.WORKLOADS[experiment.workload]()
    links: set[fleet_plan.Link] = set()
    if experiment.delays:
        links |= {fleet_plan.Link.PEERS, fleet_plan.Link.CALLERS}
    if experiment.fault is fault_injection.Fault.CUT_ZONE:
        links |= {fleet_plan.Link.PEERS, fleet_plan.Link.PLATFORM}
    options = fleet_plan.FleetOptions(
        links=frozenset(links),
        delays=experiment.delays,
        seed=experiment.seed,
        speed=experiment.speed,
    )
    generator = traces.TraceGenerator(
        experiment.workload,
        workload,
        experiment.shape,
        experiment.seed,
        experiment.duration_ms,
        experiment.scale,
    )
    trace = generator.generate(experiment.with_jobs)
    with fleet.Fleet(workload.deployment, options) as running:
        running.apply_first_ticket()
        faults = fault_injection.FaultInjector(
            running, experiment.fault, experiment.duration_ms
        )
        with faults:
            code = _replay(running, trace, experiment)
        print(f"workers: {_summarize_worker_events(running.worker_events())}")
        print(f"tasks: {_summarize_slowdowns(running.worker_events())}")
        violations = _find_violations(running)
        for violation in violations[:MAX_SHOWN_VIOLATIONS]:
            print(
                f"VIOLATION {violation.rule}: {violation.subject}: "
                f"{violation.detail}"
            )
        print(f"violations in the stand-ins' journals: {len(violations)}")
    return 1 if code or violations else 0


def _replay(
    running: fleet.Fleet,
    trace: trace_module.Trace,
    experiment: Experiment,
) -> int:
    path = pathlib.Path(running.folder) / "trace.jsonl"
    path.write_bytes(trace_module.encode(trace))
    arguments = ["replay", str(path), "--settle-ms", str(SETTLE_MS)]
    arguments += ["--label", experiment.label]
    arguments += ["--threads", str(REPLAY_THREADS)]
    if experiment.as_json:
        arguments.append("--json")
    for host in running.hosts.values():
        arguments += ["--caller", f"{host.zone}={host.caller_address}"]
        arguments += ["--host", host.operator_address]
    return subprocess.run(
        [*running.options.command, *arguments], check=False
    ).returncode


def _summarize_worker_events(events: list[worker_records.WorkerEvent]) -> str:
    """Counts the worker events of each kind."""
    counts = collections.Counter(
        f"{event.kind} {event.detail}" if event.kind == "end" else event.kind
        for event in events
    )
    return ", ".join(
        f"{count} {word}" for word, count in sorted(counts.items())
    )


def _summarize_slowdowns(events: list[worker_records.WorkerEvent]) -> str:
    """Summarizes the ratio of run time to work of finished attempts."""
    starts = {
        (event.job, event.attempt): event
        for event in events
        if event.kind == "start"
    }
    slowdowns = []
    for event in events:
        if event.kind == "end" and event.detail == "finished":
            start = starts[event.job, event.attempt]
            work_ms = max(event.progress_ms - start.progress_ms, 1)
            slowdowns.append((event.at_ms - start.at_ms) / work_ms)
    if not slowdowns:
        return "none finished"
    slowdowns.sort()
    median = slowdowns[len(slowdowns) // 2]
    p99 = slowdowns[min(int(len(slowdowns) * 0.99), len(slowdowns) - 1)]
    return f"ran {median:.2f} times their work at p50, {p99:.2f} at p99"


def _find_violations(running: fleet.Fleet) -> list[checker.Violation]:
    workers = running.worker_events()
    return [
        *checker.limits_kept(running.endpoint_events()),
        *checker.capacity_kept(workers),
        *checker.never_in_two_places(workers),
        *checker.attempts_start_once(workers),
        *checker.resumed_from_checkpoint(workers),
    ]


def main() -> None:
    """Runs one experiment."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("workload", choices=sorted(traces.WORKLOADS))
    parser.add_argument(
        "shape", type=traces.LoadShape, choices=list(traces.LoadShape)
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration-ms", type=int, default=30_000)
    parser.add_argument("--scale", type=float, default=1.0)
    parser.add_argument("--speed", type=float, default=1.0)
    parser.add_argument("--label", default="")
    parser.add_argument(
        "--fault",
        type=fault_injection.Fault,
        choices=list(fault_injection.Fault),
        default=fault_injection.Fault.NONE,
    )
    parser.add_argument("--no-delays", dest="delays", action="store_false")
    parser.add_argument("--no-jobs", dest="with_jobs", action="store_false")
    parser.add_argument("--json", dest="as_json", action="store_true")
    sys.exit(run(Experiment(**vars(parser.parse_args()))))


if __name__ == "__main__":
    main()

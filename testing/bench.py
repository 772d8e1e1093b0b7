"""Benchmarks the request path against a bare relay: `make bench`.

Both forward to the same endpoints, which answer immediately. Their rounds
alternate, so that other load on the machine affects both.
"""

from __future__ import annotations

import argparse
import json
import os
import pathlib
import statistics
import sys
import time

import attrs
from hdrh import histogram

from testing import bench_load
from testing import deployments
from testing import fleet
from testing import fleet_plan
from testing import processes

BARE_RELAY = "bare relay"
ENTRY_HOST = "entry host"
ENTRY_HOST_NON_IDEMPOTENT = "entry host, not idempotent"
LOAD_PROCESSES = 4
IDLE_S = 10.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
MIB = 1_048_576


@attrs.frozen
class Target:
    """A process under load and how requests reach it."""

    name: str
    pid: int
    address: str
    path: str
    method: str = "GET"


@attrs.frozen
class Round:
    """Measurements of one round.

    Attributes:
        cpu_us: Processor time of the target per request. Other load on the
            machine affects this value least.
    """

    target: str
    callers: int
    answered: int
    failed: int
    per_s: float
    p50_ms: float
    p99_ms: float
    cpu_us: float


@attrs.frozen
class BenchOptions:
    """Durations, rounds and concurrency of a benchmark."""

    callers: tuple[int, ...]
    rounds: int
    warm_s: float
    measured_s: float


class Bench:
    """A benchmark run on a running fleet of one host."""

    def __init__(self, running: fleet.Fleet, options: BenchOptions) -> None:
        self._fleet = running
        self._options = options
        self._runs = 0

    def run(self, bare_pid: int, bare_address: str) -> list[Round]:
        """Runs all rounds, alternating the targets."""
        seat = next(iter(self._fleet.hosts))
        host = self._fleet.hosts[seat].caller_address
        process = self._fleet.hosts[seat].process
        assert process is not None
        path = f"/services/{self._fleet.deployment.service}/bench"
        targets = [
            Target(BARE_RELAY, bare_pid, bare_address, "/bench"),
            Target(ENTRY_HOST, process.pid, host, path),
            Target(ENTRY_HOST_NON_IDEMPOTENT, process.pid, host, path, "POST"),
        ]
        rounds = []
        for callers in self._options.callers:
            for _ in range(self._options.rounds):
                for target in targets:
                    rounds.append(self._run_round(target, callers))
                    print(_format_round(rounds[-1]), flush=True)
        return rounds

    def _run_round(self, target: Target, callers: int) -> Round:
        self._runs += 1
        count = min(LOAD_PROCESSES, callers)
        shares = [
            callers // count + (number < callers % count)
            for number in range(count)
        ]
        cpu_before_us = _cpu_us(target.pid)
        started = [
            self._start_load(target, share, number)
            for number, share in enumerate(shares)
        ]
        merged = histogram.HdrHistogram(
            bench_load.MIN_LATENCY_US,
            bench_load.MAX_LATENCY_US,
            bench_load.SIGNIFICANT_DIGITS,
        )
        failed = 0
        sent = 0
        for process in started:
            line = process.first_line()
            process.stop()
            sent += line["sent"]
            merged.decode_and_add(line["encoded"].encode())
            failed += line["failed"]
        answered = merged.get_total_count()
        return Round(
            target=target.name,
            callers=callers,
            answered=answered,
            failed=failed,
            per_s=answered / self._options.measured_s,
            p50_ms=merged.get_value_at_percentile(50) / 1_000,
            p99_ms=merged.get_value_at_percentile(99) / 1_000,
            cpu_us=(_cpu_us(target.pid) - cpu_before_us) / max(sent, 1),
        )

    def _start_load(
        self, target: Target, callers: int, number: int
    ) -> processes.ChildProcess:
        arguments = {
            "--path": target.path,
            "--method": target.method,
            "--run": f"bench-{self._runs}-{number}",
            "--callers": callers,
            "--warm-s": self._options.warm_s,
            "--measured-s": self._options.measured_s,
        }
        texts = [str(word) for pair in arguments.items() for word in pair]
        return processes.ChildProcess(
            f"load-{self._runs}-{number}",
            [
                sys.executable,
                "-m",
                "testing.bench_load",
                target.address,
                *texts,
            ],
            self._fleet.folder,
        )


def _format_round(sample: Round) -> str:
    return (
        f"{sample.target:28} {sample.callers:4} callers "
        f"{sample.per_s:8.0f} /s  "
        f"p50 {sample.p50_ms:7.2f} ms  p99 {sample.p99_ms:7.2f} ms  "
        f"processor {sample.cpu_us:5.0f} us  failed {sample.failed}"
    )


def summary(rounds: list[Round], callers: tuple[int, ...]) -> list[str]:
    """Compares each target's medians with the bare relay's."""
    lines = []
    for count in callers:
        baseline = _medians(rounds, BARE_RELAY, count)
        for name in (ENTRY_HOST, ENTRY_HOST_NON_IDEMPOTENT):
            target = _medians(rounds, name, count)
            lines.append(
                f"{name}, {count} callers: {target.per_s:.0f} of "
                f"{baseline.per_s:.0f} /s "
                f"({_rate_difference_percent(target, baseline):+.1f}%), "
                f"p50 {target.p50_ms - baseline.p50_ms:+.2f} ms, "
                f"p99 {target.p99_ms - baseline.p99_ms:+.2f} ms, "
                f"processor {target.cpu_us:.0f} of {baseline.cpu_us:.0f} us, "
                f"failed {target.failed}"
            )
    return lines


def _rate_difference_percent(target: Round, baseline: Round) -> float:
    return 100 * (target.per_s / max(baseline.per_s, 1e-9) - 1)


def _medians(rounds: list[Round], target: str, callers: int) -> Round:
    samples = [
        sample
        for sample in rounds
        if sample.target == target and sample.callers == callers
    ]
    return Round(
        target=target,
        callers=callers,
        answered=sum(sample.answered for sample in samples),
        failed=sum(sample.failed for sample in samples),
        per_s=statistics.median(sample.per_s for sample in samples),
        p50_ms=statistics.median(sample.p50_ms for sample in samples),
        p99_ms=statistics.median(sample.p99_ms for sample in samples),
        cpu_us=statistics.median(sample.cpu_us for sample in samples),
    )


def _cpu_us(pid: int) -> float:
    """Processor time that a process has used, in microseconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    ticks = sum(map(int, fields.split()[11:13]))
    return ticks * 1_000_000 / TICKS_PER_S


def _resident_mib(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(text.split()[1]) * PAGE_BYTES / MIB


def _measure_idle_host(running: fleet.Fleet, ready_ms: float) -> list[str]:
    seat, host = next(iter(running.hosts.items()))
    assert host.process is not None
    time.sleep(IDLE_S)
    resident_mib = _resident_mib(host.process.pid)
    split = json.dumps(running.status(seat).get("memory"))
    return [
        f"start of serve to ready: {ready_ms:.0f} ms",
        f"resident memory of an idle serve: {resident_mib:.1f} MiB",
        f"  by part, as the host reports it: {split}",
    ]


def main() -> None:
    """Runs the benchmark; prints each round, then the medians."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--callers", type=int, nargs="+", default=[1, 8, 32])
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--warm-s", type=float, default=1.0)
    parser.add_argument("--measured-s", type=float, default=4.0)
    parser.add_argument("--command", nargs="+", default=None)
    args = parser.parse_args()
    options = BenchOptions(
        tuple(args.callers), args.rounds, args.warm_s, args.measured_s
    )
    deployment = deployments.small(
        1, seats_per_zone=1, endpoints=8, work_ms=0.0
    )
    plan = fleet_plan.FleetOptions()
    if args.command:
        plan = attrs.evolve(plan, command=tuple(args.command))
    with fleet.Fleet(deployment, plan, start_hosts=False) as running:
        seat = next(iter(running.hosts))
        started_s = time.monotonic()
        running.start_host(seat)
        running.wait_ready(seat)
        ready_ms = (time.monotonic() - started_s) * 1_000
        running.apply_first_ticket()
        idle = _measure_idle_host(running, ready_ms)
        rounds = _run(running, options)
    for line in (*idle, *summary(rounds, options.callers)):
        print(line)


def _run(running: fleet.Fleet, options: BenchOptions) -> list[Round]:
    bare = processes.ChildProcess(
        "bare-relay",
        [
            sys.executable,
            "-m",
            "testing.bare_relay",
            *running.endpoint_addresses.values(),
        ],
        running.folder,
    )
    try:
        address = bare.first_line()["address"]
        return Bench(running, options).run(bare.pid, address)
    finally:
        bare.stop()


if __name__ == "__main__":
    main()

"""Measures the processor time and memory that an owner needs for its workers.

Runs one owner with a process of stand-in workers, first idle, then with jobs
submitted at a steady rate. Prints the owner process's processor time per
second and its resident memory. Run it with

    python -m testing.measure_owner [--workers 110] [--starts-per-s 15]
"""

from __future__ import annotations

import argparse
import contextlib
import resource
import time

from comfreylatch._process.batch import placement
from testing import measure_batch


def _resident_mib() -> float:
    with open("/proc/self/statm", encoding="ascii") as statm:
        pages = int(statm.read().split()[1])
    return pages * resource.getpagesize() / 2**20


def _measure_phase(
    policy_run: measure_batch.PolicyRun, phase: str, seconds: int
) -> None:
    started_s = time.process_time()
    exchanges = policy_run.port.exchanges
    time.sleep(seconds)
    spent_ms = (time.process_time() - started_s) * 1_000 / seconds
    rate = (policy_run.port.exchanges - exchanges) / seconds
    status = policy_run.service.status().owner
    print(
        f"phase={phase} cpu_ms_per_s={spent_ms:.1f} "
        f"exchanges_per_s={rate:.1f} running={status.running} "
        f"queued={status.queued} resident_mib={_resident_mib():.1f}"
    )


def main() -> None:
    """Prints a line for each phase."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, default=110)
    parser.add_argument("--starts-per-s", type=int, default=15)
    parser.add_argument("--seconds", type=int, default=20)
    args = parser.parse_args()
    policy_run = measure_batch.PolicyRun(
        placement.Policy.PREDICTED_COST, 1, args.workers, services=False
    )
    with contextlib.ExitStack() as stack:
        stack.callback(policy_run.fleet.stop)
        stack.enter_context(policy_run.service)
        policy_run.start()
        time.sleep(5)
        _measure_phase(policy_run, "idle", args.seconds)
        count = args.starts_per_s * args.seconds * 2
        submitted_jobs = measure_batch.jobs(1, count)
        steady_started_s = time.monotonic()
        for second in range(args.seconds * 2):
            first = second * args.starts_per_s
            policy_run.submit(submitted_jobs[first : first + args.starts_per_s])
            if second == args.seconds:
                steady_start = time.process_time(), policy_run.port.exchanges
            time.sleep(
                max(0.0, steady_started_s + second + 1 - time.monotonic())
            )
        spent_s = time.process_time() - steady_start[0]
        exchanges = policy_run.port.exchanges - steady_start[1]
        status = policy_run.service.status().owner
        print(
            f"phase=steady cpu_ms_per_s="
            f"{spent_s * 1_000 / (args.seconds - 1):.1f} "
            f"exchanges_per_s={exchanges / (args.seconds - 1):.1f} "
            f"running={status.running} queued={status.queued} "
            f"resident_mib={_resident_mib():.1f}"
        )


if __name__ == "__main__":
    main()

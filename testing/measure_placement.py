"""Measures the cost of the owner's decisions per start, by size of the zone.

Fills a zone with running attempts, then ends attempts and starts others in
their place as the owner does: it folds the end, updates queue and ledgers,
chooses and places the next job, and encodes, decodes and folds the records.
Workers, the network and the log are left out. Run it with

    python -m testing.measure_placement [--starts 3000]
"""

from __future__ import annotations

import argparse
import random
import statistics
import time

import attrs

from comfreylatch._ports import hosts
from comfreylatch._ports import workers
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.batch import placement
from comfreylatch._process.batch import scheduling_state
from comfreylatch._process.batch import usage_analyzer
from comfreylatch._version import configuration as configuration_module
from comfreylatch._version import job_records
from comfreylatch._version import objects
from comfreylatch._version import records
from comfreylatch._version import zone_fold
from testing.fakes import zone as fake_zone

WORKER_COUNTS = (24, 110, 1_100)
WORKER_CAPACITY = workers.Resources(32_000, 125_000)
WORKERS_PER_RACK = 8
TEAMS = 240
JOB_CLASSES = 20
QUEUED_JOBS = 200
BOUNDS = job_records.ClaimBounds(6_000, 6_000, 60_000, 2_000, 500)


@attrs.frozen
class Cost:
    """Cost at one size of the zone.

    Attributes:
        starts: Starts and ends measured.
        mean_us: Mean processor time of a start and its end, in microseconds.
        p99_us: 99th percentile over rounds, in microseconds per start.
        running: Attempts running at the end of the measurement.
    """

    workers: int
    starts: int
    mean_us: float
    p99_us: float
    running: int


class ZoneBench:
    """Fold and scheduling state of one zone, without workers or a log."""

    def __init__(self, count: int, policy: placement.Policy) -> None:
        self._rng = random.Random(count)
        self.fold = zone_fold.ZoneFold()
        self._offset = 0
        self._jobs = 0
        self.scheduling = scheduling_state.SchedulingState(
            fake_zone.ZONE,
            1,
            self.fold,
            fake_zone.FakeLinkPool("bench"),
            usage_analyzer.UsageAnalyzer(),
            policy,
            metrics_module.Metrics(),
        )
        self._set_up(count)
        self.append(job_records.OwnerClaimed(1, 0, "bench", BOUNDS))

    def _set_up(self, count: int) -> None:
        listed_hosts = tuple(
            hosts.ListedHost(
                f"w{index}",
                hosts.HostKind.WORKER,
                hosts.HostState.LIVE,
                fake_zone.ZONE,
                f"rack-{index // WORKERS_PER_RACK}",
                f"w{index}",
                "standard",
            )
            for index in range(count)
        )
        teams = {
            f"team-{index}": objects.Team(WORKER_CAPACITY)
            for index in range(TEAMS)
        }
        self.scheduling.workers.set_list(hosts.HostList(listed_hosts))
        self.scheduling.workers.set_configuration(
            configuration_module.Configuration(
                worker_classes={
                    "standard": objects.WorkerClass(WORKER_CAPACITY)
                },
                teams=teams,
            )
        )
        self.scheduling.queue.set_teams(teams)
        self.scheduling.refresh_workers()
        for host in listed_hosts:
            self.scheduling.ledger.set_schedulable(host.name, True)

    def append(self, body: object) -> None:
        """Encodes, decodes and folds one record, without a log in between."""
        payload = records.encode("bench", self._offset, body)
        envelope, decoded = records.decode(payload).unwrap()
        self.fold.apply(self._offset, envelope, decoded)
        self._offset += 1

    def submit(self) -> None:
        """Admits one job of random size, class and team."""
        self._jobs += 1
        spec = job_records.JobSpec(
            id=f"job-{self._jobs}",
            team=f"team-{self._rng.randrange(TEAMS)}",
            zone=fake_zone.ZONE,
            job_class=f"class-{self._rng.randrange(JOB_CLASSES)}",
            resources=workers.Resources(
                self._rng.choice([500, 1_000, 2_000, 4_000]),
                self._rng.choice([1_000, 2_000, 4_000, 8_000]),
            ),
            run_time_ms=60_000,
        )
        self.append(job_records.JobAdmitted(spec))

    def sync(self) -> None:
        """Updates the scheduling state from the fold."""
        changed = self.fold.drain_changes()
        if changed is None:
            changed = tuple(state.spec.id for state in self.fold.jobs())
        for job in changed:
            state = self.fold.job(job)
            if state is not None:
                self.scheduling.sync_job(state, 0)

    def place(self) -> list[str]:
        """Runs one scheduling round and returns the ids of the jobs placed."""
        decided = self.scheduling.scheduler.run_round(1, 4)
        for body in decided.assigned:
            self.append(body)
        self.sync()
        return [body.job for body in decided.assigned]

    def end(self, job: str) -> None:
        """Folds the end of a job's attempt."""
        state = self.fold.job(job)
        self.append(
            job_records.AttemptEnded(
                term=1,
                job=job,
                attempt=state.attempt if state else 1,
                end=job_records.AttemptEnd.FINISHED,
                progress_ms=60_000,
                checkpoint_ms=0,
            )
        )


def measure(count: int, starts: int, policy: placement.Policy) -> Cost:
    """Fills a zone, then measures rounds of ends and starts."""
    bench = ZoneBench(count, policy)
    running: list[str] = []
    while True:
        for _ in range(QUEUED_JOBS):
            bench.submit()
        bench.sync()
        placed = bench.place()
        running.extend(placed)
        if len(placed) < 8:
            break
    rng = random.Random(1)
    rounds: list[float] = []
    starts_done = 0
    while starts_done < starts:
        rng.shuffle(running)
        ending_jobs = [running.pop() for _ in range(8)]
        while bench.scheduling.scheduler.queued < QUEUED_JOBS:
            bench.submit()
            bench.sync()
        started_s = time.process_time()
        for job in ending_jobs:
            bench.end(job)
        bench.sync()
        placed = bench.place()
        spent_us = (time.process_time() - started_s) * 1e6
        running.extend(placed)
        rounds.append(spent_us / len(ending_jobs))
        starts_done += len(ending_jobs)
    return Cost(
        workers=count,
        starts=starts_done,
        mean_us=statistics.fmean(rounds),
        p99_us=statistics.quantiles(rounds, n=100)[98],
        running=len(running),
    )


def main() -> None:
    """Prints a line for each policy and size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--starts", type=int, default=3_000)
    args = parser.parse_args()
    for policy in placement.Policy:
        for count in WORKER_COUNTS:
            cost = measure(count, args.starts, policy)
            print(
                f"policy={policy} workers={cost.workers} "
                f"running={cost.running} starts={cost.starts} "
                f"mean_us={cost.mean_us:.0f} p99_us={cost.p99_us:.0f}"
            )


if __name__ == "__main__":
    main()

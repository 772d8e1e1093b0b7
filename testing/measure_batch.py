"""Compares placement policies for batch work beside a service in one run.

Starts an equal fleet of stand-in workers for each policy. All use the same
model of interference and of wrongly declared sizes, which the scheduler can't
see. Runs the same jobs on all fleets at the same time and prints what each
policy finished. Run it with

    python -m testing.measure_batch [--seconds 120] [--seed 1]
"""

from __future__ import annotations

import argparse
import contextlib
import random
import statistics
import subprocess
import sys
import threading
import time
from typing import Any

import attrs
import msgspec
import result

from comfreylatch._connection import http
from comfreylatch._connection import worker_client
from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import hosts
from comfreylatch._ports import workers
from comfreylatch._process import journal as journal_module
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import settings as settings_module
from comfreylatch._process.batch import placement
from comfreylatch._process.batch import service as service_module
from comfreylatch._version import configuration as configuration_module
from comfreylatch._version import job_state
from comfreylatch._version import objects
from testing.fakes import log as fake_log
from testing.fakes import zone as fake_zone
from testing.standins import worker_model
from testing.standins import worker_records

ZONE = "bole"
WORKERS = 24
WORKERS_PER_RACK = 8
WORKER_CAPACITY = workers.Resources(32_000, 125_000)
SERVICE = "skyproc"
SERVICE_RESOURCES = workers.Resources(8_000, 16_000)
JOB_CLASSES = 10
USAGE_LAGS_MS = (2_000, 4_000, 6_000, 8_000)
CLASS_NAMES = tuple(f"class-{index}" for index in range(JOB_CLASSES))
TIME_FACTORS = (0.5, 0.7, 1.0, 1.0, 1.0, 1.3, 1.6, 2.0, 0.8, 1.0)
SIZE_FACTORS = (0.25, 0.5, 0.7, 1.0, 1.0, 1.0, 1.3, 1.6, 2.5, 4.0)


class RecordingPort:
    """A worker port that records the slowdowns of services in reports."""

    def __init__(self) -> None:
        self._client = worker_client.WorkerClient()
        self._lock = threading.Lock()
        self.slowdowns: list[int] = []
        self.warm_start_index = 0
        self.exchanges = 0

    def exchange(
        self, address: str, exchange: workers.Exchange, timeout_ms: int
    ) -> result.Result[workers.WorkerReport, workers.WorkerError]:
        """See `WorkerPort.exchange`."""
        answer = self._client.exchange(address, exchange, timeout_ms)
        self.exchanges += 1
        if isinstance(answer, result.Ok):
            slowdowns = [
                service.slowdown_milli
                for usage in answer.ok_value.usage
                for service in usage.services
            ]
            with self._lock:
                self.slowdowns.extend(slowdowns)
        return answer


@attrs.frozen
class PolicyOutcome:
    """Results of one policy.

    Attributes:
        finished: Number of finished jobs.
        useful_core_s: Work of finished jobs, in core seconds.
        kept_core_s: The same plus the checkpointed work of unfinished jobs.
        evictions: Attempts evicted.
        lost_core_s: Work of attempts that later attempts had to repeat.
        failures: Attempts that failed, mostly for lack of memory.
        p50_milli: Median slowdown of the service; 1000 without batch work.
        p99_milli: 99th percentile of the same slowdown.
        warm_p99_milli: p99_milli without the first third of the run.
    """

    policy: str
    finished: int
    useful_core_s: int
    kept_core_s: int
    evictions: int
    lost_core_s: int
    failures: int
    p50_milli: int
    p99_milli: int
    warm_p99_milli: int


class WorkerFleet:
    """A process of stand-in workers."""

    def __init__(
        self, seed: int, count: int = WORKERS, services: bool = True
    ) -> None:
        service = worker_model.ServiceSpec(SERVICE, SERVICE_RESOURCES, 0.5)
        specs = [
            worker_records.WorkerSpec(
                f"w{index}",
                WORKER_CAPACITY,
                services=(service,) if services else (),
                usage_lag_ms=USAGE_LAGS_MS[index % len(USAGE_LAGS_MS)],
            )
            for index in range(count)
        ]
        factors = {
            "size_factors": dict(zip(CLASS_NAMES, SIZE_FACTORS, strict=True)),
            "time_factors": dict(zip(CLASS_NAMES, TIME_FACTORS, strict=True)),
        }
        self._process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "testing.standins.worker",
                "--seed",
                str(seed),
                "--model",
                msgspec.json.encode(factors).decode(),
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        assert self._process.stdin is not None
        assert self._process.stdout is not None
        self._process.stdin.write(msgspec.json.encode(specs))
        self._process.stdin.close()
        ready: dict[str, Any] = msgspec.json.decode(
            self._process.stdout.readline()
        )
        self.addresses: dict[str, str] = ready["addresses"]
        self.control: str = ready["control"]

    def journal(self) -> list[worker_records.WorkerEvent]:
        """Returns the events that the workers recorded."""
        import urllib3

        reply = urllib3.request("GET", f"http://{self.control}/journal")
        page = msgspec.json.decode(reply.data)
        return msgspec.convert(page["events"], list[worker_records.WorkerEvent])

    def stop(self) -> None:
        """Terminates the process."""
        self._process.terminate()
        self._process.wait()


def configuration(
    endpoint_count: int, limits: objects.Limits | None
) -> configuration_module.Configuration:
    """Returns a configuration of teams, a worker class and endpoints."""
    endpoints = {
        f"ex-{index}": objects.Endpoint(
            SERVICE,
            ZONE,
            "127.0.0.1:1",
            worker=f"w{index}",
            resources=SERVICE_RESOURCES,
        )
        for index in range(endpoint_count)
    }
    teams = {
        f"team-{index}": objects.Team(workers.Resources(200_000, 800_000))
        for index in range(4)
    }
    return configuration_module.Configuration(
        offset=1,
        endpoints=endpoints,
        teams=teams,
        worker_classes={"standard": objects.WorkerClass(WORKER_CAPACITY)},
        zones={ZONE: objects.Zone(("seat",))},
        limits=limits or objects.Limits(),
    )


def jobs(seed: int, count: int) -> list[dict[str, Any]]:
    """Returns jobs of random class, size and run time."""
    rng = random.Random(seed)
    return [
        {
            "id": f"job-{number}",
            "team": f"team-{rng.randrange(4)}",
            "job_class": rng.choice(CLASS_NAMES),
            "resources": {
                "processors_milli": rng.choice([1_000, 2_000, 4_000]),
                "memory_mib": rng.choice([2_000, 4_000, 8_000]),
            },
            "run_time_ms": rng.randrange(5_000, 20_000),
        }
        for number in range(count)
    ]


class PolicyRun:
    """One policy and the fleet it runs on."""

    def __init__(
        self,
        policy: placement.Policy,
        seed: int,
        count: int = WORKERS,
        services: bool = True,
        limits: objects.Limits | None = None,
    ) -> None:
        self.policy = policy
        self.fleet = WorkerFleet(seed, count, services)
        self.port = RecordingPort()
        clock = clock_port.SystemClock()
        platform = settings_module.PlatformSettings("", "")
        self.service = service_module.BatchService(
            settings_module.Settings("seat", ZONE, "", "", "", platform),
            f"host-{policy}",
            fake_log.FakeLog(),
            fake_zone.FakeConfigurationSource(
                configuration(count if services else 0, limits)
            ),
            self.port,
            journal_module.Journal("host", clock),
            metrics_module.Metrics(),
            clock,
            policy=policy,
        )

    def start(self) -> None:
        """Lists the workers and waits until the owner has claimed the zone."""
        listed_hosts = tuple(
            hosts.ListedHost(
                name,
                hosts.HostKind.WORKER,
                hosts.HostState.LIVE,
                ZONE,
                f"rack-{int(name[1:]) // WORKERS_PER_RACK}",
                address,
                "standard",
            )
            for name, address in self.fleet.addresses.items()
        )
        self.service.update_host_list(hosts.HostList(listed_hosts))
        while not self.service.status().owner.holds:
            time.sleep(0.05)

    def submit(self, documents: list[dict[str, Any]]) -> None:
        """Submits all jobs from 16 threads."""
        chunks = [documents[index::16] for index in range(16)]

        def submit_chunk(chunk: list[dict[str, Any]]) -> None:
            for job in chunk:
                body = msgspec.json.encode(job)
                request = http.HttpRequest("POST", "/jobs", {}, {}, body)
                reply = self.service.handle(request)
                assert reply.status == 200, reply

        threads = [
            threading.Thread(target=submit_chunk, args=(chunk,))
            for chunk in chunks
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def outcome(self) -> PolicyOutcome:
        """Computes the results from worker events and the zone's fold."""
        events = self.fleet.journal()
        states = self.service.fold.jobs()
        finished = [
            state
            for state in states
            if state.phase is job_state.JobPhase.FINISHED
        ]
        useful = sum(
            _core_s(state, state.spec.run_time_ms) for state in finished
        )
        running = sum(
            _core_s(state, state.checkpoint_ms)
            for state in states
            if state.phase is not job_state.JobPhase.FINISHED
        )
        quantiles = statistics.quantiles(self.port.slowdowns, n=100)
        warm = self.port.slowdowns[self.port.warm_start_index :]
        return PolicyOutcome(
            policy=self.policy.value,
            finished=len(finished),
            useful_core_s=int(useful),
            kept_core_s=int(useful + running),
            evictions=sum(state.evictions for state in states),
            lost_core_s=int(_lost_core_s(events, states)),
            failures=sum(
                event.detail in ("failed", "memory") for event in events
            ),
            p50_milli=int(quantiles[49]),
            p99_milli=int(quantiles[98]),
            warm_p99_milli=int(statistics.quantiles(warm, n=100)[98]),
        )


def _core_s(state: job_state.JobState, work_ms: int) -> float:
    return state.spec.resources.processors_milli * work_ms / 1e6


def _lost_core_s(
    events: list[worker_records.WorkerEvent],
    states: tuple[job_state.JobState, ...],
) -> float:
    by_job = {state.spec.id: state for state in states}
    starts: dict[str, list[int]] = {}
    ends: dict[str, list[int]] = {}
    for event in events:
        if event.kind == "start":
            starts.setdefault(event.job, []).append(event.progress_ms)
        elif event.kind == "end":
            ends.setdefault(event.job, []).append(event.progress_ms)
    lost = 0.0
    for job, stopped in ends.items():
        for end_ms, start_ms in zip(stopped, starts[job][1:], strict=False):
            lost += _core_s(by_job[job], max(0, end_ms - start_ms))
    return lost


def main() -> None:
    """Runs all policies at the same time and prints a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=int, default=120)
    parser.add_argument("--jobs", type=int, default=4_000)
    parser.add_argument("--slowdown-percent", type=int, default=10)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    limits = objects.Limits(service_slowdown_percent=args.slowdown_percent)
    policy_runs = [
        PolicyRun(policy, args.seed, limits=limits)
        for policy in placement.Policy
    ]
    with contextlib.ExitStack() as stack:
        for policy_run in policy_runs:
            stack.callback(policy_run.fleet.stop)
            stack.enter_context(policy_run.service)
            policy_run.start()
        submitted_jobs = jobs(args.seed, args.jobs)
        threads = [
            threading.Thread(target=policy_run.submit, args=(submitted_jobs,))
            for policy_run in policy_runs
        ]
        for thread in threads:
            thread.start()
        time.sleep(args.seconds / 3)
        for policy_run in policy_runs:
            policy_run.port.warm_start_index = len(policy_run.port.slowdowns)
        time.sleep(args.seconds * 2 / 3)
        for thread in threads:
            thread.join()
        for policy_run in policy_runs:
            print(msgspec.json.encode(policy_run.outcome()).decode())


if __name__ == "__main__":
    main()

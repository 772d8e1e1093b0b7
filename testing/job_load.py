"""Submits jobs at a constant rate and cancels some in bursts."""

from __future__ import annotations

import collections
import itertools
import random
import threading
import time
from typing import Any
from typing import Self

import attrs
import msgspec

from testing import client
from testing import fleet as fleet_module
from testing.standins import worker_model

OK = 200
REFUSED_STATUSES = frozenset({422, 503})
RESUBMIT_INTERVAL_S = 0.1
# A host that does not answer in this time is considered frozen.
ANSWER_TIMEOUT_S = 2.0
THREADS = 4
ACCELERATOR_SHARE = 0.15


@attrs.frozen
class JobLoad:
    """The jobs to submit and cancel.

    Attributes:
        seats: Seats of the hosts that receive requests, in turn.
        pause_ms: Interval between two submissions.
        shortest_ms: Shortest declared run time.
        longest_ms: Longest declared run time.
        urgent_share: Fraction of urgent jobs.
        failing_share: Fraction of jobs that fail on every worker.
        burst_every: Number of submissions between two bursts of
            cancellations; 0 for no bursts.
        burst: Number of cancellations in a burst, among the jobs accepted
            last.
        seed: Seed for sizes, run times and choices.
    """

    seats: tuple[str, ...]
    pause_ms: float = 100.0
    shortest_ms: int = 200
    longest_ms: int = 1_400
    urgent_share: float = 0.05
    failing_share: float = 0.02
    burst_every: int = 25
    burst: int = 5
    seed: int = 1


class JobSubmitter:
    """A context manager that submits jobs and retries unconfirmed ones.

    Attributes:
        accepted: Ids of jobs that a host accepted.
        refused: Ids of jobs that were refused and not retried, with the
            reason.
        cancel_requested: Ids of jobs whose cancellation was requested.
        cancelled: Ids of jobs whose cancellation a host confirmed.
    """

    def __init__(
        self, fleet: fleet_module.Fleet, load: JobLoad, name: str = "j"
    ) -> None:
        self.accepted: dict[str, None] = {}
        self.refused: dict[str, str] = {}
        self.cancel_requested: dict[str, None] = {}
        self.cancelled: dict[str, None] = {}
        self._fleet = fleet
        self._load = load
        self._name = name
        self._rng = random.Random(f"{load.seed}/{name}")
        self._call_numbers = itertools.count()
        self._unconfirmed: collections.deque[dict[str, Any]] = (
            collections.deque()
        )
        self._stop = threading.Event()
        self._job_numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(target=self._run) for _ in range(THREADS)
        ]
        self._threads.append(
            threading.Thread(target=self._resubmit_unconfirmed)
        )

    def __enter__(self) -> Self:
        print(f"seed {self._load.seed}")
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def confirm_submissions(self, timeout_s: float) -> tuple[str, ...]:
        """Retries unconfirmed jobs after the exit; returns those remaining."""
        deadline_s = time.monotonic() + timeout_s
        while self._unconfirmed and time.monotonic() < deadline_s:
            self._submit(self._unconfirmed.popleft(), sent_before=True)
            time.sleep(RESUBMIT_INTERVAL_S)
        return tuple(job["id"] for job in self._unconfirmed)

    def _run(self) -> None:
        pause_s = self._load.pause_ms / 1_000 * THREADS
        while not self._stop.wait(pause_s):
            with self._lock:
                number = next(self._job_numbers)
                job = self._make_job(number)
            self._submit(job, sent_before=False)
            every = self._load.burst_every
            if every and number % every == 0:
                self._cancel_some()

    def _resubmit_unconfirmed(self) -> None:
        while not self._stop.wait(RESUBMIT_INTERVAL_S):
            if self._unconfirmed:
                self._submit(self._unconfirmed.popleft(), sent_before=True)

    def _make_job(self, number: int) -> dict[str, Any]:
        rng = self._rng
        urgent = rng.random() < self._load.urgent_share
        always_fails = rng.random() < self._load.failing_share
        teams = self._fleet.deployment.teams
        return {
            "id": f"{self._name}-{number}",
            "team": teams[0] if urgent else rng.choice(teams),
            "job_class": worker_model.FAILING_JOB_MARKER
            if always_fails
            else "stack",
            "resources": {
                "processors_milli": rng.randrange(500, 3_001, 250),
                "memory_mib": rng.randrange(512, 8_193, 512),
                "accelerators": int(rng.random() < ACCELERATOR_SHARE),
            },
            "run_time_ms": rng.randrange(
                self._load.shortest_ms, self._load.longest_ms
            ),
            "urgent": urgent,
        }

    def _call(
        self, method: str, path: str, body: bytes | None = None
    ) -> client.Answer:
        seats = self._load.seats
        seat = seats[next(self._call_numbers) % len(seats)]
        address = self._fleet.hosts[seat].operator_address
        return self._fleet.client.call(
            method, f"http://{address}{path}", body, timeout_s=ANSWER_TIMEOUT_S
        )

    def _submit(self, job: dict[str, Any], sent_before: bool) -> None:
        name: str = job["id"]
        answer = self._call("POST", "/jobs", msgspec.json.encode(job))
        not_sent = answer.outcome == "unreachable"
        if answer.status == OK:
            self.accepted[name] = None
        elif not sent_before and (
            answer.status in REFUSED_STATUSES or not_sent
        ):
            self.refused[name] = answer.reason
        else:
            self._unconfirmed.append(job)

    def _cancel_some(self) -> None:
        for name in list(self.accepted)[-2 * self._load.burst :: 2]:
            self.cancel_requested[name] = None
            answer = self._call("DELETE", f"/jobs/{name}")
            if answer.status == OK and answer.json().get("cancelled"):
                self.cancelled[name] = None

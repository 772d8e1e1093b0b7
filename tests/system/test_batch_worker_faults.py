"""Tests of batch guarantees while workers die, pause or are cut off."""

from __future__ import annotations

import signal
import time
from typing import Any

import attrs
import pytest
import testtools

from testing import batch_fleet
from testing import checker
from testing import fleet as fleet_module
from testing.standins import worker_records

WAIT_TIMEOUT_S = 20.0
START_WAIT_S = 0.6
# Duration of one exchange in progress plus the maximum backoff after it.
MAX_RETRY_DELAY_S = 3.3
MAX_DELAY_ATTEMPTS = 6


@pytest.mark.xdist_group("fleet-4")
class WorkerFaultTest(testtools.TestCase):
    """Workers fail while jobs are submitted and cancelled."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = batch_fleet.start(self)

    def test_workers_killed_in_turn(self) -> None:
        faulty = ("wk-1", "wk-2")
        with batch_fleet.submitter(self.fleet) as submitter:
            for name in faulty:
                batch_fleet.wait_started(self.fleet, 15)
                self.fleet.workers.control(worker=name, kill=True)
            batch_fleet.wait_started(self.fleet, 20)
        batch_fleet.assert_no_violations(self, self.fleet, submitter, faulty)

    def test_worker_paused_past_its_lease(self) -> None:
        with batch_fleet.submitter(self.fleet) as submitter:
            batch_fleet.wait_started(self.fleet, 15)
            self.fleet.workers.control(worker="wk-1", pause=True)
            time.sleep(6.0)
            self.fleet.workers.control(worker="wk-1", pause=False)
            batch_fleet.wait_started(self.fleet, 20)
        batch_fleet.assert_no_violations(self, self.fleet, submitter, ("wk-1",))

    def test_worker_that_refuses_connections(self) -> None:
        with batch_fleet.submitter(self.fleet) as submitter:
            batch_fleet.wait_started(self.fleet, 15)
            self.fleet.workers.control(worker="wk-1", refuse=True)
            time.sleep(6.0)
            self.fleet.workers.control(worker="wk-1", refuse=False)
            batch_fleet.wait_started(self.fleet, 20)
        batch_fleet.assert_no_violations(self, self.fleet, submitter, ("wk-1",))

    def test_worker_that_fails_everything(self) -> None:
        with batch_fleet.submitter(self.fleet) as submitter:
            batch_fleet.wait_started(self.fleet, 15)
            self.fleet.workers.control(worker="wk-1", fail_all=True)
            time.sleep(6.0)
            batch_fleet.wait_started(self.fleet, 20)
            self.fleet.workers.control(worker="wk-1", fail_all=False)
        batch_fleet.assert_no_violations(self, self.fleet, submitter)

    def test_all_workers_cut_past_their_leases(self) -> None:
        names = self.fleet.deployment.worker_names()
        with batch_fleet.submitter(self.fleet) as submitter:
            batch_fleet.wait_started(self.fleet, 15)
            self.fleet.network.set_faults("worker/*", cut=True)
            time.sleep(6.0)
            self.fleet.network.set_faults("worker/*", cut=False)
            batch_fleet.wait_started(self.fleet, 20)
        batch_fleet.assert_no_violations(self, self.fleet, submitter, names)

    def test_worker_paused_while_the_owner_is_killed(self) -> None:
        with batch_fleet.submitter(self.fleet) as submitter:
            batch_fleet.wait_started(self.fleet, 15)
            self.fleet.workers.control(worker="wk-1", pause=True)
            owner = batch_fleet.find_owner(self.fleet)
            self.fleet.kill_host(owner)
            batch_fleet.wait_owner(self.fleet, owner)
            time.sleep(2.0)
            self.fleet.workers.control(worker="wk-1", pause=False)
            batch_fleet.wait_started(self.fleet, 20)
            self.fleet.start_host(owner)
            self.fleet.wait_ready(owner)
        batch_fleet.assert_no_violations(self, self.fleet, submitter, ("wk-1",))


def job(name: str, run_time_ms: int, **changes: Any) -> dict[str, Any]:
    """Returns a job so large that no second one fits on its worker."""
    return {
        "id": name,
        "team": "faculty",
        "job_class": "stack",
        "resources": {
            "processors_milli": 4_000,
            "memory_mib": 8_192,
            "accelerators": 1,
        },
        "run_time_ms": run_time_ms,
        **changes,
    }


def find_start(
    running: fleet_module.Fleet, name: str, attempt: int
) -> worker_records.WorkerEvent | None:
    """Returns the start event of an attempt, or None before its start."""
    for event in running.worker_events():
        key = (event.kind, event.job, event.attempt)
        if key == ("start", name, attempt):
            return event
    return None


def wait_started(
    running: fleet_module.Fleet, name: str, attempt: int
) -> worker_records.WorkerEvent:
    """Waits for the start of an attempt."""
    running.wait_until(
        lambda: find_start(running, name, attempt) is not None,
        f"attempt {attempt} of {name} has started",
        WAIT_TIMEOUT_S,
    )
    start = find_start(running, name, attempt)
    assert start is not None
    return start


def finished_attempts(running: fleet_module.Fleet, name: str) -> list[int]:
    """Returns the numbers of a job's attempts that finished."""
    return [
        event.attempt
        for event in running.worker_events()
        if event.job == name and event.detail == "finished"
    ]


@pytest.mark.xdist_group("fleet-4")
class StaleMessageTest(testtools.TestCase):
    """Late messages of an old attempt or an old owner have no effect."""

    def test_late_completion_changes_nothing(self) -> None:
        # The lease is long enough for an attempt to end within it while its
        # worker is cut off.
        limits = attrs.evolve(batch_fleet.LIMITS, lease_ms=5_000)
        running = batch_fleet.start(self, workers=2, endpoints=0, limits=limits)
        seat = batch_fleet.find_owner(running)
        running.submit_job(job("late", 4_600), seat)
        first = wait_started(running, "late", 1)
        running.network.set_faults(f"worker/*/{first.worker}", cut=True)
        second = wait_started(running, "late", 2)
        self.assertEqual([1], finished_attempts(running, "late"))
        running.network.set_faults(f"worker/*/{first.worker}", cut=False)
        self.assertNotEqual(first.worker, second.worker)
        time.sleep(MAX_RETRY_DELAY_S)
        page = running.job("late", seat).json()
        self.assertEqual(("assigned", 2), (page["phase"], page["attempt"]))
        running.wait_until(
            lambda: running.job("late", seat).json()["phase"] == "finished",
            "the job has finished",
            WAIT_TIMEOUT_S,
        )
        page = running.job("late", seat).json()
        self.assertEqual((2, 1), (page["attempt"], page["losses"]))
        self.assertEqual([1, 2], finished_attempts(running, "late"))

    def test_start_delayed_in_transit_is_refused_by_the_worker(self) -> None:
        running = batch_fleet.start(self, workers=2)
        owner = batch_fleet.find_owner(running)
        host_id = running.status(owner)["host"]["host_id"]
        name, worker = self.delay_start(running, owner)
        running.signal_host(owner, signal.SIGSTOP)
        other = "wk-2" if worker == "wk-1" else "wk-1"
        running.network.set_faults(f"worker/*/{other}", block_to_target=False)
        second = wait_started(running, name, 2)
        self.assertEqual(other, second.worker)
        running.network.set_faults(f"worker/*/{worker}", block_to_target=False)
        running.wait_until(
            lambda: self.refusals(running, worker, host_id) != [],
            "the old owner's start has been refused",
            WAIT_TIMEOUT_S,
        )
        running.signal_host(owner, signal.SIGCONT)
        self.assertIsNone(find_start(running, name, 1))
        running.wait_until(
            lambda: finished_attempts(running, name) == [2],
            "the second attempt has finished",
            WAIT_TIMEOUT_S,
        )
        self.assertEqual(
            [], checker.never_in_two_places(running.worker_events())
        )

    def delay_start(
        self, running: fleet_module.Fleet, owner: str
    ) -> tuple[str, str]:
        """Holds a start command in the relay; returns its job and worker."""
        for number in range(MAX_DELAY_ATTEMPTS):
            name = f"held-{number}"
            running.network.set_faults("worker/*", block_to_target=True)
            running.submit_job(job(name, 3_000), owner)
            deadline_s = time.monotonic() + START_WAIT_S
            while time.monotonic() < deadline_s:
                for chunk in running.network.held_chunks():
                    if "start" in chunk.text and name in chunk.text:
                        return name, chunk.relay.rpartition("/")[2]
                time.sleep(0.02)
            # A renewal was in progress, so the start hasn't been sent yet.
            running.network.set_faults("worker/*", block_to_target=False)
            running.cancel_job(name, owner)
            time.sleep(1.0)
        raise AssertionError(
            "no start command reached a blocked relay in any attempt"
        )

    def refusals(
        self, running: fleet_module.Fleet, worker: str, host_id: str
    ) -> list[str]:
        return [
            event.kind
            for event in running.worker_events()
            if event.worker == worker
            and event.kind in ("refused-stale", "refused-term")
            and event.detail == host_id
        ]

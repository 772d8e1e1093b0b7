"""Tests of batch guarantees while hosts die, freeze or are cut off."""

from __future__ import annotations

import signal
import time

import pytest
import testtools

from testing import batch_fleet


@pytest.mark.xdist_group("fleet-3")
class OwnerFaultTest(testtools.TestCase):
    """The owner of a zone fails while jobs are submitted and cancelled."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = batch_fleet.start(self)

    def test_owner_killed(self) -> None:
        with batch_fleet.submitter(self.fleet) as submitter:
            batch_fleet.wait_started(self.fleet, 20)
            owner = batch_fleet.find_owner(self.fleet)
            self.fleet.kill_host(owner)
            batch_fleet.wait_owner(self.fleet, owner)
            batch_fleet.wait_started(self.fleet, 20)
            self.fleet.start_host(owner)
            self.fleet.wait_ready(owner)
        batch_fleet.assert_no_violations(self, self.fleet, submitter)

    def test_owner_frozen_past_its_claim_and_woken(self) -> None:
        with batch_fleet.submitter(self.fleet) as submitter:
            batch_fleet.wait_started(self.fleet, 20)
            owner = batch_fleet.find_owner(self.fleet)
            self.fleet.signal_host(owner, signal.SIGSTOP)
            batch_fleet.wait_owner(self.fleet, owner)
            batch_fleet.wait_started(self.fleet, 5)
            self.fleet.signal_host(owner, signal.SIGCONT)
            batch_fleet.wait_started(self.fleet, 20)
        batch_fleet.assert_no_violations(self, self.fleet, submitter)

    def test_owner_frozen_and_its_successor_killed(self) -> None:
        with batch_fleet.submitter(self.fleet) as submitter:
            batch_fleet.wait_started(self.fleet, 20)
            first = batch_fleet.find_owner(self.fleet)
            self.fleet.signal_host(first, signal.SIGSTOP)
            second = batch_fleet.wait_owner(self.fleet, first)
            batch_fleet.wait_started(self.fleet, 3)
            self.fleet.kill_host(second)
            self.fleet.signal_host(first, signal.SIGCONT)
            batch_fleet.wait_owner(self.fleet, second)
            batch_fleet.wait_started(self.fleet, 20)
            self.fleet.start_host(second)
            self.fleet.wait_ready(second)
        batch_fleet.assert_no_violations(self, self.fleet, submitter)

    def test_owner_cut_from_the_log_only(self) -> None:
        with batch_fleet.submitter(self.fleet) as submitter:
            batch_fleet.wait_started(self.fleet, 20)
            owner = batch_fleet.find_owner(self.fleet)
            self.fleet.network.set_faults(f"log/{owner}", cut=True)
            batch_fleet.wait_owner(self.fleet, owner)
            batch_fleet.wait_started(self.fleet, 10)
            self.fleet.network.set_faults(f"log/{owner}", cut=False)
            batch_fleet.wait_started(self.fleet, 20)
        batch_fleet.assert_no_violations(self, self.fleet, submitter)

    def test_owner_cut_from_its_peers_only(self) -> None:
        with batch_fleet.submitter(self.fleet) as submitter:
            batch_fleet.wait_started(self.fleet, 20)
            owner = batch_fleet.find_owner(self.fleet)
            self.fleet.network.set_faults(f"peer/*/{owner}/*", cut=True)
            self.fleet.network.set_faults(f"peer/*/*/*/{owner}", cut=True)
            time.sleep(5.0)
            batch_fleet.wait_started(self.fleet, 20)
            self.fleet.network.set_faults("peer/*", cut=False)
        batch_fleet.assert_no_violations(self, self.fleet, submitter)

    def test_owner_cut_from_its_workers_only(self) -> None:
        names = self.fleet.deployment.worker_names()
        with batch_fleet.submitter(self.fleet) as submitter:
            batch_fleet.wait_started(self.fleet, 20)
            owner = batch_fleet.find_owner(self.fleet)
            self.fleet.network.set_faults(f"worker/{owner}/*", cut=True)
            time.sleep(7.0)
            self.fleet.network.set_faults(f"worker/{owner}/*", cut=False)
            batch_fleet.wait_started(self.fleet, 20)
        batch_fleet.assert_no_violations(self, self.fleet, submitter, names)


@pytest.mark.xdist_group("fleet-4")
class TwoOwnersTest(testtools.TestCase):
    """An isolated owner reaches one worker that its successor can't reach."""

    def test_successor_waits_for_the_worker_it_cannot_reach(self) -> None:
        running = batch_fleet.start(self, autonomy_ms=4_000)
        # Jobs run long enough to continue under the old owner's last leases.
        load = batch_fleet.submitter(
            running, pause_ms=150.0, shortest_ms=3_000, longest_ms=5_000
        )
        with load as submitter:
            batch_fleet.wait_started(running, 12)
            owner = batch_fleet.find_owner(running)
            for seat in running.hosts:
                if seat != owner:
                    running.network.set_faults(f"worker/{seat}/wk-1", cut=True)
            running.network.set_faults(f"peer/*/{owner}/*", cut=True)
            running.network.set_faults(f"peer/*/*/*/{owner}", cut=True)
            running.network.set_faults(f"log/{owner}", cut=True)
            batch_fleet.wait_owner(running, owner)
            time.sleep(6.0)
            running.network.set_faults("*", cut=False)
        batch_fleet.assert_no_violations(self, running, submitter, ("wk-1",))

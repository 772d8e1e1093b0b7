"""Tests of batch guarantees under log faults and host replacements."""

from __future__ import annotations

import threading
import time
from typing import Self

import pytest
import testtools

from testing import batch_fleet
from testing import fleet as fleet_module

SNAPSHOT_STREAM = "zone.bole.snapshots"
SNAPSHOT_TIMEOUT_S = 30.0
RETAINED_RECORDS = 40


class AnswerLoss:
    """Makes the log lose about every second answer while entered."""

    def __init__(self, running: fleet_module.Fleet) -> None:
        self._fleet = running
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        self._thread.join()
        self._fleet.log.control(lose_after=0)

    def _run(self) -> None:
        while not self._stopping.wait(0.15):
            self._fleet.log.control(lose_after=1)


@pytest.mark.xdist_group("fleet-3")
class LogFaultTest(testtools.TestCase):
    """The log fails while jobs are submitted and cancelled."""

    def test_answers_lost_after_taking_effect(self) -> None:
        running = batch_fleet.start(self)
        with batch_fleet.submitter(running) as submitter, AnswerLoss(running):
            batch_fleet.wait_started(running, 40, 20.0)
        lost = [
            event
            for event in running.log_events()
            if event.kind == "lost-after"
        ]
        self.assertGreater(len(lost), 10)
        batch_fleet.assert_no_violations(self, running, submitter)

    def test_log_down_for_longer_than_claim_and_lease(self) -> None:
        running = batch_fleet.start(self)
        with batch_fleet.submitter(running) as submitter:
            batch_fleet.wait_started(running, 15)
            running.log.control(down=True)
            time.sleep(8.0)
            running.log.control(down=False)
            batch_fleet.wait_started(running, 15)
        self.assertGreater(len(submitter.refused), 0)
        batch_fleet.assert_no_violations(self, running, submitter)

    def test_slow_log(self) -> None:
        running = batch_fleet.start(self)
        with batch_fleet.submitter(running) as submitter:
            batch_fleet.wait_started(running, 15)
            for slow_ms in (1_000, 2_000):
                running.log.control(slow_ms=slow_ms)
                time.sleep(4.0)
            running.log.control(slow_ms=0)
            batch_fleet.wait_started(running, 15, 20.0)
        batch_fleet.assert_no_violations(self, running, submitter)

    def test_owner_replaced_after_records_have_expired(self) -> None:
        running = batch_fleet.start(self)
        running.log.control(keep_records=RETAINED_RECORDS)
        with batch_fleet.submitter(running) as submitter:
            batch_fleet.wait_started(running, RETAINED_RECORDS)
            running.replace_host(batch_fleet.find_owner(running))
            batch_fleet.wait_started(running, 15, 20.0)
        batch_fleet.assert_no_violations(self, running, submitter)

    def test_all_hosts_replaced_after_records_have_expired(self) -> None:
        running = batch_fleet.start(self)
        running.log.control(keep_records=RETAINED_RECORDS)
        with batch_fleet.submitter(running) as submitter:
            batch_fleet.wait_started(running, RETAINED_RECORDS)
        batch_fleet.assert_no_violations(self, running, submitter)
        before = count_snapshots(running)
        running.wait_until(
            lambda: count_snapshots(running) > before,
            "a snapshot has been stored",
            SNAPSHOT_TIMEOUT_S,
        )
        starts = batch_fleet.count_starts(running)
        replace_all_hosts(running)
        batch_fleet.wait_owner(running)
        batch_fleet.assert_no_violations(self, running, submitter)
        self.assertEqual(starts, batch_fleet.count_starts(running))


def replace_all_hosts(running: fleet_module.Fleet) -> None:
    """Kills every host, then starts a new one in every seat."""
    for seat in running.hosts:
        running.kill_host(seat)
    for seat in running.hosts:
        running.start_host(seat)
    running.wait_ready()


def count_snapshots(running: fleet_module.Fleet) -> int:
    """Returns the number of zone snapshot appends that the log has stored."""
    return sum(
        event.stream == SNAPSHOT_STREAM and event.offset >= 0
        for event in running.log_events()
    )


@pytest.mark.xdist_group("fleet-4")
class ReplaceTest(testtools.TestCase):
    """Hosts are replaced while jobs run."""

    def test_every_host_one_after_another(self) -> None:
        running = batch_fleet.start(self)
        with batch_fleet.submitter(running) as submitter:
            for seat in running.hosts:
                batch_fleet.wait_started(running, 5)
                running.replace_host(seat)
            batch_fleet.wait_started(running, 20)
        batch_fleet.assert_no_violations(self, running, submitter)

    def test_all_hosts_at_once(self) -> None:
        running = batch_fleet.start(self)
        with batch_fleet.submitter(running) as submitter:
            batch_fleet.wait_started(running, 20)
            replace_all_hosts(running)
            batch_fleet.wait_started(running, 20, 20.0)
        batch_fleet.assert_no_violations(self, running, submitter)

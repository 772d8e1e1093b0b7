"""Tests that a new owner finishes what the previous one had begun."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import time

import attrs
import testtools

from comfreylatch._ports import cell_workers
from comfreylatch._ports import clock as clock_port
from comfreylatch._process.cell import specs
from testing.fakes import cell_workers as fake_workers
from testing.fakes import record_store
from tests.process.cell import harness
from tests.process.cell import test_takeover

RUN_COUNT = 3
# More than a worker lists in two answers.
WIDE_COUNT = 2 * cell_workers.MAX_LISTED_ENDS + 100
# Longer than an owner takes from a worker's first answer to its next start.
HELD_BACK_MS = 200


class UnfinishedWorkTest(testtools.TestCase):
    """Two hosts; the first owns the cell and has started three tasks."""

    def setUp(self) -> None:
        super().setUp()
        self.stack = stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        self.store = store = record_store.MemoryStore()
        clock = clock_port.SystemClock()
        self.workers = {
            name: fake_workers.FakeWorker(fake_workers.entry(name), clock)
            for name in ("w1", "w2")
        }
        self.first, self.second = (
            test_takeover.Host(name, store, self.workers, stack)
            for name in ("one", "two")
        )
        self.first.ownership.start()
        self.wait_for(lambda: self.first.ownership.is_owner)
        self.first.job_api.submit(self.job(), 2_000)
        self.wait_for(lambda: self.run_count() == RUN_COUNT)

    def wait_for(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition holds."""
        deadline_s = time.monotonic() + test_takeover.WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline_s, "timed out")
            time.sleep(0.01)

    def job(self) -> specs.JobSpec:
        """Returns a job of three tasks that last."""
        return harness.job(harness.step(RUN_COUNT, is_lasting=True))

    def hand_over(self) -> None:
        """Stops the first host and starts the second."""
        self.first.ownership.stop(2_000)
        self.second.ownership.start()

    def run_count(self) -> int:
        """Returns the number of tasks that run."""
        return sum(len(worker.running) for worker in self.workers.values())

    def start_count(self) -> int:
        """Returns the number of start orders that workers carried out."""
        return sum(len(worker.starts) for worker in self.workers.values())

    def test_job_cancelled_between_two_owners_is_stopped(self) -> None:
        self.first.ownership.stop(2_000)
        self.second.job_api.cancel(test_takeover.ID, 2_000)
        self.second.ownership.start()
        self.wait_for(lambda: self.run_count() == 0)
        self.assertEqual(RUN_COUNT, self.start_count())

    def test_stop_that_did_not_reach_the_worker_is_repeated(self) -> None:
        self.first.is_unreachable = True
        self.first.job_api.cancel(test_takeover.ID, 2_000)
        self.wait_for(self.is_cancelled)
        self.hand_over()
        self.wait_for(lambda: self.run_count() == 0)
        self.assertEqual(RUN_COUNT, self.start_count())

    def is_cancelled(self) -> bool:
        """Whether the first host has read that the job is cancelled."""
        entry = self.first.replica.find(test_takeover.ID)
        return entry is not None and entry.is_cancelled

    def test_runs_are_kept_by_the_next_owner(self) -> None:
        self.hand_over()
        self.wait_for(lambda: self.second.ownership.is_owner)
        time.sleep(2 * test_takeover.LEASE_MS / 1_000)
        self.assertEqual(RUN_COUNT, self.run_count())
        self.assertEqual(RUN_COUNT, self.start_count())

    def test_end_that_no_owner_has_seen_is_followed_by_a_new_run(self) -> None:
        self.first.ownership.stop(2_000)
        (loaded, *_) = (w for w in self.workers.values() if w.running)
        loaded.end_all(cell_workers.RunEnd.STOPPED)
        self.second.ownership.start()
        self.wait_for(lambda: self.run_count() == RUN_COUNT)

    def test_worker_that_drains_between_two_owners_is_emptied(self) -> None:
        self.first.ownership.stop(2_000)
        (loaded, *_) = (w for w in self.workers.values() if w.running)
        loaded.entry = attrs.evolve(loaded.entry, is_draining=True)
        host = test_takeover.Host("three", self.store, self.workers, self.stack)
        host.ownership.start()
        self.wait_for(lambda: not loaded.running)
        self.wait_for(lambda: self.run_count() == RUN_COUNT)


class WideStepTest(testtools.TestCase):
    """A wide step whose tasks end on one worker while no host owns the cell."""

    def wait_for(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition holds."""
        deadline_s = time.monotonic() + test_takeover.WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline_s, "timed out")
            time.sleep(0.01)

    # Guards against completed tasks that are started again: the next owner
    # settled after the first 500 ends that the worker had listed.
    def test_completed_tasks_are_not_started_again(self) -> None:
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        store = record_store.MemoryStore()
        worker = fake_workers.FakeWorker(
            fake_workers.entry("w1"), clock_port.SystemClock()
        )
        first, second = (
            test_takeover.Host(name, store, {"w1": worker}, stack)
            for name in ("one", "two")
        )
        first.ownership.start()
        self.wait_for(lambda: first.ownership.is_owner)
        step = harness.step(WIDE_COUNT, cpu_millicores=1, memory_mb=1)
        first.job_api.submit(harness.job(step), 2_000)
        self.wait_for(lambda: len(worker.running) == WIDE_COUNT)
        first.ownership.stop(2_000)
        worker.end_all(cell_workers.RunEnd.DONE)
        worker.answer_delay_ms = HELD_BACK_MS
        second.ownership.start()
        self.wait_for(lambda: not worker.unread_ends)
        self.assertEqual(WIDE_COUNT, len(worker.starts))

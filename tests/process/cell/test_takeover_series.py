"""Tests of several changes of owner in a row, with real threads."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import itertools
import time

import testtools

from comfreylatch._ports import cell_workers
from comfreylatch._ports import clock as clock_port
from comfreylatch._process.cell import worker_view
from testing.fakes import cell_workers as fake_workers
from testing.fakes import record_store
from tests.process.cell import harness
from tests.process.cell import test_takeover

# Each owner stops before a wait for a lease that begins with it would end.
TENURE_S = 0.6
# Longest time from the release of a cell to the next owner's first start.
HANDOVER_S = 0.8
LEASE_S = test_takeover.LEASE_MS / (1 - worker_view.MAX_CLOCK_DRIFT) / 1_000


class TakeoverSeriesTest(testtools.TestCase):
    """Hosts that own the cell in turn, and two workers."""

    def setUp(self) -> None:
        super().setUp()
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.store = record_store.MemoryStore()
        clock = clock_port.SystemClock()
        self.workers = {
            name: fake_workers.FakeWorker(fake_workers.entry(name), clock)
            for name in ("w1", "w2")
        }
        self.numbers = itertools.count()
        self.hosts: list[test_takeover.Host] = []

    def start_hosts(self, count: int) -> None:
        """Starts hosts, which have read nothing yet."""
        for _ in range(count):
            name = f"host-{next(self.numbers)}"
            host = test_takeover.Host(
                name, self.store, self.workers, self.stack
            )
            self.hosts.append(host)
            host.ownership.start()

    def wait_for(self, condition: Callable[[], object]) -> None:
        """Waits until a condition holds."""
        deadline_s = time.monotonic() + test_takeover.WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline_s, "timed out")
            time.sleep(0.005)

    def owner(self) -> test_takeover.Host | None:
        """Returns the host that owns the cell; None while there is none."""
        return next((h for h in self.hosts if h.ownership.is_owner), None)

    def stop_owner(self) -> None:
        """Waits for an owner, stops it after its tenure."""
        self.wait_for(self.owner)
        time.sleep(TENURE_S)
        owner = self.owner()
        assert owner is not None
        self.hosts.remove(owner)
        owner.ownership.stop(2_000)

    def start_lasting_task(self) -> fake_workers.FakeWorker:
        """Starts a task that lasts; returns its worker."""
        self.wait_for(self.owner)
        job = harness.job(harness.step(is_lasting=True))
        self.hosts[0].job_api.submit(job, 2_000)
        self.wait_for(lambda: any(w.running for w in self.workers.values()))
        (worker,) = (w for w in self.workers.values() if w.running)
        return worker

    # Guards against waits for silent workers that begin anew with each owner:
    # during rolling restarts, tasks that had lost their runs got none for as
    # long as owners were replaced within the time of a lease.
    def test_lasting_task_restarts_though_no_owner_outlasts_a_lease(
        self,
    ) -> None:
        self.start_hosts(5)
        self.check_restart_in_series(lambda: None)

    # Guards against counting leases anew on hosts that have read no earlier
    # heartbeats, as most next owners in a rolling restart.
    def test_lasting_task_restarts_though_each_owner_has_just_started(
        self,
    ) -> None:
        self.start_hosts(1)
        self.check_restart_in_series(lambda: self.start_hosts(1))

    def check_restart_in_series(self, before_stop: Callable[[], None]) -> None:
        """Checks when a lasting task restarts while four owners stop."""
        worker = self.start_lasting_task()
        (silent,) = (w for w in self.workers.values() if w is not worker)
        before_stop()
        self.stop_owner()
        released_s = time.monotonic()
        silent.is_unreachable = True
        worker.end_all(cell_workers.RunEnd.STOPPED)
        for _ in range(3):
            before_stop()
            self.stop_owner()
        self.wait_for(lambda: worker.running)
        restarted_s = time.monotonic() - released_s
        self.assertLess(restarted_s, LEASE_S + TENURE_S + 2 * HANDOVER_S)

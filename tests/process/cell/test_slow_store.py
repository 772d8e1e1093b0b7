"""Tests of owners and claims on a slow store, with real threads.

Its calls take 20 or 60 times as long as the usual 4 ms, and appends to the
topic of jobs wait for those of other hosts.
"""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import time

import testtools

from comfreylatch._process.cell import records
from testing.fakes import record_store
from tests.process.cell import test_takeover

WAIT_S = 15.0
WATCH_S = 6.0
# The backlog grows after the store has become slow.
BACKLOG_AFTER_S = 1.0
BACKLOG_MS = 1_200


class SlowStoreTest(testtools.TestCase):
    """Four hosts and a store that becomes slow once the first owns the cell."""

    def setUp(self) -> None:
        super().setUp()
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        self.store = record_store.MemoryStore()
        self.hosts = [
            test_takeover.Host(name, self.store, {}, stack)
            for name in ("one", "two", "three", "four")
        ]
        self.hosts[0].ownership.start()
        self.wait_for(lambda: self.hosts[0].ownership.is_owner)
        for host in self.hosts[1:]:
            host.ownership.start()
        time.sleep(0.5)

    def tearDown(self) -> None:
        self.store.answer_ms = 0
        self.store.backlog_ms.clear()
        super().tearDown()

    def wait_for(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition holds."""
        deadline_s = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline_s, "timed out")
            time.sleep(0.01)

    def slow_down(self, answer_ms: int) -> None:
        """Makes the store slow, and then the topic of jobs busy."""
        self.store.answer_ms = answer_ms
        time.sleep(BACKLOG_AFTER_S)
        self.store.backlog_ms = {records.JOBS_TOPIC: BACKLOG_MS}
        time.sleep(BACKLOG_AFTER_S)

    def check_owner_is_kept(self, answer_ms: int) -> None:
        self.slow_down(answer_ms)
        time.sleep(WATCH_S)
        self.assertEqual(["cell/0"], self.store.keys(records.CLAIMS_TOPIC, 0))
        self.assertTrue(self.hosts[0].ownership.is_owner)

    def check_one_host_takes_over(self, answer_ms: int) -> None:
        self.slow_down(answer_ms)
        self.hosts[0].disconnect()
        others = self.hosts[1:]
        self.wait_for(lambda: any(host.ownership.is_owner for host in others))
        time.sleep(WATCH_S)
        self.assertEqual(
            ["cell/0"] * 2, self.store.keys(records.CLAIMS_TOPIC, 0)
        )

    # Hosts claimed the cell of an owner whose heartbeats were queued.
    def test_owner_is_kept_at_20_times_the_usual_time(self) -> None:
        self.check_owner_is_kept(80)

    def test_owner_is_kept_at_60_times_the_usual_time(self) -> None:
        self.check_owner_is_kept(240)

    # Three hosts claimed a cell in turn, each before the one before could
    # write its first heartbeat.
    def test_one_host_takes_over_at_20_times_the_usual_time(self) -> None:
        self.check_one_host_takes_over(80)

    def test_one_host_takes_over_at_60_times_the_usual_time(self) -> None:
        self.check_one_host_takes_over(240)

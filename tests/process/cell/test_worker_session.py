"""Tests of leases and orders of one worker."""

from __future__ import annotations

import contextlib
import threading
import time
from typing import Any

import result
import testtools

from comfreylatch._ports import clock as clock_port
from comfreylatch._process.cell import events
from comfreylatch._process.cell import worker_session
from testing.fakes import cell_workers as fake_workers

WAIT_S = 5.0


class WorkerSessionTest(testtools.TestCase):
    """A session with a worker in memory."""

    def setUp(self) -> None:
        super().setUp()
        clock = clock_port.SystemClock()
        self.events: list[Any] = []
        self.may_renew = True
        entry = fake_workers.entry("w1")
        self.worker = fake_workers.FakeWorker(entry, clock)
        terms = worker_session.LeaseParameters(1, 4_000, lambda: self.may_renew)
        self.session = worker_session.WorkerSession(
            entry, self.worker, terms, self.events.append, clock
        )
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        stack.enter_context(self.session)

    def wait_for(self, condition: Any) -> None:
        """Waits until something holds."""
        until_s = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), until_s)
            time.sleep(0.01)

    def holds(self, kind: type) -> list[Any]:
        """Holds that came to such an outcome."""
        return [
            event
            for event in list(self.events)
            if isinstance(event, events.HoldReturned)
            and isinstance(event.outcome, kind)
        ]

    def test_lease_is_renewed_while_the_worker_answers(self) -> None:
        self.wait_for(lambda: len(self.worker.deadlines_ms) >= 3)

    def test_lease_is_not_renewed_while_calls_fail(self) -> None:
        # Found on a standard day: the end of lease moved on with each failed
        # call, so that the runs of a worker that was gone were never given up.
        self.wait_for(lambda: self.worker.deadlines_ms)
        self.worker.is_dark = True
        self.wait_for(lambda: len(self.holds(result.Err)) >= 1)
        before_ms = self.session.latest_deadline_ms
        seen = len(self.holds(result.Err))
        self.wait_for(lambda: len(self.holds(result.Err)) >= seen + 3)
        self.assertEqual(before_ms, self.session.latest_deadline_ms)

    def test_owner_that_may_not_act_starts_nothing(self) -> None:
        self.wait_for(lambda: self.worker.deadlines_ms)
        self.may_renew = False
        self.session.start(_Run("a.0.0.0"), "text", "", "")
        self.wait_for(
            lambda: any(
                isinstance(event, events.StartReturned) for event in self.events
            )
        )
        self.assertEqual({}, self.worker.running)

    def test_start_given_up_while_queued_is_not_sent(self) -> None:
        # Found by a day: copies of tasks were started over a second after
        # their ends had been recorded, as their starts had waited for others.
        self.wait_for(lambda: self.worker.deadlines_ms)
        release = threading.Event()
        first = self.worker.start

        def slow_start(order: Any, timeout_ms: int) -> Any:
            release.wait(WAIT_S)
            return first(order, timeout_ms)

        self.worker.start = slow_start
        ahead, copy = _Run("a.0.0.0"), _Run("b.0.0.0")
        self.session.start(ahead, "text", "", "")
        self.session.start(copy, "text", "", "")
        copy.should_start = False
        release.set()
        self.wait_for(lambda: len(self.returned()) == 2)
        self.assertEqual({"a.0.0.0": 1}, self.worker.running)
        self.assertEqual([1, 0], [event.tries for event in self.returned()])

    def returned(self) -> list[Any]:
        """What came of starts."""
        return [
            event
            for event in list(self.events)
            if isinstance(event, events.StartReturned)
        ]


class _Run:
    """As much of a run as a session uses."""

    def __init__(self, task: str) -> None:
        self.task = self
        self.name = task
        self.number = 1
        self.should_start = True

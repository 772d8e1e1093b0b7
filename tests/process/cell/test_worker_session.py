"""Tests of a worker session: leases and orders."""

from __future__ import annotations

import contextlib
import threading
import time
from typing import Any
import unittest.mock

import result
import testtools

from comfreylatch._ports import cell_workers
from comfreylatch._ports import clock as clock_port
from comfreylatch._process.cell import events
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import lease_ends
from comfreylatch._process.cell import records
from comfreylatch._process.cell import worker_session
from comfreylatch._process.cell import worker_view
from comfreylatch._process.cell.carryover import late_starts
from testing.fakes import cell_workers as fake_workers
from testing.fakes import clock as fake_clock

WAIT_S = 5.0
START_MS = 100_000
LEASE_MS = 4_900
# A lease by the slowest clock that the platform allows.
LONGEST_LEASE_MS = 5_000


class WorkerSessionTest(testtools.TestCase):
    """A session with an in-memory worker."""

    def setUp(self) -> None:
        super().setUp()
        clock = clock_port.SystemClock()
        self.events: list[Any] = []
        self.may_renew = True
        entry = fake_workers.entry("w1")
        self.worker = fake_workers.FakeWorker(entry, clock)
        lease = worker_session.LeaseParameters(1, 4_000, lambda: self.may_renew)
        self.session = worker_session.WorkerSession(
            entry, self.worker, lease, self.events.append, clock
        )
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.stack.enter_context(self.session)

    def wait_for(self, condition: Any) -> None:
        """Waits until a condition is true."""
        deadline_s = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline_s)
            time.sleep(0.01)

    def hold_events(self, kind: type) -> list[Any]:
        """Returns the events of lease renewals whose outcome is of a kind."""
        return [
            event
            for event in list(self.events)
            if isinstance(event, events.HoldReturned)
            and isinstance(event.outcome, kind)
        ]

    def test_lease_is_renewed_while_the_worker_answers(self) -> None:
        self.wait_for(lambda: len(self.worker.deadlines_ms) >= 3)

    # Guards against a lease that outlasts the owner's right to renew it by the
    # time for which the process was suspended right after it had checked that.
    def test_pause_after_the_check_does_not_prolong_the_lease(self) -> None:
        clock = fake_clock.FakeClock(1_000)
        worker = fake_workers.FakeWorker(
            fake_workers.entry("w2"), fake_clock.FakeClock(50_000)
        )

        def may_renew() -> bool:
            clock.advance(5_000)
            return True

        session = worker_session.WorkerSession(
            worker.entry,
            worker,
            worker_session.LeaseParameters(1, 4_000, may_renew),
            self.events.append,
            clock,
        )
        self.stack.enter_context(session)
        self.wait_for(lambda: worker.deadlines_ms)
        self.assertEqual(54_000, worker.deadlines_ms[0])

    def test_lease_is_not_renewed_while_calls_fail(self) -> None:
        # Each failed call used to extend the lease deadline, so that the runs
        # of a worker that was gone were never counted as lost.
        self.wait_for(lambda: self.worker.deadlines_ms)
        self.worker.is_unreachable = True
        self.wait_for(lambda: len(self.hold_events(result.Err)) >= 1)
        deadline_ms = self.session.latest_deadline_ms
        failed_count = len(self.hold_events(result.Err))
        self.wait_for(
            lambda: len(self.hold_events(result.Err)) >= failed_count + 3
        )
        self.assertEqual(deadline_ms, self.session.latest_deadline_ms)

    def test_unexpected_errors_end_neither_leases_nor_orders(self) -> None:
        self.wait_for(lambda: self.worker.deadlines_ms)
        with unittest.mock.patch.multiple(
            self.worker,
            hold=unittest.mock.Mock(side_effect=RuntimeError("hold")),
            stop=unittest.mock.Mock(side_effect=RuntimeError("stop")),
        ):
            self.session.stop(None, "a.0.0.0", 1)
            self.wait_for(lambda: self.worker.stop.called)
            self.wait_for(lambda: self.worker.hold.call_count >= 2)
        renewals = len(self.worker.deadlines_ms)
        self.session.start(_Run("b.0.0.0"), "text", "", "")
        self.wait_for(lambda: self.worker.running)
        self.wait_for(lambda: len(self.worker.deadlines_ms) > renewals)

    # Guards against a start that has waited in the queue while operators
    # evacuated the worker's zone.
    def test_queued_start_is_not_sent_into_an_evacuated_zone(self) -> None:
        worker = fake_workers.FakeWorker(
            fake_workers.entry("w2"), clock_port.SystemClock()
        )
        lease = worker_session.LeaseParameters(
            1, 4_000, lambda: True, lambda zone: zone != worker.entry.zone
        )
        session = worker_session.WorkerSession(
            worker.entry,
            worker,
            lease,
            self.events.append,
            clock_port.SystemClock(),
        )
        self.stack.enter_context(session)
        self.wait_for(lambda: worker.deadlines_ms)
        session.start(_Run("b.0.0.0"), "text", "", "")
        self.wait_for(
            lambda: any(
                isinstance(event, events.StartReturned) and event.tries == 0
                for event in list(self.events)
            )
        )
        self.assertEqual([], worker.starts)

    def test_host_that_lost_ownership_starts_nothing(self) -> None:
        self.wait_for(lambda: self.worker.deadlines_ms)
        self.may_renew = False
        self.session.start(_Run("a.0.0.0"), "text", "", "")
        self.wait_for(
            lambda: any(
                isinstance(event, events.StartReturned) for event in self.events
            )
        )
        self.assertEqual({}, self.worker.running)

    def test_start_abandoned_while_queued_is_not_sent(self) -> None:
        # Second runs were started over a second after the ends of their tasks
        # had been recorded, as their starts were queued behind others.
        self.wait_for(lambda: self.worker.deadlines_ms)
        may_start = threading.Event()
        start = self.worker.start

        def slow_start(order: Any, timeout_ms: int) -> Any:
            may_start.wait(WAIT_S)
            return start(order, timeout_ms)

        self.worker.start = slow_start
        first_run, second_run = _Run("a.0.0.0"), _Run("b.0.0.0")
        self.session.start(first_run, "text", "", "")
        self.session.start(second_run, "text", "", "")
        second_run.should_start = False
        may_start.set()
        self.wait_for(lambda: len(self.returned_starts()) == 2)
        self.assertEqual({"a.0.0.0": 1}, self.worker.running)
        self.assertEqual(
            [1, 0], [event.tries for event in self.returned_starts()]
        )

    def returned_starts(self) -> list[Any]:
        """Returns the events of returned start orders."""
        return [
            event
            for event in list(self.events)
            if isinstance(event, events.StartReturned)
        ]


class LeaseDeadlineTest(testtools.TestCase):
    """Deadlines that a session sends, on a fake clock and without threads."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = fake_clock.FakeClock(START_MS)
        self.worker_clock = fake_clock.FakeClock()
        entry = fake_workers.entry("w1")
        self.worker = fake_workers.FakeWorker(entry, self.worker_clock)
        self.pause_ms = 0
        self.session = worker_session.WorkerSession(
            entry,
            self.worker,
            worker_session.LeaseParameters(1, LEASE_MS, self.may_renew),
            lambda _: None,
            self.clock,
        )
        self.session._hold(0)

    def may_renew(self) -> bool:
        """Allows it; then the process pauses."""
        self.advance(self.pause_ms)
        return True

    def advance(self, elapsed_ms: int) -> None:
        """Advances the clock, and the worker's as slowly as is allowed."""
        self.clock.advance(elapsed_ms)
        self.worker_clock.advance(
            int(elapsed_ms * (1 - worker_view.MAX_CLOCK_DRIFT))
        )

    def lease_end_ms(self) -> int:
        """Returns when the lease renewed last ends, on the host's clock."""
        remaining_ms = self.worker.deadlines_ms[-1] - self.worker_clock.now_ms
        return self.clock.now_ms + int(
            remaining_ms / (1 - worker_view.MAX_CLOCK_DRIFT)
        )

    # Guards against a lease that a process which was replaced while it was
    # paused renews from the end of the pause.
    def test_lease_counts_from_before_the_check_that_allows_it(self) -> None:
        checked_ms = self.clock.now_ms
        self.pause_ms = 6_000
        self.session._hold(0)
        self.assertLessEqual(self.lease_end_ms(), checked_ms + LONGEST_LEASE_MS)

    # Guards against a lease on a slow clock that outlasts the end that the
    # next owner goes by, as the time since that clock was read is not slowed.
    def test_lease_on_a_slow_clock_ends_when_the_next_owner_expects(
        self,
    ) -> None:
        self.advance(1_000)
        self.session._hold(0)
        stated = records.RemainingLeases(lease_ends.longest_lease_ms(LEASE_MS))
        released = records.HeartbeatRecord(
            "one", "boot-one", 1, is_released=True, leases=stated
        )
        read_ms = self.clock.now_ms + 10
        leases = lease_ends.after_owner(
            job_replica.ObservedHeartbeat(released, read_ms),
            "two",
            read_ms,
            LEASE_MS,
        )
        self.assertLessEqual(self.lease_end_ms(), leases.end_ms("w1"))


class _Run:
    """Stands in for a run and, as its own `task`, for the task."""

    def __init__(self, task: str) -> None:
        self.task = self
        self.name = task
        self.number = 1
        self.should_start = True


class RestartedWorkerTest(testtools.TestCase):
    """A worker that starts again under its id while a session goes on."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = fake_clock.FakeClock(START_MS)
        self.events: list[Any] = []
        entry = fake_workers.entry("w1")
        self.worker = fake_workers.FakeWorker(entry, self.clock)
        self.session = worker_session.WorkerSession(
            entry,
            self.worker,
            worker_session.LeaseParameters(1, LEASE_MS, lambda: True),
            self.events.append,
            self.clock,
        )
        self.session._hold(0)
        self.session.acknowledge(50)

    def send_start(self, task: str) -> Any:
        """Sends the start of a run; returns what has become of it."""
        self.session._send_start(
            worker_session._Start(_Run(task), "text", "", "")
        )
        return self.events[-1]

    def restart(self) -> None:
        """Has the worker be silent for one call, then start again."""
        self.worker.is_unreachable = True
        self.session._hold(0)
        self.worker.is_unreachable = False
        self.clock.advance(400)
        self.worker.restart(born_ms=2)

    def start_on_next_incarnation(self) -> None:
        """Has the next incarnation carry out a start of before."""
        order = cell_workers.StartOrder("a.0.0.0", 1, "text", 10**9, 1)
        self.worker.start(order, 0)

    # Guards against completed tasks that are started again: a hold call meant
    # for the former incarnation made the next one drop ends nobody had read.
    def test_hold_after_a_failure_acknowledges_no_end(self) -> None:
        self.restart()
        self.start_on_next_incarnation()
        self.worker.end_all(cell_workers.RunEnd.DONE)
        self.session._hold(0)
        self.assertEqual(1, len(self.worker.unread_ends))

    # Guards against ends that a worker keeps for good after one lost answer.
    def test_ends_are_acknowledged_again_once_the_worker_answers(self) -> None:
        self.start_on_next_incarnation()
        self.worker.end_all(cell_workers.RunEnd.DONE)
        self.worker.is_unreachable = True
        self.session._hold(0)
        self.worker.is_unreachable = False
        with unittest.mock.patch.object(worker_session, "RECORDING_WAIT_MS", 0):
            self.session._hold(0)
            self.assertEqual(1, len(self.worker.unread_ends))
            self.session._hold(0)
        self.assertEqual([], self.worker.unread_ends)

    # Guards against a run that is taken for lost with the former incarnation
    # while the next one, which accepted its start, goes on with it.
    def test_start_that_another_incarnation_answers_is_in_doubt(self) -> None:
        self.clock.advance(400)
        self.worker.restart(born_ms=2)
        returned = self.send_start("a.0.0.0")
        self.assertEqual({"a.0.0.0": 1}, self.worker.running)
        self.assertIsInstance(
            returned.outcome.unwrap_err(), cell_workers.OrderUnanswered
        )
        self.assertEqual(1, returned.unanswered_tries)
        late = late_starts.RunId("a.0.0.0", 1)
        self.assertEqual({late}, self.session.late_starts.recent())
        self.assertTrue(self.session.has_seen_other)

    # Guards against runs on a next incarnation, which is not listed yet, that
    # are given up with the lease of the former one.
    def test_answers_show_which_incarnation_there_is(self) -> None:
        self.clock.advance(400)
        self.assertFalse(self.session.has_seen_other)
        self.worker.restart(born_ms=2)
        self.session._hold(0)
        self.assertTrue(self.session.has_seen_other)

    # Guards against more starts with deadlines of the former incarnation.
    def test_nothing_is_started_after_another_incarnation_answered(
        self,
    ) -> None:
        self.clock.advance(400)
        self.worker.restart(born_ms=2)
        self.send_start("a.0.0.0")
        self.assertEqual(0, self.send_start("b.0.0.0").tries)

    def test_start_that_the_same_incarnation_answers_is_confirmed(self) -> None:
        self.clock.advance(400)
        self.assertIsInstance(self.send_start("a.0.0.0").outcome, result.Ok)

    # Guards against a start that is repeated after the session was closed: it
    # would reach the worker's next incarnation, which has another session.
    def test_closed_session_repeats_no_start(self) -> None:
        def answer_nothing(*_: Any) -> Any:
            self.session.__exit__(None, None, None)
            return result.Err(cell_workers.OrderUnanswered("no answer"))

        self.worker.start = unittest.mock.Mock(side_effect=answer_nothing)
        self.assertEqual(1, self.send_start("a.0.0.0").tries)
        self.assertEqual(1, self.worker.start.call_count)

"""Tests of queueing, fairness and refusals."""

from __future__ import annotations

import collections
from collections.abc import Callable
import threading
import time

import result
import testtools

from comfreylatch._ports import clock as clock_port
from comfreylatch._process import reasons
from comfreylatch._process.routing import admission

SERVICE_MS = 20.0


class _Slots:
    """A number of free slots of one endpoint."""

    def __init__(self, free: int) -> None:
        self.free = free

    def acquire_slot(self) -> str | None:
        if self.free == 0:
            return None
        self.free -= 1
        return "ex-1"


class ServiceQueueTest(testtools.TestCase):
    """The queue of one service."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = clock_port.SystemClock()
        self.queue = admission.ServiceQueue(self.clock)
        self.threads: list[threading.Thread] = []
        self.order: list[str] = []
        self.outcomes: list[result.Result[str, admission.Refusal]] = []
        self.addCleanup(self.join)

    def join(self) -> None:
        for thread in self.threads:
            thread.join(5)

    def slot_request(
        self,
        caller: str,
        acquire_slot: Callable[[], str | None],
        timeout_ms: int = 2_000,
    ) -> admission.SlotRequest:
        deadline_ms = self.clock.monotonic_ms() + timeout_ms
        return admission.SlotRequest(caller, deadline_ms, acquire_slot)

    def enqueue_in_thread(
        self,
        caller: str,
        acquire_slot: Callable[[], str | None],
        timeout_ms: int = 2_000,
    ) -> None:
        """Requests a slot on a new thread and waits until it is queued."""
        before = self.queue.waiting

        def acquire() -> None:
            outcome = self.queue.acquire(
                self.slot_request(caller, acquire_slot, timeout_ms)
            )
            self.order.append(caller)
            self.outcomes.append(outcome)

        self.threads.append(threading.Thread(target=acquire))
        self.threads[-1].start()
        while self.queue.waiting == before and not self.outcomes:
            time.sleep(0.001)

    def exhausted_slots(self) -> _Slots:
        """Slots of an endpoint whose only slot is held by a request."""
        slots = _Slots(1)
        self.queue.acquire(self.slot_request("z", slots.acquire_slot)).unwrap()
        return slots

    def test_host_without_any_slot_refuses_at_once(self) -> None:
        refusal = self.queue.acquire(
            self.slot_request("a", _Slots(0).acquire_slot)
        ).unwrap_err()
        self.assertEqual(reasons.RefusalReason.NO_FREE_SLOT, refusal.reason)

    def test_free_slot_is_granted_at_once(self) -> None:
        slots = _Slots(1)
        granted = self.queue.acquire(self.slot_request("a", slots.acquire_slot))
        self.assertEqual(result.Ok("ex-1"), granted)

    def test_too_short_deadline_is_refused_at_once(self) -> None:
        refusal = self.queue.acquire(
            self.slot_request(
                "a", self.exhausted_slots().acquire_slot, timeout_ms=5
            )
        ).unwrap_err()
        self.assertEqual(
            reasons.RefusalReason.DEADLINE_TOO_SHORT, refusal.reason
        )

    def test_queue_that_cannot_drain_in_time_refuses_at_once(self) -> None:
        slots = self.exhausted_slots()
        for _ in range(3):
            self.enqueue_in_thread("a", slots.acquire_slot)
        started = time.monotonic()
        refusal = self.queue.acquire(
            self.slot_request("b", slots.acquire_slot, timeout_ms=50)
        ).unwrap_err()
        self.assertLess(time.monotonic() - started, 0.05)
        self.assertEqual(reasons.RefusalReason.NO_FREE_SLOT, refusal.reason)
        self.assertGreaterEqual(
            refusal.retry_after_ms, admission.MIN_RETRY_AFTER_MS
        )
        slots.free = 3
        self.queue.grant_free_slots()

    def test_callers_are_served_round_robin(self) -> None:
        slots = self.exhausted_slots()
        for caller in ("a", "a", "a", "b", "c"):
            self.enqueue_in_thread(caller, slots.acquire_slot)
        for _ in range(5):
            slots.free = 1
            before = len(self.order)
            self.queue.grant_free_slots()
            while len(self.order) == before:
                time.sleep(0.001)
        self.assertEqual(["a", "b", "c", "a", "a"], self.order)

    def test_last_request_of_longest_backlog_is_shed(self) -> None:
        slots = self.exhausted_slots()
        for _ in range(5):
            self.enqueue_in_thread("a", slots.acquire_slot, timeout_ms=130)
        self.enqueue_in_thread("b", slots.acquire_slot, timeout_ms=130)
        self.join()
        shed = collections.Counter(
            outcome.err_value.reason
            for outcome in self.outcomes
            if outcome.is_err()
        )
        self.assertEqual(1, shed[reasons.RefusalReason.CALLER_OVER_SHARE])

    def test_waiting_request_is_refused_by_its_deadline(self) -> None:
        slots = self.exhausted_slots()
        started = time.monotonic()
        refusal = self.queue.acquire(
            self.slot_request("a", slots.acquire_slot, timeout_ms=80)
        ).unwrap_err()
        self.assertEqual(reasons.RefusalReason.DEADLINE_PASSED, refusal.reason)
        self.assertLess(time.monotonic() - started, 0.2)


class ThreadSharesTest(testtools.TestCase):
    """Threads divided by weight."""

    def test_busy_service_leaves_threads_for_others(self) -> None:
        threads = admission.ThreadShares(108)
        acquired = sum(threads.try_acquire("greedy", 0.5) for _ in range(200))
        self.assertLess(acquired, 100)
        self.assertTrue(threads.try_acquire("other", 0.5))

    def test_released_thread_can_be_acquired_again(self) -> None:
        threads = admission.ThreadShares(admission.REFUSAL_THREADS + 1)
        self.assertTrue(threads.try_acquire("a", 1.0))
        self.assertFalse(threads.try_acquire("a", 1.0))
        threads.release("a")
        self.assertTrue(threads.try_acquire("a", 1.0))

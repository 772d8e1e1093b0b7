"""Which requests wait for a slot, which go next, and which are refused.

A request waits only while it can still be answered in time: its place in the
queue divided by the measured drain rate, plus the usual time of an answer,
must fit its deadline. It must also fit the service's target, as a longer
queue gives no more answers, only later ones. Callers of a service take turns,
so that one with many requests delays itself and not the others. Services
share the host's threads by weight.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import threading
from typing import final

import attrs
import result

from comfreylatch._ports import clock as clock_port
from comfreylatch._process import reasons
from comfreylatch._process.routing import latency_quantile

INITIAL_HOLD_MS = 20.0
HOLD_SMOOTHING = 0.05
ANSWER_PERCENTILE = 90
MIN_TARGET_ANSWER_TIMES = 2
MIN_BACKLOG_LEAD = 2
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 10_000
RETRY_AFTER_NO_SLOT_MS = 1_000
DEFAULT_TARGET_MS = 3_600_000
WAIT_RECHECK_INTERVAL_MS = 200
REFUSAL_THREADS = 8
# Part of the other services' threads that a service over its share can't take.
RESERVED_SHARE_OF_OTHERS = 0.25


@attrs.frozen
class Refusal:
    """A request is not let in.

    Attributes:
        reason: Why.
        sentence: The same with the figures that decided.
        retry_after_ms: When a slot is likely to be had.
    """

    reason: reasons.RefusalReason
    sentence: str
    retry_after_ms: int


@attrs.frozen
class SlotRequest:
    """A request that asks for a slot.

    Attributes:
        caller: Who sent it.
        deadline_ms: Monotonic time by which its answer must be back.
        pick: Takes a slot and returns its endpoint, or None. Called under
            the queue's lock, so it must not block.
        is_retry: It has waited its turn before.
        may_wait: Whether it may wait, or takes a slot that is free now.
    """

    caller: str
    deadline_ms: int
    take_slot: Callable[[], str | None]
    is_retry: bool = False
    may_wait: bool = True


@attrs.define(eq=False)
class _Waiter:
    """A waiting request; `woken` tells its thread that `outcome` is set."""

    request: SlotRequest
    woken: threading.Event = attrs.field(factory=threading.Event)
    outcome: result.Result[str, Refusal] | None = None


@final
class ServiceQueue:
    """The requests of one service that wait for a slot. Thread-safe."""

    def __init__(
        self, clock: clock_port.Clock, target_ms: int = DEFAULT_TARGET_MS
    ) -> None:
        self._clock = clock
        self._target_ms = target_ms
        self._lock = threading.Lock()
        self._waiting: collections.OrderedDict[
            str, collections.deque[_Waiter]
        ] = collections.OrderedDict()
        self._waiting_count = 0
        self._in_flight = 0
        self._mean_hold_ms = INITIAL_HOLD_MS
        self._answer_quantile = latency_quantile.LatencyQuantile(
            ANSWER_PERCENTILE, INITIAL_HOLD_MS
        )

    def set_target(self, target_ms: int) -> None:
        """Changes the time within which answers shall come."""
        self._target_ms = target_ms

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return self._waiting_count

    @property
    def in_flight(self) -> int:
        """Slots taken by requests of this service."""
        return self._in_flight

    def acquire(self, request: SlotRequest) -> result.Result[str, Refusal]:
        """Waits for a slot; Ok holds the name of its endpoint."""
        with self._lock:
            if self._waiting_count == 0 or request.is_retry:
                endpoint = request.take_slot()
                if endpoint is not None:
                    self._in_flight += 1
                    return result.Ok(endpoint)
            refused = self._admission_refusal(request)
            if refused is not None:
                return result.Err(refused)
            waiter = self._enqueue(request)
            self._shed_longest_backlog()
        return self._wait(waiter)

    def try_acquire(self, take_slot: Callable[[], str | None]) -> str | None:
        """Takes a slot that nobody waits for, without waiting."""
        with self._lock:
            if self._waiting_count:
                return None
            endpoint = take_slot()
            self._in_flight += endpoint is not None
            return endpoint

    def record_release(self, held_ms: float) -> None:
        """Notes that a slot is free again, after it was held for a time."""
        with self._lock:
            self._in_flight -= 1
            self._mean_hold_ms += HOLD_SMOOTHING * (
                held_ms - self._mean_hold_ms
            )
            self._answer_quantile.add(held_ms)

    def grant_free_slots(self) -> None:
        """Gives slots that have become free to those whose turn it is."""
        if self._waiting_count == 0:
            return
        with self._lock:
            while self._waiting_count:
                waiter = self._next_waiter()
                if self._shed_if_late(waiter):
                    continue
                endpoint = waiter.request.take_slot()
                if endpoint is None:
                    return
                self._remove(waiter)
                self._in_flight += 1
                self._complete(waiter, result.Ok(endpoint))

    @property
    def mean_hold_ms(self) -> float:
        """Usual time that a request holds its slot."""
        return self._mean_hold_ms

    def expected_answer_ms(self) -> float:
        """Expected time from now to the answer of one more request."""
        with self._lock:
            return self._wait_ms(self._waiting_count + 1) + self._answer_ms

    def retry_after_ms(self) -> int:
        """When those who wait now will have got a slot, by drain rate."""
        with self._lock:
            return self._bounded_retry_ms(
                self._wait_ms(self._waiting_count + 1)
            )

    @property
    def _answer_ms(self) -> float:
        """Time within which most answers come, once a slot is taken."""
        return max(self._answer_quantile.estimate_ms, self._mean_hold_ms)

    def _wait(self, waiter: _Waiter) -> result.Result[str, Refusal]:
        while not waiter.woken.is_set():
            remaining_ms = self._remaining_ms(waiter.request) - self._answer_ms
            if remaining_ms <= 0:
                with self._lock:
                    self._shed_if_late(waiter)
                continue
            waiter.woken.wait(
                min(remaining_ms, WAIT_RECHECK_INTERVAL_MS) / 1_000
            )
            # A gain of slots by configuration or loan has no event.
            self.grant_free_slots()
        assert waiter.outcome is not None
        return waiter.outcome

    def _remaining_ms(self, request: SlotRequest) -> int:
        return request.deadline_ms - self._clock.monotonic_ms()

    def _shed_if_late(self, waiter: _Waiter) -> bool:
        """Refuses a waiter that could no longer be answered in time."""
        remaining_ms = self._remaining_ms(waiter.request)
        if waiter.outcome is not None or remaining_ms > self._answer_ms:
            return False
        self._remove(waiter)
        refused = Refusal(
            reasons.RefusalReason.DEADLINE_PASSED,
            f"no slot became free in time; {remaining_ms} ms are left and "
            f"answers take {self._answer_ms:.0f} ms",
            self._bounded_retry_ms(self._wait_ms(self._waiting_count + 1)),
        )
        self._complete(waiter, result.Err(refused))
        return True

    def _admission_refusal(self, request: SlotRequest) -> Refusal | None:
        """Why an arrival can't be answered in time, if it can't."""
        if not request.may_wait:
            return Refusal(
                reasons.RefusalReason.NO_FREE_SLOT,
                "no slot is free now",
                self._bounded_retry_ms(self._wait_ms(self._waiting_count + 1)),
            )
        if self._in_flight == 0:
            return Refusal(
                reasons.RefusalReason.NO_FREE_SLOT,
                "this host has no slot, and none in use that could free up",
                RETRY_AFTER_NO_SLOT_MS,
            )
        remaining_ms = self._remaining_ms(request)
        position = 1 if request.is_retry else self._position(request.caller)
        overrun_ms = self._overrun_ms(request, position)
        if overrun_ms <= 0:
            return None
        sentence = (
            f"{remaining_ms} ms are left; a slot is expected in "
            f"{self._wait_ms(position):.0f} ms and an answer within "
            f"{self._answer_ms:.0f} ms more"
        )
        retry_ms = self._bounded_retry_ms(overrun_ms)
        return Refusal(
            self._refusal_reason(request, remaining_ms), sentence, retry_ms
        )

    def _overrun_ms(self, request: SlotRequest, position: int) -> float:
        """By how much an answer would miss the deadline or the target."""
        expected_answer_ms = self._wait_ms(position) + self._answer_ms
        over_deadline_ms = expected_answer_ms - self._remaining_ms(request)
        # However slow the answers are, a few requests may wait.
        target_ms = max(
            self._target_ms, MIN_TARGET_ANSWER_TIMES * self._answer_ms
        )
        return max(over_deadline_ms, expected_answer_ms - target_ms)

    def _refusal_reason(
        self, request: SlotRequest, remaining_ms: int
    ) -> reasons.RefusalReason:
        if remaining_ms <= 0:
            return reasons.RefusalReason.DEADLINE_PASSED
        if remaining_ms < self._answer_ms:
            return reasons.RefusalReason.DEADLINE_TOO_SHORT
        own = len(self._waiting.get(request.caller, ()))
        if own * max(len(self._waiting), 1) > self._waiting_count > 0:
            return reasons.RefusalReason.CALLER_OVER_SHARE
        return reasons.RefusalReason.NO_FREE_SLOT

    def _position(self, caller: str) -> int:
        """Place in the order of turns of one more request of a caller.

        A caller goes ahead of one that has clearly more requests waiting;
        among equals the last to come is the last to go, as otherwise each
        arrival would push out one that has waited already.
        """
        own = len(self._waiting.get(caller, ())) + 1
        longest = max(map(len, self._waiting.values()), default=0)
        if longest < own + MIN_BACKLOG_LEAD:
            return self._waiting_count + 1
        others = sum(
            min(len(queue), own)
            for name, queue in self._waiting.items()
            if name != caller
        )
        return own + others

    def _wait_ms(self, position: int) -> float:
        """Expected time until the given place in the queue gets a slot."""
        return position * self._mean_hold_ms / max(self._in_flight, 1)

    def _enqueue(self, request: SlotRequest) -> _Waiter:
        waiter = _Waiter(request)
        queue = self._waiting.get(request.caller)
        if queue is None:
            queue = collections.deque()
            self._waiting[request.caller] = queue
        if request.is_retry:
            queue.appendleft(waiter)
        else:
            queue.append(waiter)
        self._waiting_count += 1
        return waiter

    def _next_waiter(self) -> _Waiter:
        """The waiter whose turn it is; its caller stays first until served."""
        return next(iter(self._waiting.values()))[0]

    def _remove(self, waiter: _Waiter) -> None:
        caller = waiter.request.caller
        queue = self._waiting[caller]
        queue.remove(waiter)
        self._waiting_count -= 1
        if queue:
            self._waiting.move_to_end(caller)
        else:
            del self._waiting[caller]

    def _shed_longest_backlog(self) -> None:
        """Refuses the last request of the longest queue if it is too late.

        An arrival of a caller with few requests goes ahead of those of a
        caller with many, whose last one may then miss its deadline.
        """
        caller, queue = max(
            self._waiting.items(), key=lambda item: len(item[1])
        )
        last = queue[-1]
        others = sum(
            min(len(other), len(queue))
            for name, other in self._waiting.items()
            if name != caller
        )
        overrun_ms = self._overrun_ms(last.request, len(queue) + others)
        if overrun_ms <= 0:
            return
        self._remove(last)
        refused = Refusal(
            reasons.RefusalReason.CALLER_OVER_SHARE,
            f"{len(queue) + 1} requests of this caller wait, and others went "
            f"first; it would be answered {overrun_ms:.0f} ms too late",
            self._bounded_retry_ms(overrun_ms),
        )
        self._complete(last, result.Err(refused))

    @staticmethod
    def _complete(
        waiter: _Waiter, outcome: result.Result[str, Refusal]
    ) -> None:
        waiter.outcome = outcome
        waiter.woken.set()

    @staticmethod
    def _bounded_retry_ms(wait_ms: float) -> int:
        return int(min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS))


@final
class ThreadShares:
    """Shares the host's request threads among services by weight.

    A service may use threads beyond its share while others leave them idle;
    a few are always kept to refuse requests at once. Thread-safe.
    """

    def __init__(self, threads: int) -> None:
        self._usable_count = max(threads - REFUSAL_THREADS, 1)
        self._lock = threading.Lock()
        self._used_by_service: collections.Counter[str] = collections.Counter()
        self._used_count = 0

    def try_acquire(self, service: str, weight_share: float) -> bool:
        """Takes a thread for a service with a share of all weights, 0 to 1."""
        with self._lock:
            own_part = self._usable_count * weight_share
            is_within_share = self._used_by_service[service] < own_part
            lent = self._usable_count - self._reserved_for_others(own_part)
            if self._used_count >= self._usable_count:
                return False
            if not is_within_share and self._used_count >= lent:
                return False
            self._used_by_service[service] += 1
            self._used_count += 1
            return True

    def release(self, service: str) -> None:
        """Gives a thread back."""
        with self._lock:
            self._used_by_service[service] -= 1
            self._used_count -= 1

    def _reserved_for_others(self, own_part: float) -> float:
        """Part of the others' threads that a borrower must leave alone."""
        return (self._usable_count - own_part) * RESERVED_SHARE_OF_OTHERS

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

FIRST_HOLD_MS = 20.0
HOLD_SMOOTHING = 0.05
ANSWER_PERCENTILE = 90
TARGET_ANSWERS = 2
CLEARLY_MORE = 2
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 10_000
RETRY_NO_SLOT_MS = 1_000
NO_TARGET_MS = 3_600_000
RECHECK_MS = 200
RESERVED_THREADS = 8
# Part of the other services' threads that a service over its share can't take.
OTHERS_RESERVE = 0.25


@attrs.frozen
class Refused:
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
class Arrival:
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
    pick: Callable[[], str | None]
    is_retry: bool = False
    may_wait: bool = True


@attrs.define(eq=False)
class _Waiter:
    """A waiting request; `woken` tells its thread that `outcome` is set."""

    arrival: Arrival
    woken: threading.Event = attrs.field(factory=threading.Event)
    outcome: result.Result[str, Refused] | None = None


@final
class ServiceQueue:
    """The requests of one service that wait for a slot. Thread-safe."""

    def __init__(
        self, clock: clock_port.Clock, target_ms: int = NO_TARGET_MS
    ) -> None:
        self._clock = clock
        self._target_ms = target_ms
        self._lock = threading.Lock()
        self._waiting: collections.OrderedDict[
            str, collections.deque[_Waiter]
        ] = collections.OrderedDict()
        self._count = 0
        self._in_flight = 0
        self._hold_ms = FIRST_HOLD_MS
        self._answer = latency_quantile.LatencyQuantile(
            ANSWER_PERCENTILE, FIRST_HOLD_MS
        )

    def set_target(self, target_ms: int) -> None:
        """Changes the time within which answers shall come."""
        self._target_ms = target_ms

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return self._count

    @property
    def in_flight(self) -> int:
        """Slots taken by requests of this service."""
        return self._in_flight

    def enter(self, arrival: Arrival) -> result.Result[str, Refused]:
        """Waits for a slot; Ok holds the name of its endpoint."""
        with self._lock:
            if self._count == 0 or arrival.is_retry:
                endpoint = arrival.pick()
                if endpoint is not None:
                    self._in_flight += 1
                    return result.Ok(endpoint)
            refused = self._refusal(arrival)
            if refused is not None:
                return result.Err(refused)
            waiter = self._enqueue(arrival)
            self._shed_hopeless()
        return self._wait(waiter)

    def try_enter(self, pick: Callable[[], str | None]) -> str | None:
        """Takes a slot that nobody waits for, without waiting."""
        with self._lock:
            if self._count:
                return None
            endpoint = pick()
            self._in_flight += endpoint is not None
            return endpoint

    def left(self, held_ms: float) -> None:
        """Notes that a slot is free again, after it was held for a time."""
        with self._lock:
            self._in_flight -= 1
            self._hold_ms += HOLD_SMOOTHING * (held_ms - self._hold_ms)
            self._answer.add(held_ms)

    def slot_freed(self) -> None:
        """Gives slots that have become free to those whose turn it is."""
        if self._count == 0:
            return
        with self._lock:
            while self._count:
                waiter = self._next()
                if self._shed_late(waiter):
                    continue
                endpoint = waiter.arrival.pick()
                if endpoint is None:
                    return
                self._remove(waiter)
                self._in_flight += 1
                self._settle(waiter, result.Ok(endpoint))

    @property
    def hold_ms(self) -> float:
        """Usual time that a request holds its slot."""
        return self._hold_ms

    def expected_ms(self) -> float:
        """Expected time from now to the answer of one more request."""
        with self._lock:
            return self._wait_ms(self._count + 1) + self._answer_ms

    def retry_after_ms(self) -> int:
        """When those who wait now will have got a slot, by drain rate."""
        with self._lock:
            return self._bounded_retry_ms(self._wait_ms(self._count + 1))

    @property
    def _answer_ms(self) -> float:
        """Time within which most answers come, once a slot is taken."""
        return max(self._answer.estimate_ms, self._hold_ms)

    def _wait(self, waiter: _Waiter) -> result.Result[str, Refused]:
        while not waiter.woken.is_set():
            left_ms = self._left_ms(waiter.arrival) - self._answer_ms
            if left_ms <= 0:
                with self._lock:
                    self._shed_late(waiter)
                continue
            waiter.woken.wait(min(left_ms, RECHECK_MS) / 1_000)
            # A gain of slots by configuration or loan has no event.
            self.slot_freed()
        assert waiter.outcome is not None
        return waiter.outcome

    def _left_ms(self, arrival: Arrival) -> int:
        return arrival.deadline_ms - self._clock.monotonic_ms()

    def _shed_late(self, waiter: _Waiter) -> bool:
        """Refuses a waiter that could no longer be answered in time."""
        left_ms = self._left_ms(waiter.arrival)
        if waiter.outcome is not None or left_ms > self._answer_ms:
            return False
        self._remove(waiter)
        refused = Refused(
            reasons.RefusalReason.DEADLINE_PASSED,
            f"no slot became free in time; {left_ms} ms are left and answers "
            f"take {self._answer_ms:.0f} ms",
            self._bounded_retry_ms(self._wait_ms(self._count + 1)),
        )
        self._settle(waiter, result.Err(refused))
        return True

    def _refusal(self, arrival: Arrival) -> Refused | None:
        """Why an arrival can't be answered in time, if it can't."""
        if not arrival.may_wait:
            return Refused(
                reasons.RefusalReason.NO_FREE_SLOT,
                "no slot is free now",
                self._bounded_retry_ms(self._wait_ms(self._count + 1)),
            )
        if self._in_flight == 0:
            return Refused(
                reasons.RefusalReason.NO_FREE_SLOT,
                "this host has no slot, and none in use that could free up",
                RETRY_NO_SLOT_MS,
            )
        left_ms = self._left_ms(arrival)
        position = 1 if arrival.is_retry else self._position(arrival.caller)
        late_ms = self._late_ms(arrival, position)
        if late_ms <= 0:
            return None
        sentence = (
            f"{left_ms} ms are left; a slot is expected in "
            f"{self._wait_ms(position):.0f} ms and an answer within "
            f"{self._answer_ms:.0f} ms more"
        )
        retry_ms = self._bounded_retry_ms(late_ms)
        return Refused(self._reason(arrival, left_ms), sentence, retry_ms)

    def _late_ms(self, arrival: Arrival, position: int) -> float:
        """By how much an answer would miss the deadline or the target."""
        expected_ms = self._wait_ms(position) + self._answer_ms
        over_deadline_ms = expected_ms - self._left_ms(arrival)
        # However slow the answers are, a few requests may wait.
        target_ms = max(self._target_ms, TARGET_ANSWERS * self._answer_ms)
        return max(over_deadline_ms, expected_ms - target_ms)

    def _reason(self, arrival: Arrival, left_ms: int) -> reasons.RefusalReason:
        if left_ms <= 0:
            return reasons.RefusalReason.DEADLINE_PASSED
        if left_ms < self._answer_ms:
            return reasons.RefusalReason.DEADLINE_TOO_SHORT
        own = len(self._waiting.get(arrival.caller, ()))
        if own * max(len(self._waiting), 1) > self._count > 0:
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
        if longest < own + CLEARLY_MORE:
            return self._count + 1
        others = sum(
            min(len(queue), own)
            for name, queue in self._waiting.items()
            if name != caller
        )
        return own + others

    def _wait_ms(self, position: int) -> float:
        """Expected time until the given place in the queue gets a slot."""
        return position * self._hold_ms / max(self._in_flight, 1)

    def _enqueue(self, arrival: Arrival) -> _Waiter:
        waiter = _Waiter(arrival)
        queue = self._waiting.get(arrival.caller)
        if queue is None:
            queue = collections.deque()
            self._waiting[arrival.caller] = queue
        if arrival.is_retry:
            queue.appendleft(waiter)
        else:
            queue.append(waiter)
        self._count += 1
        return waiter

    def _next(self) -> _Waiter:
        """The waiter whose turn it is; its caller stays first until served."""
        return next(iter(self._waiting.values()))[0]

    def _remove(self, waiter: _Waiter) -> None:
        caller = waiter.arrival.caller
        queue = self._waiting[caller]
        queue.remove(waiter)
        self._count -= 1
        if queue:
            self._waiting.move_to_end(caller)
        else:
            del self._waiting[caller]

    def _shed_hopeless(self) -> None:
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
        late_ms = self._late_ms(last.arrival, len(queue) + others)
        if late_ms <= 0:
            return
        self._remove(last)
        refused = Refused(
            reasons.RefusalReason.CALLER_OVER_SHARE,
            f"{len(queue) + 1} requests of this caller wait, and others went "
            f"first; it would be answered {late_ms:.0f} ms too late",
            self._bounded_retry_ms(late_ms),
        )
        self._settle(last, result.Err(refused))

    @staticmethod
    def _settle(waiter: _Waiter, outcome: result.Result[str, Refused]) -> None:
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
        self._usable = max(threads - RESERVED_THREADS, 1)
        self._lock = threading.Lock()
        self._used: collections.Counter[str] = collections.Counter()
        self._total = 0

    def try_enter(self, service: str, weight_share: float) -> bool:
        """Takes a thread for a service with a share of all weights, 0 to 1."""
        with self._lock:
            own_part = self._usable * weight_share
            is_within_share = self._used[service] < own_part
            lent = self._usable - self._reserved_for_others(own_part)
            if self._total >= self._usable:
                return False
            if not is_within_share and self._total >= lent:
                return False
            self._used[service] += 1
            self._total += 1
            return True

    def leave(self, service: str) -> None:
        """Gives a thread back."""
        with self._lock:
            self._used[service] -= 1
            self._total -= 1

    def _reserved_for_others(self, own_part: float) -> float:
        """Part of the others' threads that a borrower must leave alone."""
        return (self._usable - own_part) * OTHERS_RESERVE

"""Admission control: queueing, fair ordering and refusal of requests.

A request waits only while it can still be answered in time: its position in
the queue divided by the measured drain rate, plus the usual answer time, must
fit its deadline. It must also fit the latency target of the service, as a
longer queue gives no more answers, only later ones. Callers of a service are
served round-robin, so that a caller with many requests delays only its own.
Services share the host's request threads by weight.

A request's hold time is the time from acquiring its slot to releasing it. A
caller's backlog is its queued requests.
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
# Lower bound of the latency target, in usual answer times.
MIN_TARGET_ANSWER_TIMES = 2
# Number of requests by which another caller's backlog must be longer for a new
# request to precede it.
MIN_BACKLOG_LEAD = 2
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 10_000
RETRY_AFTER_NO_SLOT_MS = 1_000
DEFAULT_TARGET_MS = 3_600_000
WAIT_RECHECK_INTERVAL_MS = 200
REFUSAL_THREADS = 8
# Fraction of the other services' threads that stays reserved for them when a
# service uses more than its own share.
RESERVED_SHARE_OF_OTHERS = 0.25


@attrs.frozen
class Refusal:
    """Refusal of a request.

    Attributes:
        reason: Reason code.
        sentence: The reason as a sentence, with the deciding figures.
        retry_after_ms: Time until a slot is likely to be free.
    """

    reason: reasons.RefusalReason
    sentence: str
    retry_after_ms: int


@attrs.frozen
class SlotRequest:
    """A request for a slot.

    Attributes:
        caller: Name of the caller.
        deadline_ms: Monotonic time by which the answer must arrive.
        acquire_slot: Acquires a slot and returns its endpoint, or None.
            Called under the queue's lock, so it must not block.
        is_retry: Whether the request was tried before; a retry precedes its
            caller's other requests.
        may_wait: Whether it may wait if no slot is free now.
    """

    caller: str
    deadline_ms: int
    acquire_slot: Callable[[], str | None]
    is_retry: bool = False
    may_wait: bool = True


@attrs.define(eq=False)
class _Waiter:
    """A queued request; `completed` is set after `outcome`."""

    request: SlotRequest
    completed: threading.Event = attrs.field(factory=threading.Event)
    outcome: result.Result[str, Refusal] | None = None


@final
class ServiceQueue:
    """Queue of one service's requests for slots. Thread-safe.

    Args:
        clock: Monotonic clock.
        target_ms: Latency target of the service.
    """

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
        """Sets the latency target of the service."""
        self._target_ms = target_ms

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return self._waiting_count

    @property
    def in_flight(self) -> int:
        """Number of slots held by requests of this service."""
        return self._in_flight

    def acquire(self, request: SlotRequest) -> result.Result[str, Refusal]:
        """Waits for a slot and returns the name of its endpoint.

        Returns the refusal if the request can't be answered in time, or may
        not wait and no slot is free.
        """
        with self._lock:
            if self._waiting_count == 0 or request.is_retry:
                endpoint = request.acquire_slot()
                if endpoint is not None:
                    self._in_flight += 1
                    return result.Ok(endpoint)
            refusal = self._admission_refusal(request)
            if refusal is not None:
                return result.Err(refusal)
            waiter = self._enqueue(request)
            self._shed_longest_backlog()
        return self._wait(waiter)

    def try_acquire(self, acquire_slot: Callable[[], str | None]) -> str | None:
        """Acquires a free slot without waiting and returns its endpoint.

        Returns None if no slot is free or other requests are queued.
        """
        with self._lock:
            if self._waiting_count:
                return None
            endpoint = acquire_slot()
            self._in_flight += endpoint is not None
            return endpoint

    def record_release(self, hold_ms: float) -> None:
        """Records that a slot was released, and its hold time."""
        with self._lock:
            self._in_flight -= 1
            self._mean_hold_ms += HOLD_SMOOTHING * (
                hold_ms - self._mean_hold_ms
            )
            self._answer_quantile.add(hold_ms)

    def grant_free_slots(self) -> None:
        """Grants free slots to queued requests, in fair order."""
        if self._waiting_count == 0:
            return
        with self._lock:
            while self._waiting_count:
                waiter = self._next_waiter()
                if self._shed_if_late(waiter):
                    continue
                endpoint = waiter.request.acquire_slot()
                if endpoint is None:
                    return
                self._remove(waiter)
                self._in_flight += 1
                self._complete(waiter, result.Ok(endpoint))

    @property
    def mean_hold_ms(self) -> float:
        """Smoothed hold time of requests."""
        return self._mean_hold_ms

    def expected_answer_ms(self) -> float:
        """Expected time until one more request, queued now, is answered."""
        with self._lock:
            return self._wait_ms(self._waiting_count + 1) + self._answer_ms

    def retry_after_ms(self) -> int:
        """Expected time until the queued requests have got their slots."""
        with self._lock:
            return self._bounded_retry_after_ms(
                self._wait_ms(self._waiting_count + 1)
            )

    @property
    def _answer_ms(self) -> float:
        """Time from acquiring a slot to the answer, for most requests."""
        return max(self._answer_quantile.estimate_ms, self._mean_hold_ms)

    def _wait(self, waiter: _Waiter) -> result.Result[str, Refusal]:
        while not waiter.completed.is_set():
            remaining_ms = self._remaining_ms(waiter.request) - self._answer_ms
            if remaining_ms <= 0:
                with self._lock:
                    self._shed_if_late(waiter)
                continue
            waiter.completed.wait(
                min(remaining_ms, WAIT_RECHECK_INTERVAL_MS) / 1_000
            )
            # New slots from a configuration change or a loan raise no event.
            self.grant_free_slots()
        assert waiter.outcome is not None
        return waiter.outcome

    def _remaining_ms(self, request: SlotRequest) -> int:
        return request.deadline_ms - self._clock.monotonic_ms()

    def _shed_if_late(self, waiter: _Waiter) -> bool:
        """Refuses a queued request that can no longer be answered in time."""
        remaining_ms = self._remaining_ms(waiter.request)
        if waiter.outcome is not None or remaining_ms > self._answer_ms:
            return False
        self._remove(waiter)
        refusal = Refusal(
            reasons.RefusalReason.DEADLINE_PASSED,
            f"no slot became free in time; {remaining_ms} ms remain and "
            f"answers take {self._answer_ms:.0f} ms",
            self._bounded_retry_after_ms(
                self._wait_ms(self._waiting_count + 1)
            ),
        )
        self._complete(waiter, result.Err(refusal))
        return True

    def _admission_refusal(self, request: SlotRequest) -> Refusal | None:
        """Returns a refusal if the request can't be answered in time."""
        if not request.may_wait:
            return Refusal(
                reasons.RefusalReason.NO_FREE_SLOT,
                "no slot is free now",
                self._bounded_retry_after_ms(
                    self._wait_ms(self._waiting_count + 1)
                ),
            )
        if self._in_flight == 0:
            return Refusal(
                reasons.RefusalReason.NO_FREE_SLOT,
                "this host holds no slot that could become free",
                RETRY_AFTER_NO_SLOT_MS,
            )
        remaining_ms = self._remaining_ms(request)
        position = 1 if request.is_retry else self._position(request.caller)
        overrun_ms = self._overrun_ms(request, position)
        if overrun_ms <= 0:
            return None
        sentence = (
            f"{remaining_ms} ms remain; a slot is expected in "
            f"{self._wait_ms(position):.0f} ms and an answer within "
            f"{self._answer_ms:.0f} ms more"
        )
        retry_after_ms = self._bounded_retry_after_ms(overrun_ms)
        return Refusal(
            self._refusal_reason(request, remaining_ms),
            sentence,
            retry_after_ms,
        )

    def _overrun_ms(self, request: SlotRequest, position: int) -> float:
        """Time by which the answer would miss the deadline or the target."""
        expected_answer_ms = self._wait_ms(position) + self._answer_ms
        deadline_overrun_ms = expected_answer_ms - self._remaining_ms(request)
        # With slow answers the target is raised, so that a few can still wait.
        target_ms = max(
            self._target_ms, MIN_TARGET_ANSWER_TIMES * self._answer_ms
        )
        return max(deadline_overrun_ms, expected_answer_ms - target_ms)

    def _refusal_reason(
        self, request: SlotRequest, remaining_ms: int
    ) -> reasons.RefusalReason:
        if remaining_ms <= 0:
            return reasons.RefusalReason.DEADLINE_PASSED
        if remaining_ms < self._answer_ms:
            return reasons.RefusalReason.DEADLINE_TOO_SHORT
        own_count = len(self._waiting.get(request.caller, ()))
        if own_count * max(len(self._waiting), 1) > self._waiting_count > 0:
            return reasons.RefusalReason.CALLER_OVER_SHARE
        return reasons.RefusalReason.NO_FREE_SLOT

    def _position(self, caller: str) -> int:
        """Queue position that one more request of a caller would get.

        A caller precedes a caller with a clearly longer backlog. Among equal
        backlogs a new request goes last; otherwise each new request would
        displace one that has been waiting.
        """
        own_count = len(self._waiting.get(caller, ())) + 1
        longest = max(map(len, self._waiting.values()), default=0)
        if longest < own_count + MIN_BACKLOG_LEAD:
            return self._waiting_count + 1
        preceding_count = sum(
            min(len(queue), own_count)
            for other_caller, queue in self._waiting.items()
            if other_caller != caller
        )
        return own_count + preceding_count

    def _wait_ms(self, position: int) -> float:
        """Expected time until the given queue position gets a slot."""
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
        """The next waiter; its caller stays first until it is served."""
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
        """Refuses the last request of the longest backlog if it is too late.

        A new request of a caller with a short backlog precedes those of a
        caller with a long one, whose last request may then miss its deadline.
        """
        caller, queue = max(
            self._waiting.items(), key=lambda item: len(item[1])
        )
        last_waiter = queue[-1]
        preceding_count = sum(
            min(len(other_queue), len(queue))
            for other_caller, other_queue in self._waiting.items()
            if other_caller != caller
        )
        overrun_ms = self._overrun_ms(
            last_waiter.request, len(queue) + preceding_count
        )
        if overrun_ms <= 0:
            return
        self._remove(last_waiter)
        refusal = Refusal(
            reasons.RefusalReason.CALLER_OVER_SHARE,
            f"{len(queue) + 1} requests of this caller wait behind those of "
            f"other callers; the answer would be {overrun_ms:.0f} ms late",
            self._bounded_retry_after_ms(overrun_ms),
        )
        self._complete(last_waiter, result.Err(refusal))

    @staticmethod
    def _complete(
        waiter: _Waiter, outcome: result.Result[str, Refusal]
    ) -> None:
        waiter.outcome = outcome
        waiter.completed.set()

    @staticmethod
    def _bounded_retry_after_ms(wait_ms: float) -> int:
        return int(min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS))


@final
class ThreadShares:
    """Divides the host's request threads among services by weight.

    A service may exceed its share while other services leave threads idle. A
    few threads are reserved for refusing requests at once. Thread-safe.

    Args:
        threads: Number of request threads of the host.
    """

    def __init__(self, threads: int) -> None:
        self._usable_count = max(threads - REFUSAL_THREADS, 1)
        self._lock = threading.Lock()
        self._used_by_service: collections.Counter[str] = collections.Counter()
        self._used_count = 0

    def try_acquire(self, service: str, weight_share: float) -> bool:
        """Acquires a thread for a service.

        Args:
            service: Name of the service.
            weight_share: Its share of the sum of all weights, 0 to 1.

        Returns:
            Whether a thread was acquired.
        """
        with self._lock:
            own_share = self._usable_count * weight_share
            is_within_share = self._used_by_service[service] < own_share
            borrowable_count = self._usable_count - self._reserved_for_others(
                own_share
            )
            if self._used_count >= self._usable_count:
                return False
            if not is_within_share and self._used_count >= borrowable_count:
                return False
            self._used_by_service[service] += 1
            self._used_count += 1
            return True

    def release(self, service: str) -> None:
        """Releases a thread of a service."""
        with self._lock:
            self._used_by_service[service] -= 1
            self._used_count -= 1

    def _reserved_for_others(self, own_share: float) -> float:
        """Threads that a service above its share must leave to the others."""
        return (self._usable_count - own_share) * RESERVED_SHARE_OF_OTHERS

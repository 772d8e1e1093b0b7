"""Appends records to one stream, batching those of concurrent callers."""

from __future__ import annotations

import collections
from collections.abc import Sequence
import random
import threading
import types
from typing import Any
from typing import final

import logbook
import result

from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import log as log_port
from comfreylatch._ports import streams
from comfreylatch._process import append_batch
from comfreylatch._process import backoff
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import reasons
from comfreylatch._process import stream_state
from comfreylatch._version import records

MAX_BATCH_RECORDS = 256
MAX_BATCH_BYTES = 512 * 1_024
MAX_QUEUED_RECORDS = 4_096
MIN_RETRY_AFTER_MS = 500
# A single lost answer may be chance; two in a row count as an outage.
LOST_ANSWERS_BEFORE_OUTAGE = 2
DEFAULT_MIN_APPEND_INTERVAL_MS = 50
# After this time without an answer from the log, a read probes it before the
# next append is sent.
PROBE_AFTER_IDLE_MS = 1_000

_logger = logbook.Logger(__name__)


@final
class StreamAppender:
    """Implements `RecordAppender` with one thread for the stream.

    At most one append is in flight. While its outcome is unknown, only the
    same payloads are sent again, so that a writer's sequences reach the
    stream in ascending order. While the log is down, new records are refused
    at once. After an idle period a read probes the log first, because a
    failed read, unlike a failed append, leaves no outcome unknown.

    `min_append_interval_ms` is the minimum time between two appends; it
    limits the stream to its share of the log's append rate.
    """

    def __init__(
        self,
        log: log_port.LogPort,
        stream: str,
        writer: str,
        metrics: metrics_module.Metrics,
        clock: clock_port.Clock,
        *,
        min_append_interval_ms: int = DEFAULT_MIN_APPEND_INTERVAL_MS,
        retry: backoff.Backoff | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._log = log
        self._stream = stream
        self._writer = writer
        self._metrics = metrics
        self._clock = clock
        self._min_append_interval_ms = min_append_interval_ms
        self._retry = retry or backoff.Backoff()
        self._rng = rng or random.Random()
        self._condition = threading.Condition()
        self._queue: collections.deque[append_batch.PendingAppend] = (
            collections.deque()
        )
        self._queued_records = 0
        self._next_sequence = 1
        self._batch: append_batch.AppendBatch | None = None
        self._failures = 0
        self._down = False
        self._next_try_ms = 0
        self._last_contact_ms = -PROBE_AFTER_IDLE_MS
        self._closing = False
        self._thread = threading.Thread(
            target=self._run, name=f"append-{stream}", daemon=True
        )

    def __enter__(self) -> StreamAppender:
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops the thread; an unanswered append ends as unknown."""
        with self._condition:
            self._closing = True
            self._refuse_queue("this host is stopping")
            self._condition.notify_all()
        self._thread.join()
        with self._condition:
            if self._batch is not None and not self._batch.settled:
                self._batch.settle_refused(
                    streams.AppendUnknown("this host stopped")
                )

    @property
    def writer(self) -> str:
        """Writer id of the records."""
        return self._writer

    @property
    def down(self) -> bool:
        """Whether the log counts as down, so that new records are refused."""
        return self._down

    @property
    def busy(self) -> bool:
        """Whether records are queued or in flight."""
        with self._condition:
            self._drop_settled()
            return self._batch is not None or bool(self._queue)

    def append(
        self, bodies: Sequence[Any], timeout_ms: int
    ) -> append_batch.AppendOutcome:
        """See `RecordAppender.append`.

        Records not yet sent at the timeout are removed from the queue and
        reported as `NotAccepted`.
        """
        pending = self.submit(bodies)
        if not pending.done.wait(timeout_ms / 1_000):
            self.abandon(pending)
        assert pending.outcome is not None
        return pending.outcome

    def submit(self, bodies: Sequence[Any]) -> append_batch.PendingAppend:
        """Queues records, or refuses them at once, without blocking."""
        with self._condition:
            pending = self._encode(bodies)
            refusal = self._refusal(len(bodies))
            if refusal is not None:
                pending.settle(result.Err(refusal))
                return pending
            self._queue.append(pending)
            self._queued_records += len(pending.payloads)
            self._condition.notify_all()
            return pending

    def abandon(self, pending: append_batch.PendingAppend) -> None:
        """Settles an append at its timeout, and dequeues it if not yet sent."""
        with self._condition:
            if pending.outcome is not None:
                return
            if pending in self._queue:
                self._queue.remove(pending)
                self._queued_records -= len(pending.payloads)
                refusal = self._not_accepted(
                    "the log did not take the records in time"
                )
                pending.settle(result.Err(refusal))
                return
            pending.settle(
                result.Err(streams.AppendUnknown("no answer from the log yet"))
            )

    def resolve(self, seen_sequence: int, offset: int) -> None:
        """Settles the batch in flight if a record of it was read back.

        Args:
            seen_sequence: Sequence of the record read back.
            offset: Offset of the first copy of that record.
        """
        with self._condition:
            batch = self._batch
            if batch is None or batch.settled:
                return
            if batch.first_sequence <= seen_sequence <= batch.last_sequence:
                first = offset - (seen_sequence - batch.first_sequence)
                batch.settle_appended(first)
                self._mark_reachable()
                self._condition.notify_all()

    def observe(self, applied: stream_state.Applied) -> None:
        """Resolves an unknown append from the entries a follower applied."""
        position = applied.last_records.get(self._writer)
        if position is not None:
            self.resolve(position.sequence, position.offset)

    def step(self) -> int:
        """Sends at most one batch, after a probe of the log if it is needed.

        Returns:
            Milliseconds to wait before the next step; 0 for none.
        """
        with self._condition:
            wait_ms = self._next_try_ms - self._clock.monotonic_ms()
            self._drop_settled()
            if wait_ms > 0 and self._has_work():
                return wait_ms
            probe_first = self._batch is None and self._needs_probe()
        if probe_first:
            self._probe()
        with self._condition:
            batch = self._batch or self._start_batch()
        if batch is not None:
            self._send(batch)
        with self._condition:
            self._drop_settled()
            if not self._has_work():
                return 0
            return max(0, self._next_try_ms - self._clock.monotonic_ms())

    def _encode(self, bodies: Sequence[Any]) -> append_batch.PendingAppend:
        first = self._next_sequence
        self._next_sequence += len(bodies)
        payloads = tuple(
            records.encode(self._writer, first + index, body)
            for index, body in enumerate(bodies)
        )
        return append_batch.PendingAppend(payloads, first)

    def _refusal(self, count: int) -> streams.NotAccepted | None:
        if self._closing:
            return self._not_accepted("this host is stopping")
        if self._down:
            return self._not_accepted("the log is down")
        if self._queued_records + count > MAX_QUEUED_RECORDS:
            return self._not_accepted("too many records are queued for the log")
        return None

    def _not_accepted(self, detail: str) -> streams.NotAccepted:
        remaining_ms = self._next_try_ms - self._clock.monotonic_ms()
        retry_after_ms = max(MIN_RETRY_AFTER_MS, remaining_ms)
        return streams.NotAccepted(detail, retry_after_ms)

    def _has_work(self) -> bool:
        return self._batch is not None or bool(self._queue) or self._down

    def _needs_probe(self) -> bool:
        """Whether a read has to probe the log before the next new batch."""
        idle_ms = self._clock.monotonic_ms() - self._last_contact_ms
        return self._down or (
            bool(self._queue) and idle_ms >= PROBE_AFTER_IDLE_MS
        )

    def _mark_reachable(self) -> None:
        self._last_contact_ms = self._clock.monotonic_ms()
        self._failures = 0
        self._down = False

    def _drop_settled(self) -> None:
        if self._batch is not None and self._batch.settled:
            self._batch = None

    def _start_batch(self) -> append_batch.AppendBatch | None:
        """Moves appends from the queue into a new batch."""
        appends: list[append_batch.PendingAppend] = []
        payloads: list[bytes] = []
        size_bytes = 0
        while self._queue:
            pending = self._queue[0]
            pending_bytes = sum(map(len, pending.payloads))
            too_many = len(payloads) + len(pending.payloads) > MAX_BATCH_RECORDS
            too_long = size_bytes + pending_bytes > MAX_BATCH_BYTES
            if appends and (too_many or too_long):
                break
            self._queue.popleft()
            self._queued_records -= len(pending.payloads)
            appends.append(pending)
            payloads.extend(pending.payloads)
            size_bytes += pending_bytes
        if not appends:
            return None
        self._batch = append_batch.AppendBatch(tuple(appends), tuple(payloads))
        return self._batch

    def _send(self, batch: append_batch.AppendBatch) -> None:
        started_ms = self._clock.monotonic_ms()
        self._metrics.count(metrics_module.Counter.LOG_APPENDS, self._stream)
        answer = self._log.append(self._stream, batch.payloads)
        elapsed_ms = self._clock.monotonic_ms() - started_ms
        self._metrics.observe(
            metrics_module.Latency.LOG_APPEND, elapsed_ms * 1_000, self._stream
        )
        with self._condition:
            self._next_try_ms = started_ms + self._min_append_interval_ms
            match answer:
                case result.Ok(first_offset):
                    self._record_success(batch, first_offset)
                case result.Err(log_port.LogUnavailable(detail)):
                    self._record_failure(reasons.RetryReason.LOG_DOWN, detail)
                    self._refuse_unless_sent(batch, detail)
                case result.Err(log_port.LogAnswerLost(detail)):
                    batch.maybe_appended = True
                    self._record_failure(
                        reasons.RetryReason.LOG_ANSWER_LOST, detail
                    )

    def _record_success(
        self, batch: append_batch.AppendBatch, first_offset: int
    ) -> None:
        self._mark_reachable()
        self._metrics.count(
            metrics_module.Counter.LOG_RECORDS,
            self._stream,
            len(batch.payloads),
        )
        if not batch.settled:
            batch.settle_appended(first_offset)

    def _refuse_unless_sent(
        self, batch: append_batch.AppendBatch, detail: str
    ) -> None:
        """Refuses a batch that is certainly not on the stream."""
        if not batch.maybe_appended and not batch.settled:
            batch.settle_refused(
                self._not_accepted(
                    f"the log did not take the records: {detail}"
                )
            )

    def _record_failure(self, reason: reasons.RetryReason, detail: str) -> None:
        self._failures += 1
        self._metrics.count(metrics_module.Counter.RETRIES, reason)
        delay_ms = self._retry.delay_ms(self._failures, self._rng)
        self._next_try_ms = max(
            self._next_try_ms, self._clock.monotonic_ms() + delay_ms
        )
        logs.warning(
            _logger,
            "append-failed",
            stream=self._stream,
            reason=reason,
            failures=self._failures,
            detail=detail,
        )
        answer_lost = reason is reasons.RetryReason.LOG_ANSWER_LOST
        if not answer_lost or self._failures >= LOST_ANSWERS_BEFORE_OUTAGE:
            self._down = True
            self._refuse_queue("the log is down")

    def _refuse_queue(self, detail: str) -> None:
        while self._queue:
            pending = self._queue.popleft()
            pending.settle(result.Err(self._not_accepted(detail)))
        self._queued_records = 0

    def _probe(self) -> None:
        """Checks by a read, which has no side effect, whether the log is up."""
        answer = self._log.read(self._stream, 0, 1, 0)
        with self._condition:
            match answer:
                case result.Err(log_port.LogUnavailable(detail)):
                    self._record_failure(reasons.RetryReason.LOG_DOWN, detail)
                case _:
                    self._mark_reachable()

    def _run(self) -> None:
        while not self._closing:
            try:
                delay_ms = self.step()
            except Exception:
                logs.exception(
                    _logger, "append-step-failed", stream=self._stream
                )
                delay_ms = self._retry.max_ms
                self._mark_maybe_appended()
            with self._condition:
                self._wait(delay_ms)

    def _mark_maybe_appended(self) -> None:
        """Treats the batch as possibly appended after an unexpected error."""
        with self._condition:
            if self._batch is not None:
                self._batch.maybe_appended = True

    def _wait(self, delay_ms: int) -> None:
        if delay_ms > 0:
            self._condition.wait_for(self._should_wake, delay_ms / 1_000)
        else:
            self._condition.wait_for(lambda: self._closing or self._has_work())

    def _should_wake(self) -> bool:
        settled = self._batch is not None and self._batch.settled
        return self._closing or settled

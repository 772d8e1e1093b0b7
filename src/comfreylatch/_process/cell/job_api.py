"""Submits, cancels and looks up jobs for callers on any host."""

from __future__ import annotations

from collections.abc import Sequence
import queue
import threading
import time
import types
from typing import final
from typing import Self

import attrs
import logbook
import result

from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import store as store_port
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.cell import append_timeout
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import (
    partition_reader as partition_reader_module,
)
from comfreylatch._process.cell import reasons
from comfreylatch._process.cell import records
from comfreylatch._process.cell import specs

APPEND_TIMEOUT = append_timeout.GrowingTimeout(first_ms=700, growth=2.0)
RETRY_PAUSE_MS = 50
# Most records in one append; far below the store's limit per call.
MAX_BATCH_RECORDS = 64
# Time after which a refused caller should retry. Outages of the store last
# seconds, and by then a host that can't reach it has left the rotation of those
# that get requests.
RETRY_AFTER_MS = 1_000
# Greatest age of a replica that callers are answered from, as they may be shown
# a state that is two seconds old.
MAX_VIEW_AGE_MS = 1_900
# How long a caller waits for a current view of a job that has not ended. The
# store answers in 4 ms; where it is slower, the view at hand is used.
REFRESH_TIMEOUT_MS = 60
# How long a cancellation of a job that this host has not read of waits for
# records that are stored already. It covers an answer of the store at its
# slowest, 240 ms, after one that is under way.
CATCH_UP_TIMEOUT_MS = 600

_logger = logbook.Logger(__name__)


@attrs.frozen
class Kept:
    """The record is stored."""


@attrs.frozen
class NotKept:
    """The record is not stored and won't be."""

    detail: str


@attrs.frozen
class PerhapsKept:
    """The record may be stored already, or may still be stored later."""

    detail: str
    reason: reasons.Refusal = reasons.Refusal.UNDECIDED


@attrs.frozen
class Withdrawn:
    """The record was not sent and won't be, because the host is stopping."""


AppendOutcome = Kept | NotKept | PerhapsKept | Withdrawn


_STOPPED_WAITING = PerhapsKept(
    "the host is stopping", reasons.Refusal.STOPPING_UNDECIDED
)


@attrs.define(eq=False)
class _PendingRecord:
    """A queued record whose caller waits for the outcome.

    Attributes:
        is_sent: Whether an append with it was sent, or is about to be.
    """

    record: store_port.NewRecord
    deadline_ms: int
    is_sent: bool = False
    done: threading.Event = attrs.field(factory=threading.Event)
    outcome: AppendOutcome = PerhapsKept("no answer in time")


@final
class BatchAppender:
    """Appends callers' records in batches. A context manager.

    A record that could not be sent is refused at once. One whose answer was
    lost is sent again until its caller's deadline; appending the same key and
    value again is idempotent.
    """

    def __init__(
        self,
        store: store_port.RecordStore,
        cell: int,
        clock: clock_port.Clock,
    ) -> None:
        self._store = store
        self._cell = cell
        self._clock = clock
        self._queue: queue.SimpleQueue[_PendingRecord | None] = (
            queue.SimpleQueue()
        )
        # Guards the outcomes, and what follows.
        self._lock = threading.Lock()
        self._waiting: set[_PendingRecord] = set()
        self._is_stopping = False
        self._thread = threading.Thread(
            target=self._run, name=f"appender-{cell}", daemon=True
        )

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._queue.put(None)

    def append(
        self, record: store_port.NewRecord, deadline_ms: int
    ) -> AppendOutcome:
        """Appends a record and waits until the deadline for the outcome."""
        pending = _PendingRecord(record, deadline_ms)
        with self._lock:
            if self._is_stopping:
                return Withdrawn()
            self._waiting.add(pending)
        self._queue.put(pending)
        remaining_ms = max(deadline_ms - self._clock.monotonic_ms(), 0)
        pending.done.wait(remaining_ms / 1_000)
        with self._lock:
            self._waiting.discard(pending)
            if not pending.is_sent:
                # From now on it is left out of every append.
                _set_outcome([pending], NotKept("not sent in time"))
            return pending.outcome

    def stop(self, timeout_ms: int) -> None:
        """Answers all callers who wait, and accepts no record from now on.

        Records that were not sent yet are withdrawn. Those in an append get
        `timeout_ms` for its outcome; after that they may still be stored.
        """
        end_ms = self._clock.monotonic_ms() + timeout_ms
        with self._lock:
            self._is_stopping = True
            waiting = tuple(self._waiting)
            unsent = [pending for pending in waiting if not pending.is_sent]
            _set_outcome(unsent, Withdrawn())
        for pending in waiting:
            remaining_ms = max(end_ms - self._clock.monotonic_ms(), 0)
            pending.done.wait(remaining_ms / 1_000)
        with self._lock:
            _set_outcome(waiting, _STOPPED_WAITING)

    def _run(self) -> None:
        while True:
            first = self._queue.get()
            if first is None:
                return
            batch = [first]
            while len(batch) < MAX_BATCH_RECORDS:
                try:
                    pending = self._queue.get_nowait()
                except queue.Empty:
                    break
                if pending is None:
                    return
                batch.append(pending)
            unsent = self._mark_sent(batch)
            if unsent:
                self._append_batch(unsent)

    def _mark_sent(self, batch: list[_PendingRecord]) -> list[_PendingRecord]:
        """Marks records as sent; leaves out those that were withdrawn."""
        with self._lock:
            unsent = [pending for pending in batch if not pending.done.is_set()]
            for pending in unsent:
                pending.is_sent = True
            return unsent

    def _append_batch(self, batch: list[_PendingRecord]) -> None:
        may_be_stored = False
        tries = 0
        while True:
            tries += 1
            outcome = self._append_once(batch, APPEND_TIMEOUT.of_try(tries))
            match outcome:
                case Kept():
                    break
                case PerhapsKept():
                    may_be_stored = True
                case NotKept() if not may_be_stored:
                    break
            now_ms = self._clock.monotonic_ms()
            expired = [
                pending for pending in batch if pending.deadline_ms <= now_ms
            ]
            batch = [
                pending for pending in batch if pending.deadline_ms > now_ms
            ]
            self._complete(expired, PerhapsKept("no answer in time"))
            if not batch:
                return
            time.sleep(RETRY_PAUSE_MS / 1_000)
        self._complete(batch, outcome)

    def _complete(
        self, batch: list[_PendingRecord], outcome: AppendOutcome
    ) -> None:
        with self._lock:
            _set_outcome(batch, outcome)

    def _append_once(
        self, batch: Sequence[_PendingRecord], timeout_ms: int
    ) -> AppendOutcome:
        match self._store.append(
            records.JOBS_TOPIC,
            self._cell,
            tuple(pending.record for pending in batch),
            timeout_ms=timeout_ms,
        ):
            case result.Ok(_):
                return Kept()
            case result.Err(store_port.StoreAnswerLost(detail)):
                return PerhapsKept(detail)
            case result.Err(error):
                return NotKept(str(error))


def _set_outcome(
    batch: Sequence[_PendingRecord], outcome: AppendOutcome
) -> None:
    """Sets the outcome of those records that have none yet."""
    for pending in batch:
        if not pending.done.is_set():
            pending.outcome = outcome
            pending.done.set()


@attrs.frozen
class Accepted:
    """The request is stored, or was carried out before."""


@attrs.frozen
class Refused:
    """The request is not stored and has no effect; the caller may retry."""

    reason: reasons.Refusal
    retry_after_ms: int


@attrs.frozen
class Undecided:
    """The request may be stored; the caller can safely repeat it."""

    detail: str
    reason: reasons.Refusal = reasons.Refusal.UNDECIDED


SubmitOutcome = Accepted | Refused | Undecided


@attrs.frozen
class UnknownJob:
    """No job with this id has been accepted."""


@attrs.frozen
class StaleView:
    """This host's replica is too old to answer from."""

    view_age_ms: int


@final
class JobApi:
    """Callers' interface to the jobs of a cell, on any host."""

    def __init__(
        self,
        replica: job_replica.JobReplica,
        reader: partition_reader_module.PartitionReader,
        appender: BatchAppender,
        metrics: metrics_module.Metrics,
        clock: clock_port.Clock,
    ) -> None:
        self._replica = replica
        self._reader = reader
        self._appender = appender
        self._metrics = metrics
        self._shown_states: dict[str, records.JobState] = {}
        self._clock = clock

    @property
    def is_store_reachable(self) -> bool:
        """Whether this host's last read from the store was answered."""
        return self._reader.reachable_ms > 0

    def is_known(self, job_id: str) -> bool:
        """Whether this host has read that a job was accepted."""
        return self._is_known(job_id)

    def submit(self, spec: specs.JobSpec, wait_ms: int) -> SubmitOutcome:
        """Accepts a job; submitting the same id again is idempotent."""
        if self._is_known(spec.job_id):
            logs.event(_logger, "job-repeated", job=spec.job_id)
            return Accepted()
        record = store_port.NewRecord(
            records.JOB_PREFIX + spec.job_id, records.encode(spec)
        )
        started_ms = self._clock.monotonic_ms()
        outcome = self._appender.append(record, started_ms + wait_ms)
        took_ms = self._clock.monotonic_ms() - started_ms
        logs.event(
            _logger,
            "job-submitted",
            job=spec.job_id,
            queue=spec.queue.name,
            steps=len(spec.steps),
            tasks=sum(step.task_count for step in spec.steps),
            outcome=type(outcome).__name__,
            took_ms=took_ms,
            view_age_ms=self._reader.age_ms,
        )
        self._metrics.observe(
            metrics_module.Latency.ACCEPTANCE,
            took_ms * 1_000,
            type(outcome).__name__,
        )
        match outcome:
            case Kept():
                return Accepted()
            case NotKept(_):
                return Refused(
                    reasons.Refusal.STORE_UNAVAILABLE, RETRY_AFTER_MS
                )
            case Withdrawn():
                return Refused(reasons.Refusal.STOPPING, RETRY_AFTER_MS)
            case PerhapsKept(detail, reason):
                if self._is_known(spec.job_id):
                    return Accepted()
                return Undecided(detail, reason)

    def _is_known(self, job_id: str) -> bool:
        entry = self._replica.find(job_id)
        return entry is not None and (
            entry.spec is not None or entry.state.is_final
        )

    def state(self, job_id: str) -> records.JobState | UnknownJob | StaleView:
        """Returns the state of a job that callers are shown."""
        entry = self._replica.find(job_id)
        if entry is None or not entry.shown_state.is_final:
            self._reader.refresh(REFRESH_TIMEOUT_MS)
        if self._is_known(job_id):
            entry = self._replica.find(job_id)
            if entry is not None:
                self._log_first_showing(job_id, entry.shown_state)
                return entry.shown_state
        if self._reader.age_ms > MAX_VIEW_AGE_MS:
            return StaleView(self._reader.age_ms)
        return UnknownJob()

    def _log_first_showing(self, job_id: str, state: records.JobState) -> None:
        """Logs when this host shows a state of a job for the first time."""
        if self._shown_states.get(job_id) is state:
            return
        self._shown_states[job_id] = state
        logs.event(
            _logger,
            "job-shown",
            job=job_id,
            state=state,
            view_age_ms=self._reader.age_ms,
        )

    def cancel(
        self, job_id: str, wait_ms: int
    ) -> Accepted | Refused | Undecided | UnknownJob:
        """Cancels a job; also returns `Accepted` if it has ended already."""
        entry = self._replica.find(job_id)
        if entry is not None and (entry.is_cancelled or entry.state.is_final):
            return Accepted()
        denied = self._deny_cancellation(job_id)
        if denied is not None:
            return denied
        record = store_port.NewRecord(
            records.CANCEL_PREFIX + job_id,
            records.encode(records.CancelRecord(self._clock.wall_ms())),
        )
        deadline_ms = self._clock.monotonic_ms() + wait_ms
        outcome = self._appender.append(record, deadline_ms)
        logs.event(
            _logger,
            "job-cancelled",
            job=job_id,
            outcome=type(outcome).__name__,
        )
        match outcome:
            case Kept():
                return Accepted()
            case NotKept(_):
                return Refused(
                    reasons.Refusal.STORE_UNAVAILABLE, RETRY_AFTER_MS
                )
            case Withdrawn():
                return Refused(reasons.Refusal.STOPPING, RETRY_AFTER_MS)
            case PerhapsKept(detail, reason):
                return Undecided(detail, reason)

    def _deny_cancellation(self, job_id: str) -> Refused | UnknownJob | None:
        """Returns why a job can't be cancelled; None if it may exist.

        A caller takes "unknown" as final. So it is said only from a view that
        includes all that was stored before the call; in doubt the cancellation
        is stored.
        """
        if self._is_known(job_id):
            return None
        state = self._reader.catch_up(CATCH_UP_TIMEOUT_MS)
        if self._is_known(job_id):
            return None
        match state:
            case partition_reader_module.CatchUp.CURRENT:
                return UnknownJob()
            case partition_reader_module.CatchUp.BEHIND:
                logs.event(_logger, "cancelled-unread", job=job_id)
                return None
            case partition_reader_module.CatchUp.NO_ANSWER:
                return Refused(reasons.Refusal.VIEW_TOO_OLD, RETRY_AFTER_MS)

    def count_queued(self, queue: specs.QueueSpec) -> int | StaleView:
        """Counts accepted jobs of a queue of which no task has started."""
        if self._reader.age_ms > MAX_VIEW_AGE_MS:
            return StaleView(self._reader.age_ms)
        return self._replica.count_queued(queue.prefix, queue.host)

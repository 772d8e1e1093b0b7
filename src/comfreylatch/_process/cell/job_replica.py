"""Replica of a cell's jobs that every host builds from the store."""

from __future__ import annotations

from collections.abc import Callable
import threading
from typing import final

import attrs
import logbook

from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import store as store_port
from comfreylatch._process import logs
from comfreylatch._process.cell import records
from comfreylatch._process.cell import specs

_logger = logbook.Logger(__name__)


@attrs.define(eq=False)
class JobEntry:
    """State of a job in the replica.

    Attributes:
        spec: The job as submitted; None for a job that has ended, and for one
            of which only a later record was read.
        state: State that the owner recorded.
        is_cancelled: Whether a caller has cancelled it.
        ended_ms: Monotonic time at which this host read that it has ended, or
            that it was cancelled before anything else of it.
    """

    spec: specs.JobSpec | None = None
    state: records.JobState = records.JobState.QUEUED
    is_cancelled: bool = False
    ended_ms: int = 0

    @property
    def is_only_cancelled(self) -> bool:
        """Whether nothing but a cancellation was read."""
        return (
            self.is_cancelled and self.spec is None and not self.state.is_final
        )

    @property
    def shown_state(self) -> records.JobState:
        """The state that callers are shown."""
        if self.is_cancelled and not self.state.is_final:
            return records.JobState.CANCELLED
        return self.state


@attrs.frozen
class ObservedHeartbeat:
    """The owner's newest heartbeat and when this host read it.

    Attributes:
        heartbeat: The heartbeat.
        seen_ms: Monotonic time at which this host read it.
        owner_since_ms: Monotonic time at which this host read the owner's first
            heartbeat with this token.
    """

    heartbeat: records.HeartbeatRecord
    seen_ms: int
    owner_since_ms: int = 0


class JobChange:
    """Base class of the changes that a listener receives."""


@attrs.frozen
class JobAdded(JobChange):
    """A job was accepted."""

    spec: specs.JobSpec


@attrs.frozen
class JobCancelled(JobChange):
    """A caller has cancelled a job."""

    job_id: str


Listener = Callable[[JobChange], None]


@final
class JobReplica:
    """Replica built from the topic of jobs. Thread-safe.

    Of ended jobs, only ids and states are kept.
    """

    def __init__(self, clock: clock_port.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._jobs: dict[str, JobEntry] = {}
        self._last_heartbeat: ObservedHeartbeat | None = None
        self._previous_heartbeat: ObservedHeartbeat | None = None
        self._listener: Listener | None = None

    def listen(self, listener: Listener | None) -> list[JobEntry]:
        """Replaces the listener and returns the unfinished jobs so far.

        Both under one lock, so that no change in between is missed.
        """
        with self._lock:
            self._listener = listener
            return [
                attrs.evolve(entry)
                for entry in self._jobs.values()
                if entry.spec is not None and not entry.state.is_final
            ]

    def find(self, job_id: str) -> JobEntry | None:
        """Returns a copy of a job's entry; None if there is none."""
        with self._lock:
            entry = self._jobs.get(job_id)
            return None if entry is None else attrs.evolve(entry)

    def ended_before(self, before_ms: int) -> list[str]:
        """Returns ids of jobs whose end was read before a monotonic time.

        Also of those of which only a cancellation was read.
        """
        with self._lock:
            return [
                job_id
                for job_id, entry in self._jobs.items()
                if (entry.state.is_final or entry.is_only_cancelled)
                and entry.ended_ms < before_ms
            ]

    def count_queued(self, queue_prefix: str, queue_host: str) -> int:
        """Counts accepted jobs of a queue of which no task has started."""
        with self._lock:
            return sum(
                1
                for entry in self._jobs.values()
                if entry.spec is not None
                and entry.shown_state is records.JobState.QUEUED
                and entry.spec.queue.prefix == queue_prefix
                and entry.spec.queue.host == queue_host
            )

    @property
    def last_heartbeat(self) -> ObservedHeartbeat | None:
        """The owner's newest heartbeat; None before the first."""
        return self._last_heartbeat

    @property
    def previous_heartbeat(self) -> ObservedHeartbeat | None:
        """The last heartbeat of the owner before that of `last_heartbeat`.

        None if there was none or later ones may not have been read.
        """
        return self._previous_heartbeat

    def apply(
        self, batch: tuple[store_port.StoredRecord, ...], is_complete: bool
    ) -> None:
        """Applies records in the order of their offsets."""
        # A complete read removes no entries.
        for record in batch:
            try:
                self._apply_one(record, is_complete)
            except records.BadRecordError as error:
                logs.warning(
                    _logger,
                    "bad-record",
                    key=record.key,
                    offset=record.offset,
                    detail=str(error),
                )

    def _apply_one(
        self, record: store_port.StoredRecord, is_complete: bool
    ) -> None:
        kind, _, job_id = record.key.partition("/")
        if record.value is None:
            # The spec of a job is dropped when the job ends, its state only
            # after the retention time.
            if record.key.startswith(records.STATE_PREFIX):
                with self._lock:
                    self._jobs.pop(job_id, None)
            return
        if record.key == records.HEARTBEAT_KEY:
            heartbeat = records.decode(records.HeartbeatRecord, record.value)
            self._observe(heartbeat, is_complete)
        elif kind + "/" == records.JOB_PREFIX:
            self._add(records.decode(specs.JobSpec, record.value))
        elif kind + "/" == records.CANCEL_PREFIX:
            self._cancel(job_id)
        elif kind + "/" == records.STATE_PREFIX:
            state_record = records.decode(records.StateRecord, record.value)
            self._set_state(job_id, state_record.state)

    def _observe(
        self, heartbeat: records.HeartbeatRecord, is_complete: bool
    ) -> None:
        """Notes a heartbeat of the owner.

        Args:
            heartbeat: The heartbeat.
            is_complete: Whether it is from a read of the newest records, which
                leaves out those that were replaced meanwhile.
        """
        now_ms = self._clock.monotonic_ms()
        previous = self._last_heartbeat
        if previous is None or previous.heartbeat.token != heartbeat.token:
            self._previous_heartbeat = None if is_complete else previous
            owner_since_ms = now_ms
        else:
            owner_since_ms = previous.owner_since_ms
        self._last_heartbeat = ObservedHeartbeat(
            heartbeat, now_ms, owner_since_ms
        )

    def _add(self, spec: specs.JobSpec) -> None:
        with self._lock:
            entry = self._jobs.setdefault(spec.job_id, JobEntry())
            if entry.spec is not None or entry.state.is_final:
                return
            entry.spec = spec
            listener = self._listener
            is_cancelled = entry.is_cancelled
        if listener is not None:
            listener(JobAdded(spec))
            if is_cancelled:
                listener(JobCancelled(spec.job_id))

    def _cancel(self, job_id: str) -> None:
        with self._lock:
            entry = self._jobs.setdefault(job_id, JobEntry())
            if entry.is_cancelled or entry.state.is_final:
                return
            entry.is_cancelled = True
            if entry.is_only_cancelled:
                entry.ended_ms = self._clock.monotonic_ms()
            listener = self._listener if entry.spec is not None else None
        if listener is not None:
            listener(JobCancelled(job_id))

    def _set_state(self, job_id: str, state: records.JobState) -> None:
        with self._lock:
            entry = self._jobs.setdefault(job_id, JobEntry())
            if entry.state.is_final:
                return
            entry.state = state
            if state.is_final:
                entry.spec = None
                entry.ended_ms = self._clock.monotonic_ms()

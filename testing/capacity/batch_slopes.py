"""Slopes of batch work: a zone's fold and the owner's decisions."""

from __future__ import annotations

from collections.abc import Iterator
import itertools
from typing import Any

import attrs

from comfreylatch._ports import log as log_port
from comfreylatch._ports import workers
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import stream_state
from comfreylatch._process.batch import capacity
from comfreylatch._process.batch import job_scheduler
from comfreylatch._process.batch import placement
from comfreylatch._process.batch import scheduling_state
from comfreylatch._process.batch import usage_analyzer
from comfreylatch._version import job_records
from comfreylatch._version import job_state
from comfreylatch._version import objects
from comfreylatch._version import records
from comfreylatch._version import zone_fold
from testing.capacity import slope

JOB_SIZES = (1_000, 3_000, 9_000)
WORKER_SIZES = (110, 330, 1_100)
TEAMS = 240
TERM = 1
WRITER = "zone-0-1-0a1b2c3d"
WORKER_CAPACITY = workers.Resources(32_000, 128_000, 0)
JOB_RESOURCES = workers.Resources(1_000, 2_048, 0)
BOUNDS = job_records.ClaimBounds(6_000, 6_000, 60_000, 2_000, 500)
JOB_CLASSES = 20
# Tasks on each worker before starts are measured.
TASKS_PER_WORKER = 24


@attrs.frozen
class BatchSlopes:
    """Slopes of a host that follows or owns one zone's stream."""

    queued_bytes: slope.Slope
    running_bytes: slope.Slope
    ended_bytes: slope.Slope
    scheduling_state_bytes: slope.Slope
    record_us: slope.Slope
    start_us: slope.Slope
    admit_record_bytes: int
    assign_record_bytes: int
    checkpoint_record_bytes: int
    end_record_bytes: int


def measure() -> BatchSlopes:
    """Measures all slopes of batch work."""
    name = "jobs kept by the zone's fold"
    return BatchSlopes(
        queued_bytes=_fit_memory(f"{name}, queued", _queued),
        running_bytes=_fit_memory(f"{name}, running", _running),
        ended_bytes=_fit_memory(f"{name}, ended", _ended),
        scheduling_state_bytes=_fit_memory(
            "owner's queue and ledgers", _populated_scheduling_state
        ),
        record_us=slope.fit(
            "one record of a job decoded and folded",
            "running jobs",
            "us",
            JOB_SIZES,
            _record_us,
        ),
        start_us=slope.fit(
            "one start decided",
            "workers",
            "us",
            WORKER_SIZES,
            _start_us,
        ),
        admit_record_bytes=len(_encode(1, _admit(1))),
        assign_record_bytes=len(_encode(1, _assign(1))),
        checkpoint_record_bytes=len(_encode(1, _checkpoint(1))),
        end_record_bytes=len(_encode(1, _end(1))),
    )


def _fit_memory(name: str, build: object) -> slope.Slope:
    assert callable(build)
    return slope.fit(
        name,
        "jobs",
        "B",
        JOB_SIZES,
        lambda count: slope.memory_bytes(lambda: build(count)),
    )


class Zone:
    """Fold of one zone's stream that applies encoded records."""

    def __init__(self) -> None:
        self.fold = zone_fold.ZoneFold()
        self.state = stream_state.StreamState(
            "zone.zone-0", self.fold, metrics_module.Metrics(), None
        )
        self._sequence = itertools.count(1)
        claim = job_records.OwnerClaimed(TERM, 0, WRITER, BOUNDS)
        self.apply_payload(self.payload(claim))

    def payload(self, body: object) -> bytes:
        """Encodes a record as on the log."""
        return _encode(next(self._sequence), body)

    def apply_payload(self, payload: bytes) -> None:
        """Decodes and folds one payload."""
        entry = log_port.LogEntry(self.state.offset + 1, payload)
        applied = self.state.apply([entry], stream_state.EntrySource.LOG)
        assert applied

    def fold_all(self, bodies: Iterator[object]) -> None:
        """Encodes and folds records."""
        for body in bodies:
            self.apply_payload(self.payload(body))


def _queued(count: int) -> Zone:
    zone = Zone()
    zone.fold_all(_admit(index) for index in range(count))
    return zone


def running_zone(count: int, worker_count: int) -> Zone:
    """Returns a zone whose jobs all run, distributed over its workers."""
    zone = _queued(count)
    zone.fold_all(_assign(index, worker_count) for index in range(count))
    return zone


def _running(count: int) -> Zone:
    return running_zone(count, WORKER_SIZES[0])


def _ended(count: int) -> Zone:
    zone = _running(count)
    zone.fold_all(_end(index) for index in range(count))
    return zone


def _record_us(running: int) -> float:
    """Returns the processor time per record, in microseconds.

    A quarter of the records each are admissions, assignments, checkpoints and
    ends.
    """
    zone = _running(running)
    jobs = 100
    payloads = [
        zone.payload(make(index))
        for index in range(running, running + jobs * slope.REPEATS)
        for make in (_admit, _assign, _checkpoint, _end)
    ]
    remaining = iter(payloads)
    return slope.cpu_us(lambda: zone.apply_payload(next(remaining)), 4 * jobs)


class NullCommandSink:
    """A command sink that discards commands; every worker is reachable."""

    def queue_command(
        self, worker: str, command: Any, at_once: bool = True
    ) -> None:
        """See `attempt.CommandSink.queue_command`."""
        del worker, command, at_once

    def withdraw_command(self, worker: str, command: Any) -> bool:
        """See `attempt.CommandSink.withdraw_command`."""
        del worker, command
        return True

    def session(self, worker: str) -> Any:
        """See `attempt.CommandSink.session`."""
        del worker
        return SESSION

    def poll_by(self, worker: str, due_ms: int) -> None:
        """See `attempt.CommandSink.poll_by`."""
        del worker, due_ms


@attrs.frozen
class StaticSession:
    """The fields of a worker's session that the owner reads."""

    fenced_term: int = TERM
    failures: int = 0
    last_lease_sent_ms: int = 0
    answered_ms: int = 0


SESSION = StaticSession()


def make_scheduling_state(
    worker_count: int, fold: zone_fold.ZoneFold | None = None
) -> scheduling_state.SchedulingState:
    """Returns a scheduling state with workers and teams but no jobs."""
    scheduling = scheduling_state.SchedulingState(
        "zone-0",
        TERM,
        fold or zone_fold.ZoneFold(),
        NullCommandSink(),
        usage_analyzer.UsageAnalyzer(),
        placement.Policy.PREDICTED_COST,
        metrics_module.Metrics(),
    )
    team = objects.Team(workers.Resources(10**9, 10**9, 0))
    scheduling.queue.set_teams(
        {f"team-{index}": team for index in range(TEAMS)}
    )
    for index in range(worker_count):
        rack = f"rack-{index // 8}"
        name = f"worker-{index}"
        scheduling.ledger.set_worker(
            name, rack, WORKER_CAPACITY, capacity.NO_RESOURCES, True
        )
        scheduling.cost_model.set_worker(name, WORKER_CAPACITY.processors_milli)
    return scheduling


def _populated_scheduling_state(count: int) -> scheduling_state.SchedulingState:
    scheduling = make_scheduling_state(
        worker_count=count // TASKS_PER_WORKER + 1
    )
    for index in range(count):
        worker = f"worker-{index // TASKS_PER_WORKER}"
        scheduling.sync_job(job_of(index, worker), 0)
    return scheduling


def _start_us(worker_count: int) -> float:
    scheduling = make_scheduling_state(worker_count)
    running = worker_count * TASKS_PER_WORKER
    for index in range(running):
        scheduling.sync_job(job_of(index, f"worker-{index % worker_count}"), 0)
    starts = job_scheduler.MAX_STARTS_PER_ROUND
    job_numbers = itertools.count(running)

    def run_round() -> None:
        for index in itertools.islice(job_numbers, starts):
            scheduling.sync_job(job_of(index, ""), 0)
        decided = scheduling.scheduler.run_round(TERM, 4)
        assert len(decided.assigned) == starts, decided

    return slope.cpu_us(run_round, 1) / starts


def job_of(index: int, worker: str) -> job_state.JobState:
    """Returns a job that runs on a worker, or is queued if that is empty."""
    phase = job_state.JobPhase.ASSIGNED if worker else job_state.JobPhase.QUEUED
    return job_state.JobState(
        spec=_spec(index),
        order=index,
        phase=phase,
        attempt=1 if worker else 0,
        worker=worker,
    )


def _spec(index: int) -> job_records.JobSpec:
    return job_records.JobSpec(
        id=f"stack-{index:07d}",
        team=f"team-{index % TEAMS}",
        zone="zone-0",
        job_class=f"class-{index % JOB_CLASSES}",
        resources=JOB_RESOURCES,
        run_time_ms=170_000,
    )


def _admit(index: int) -> job_records.JobAdmitted:
    return job_records.JobAdmitted(_spec(index))


def _assign(
    index: int, worker_count: int = WORKER_SIZES[0]
) -> job_records.AttemptAssigned:
    worker = f"worker-{index % worker_count}"
    return job_records.AttemptAssigned(TERM, f"stack-{index:07d}", 1, worker, 0)


def _checkpoint(index: int) -> job_records.AttemptCheckpointed:
    return job_records.AttemptCheckpointed(
        TERM, f"stack-{index:07d}", 1, 30_000
    )


def _end(index: int) -> job_records.AttemptEnded:
    return job_records.AttemptEnded(
        term=TERM,
        job=f"stack-{index:07d}",
        attempt=1,
        end=job_records.AttemptEnd.FINISHED,
        progress_ms=170_000,
        checkpoint_ms=150_000,
    )


def _encode(sequence: int, body: object) -> bytes:
    return records.encode(WRITER, sequence, body)

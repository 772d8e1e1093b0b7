"""Records of a cell in the store, and their keys.

Every host reads the topic `jobs`: jobs, cancellations, states and the owner's
heartbeat. A new owner reads the topic `work`: the progress of each job, the
workers in use, learned models and maintenance waves. Progress has the job's id
as key; that of a large job has parts, too, whose keys begin with it. The topic
`claims` has one partition for all cells, so that the offset of a claim is a
fencing token that increases over all of them.
"""

from __future__ import annotations

import enum
from typing import TypeVar

import attrs
import msgspec

from comfreylatch._process.cell import specs

_Record = TypeVar("_Record")

JOBS_TOPIC = "jobs"
WORK_TOPIC = "work"
CLAIMS_TOPIC = "claims"
CLAIMS_PARTITION = 0

JOB_PREFIX = "job/"
CANCEL_PREFIX = "cancel/"
STATE_PREFIX = "state/"
HEARTBEAT_KEY = "owner"
WORKERS_KEY = "workers"
LEARNED_KEY = "learned"
WAVE_PREFIX = "wave/"


class JobState(enum.StrEnum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the job will never change again."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


@attrs.frozen
class StateRecord:
    """State of a job as the owner recorded it."""

    state: JobState
    token: int


@attrs.frozen
class CancelRecord:
    """A caller has cancelled a job."""

    wall_ms: int


@attrs.frozen
class ClaimRecord:
    """A host claims a cell.

    Attributes:
        cell: Number of the cell.
        host: Name of the host.
        boot: Identifies the incarnation of the host's process.
        zone: Zone of the host.
    """

    cell: int
    host: str
    boot: str
    zone: str = ""


@attrs.frozen
class RemainingLeases:
    """How long leases on workers may last after a cell was released.

    Attributes:
        default_ms: Longest time for a worker that is not listed below.
        older_ms: Time for workers on which the host has renewed no lease, by
            worker id; those leases are of previous owners.
    """

    default_ms: int
    older_ms: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class HeartbeatRecord:
    """Heartbeat of a cell's owner, which shows that it can write.

    Attributes:
        host: Name of the host.
        boot: Identifies the incarnation of the host's process.
        token: The owner's fencing token.
        is_released: Whether the host releases the cell, so that others may
            claim it at once.
        zone: Zone of the host.
        is_isolated: Whether the host releases the cell as it can't reach most
            workers. Hosts of other zones should then take over.
        cpu_cores: Processors that the host's process may use; 0 if unknown.
        leases: How long the leases on workers last from a release on. None in
            heartbeats that release nothing, and of earlier versions.
        earlier_leases_ms: How long, from this heartbeat on, leases that owners
            before this one renewed may still last.
        caller_address: `IP:port` at which the host answers callers; empty in
            heartbeats of earlier versions.
    """

    host: str
    boot: str
    token: int
    is_released: bool = False
    zone: str = ""
    is_isolated: bool = False
    cpu_cores: float = 0.0
    leases: RemainingLeases | None = None
    earlier_leases_ms: int = 0
    caller_address: str = ""


@attrs.frozen
class CrashRecord:
    """A run that ended with its worker, which crashed or seems to have.

    Attributes:
        run: Number of the run.
        worker_id: Id of the worker.
        born_ms: Identifies the worker's incarnation.
        machine: Address of the worker, which its successor has, too.
        ran_ms: Time from the start's confirmation, or from its order if there
            was none, to the worker's first failed call.
        was_alone: Whether no other run was on the worker.
        was_on_trial: Whether nothing else was started there meanwhile.
        is_prime: Whether the run was among the last that were started there.
        is_confirmed: Whether a later incarnation has replaced the worker.
            Otherwise it may only be unreachable.
        is_excused: Whether something else explains the crash.
        recorded_wall_ms: When the run was recorded, if an owner ended before it
            saw how long the run lasted; else 0.
    """

    run: int
    worker_id: str
    born_ms: int
    machine: str
    ran_ms: int
    was_alone: bool = False
    was_on_trial: bool = False
    is_prime: bool = False
    is_confirmed: bool = False
    is_excused: bool = False
    recorded_wall_ms: int = 0


@attrs.frozen
class TrialRecord:
    """A run that is recorded before it is ordered to start.

    If its worker is replaced before the run is known to have ended, the worker
    counts as crashed under it, whether or not the owner is still the same.

    Attributes:
        run: Number of the run.
        worker_id: Id of the worker.
        born_ms: Identifies the worker's incarnation.
        machine: Address of the worker.
        probation_ms: How long it has to run to be no longer suspected.
        is_apart: Whether nothing else is started on the worker in that time.
        is_alone: Whether the worker runs nothing else in that time.
        wall_ms: When it was recorded.
    """

    run: int
    worker_id: str
    born_ms: int
    machine: str
    probation_ms: int
    is_apart: bool
    is_alone: bool
    wall_ms: int


@attrs.frozen
class StepProgress:
    """Progress of one step in one occurrence of a job.

    Attributes:
        occurrence: Number of the occurrence.
        step: Number of the step.
        done: Indexes of the tasks that are done.
        failed_runs: Numbers of the failed runs, by task index.
        checkpoints: Checkpoint to resume from, by task index.
        crashes: Workers that crashed under the tasks, by task index.
        trials: Runs that may crash their worker, by task index.
    """

    occurrence: int
    step: int
    done: tuple[int, ...] = ()
    failed_runs: dict[int, tuple[int, ...]] = attrs.field(factory=dict)
    checkpoints: dict[int, str] = attrs.field(factory=dict)
    crashes: dict[int, tuple[CrashRecord, ...]] = attrs.field(factory=dict)
    trials: dict[int, TrialRecord] = attrs.field(factory=dict)


@attrs.frozen
class ProgressRecord:
    """Progress of a job from its ended runs.

    Attributes:
        steps: Progress of its steps.
        reserved_run: Run numbers up to this one may have been used; 0 if only
            those in the ranges of the owners' tokens.
        ended: Ranges of occurrences, first and last, of which all tasks are
            done. Only in divided records, see `record_size.progress_parts`.
    """

    steps: tuple[StepProgress, ...]
    reserved_run: int = 0
    ended: tuple[tuple[int, int], ...] = ()


@attrs.frozen
class WorkersRecord:
    """Workers that may have runs of the owner.

    Attributes:
        born_ms: Their current incarnations, by worker id.
        addresses: Their addresses, by worker id; records of earlier versions
            have none.
        former_leases_ms: How long, from this record on, leases may last that
            calls to former incarnations have given, by worker id.
    """

    born_ms: dict[str, int] = attrs.field(factory=dict)
    addresses: dict[str, str] = attrs.field(factory=dict)
    former_leases_ms: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class LearnedPressure:
    """Interference coefficient of a filling image, and its weight."""

    filling: str
    coefficient: float
    weight: float


@attrs.frozen
class LearnedPair:
    """Excess of an image pair over the filling image's coefficient."""

    serving: str
    filling: str
    excess: float
    weight: float


@attrs.frozen
class LearnedRecord:
    """Learned models, which the next owner starts from.

    Attributes:
        pressures: Coefficients of filling images.
        pairs: Their excesses on individual serving images.
        base_ms: Tail latencies of serving images without interference.
        duration_ratios: Ratios of measured to declared durations, by queue and
            image.
        near_waits: Share of the waits for near workers that were worth it, by
            rack.
    """

    pressures: tuple[LearnedPressure, ...] = ()
    pairs: tuple[LearnedPair, ...] = ()
    base_ms: dict[str, float] = attrs.field(factory=dict)
    duration_ratios: dict[str, float] = attrs.field(factory=dict)
    near_waits: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class WaveRecord:
    """Progress of a maintenance wave.

    Attributes:
        began_wall_ms: Wall time at which an owner first saw it.
        begun: Machines whose maintenance has begun.
        finished: Machines whose maintenance has finished, or that no longer
            exist.
        is_completed: Whether all its machines have finished.
    """

    began_wall_ms: int
    begun: tuple[str, ...] = ()
    finished: tuple[str, ...] = ()
    is_completed: bool = False


class BadRecordError(ValueError):
    """A record does not match the schema of its kind."""


def encode(record: object) -> bytes:
    """Encodes any record of this module."""
    return msgspec.json.encode(record)


def _decoder(kind: type) -> msgspec.json.Decoder:
    return msgspec.json.Decoder(kind)


_DECODERS = {
    kind: _decoder(kind)
    for kind in (
        specs.JobSpec,
        StateRecord,
        CancelRecord,
        ClaimRecord,
        HeartbeatRecord,
        ProgressRecord,
        WorkersRecord,
        LearnedRecord,
        WaveRecord,
    )
}


def decode(kind: type[_Record], value: bytes) -> _Record:
    """Decodes a record.

    Raises:
        BadRecordError: The value does not match the schema of the kind.
    """
    try:
        return _DECODERS[kind].decode(value)
    except (
        msgspec.MsgspecError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        raise BadRecordError(f"{kind.__name__}: {error}") from error

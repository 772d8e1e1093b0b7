"""Records of a cell in the store, and their keys.

Topic `jobs` is read by every host: jobs, cancellations, states and the
owner's heartbeat. Topic `work` is read by a new owner: progress of each job.
Topic `claims` has one partition for all cells, so that the offset of a claim
is a fencing token that rises over all of them.
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
    """The owner's word on a job."""

    state: JobState
    token: int


@attrs.frozen
class CancelRecord:
    """A caller has cancelled a job."""

    wall_ms: int


@attrs.frozen
class ClaimRecord:
    """A host takes over a cell, or gives it up.

    Attributes:
        cell: Number of the cell.
        host: Name of the host.
        boot: Identifies the life of the host's process.
        zone: Zone of the host.
    """

    cell: int
    host: str
    boot: str
    zone: str = ""


@attrs.frozen
class HeartbeatRecord:
    """The owner of a cell is alive and can write.

    Attributes:
        host: Name of the host.
        boot: Identifies the life of the host's process.
        token: The owner's fencing token.
        is_released: The host gives the cell up; anyone may take it at once.
        zone: Zone of the host.
        is_isolated: Released as most workers are out of the host's reach, so
            hosts of the same zone should leave it to others.
    """

    host: str
    boot: str
    token: int
    is_released: bool = False
    zone: str = ""
    is_isolated: bool = False


@attrs.frozen
class StepProgress:
    """Progress of one step of one repetition.

    Attributes:
        occurrence: Number of the repetition.
        step: Number of the step.
        done: Indexes of the tasks that are done.
        failed_runs: Numbers of the failed runs, by task index.
        checkpoints: Checkpoint to go on from, by task index.
    """

    occurrence: int
    step: int
    done: tuple[int, ...] = ()
    failed_runs: dict[int, tuple[int, ...]] = attrs.field(factory=dict)
    checkpoints: dict[int, str] = attrs.field(factory=dict)


@attrs.frozen
class ProgressRecord:
    """All that must be known of a job's ended runs."""

    steps: tuple[StepProgress, ...]


@attrs.frozen
class WorkersRecord:
    """Workers on which the owner's runs may be.

    Attributes:
        born_ms: Their present lives, by worker.
    """

    born_ms: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class LearnedPressure:
    """Coefficient of a filling image, and the weight of what it rests on."""

    filling: str
    coefficient: float
    weight: float


@attrs.frozen
class LearnedPair:
    """What a pair of images has over the filling image's coefficient."""

    serving: str
    filling: str
    excess: float
    weight: float


@attrs.frozen
class LearnedRecord:
    """What an owner has learned that the next one need not learn again.

    Attributes:
        pressures: Coefficients of filling images.
        pairs: Their excesses on single serving images.
        base_ms: Tails of serving images without load.
        duration_ratios: Real to declared durations, by queue and image.
    """

    pressures: tuple[LearnedPressure, ...] = ()
    pairs: tuple[LearnedPair, ...] = ()
    base_ms: dict[str, float] = attrs.field(factory=dict)
    duration_ratios: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class WaveRecord:
    """How far a wave of maintenance has come.

    Attributes:
        began_wall_ms: When it was first seen.
        begun: Machines whose maintenance has begun.
        finished: Machines that have had their maintenance, or have left.
        is_completed: All have.
    """

    began_wall_ms: int
    begun: tuple[str, ...] = ()
    finished: tuple[str, ...] = ()
    is_completed: bool = False


class BadRecordError(ValueError):
    """A record does not have the form that its topic demands."""


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
    """Decodes a record; raises `BadRecordError`."""
    try:
        return _DECODERS[kind].decode(value)
    except msgspec.MsgspecError as error:
        raise BadRecordError(f"{kind.__name__}: {error}") from error

"""The platform's messages.

The attribute names are the project's; `rename` maps them to the platform's.
Numbers may be integers or fractions unless the platform's pages say otherwise.
"""

from __future__ import annotations

from typing import Annotated
from typing import Any
from typing import TypeVar

import msgspec

from comfreylatch._connection import json_nesting
from comfreylatch._process.cell.record_size import limits

# The largest integer up to which doubles are exact. Larger numbers can't be
# added up without errors, nor stored in records.
MAX_NUMBER = 1 << 53

_Message = TypeVar("_Message")
_Amount = Annotated[float, msgspec.Meta(le=MAX_NUMBER)]
_Count = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_WallMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class BadMessageError(ValueError):
    """A message does not have the format that the platform specifies."""


class Capacity(
    msgspec.Struct,
    frozen=True,
    rename={
        "cpu_millicores": "CpuMillicores",
        "memory_mb": "RequestedMemoryMb",
        "gpus": "Gpus",
    },
):
    """Capacity of an executor; `RequestedMemoryMb` is all its memory here."""

    cpu_millicores: _Amount = 0
    memory_mb: _Amount = 0
    gpus: _Amount = 0


class Step(
    msgspec.Struct,
    frozen=True,
    rename={
        "task_count": "TaskCount",
        "cpu_millicores": "CpuMillicores",
        "memory_mb": "RequestedMemoryMb",
        "gpus": "Gpus",
        "estimated_ms": "EstimatedDurationMs",
        "depends_on": "DependsOn",
        "has_checkpoints": "Checkpointing",
        "is_gang": "Gang",
        "needs_one_rack": "SameRack",
        "required_label": "Requirements",
        "data_rack": "DataRack",
        "max_per_worker": "AntiAffinity",
        "is_speculative": "Speculative",
        "is_lasting": "Perpetual",
        "image": "Image",
        "tail_target_ms": "TargetMs",
        "fills_idle": "Fills",
        "max_unavailable": "MaxUnavailable",
    },
):
    """A step of a submission.

    `Requirements` is a single label; `AntiAffinity` is a number of tasks.
    """

    task_count: int = 0
    cpu_millicores: float = 0
    memory_mb: float = 0
    gpus: float = 0
    estimated_ms: float = 0
    depends_on: tuple[int, ...] = ()
    has_checkpoints: bool = False
    is_gang: bool = False
    needs_one_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    is_speculative: bool = False
    is_lasting: bool = False
    image: str = ""
    tail_target_ms: float = 0
    fills_idle: bool = False
    max_unavailable: int = 0


class Submission(
    msgspec.Struct,
    frozen=True,
    rename={
        "payload": "Specification",
        "steps": "JobSteps",
        "repetitions": "Repetitions",
        "first_due_ms": "StartTimeMs",
        "interval_ms": "IntervalMs",
    },
):
    """A job as submitted; `Specification` is passed to its tasks."""

    steps: tuple[Step, ...]
    payload: str = ""
    repetitions: int = 0
    first_due_ms: float = 0
    interval_ms: float = 0


class Advice(
    msgspec.Struct,
    frozen=True,
    rename={
        "decision_ms": "DecisionMs",
        "per_worker_ms": "PerWorkerMs",
        "valid_ms": "ValidityMs",
    },
):
    """Parameters of the advice service for a queue."""

    decision_ms: float = 0
    per_worker_ms: float = 0
    valid_ms: float = 0


class Route(
    msgspec.Struct,
    frozen=True,
    rename={
        "name": "Name",
        "host": "Host",
        "prefix": "PathPrefix",
        "service": "Service",
        "priority": "Priority",
        "max_attempts": "MaxAttempts",
        "slack_factor": "SlackFactor",
        "target_ms": "TargetCompletionMs",
        "advice": "Recommendation",
    },
):
    """A queue.

    A job should complete within `SlackFactor` times its duration plus
    `TargetCompletionMs`, which is not the total by itself.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    target_ms: float = 0
    advice: Advice | None = None


class Service(
    msgspec.Struct,
    frozen=True,
    rename={
        "name": "Name",
        "guards_capacity": "EnforcesCapacity",
        "is_standby": "Standby",
    },
):
    """A pool of workers."""

    name: str
    guards_capacity: bool = False
    is_standby: bool = False


class Configuration(
    msgspec.Struct,
    frozen=True,
    rename={
        "version": "Version",
        "routes": "Routes",
        "services": "Services",
    },
):
    """A complete configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()


class WorkerRecord(
    msgspec.Struct,
    frozen=True,
    rename={
        "service": "Service",
        "address": "Address",
        "zone": "Zone",
        "version": "Version",
        "slots": "Slots",
        "state": "State",
        "cold_remaining_ms": "ColdRemainingMs",
        "sequence": "Sequence",
        "capacity": "Capacity",
        "labels": "Labels",
    },
):
    """Entry of an executor, whose id is the record's key.

    Some fields are not used. They are declared because an entry that lacks one
    comes from another writer and names no executor.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: _Count
    state: str
    cold_remaining_ms: _Amount
    sequence: _Count
    capacity: Capacity
    labels: tuple[str, ...]
    born: _WallMs = 0


class HoldReply(
    msgspec.Struct,
    frozen=True,
    rename={
        "clock_ms": "ClockMs",
        "running": "Running",
        "ended": "Ended",
    },
):
    """An executor's reply to a hold, with its lists of runs.

    Rows of `running` are task, run, checkpoint, percent and reading; rows of
    `ended` are number, task, run, how it ended and checkpoint.
    """

    clock_ms: float
    running: tuple[tuple[Any, ...], ...] = ()
    ended: tuple[tuple[int, str, int, str, str], ...] = ()
    born: int = 0


class OrderReply(
    msgspec.Struct,
    frozen=True,
    rename={"clock_ms": "ClockMs", "reason": "Reason"},
):
    """An executor's reply to an order."""

    clock_ms: float = 0
    reason: str = ""


class AdviceReply(
    msgspec.Struct,
    frozen=True,
    rename={"allowed": "Allowed", "valid_ms": "ValidityMs"},
):
    """Reply of the advice service, with rows of executor and ticket."""

    allowed: tuple[tuple[str, str], ...] = ()
    valid_ms: float = 0


class WaveRecord(
    msgspec.Struct,
    frozen=True,
    rename={
        "number": "Wave",
        "machines": "Machines",
        "duration_s": "DurationS",
        "most_at_once": "Cap",
    },
):
    """A maintenance wave that operators request."""

    number: int
    machines: tuple[str, ...]
    duration_s: float = 0
    most_at_once: int = 1


class EvacuationRecord(msgspec.Struct, frozen=True):
    """A request to evacuate the zone in the record's key; it has no fields."""


class MachineEntry(
    msgspec.Struct,
    frozen=True,
    rename={"machine_id": "Machine", "state": "State", "worker_id": "Id"},
):
    """A machine; `Id` is the id of the executor that it runs."""

    machine_id: str
    state: str = ""
    worker_id: str | None = None


class MachinesReply(
    msgspec.Struct,
    frozen=True,
    rename={"machines": "Machines", "next_page": "NextPageToken"},
):
    """A page of the list of machines."""

    machines: tuple[MachineEntry, ...] = ()
    next_page: str | None = None


class MachineApiSettings(
    msgspec.Struct,
    frozen=True,
    rename={"address": "Address"},
):
    """Address of the machines API."""

    address: str | None = None


class AppendReply(
    msgspec.Struct,
    frozen=True,
    rename={
        "offset": "Offset",
        "end_offset": "EndOffset",
        "reason": "Reason",
        "sequence": "Sequence",
        "first_offset": "FirstOffset",
    },
):
    """The store's reply to an append, or to a read that it refuses."""

    offset: int = 0
    end_offset: int = 0
    reason: str = ""
    sequence: int = 0
    first_offset: int = 0


class NewestItem(
    msgspec.Struct,
    frozen=True,
    rename={"key": "Key", "value": "Value", "offset": "Offset"},
):
    """The newest record of a key; the value is base64-encoded."""

    key: str
    value: bytes
    offset: int


class NewestReply(
    msgspec.Struct,
    frozen=True,
    rename={"has_more": "HasMore", "end_offset": "EndOffset"},
):
    """A page of the newest records."""

    items: tuple[NewestItem, ...] = ()
    has_more: bool = False
    end_offset: int = 0


class StoreSettings(
    msgspec.Struct,
    frozen=True,
    rename={
        "address": "Address",
        "partitions": "parts",
        "record_bytes": "RecordBytes",
        "append_bytes": "RequestBytes",
    },
):
    """Address of the store, the number of partitions per topic, and limits."""

    address: str
    partitions: int = 1
    record_bytes: _Count = limits.StoreLimits().record_bytes
    append_bytes: _Count = limits.StoreLimits().append_bytes


class Limits(
    msgspec.Struct,
    frozen=True,
    rename={
        "cpu_share": "CpuShare",
        "cores": "Cores",
        "descriptors": "FileDescriptors",
    },
):
    """Limits of the host's machine; `CpuShare` applies to each core."""

    cpu_share: float = 1.0
    cores: float = 1.0
    descriptors: float = 0


class ListenAddresses(
    msgspec.Struct,
    frozen=True,
    rename={"callers": "Frontend", "readiness": "Readiness"},
):
    """Addresses to listen on."""

    callers: str
    readiness: str


class Bounds(
    msgspec.Struct,
    frozen=True,
    rename={
        "lease_ms": "MaxHoldMs",
        "status_s": "status_s",
        "handover_ms": "LeaseDurationMs",
        "disruption_ms": "DisruptionMs",
        "grace_s": "GracePeriodS",
        "evacuation_ms": "EvacuationMs",
        "remote_penalty": "RemotePenalty",
    },
):
    """Time limits that the platform sets.

    `MaxHoldMs` is the maximum lease. `status_s` is how long the state of an
    ended job must be available. Within `LeaseDurationMs` no two hosts may send
    orders for the same machine. For `DisruptionMs` a lasting task may be over
    its tail target while filling tasks work beside it. `GracePeriodS` is how
    long after a SIGTERM a process is killed. `EvacuationMs` is the time within
    which a confirmed evacuation has to be in force. `RemotePenalty` is the
    factor by which a task lasts longer away from its rack.
    """

    lease_ms: float = 6_000
    status_s: float = 120
    handover_ms: float = 3_000
    disruption_ms: float = 4_000
    grace_s: float = 6
    evacuation_ms: float = 0
    remote_penalty: float = 1.0


class Settings(
    msgspec.Struct,
    frozen=True,
    rename={
        "name": "NodeName",
        "address": "IpAddress",
        "zone": "Zone",
        "listen": "ListenAddresses",
        "limits": "Limits",
        "store": "platform",
        "bounds": "Bounds",
        "advice_address": "Recommendation",
        "machine_api": "CloudApi",
    },
):
    """The fields of a process's settings file that this program uses."""

    name: str
    address: str
    zone: str
    listen: ListenAddresses
    store: StoreSettings
    limits: Limits = Limits()
    bounds: Bounds = Bounds()
    advice_address: str | None = None
    machine_api: MachineApiSettings | None = None


def decode(kind: type[_Message], body: bytes) -> _Message:
    """Decodes a message.

    Raises:
        BadMessageError: The body is not a valid message of this kind.
    """
    if json_nesting.is_too_deep(body):
        raise BadMessageError(
            f"{kind.__name__}: more than {json_nesting.MAX_DEPTH} levels"
        )
    try:
        return msgspec.json.decode(body, type=kind)
    except (
        msgspec.MsgspecError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        raise BadMessageError(f"{kind.__name__}: {error}") from error


def encode(message: object) -> bytes:
    """Encodes the body of a message."""
    return msgspec.json.encode(message)

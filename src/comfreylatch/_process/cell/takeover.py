"""Takes over a cell: fences the previous owner and recovers its state."""

from __future__ import annotations

import attrs
import logbook
import result

from comfreylatch._process import logs
from comfreylatch._process.cell import claiming
from comfreylatch._process.cell import fenced_writer as fenced_writer_module
from comfreylatch._process.cell import owner_dependencies
from comfreylatch._process.cell import records
from comfreylatch._process.cell import recovered_state
from comfreylatch._process.cell import worker_view

CATCH_UP_TIMEOUT_MS = 3_000

_logger = logbook.Logger(__name__)


@attrs.define(eq=False)
class _RecordedWork:
    """Records of the previous owner in the topic of work."""

    progress: dict[str, records.ProgressRecord] = attrs.field(factory=dict)
    workers: records.WorkersRecord = records.WorkersRecord()
    learned: records.LearnedRecord = records.LearnedRecord()
    waves: dict[int, records.WaveRecord] = attrs.field(factory=dict)


def take_over(
    deps: owner_dependencies.OwnerDependencies,
    host: claiming.HostIdentity,
    token: int,
    writer: fenced_writer_module.FencedWriter,
    predecessor: records.HeartbeatRecord | None,
) -> recovered_state.RecoveredState | None:
    """Fences the previous owner and recovers its state from the store.

    Returns:
        The recovered state; None if another host fenced this one, or the
        store did not answer in time.
    """
    started_ms = deps.clock.monotonic_ms()
    first_offset = writer.fence()
    if first_offset is None:
        return None
    # Ends the pause between two reads of a host that owned no cell.
    deps.jobs_reader.refresh(timeout_ms=0)
    # The replica then has every job that the previous owner may have started.
    if not deps.jobs_reader.wait_for(first_offset, CATCH_UP_TIMEOUT_MS):
        return None
    work = _read_work(deps)
    if work is None:
        return None
    release_after_ms = _release_after_ms(deps, host, started_ms, predecessor)
    jobs = deps.replica.listen(None)
    logs.event(
        _logger,
        "takeover",
        cell=deps.cell,
        token=token,
        predecessor=predecessor,
        jobs=len(jobs),
        took_ms=deps.clock.monotonic_ms() - started_ms,
    )
    return recovered_state.RecoveredState(
        token,
        tuple(jobs),
        work.progress,
        release_after_ms,
        work.workers.born_ms,
        work.learned,
        work.waves,
    )


def _release_after_ms(
    deps: owner_dependencies.OwnerDependencies,
    host: claiming.HostIdentity,
    started_ms: int,
    predecessor: records.HeartbeatRecord | None,
) -> int:
    """Returns when the leases that previous owners renewed have ended."""
    lease_ms = _lease_ms(deps)
    # Another host may have owned the cell since the claim was decided on. All
    # heartbeats of previous owners precede that of this host.
    last_read = deps.replica.previous_heartbeat
    last_read_ms = started_ms
    if last_read is not None:
        predecessor = last_read.heartbeat
        last_read_ms = last_read.seen_ms
    if predecessor is None:
        return started_ms
    if predecessor.is_released or predecessor.host == host.name:
        earlier_end_ms = last_read_ms + predecessor.earlier_leases_ms
        return max(started_ms + lease_ms, earlier_end_ms)
    # It renews leases for AUTONOMY_MS from a time before this host read its
    # last heartbeat.
    return last_read_ms + longest_leases_ms(deps)


def longest_leases_ms(deps: owner_dependencies.OwnerDependencies) -> int:
    """How long leases may last after the last heartbeat of their owner."""
    return fenced_writer_module.AUTONOMY_MS + _lease_ms(deps)


def _lease_ms(deps: owner_dependencies.OwnerDependencies) -> int:
    """Duration of a lease by this host's clock."""
    return int(deps.lease_ms / (1 - worker_view.MAX_CLOCK_DRIFT))


def _read_work(
    deps: owner_dependencies.OwnerDependencies,
) -> _RecordedWork | None:
    """Reads the previous owner's records; None if the read fails."""
    match deps.store.newest(records.WORK_TOPIC, deps.cell):
        case result.Ok(batch):
            pass
        case result.Err(_):
            return None
    work = _RecordedWork()
    for record in batch.records:
        if record.value is None:
            continue
        try:
            if record.key == records.WORKERS_KEY:
                work.workers = records.decode(
                    records.WorkersRecord, record.value
                )
            elif record.key == records.LEARNED_KEY:
                work.learned = records.decode(
                    records.LearnedRecord, record.value
                )
            elif record.key.startswith(records.WAVE_PREFIX):
                number = _wave_number(record.key)
                work.waves[number] = records.decode(
                    records.WaveRecord, record.value
                )
            else:
                work.progress[record.key] = records.decode(
                    records.ProgressRecord, record.value
                )
        except records.BadRecordError as error:
            logs.warning(
                _logger, "bad-record", key=record.key, detail=str(error)
            )
    return work


def _wave_number(key: str) -> int:
    """Returns the number in a wave's key; raises BadRecordError if none."""
    text = key.removeprefix(records.WAVE_PREFIX)
    if not text.isdecimal():
        raise records.BadRecordError(f"{key!r} has no number of a wave")
    return int(text)

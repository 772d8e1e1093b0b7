"""Takes over a cell: fences the previous owner and recovers its state."""

from __future__ import annotations

import attrs
import logbook
import result

from comfreylatch._process import logs
from comfreylatch._process.cell import claiming
from comfreylatch._process.cell import fenced_writer as fenced_writer_module
from comfreylatch._process.cell import lease_ends
from comfreylatch._process.cell import owner_dependencies
from comfreylatch._process.cell import records
from comfreylatch._process.cell import recovered_state
from comfreylatch._process.cell.carryover import former_leases
from comfreylatch._process.cell.record_size import progress_parts

CATCH_UP_TIMEOUT_MS = 3_000

_logger = logbook.Logger(__name__)


@attrs.define(eq=False)
class _RecordedWork:
    """Records of the previous owner in the topic of work."""

    progress: dict[str, dict[str, records.ProgressRecord]] = attrs.field(
        factory=dict
    )
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
    leases = lease_ends.after_owner(
        deps.replica.previous_heartbeat, host.name, started_ms, deps.lease_ms
    )
    known_workers = _known_workers(
        work.workers,
        leases,
        started_ms,
        former_leases.next_incarnation_ms(deps.lease_ms, deps.max_lease_ms),
    )
    jobs = deps.replica.listen(None)
    logs.event(
        _logger,
        "takeover",
        cell=deps.cell,
        token=token,
        predecessor=predecessor,
        jobs=len(jobs),
        workers=len(known_workers),
        older_leases=len(leases.older_ms),
        took_ms=deps.clock.monotonic_ms() - started_ms,
    )
    return recovered_state.RecoveredState(
        token,
        tuple(jobs),
        {
            job_id: progress_parts.merge(parts.values())
            for job_id, parts in work.progress.items()
        },
        known_workers,
        work.learned,
        work.waves,
        {
            job_id: tuple(key for key in parts if key != job_id)
            for job_id, parts in work.progress.items()
            if len(parts) > 1
        },
    )


def _known_workers(
    record: records.WorkersRecord,
    leases: lease_ends.LeaseEnds,
    started_ms: int,
    next_incarnation_ms: int,
) -> dict[str, recovered_state.KnownWorker]:
    """Returns the recorded workers, and when the leases on them end.

    Args:
        record: The previous owner's record, of unknown age.
        leases: When the leases of previous owners end.
        started_ms: Monotonic time at which the takeover began.
        next_incarnation_ms: How much later a lease on a next incarnation ends.
    """
    known = {}
    for worker_id, born_ms in record.born_ms.items():
        former_ms = record.former_leases_ms.get(worker_id, 0)
        former_end_ms = started_ms + former_ms if former_ms else 0
        end_ms = leases.end_ms(worker_id)
        known[worker_id] = recovered_state.KnownWorker(
            born_ms,
            max(end_ms, former_end_ms),
            record.addresses.get(worker_id, ""),
            former_end_ms,
            end_ms + next_incarnation_ms,
        )
    return known


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
                job_id = progress_parts.job_of(record.key)
                progress = records.decode(records.ProgressRecord, record.value)
                work.progress.setdefault(job_id, {})[record.key] = progress
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

"""Folds a zone's stream, in order of offset, into the state of the zone.

Conflicts are resolved only by the order of the records in the stream: the
first claim that replaces the current term wins, records of an owner are ignored
unless they carry the current term, and a cancellation invalidates a later
assignment.
"""

from __future__ import annotations

import collections
import threading
from typing import Any
from typing import final

import attrs
import msgspec
import xxhash

from comfreylatch._version import job_records
from comfreylatch._version import job_state
from comfreylatch._version import job_transitions
from comfreylatch._version import records

# Number of records after the end of a job at which only the hash of its spec
# is retained, to recognise a repeated submission.
RETIRE_AFTER_RECORDS = 20_000
MAX_RETIRED_IDS = 20_000
MAX_CLAIMS = 16

_encoder = msgspec.json.Encoder()


IgnoredReason = job_transitions.IgnoredReason


@attrs.frozen
class _Snapshot:
    offset: int
    jobs: tuple[job_state.JobState, ...]
    ended: tuple[tuple[int, str], ...]
    retired: tuple[tuple[int, int], ...]
    claims: tuple[job_state.Claim, ...]


_snapshot_decoder = msgspec.json.Decoder(_Snapshot)


@final
class ZoneFold:
    """Implements `streams.RecordFold` for a zone. Thread-safe.

    Job states are immutable, so a returned state never changes.
    """

    def __init__(
        self,
        retire_after_records: int = RETIRE_AFTER_RECORDS,
        max_retired_ids: int = MAX_RETIRED_IDS,
    ) -> None:
        self._retire_after_records = retire_after_records
        self._max_retired_ids = max_retired_ids
        self._lock = threading.RLock()
        self._ignored_counts: collections.Counter[IgnoredReason] = (
            collections.Counter()
        )
        self._changed: dict[str, None] = {}
        self._all_changed = True
        self._clear()

    def _clear(self) -> None:
        self._offset = -1
        self._jobs: dict[str, job_state.JobState] = {}
        self._job_ids_by_worker: dict[str, dict[str, None]] = {}
        self._phase_counts: collections.Counter[job_state.JobPhase] = (
            collections.Counter()
        )
        self._jobs_hash = 0
        self._ended: collections.deque[tuple[int, str]] = collections.deque()
        self._retired: dict[int, int] = {}
        self._claims: tuple[job_state.Claim, ...] = ()

    # streams.RecordFold

    def apply(self, offset: int, envelope: records.Envelope, body: Any) -> None:
        """See `streams.RecordFold.apply`."""
        del envelope
        with self._lock:
            if offset <= self._offset:
                self._ignored_counts[IgnoredReason.REPEATED_RECORD] += 1
                return
            self._offset = offset
            self._retire_ended_jobs(offset)
            ignored_reason = self._fold(offset, body)
            if ignored_reason is not None:
                self._ignored_counts[ignored_reason] += 1

    def snapshot(self) -> bytes:
        """See `streams.RecordFold.snapshot`."""
        with self._lock:
            return _encoder.encode(
                _Snapshot(
                    offset=self._offset,
                    jobs=tuple(self._jobs.values()),
                    ended=tuple(self._ended),
                    retired=tuple(self._retired.items()),
                    claims=self._claims,
                )
            )

    def restore(self, offset: int, snapshot: bytes) -> None:
        """See `streams.RecordFold.restore`.

        Raises:
            ValueError: The snapshot is malformed; the state is unchanged.
        """
        try:
            decoded = _snapshot_decoder.decode(snapshot)
        except msgspec.MsgspecError as error:
            raise ValueError(str(error)) from error
        with self._lock:
            self._clear()
            self._offset = max(offset, decoded.offset)
            self._ended.extend(decoded.ended)
            self._retired.update(decoded.retired)
            self._claims = decoded.claims
            for state in decoded.jobs:
                self._store_job(state)
            self._all_changed = True

    def digest(self) -> str:
        """See `streams.RecordFold.digest`."""
        with self._lock:
            encoded = _encoder.encode(
                (self._jobs_hash, len(self._jobs), self._claims)
            )
        return xxhash.xxh3_64_hexdigest(encoded)

    # Queries of the zone owner, the job handler and the status page.

    def offset(self) -> int:
        """Returns the offset of the last record folded; -1 for none."""
        with self._lock:
            return self._offset

    def claims(self) -> tuple[job_state.Claim, ...]:
        """Returns the latest claims, the current one last; empty for none."""
        return self._claims

    def job(self, job: str) -> job_state.JobState | None:
        """Returns a job that is not retired yet; None if there is none."""
        with self._lock:
            return self._jobs.get(job)

    def retired_spec_hash(self, job: str) -> int | None:
        """Returns the spec hash of a retired job; None if not retired."""
        with self._lock:
            return self._retired.get(job_state.id_hash(job))

    def jobs(self) -> tuple[job_state.JobState, ...]:
        """Returns all jobs that are not retired, in order of admission."""
        with self._lock:
            return tuple(self._jobs.values())

    def jobs_on_worker(self, worker: str) -> tuple[job_state.JobState, ...]:
        """Returns the jobs whose current attempt is assigned to a worker."""
        with self._lock:
            job_ids = self._job_ids_by_worker.get(worker, {})
            return tuple(self._jobs[job_id] for job_id in job_ids)

    def assigned_workers(self) -> tuple[str, ...]:
        """Returns the workers that have an assigned attempt."""
        with self._lock:
            return tuple(self._job_ids_by_worker)

    def count_in_phase(self, phase: job_state.JobPhase) -> int:
        """Returns the number of jobs in a phase."""
        with self._lock:
            return self._phase_counts[phase]

    def ignored_counts(self) -> dict[IgnoredReason, int]:
        """Returns the number of ignored records by reason."""
        with self._lock:
            return dict(self._ignored_counts)

    def drain_changes(self) -> tuple[str, ...] | None:
        """Returns the ids of the jobs that changed since the last call.

        None after a restore: every job may have changed.
        """
        with self._lock:
            changed = tuple(self._changed)
            everything = self._all_changed
            self._changed.clear()
            self._all_changed = False
        return None if everything else changed

    # Folding of records.

    def _fold(self, offset: int, body: Any) -> IgnoredReason | None:
        match body:
            case (
                job_records.OwnerClaimed()
                | job_records.OwnerRenewed()
                | job_records.OwnerReleased()
            ):
                return self._fold_claim(offset, body)
            case job_records.JobAdmitted():
                return self._fold_admission(offset, body)
            case job_records.JobCancelled():
                return self._fold_job(offset, body)
            case (
                job_records.AttemptAssigned()
                | job_records.AttemptCheckpointed()
                | job_records.AttemptEnded()
                | job_records.JobParked()
                | job_records.JobMoved()
            ):
                if not self._is_active_term(body.term):
                    return IgnoredReason.WRONG_TERM
                return self._fold_job(offset, body)
            case _:
                return IgnoredReason.UNKNOWN_KIND

    def _fold_claim(
        self, offset: int, body: job_transitions.ClaimRecord
    ) -> IgnoredReason | None:
        current = self._claims[-1] if self._claims else None
        claim = job_transitions.next_claim(current, offset, body)
        if isinstance(claim, IgnoredReason):
            return claim
        claims = self._claims
        if current is not None and current.term == claim.term:
            claims = claims[:-1]
        self._claims = (*claims, claim)[-MAX_CLAIMS:]
        return None

    def _is_active_term(self, term: int) -> bool:
        if not self._claims:
            return False
        claim = self._claims[-1]
        return claim.term == term and not claim.released

    def _fold_admission(
        self, offset: int, body: job_records.JobAdmitted
    ) -> IgnoredReason | None:
        spec = body.spec
        existing = self._jobs.get(spec.id)
        if existing is not None and not job_transitions.can_be_readmitted(
            existing, body
        ):
            same = existing.spec == spec
            return (
                IgnoredReason.DUPLICATE_JOB
                if same
                else IgnoredReason.JOB_ID_TAKEN
            )
        retired = self._retired.get(job_state.id_hash(spec.id))
        if existing is None and retired is not None:
            same = retired == job_state.spec_hash(spec)
            return (
                IgnoredReason.DUPLICATE_JOB
                if same
                else IgnoredReason.JOB_ID_TAKEN
            )
        self._store_job(
            job_state.JobState(
                spec=spec,
                order=offset,
                attempt=body.attempt,
                checkpoint_ms=body.checkpoint_ms,
                changed_offset=offset,
            )
        )
        return None

    def _fold_job(
        self, offset: int, body: job_transitions.JobRecord
    ) -> IgnoredReason | None:
        state = self._jobs.get(body.job)
        if state is None:
            return IgnoredReason.UNKNOWN_JOB
        changed = job_transitions.next_state(state, offset, body)
        if isinstance(changed, IgnoredReason):
            return changed
        self._store_job(changed)
        if changed.ended:
            self._ended.append((offset, body.job))
        return None

    # Jobs and their indexes.

    def _store_job(self, state: job_state.JobState) -> None:
        self._unindex_job(state.spec.id)
        self._jobs[state.spec.id] = state
        self._jobs_hash ^= job_state.state_hash(state)
        self._phase_counts[state.phase] += 1
        self._changed[state.spec.id] = None
        if state.phase is job_state.JobPhase.ASSIGNED:
            job_ids = self._job_ids_by_worker.setdefault(state.worker, {})
            job_ids[state.spec.id] = None

    def _unindex_job(self, job: str) -> None:
        old = self._jobs.get(job)
        if old is None:
            return
        self._jobs_hash ^= job_state.state_hash(old)
        self._phase_counts[old.phase] -= 1
        if old.phase is job_state.JobPhase.ASSIGNED:
            job_ids = self._job_ids_by_worker[old.worker]
            del job_ids[job]
            if not job_ids:
                del self._job_ids_by_worker[old.worker]

    def _retire_ended_jobs(self, offset: int) -> None:
        due = offset - self._retire_after_records
        while self._ended and self._ended[0][0] <= due:
            ended_offset, job_id = self._ended.popleft()
            state = self._jobs.get(job_id)
            if state is None or state.changed_offset != ended_offset:
                continue
            self._unindex_job(job_id)
            del self._jobs[job_id]
            self._changed.pop(job_id, None)
            spec_hash = job_state.spec_hash(state.spec)
            self._retired[job_state.id_hash(job_id)] = spec_hash
        while len(self._retired) > self._max_retired_ids:
            del self._retired[next(iter(self._retired))]

"""The state of one zone, folded from its stream in order of offset.

What is contested is settled by position alone: the first claim that names the
term in force wins it, an owner's record counts only under the term in force,
and a cancellation before an assignment makes the assignment void.
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

    Job states are immutable, so readers keep what they were given.
    """

    def __init__(
        self,
        retire_after_records: int = RETIRE_AFTER_RECORDS,
        max_retired_ids: int = MAX_RETIRED_IDS,
    ) -> None:
        self._retire_after_records = retire_after_records
        self._max_retired_ids = max_retired_ids
        self._lock = threading.RLock()
        self._events: collections.Counter[IgnoredReason] = collections.Counter()
        self._changed: dict[str, None] = {}
        self._all_changed = True
        self._clear()

    def _clear(self) -> None:
        self._offset = -1
        self._jobs: dict[str, job_state.JobState] = {}
        self._by_worker: dict[str, dict[str, None]] = {}
        self._phase_counts: collections.Counter[job_state.JobPhase] = (
            collections.Counter()
        )
        self._jobs_hash = 0
        self._ended: collections.deque[tuple[int, str]] = collections.deque()
        self._retired: dict[int, int] = {}
        self._claims: tuple[job_state.Claim, ...] = ()

    # What `streams.RecordFold` asks for.

    def apply(self, offset: int, envelope: records.Envelope, body: Any) -> None:
        """See `streams.RecordFold.apply`."""
        del envelope
        with self._lock:
            if offset <= self._offset:
                self._events[IgnoredReason.REPEATED_RECORD] += 1
                return
            self._offset = offset
            self._retire(offset)
            refused = self._fold(offset, body)
            if refused is not None:
                self._events[refused] += 1

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
        """See `streams.RecordFold.restore`; ValueError if malformed."""
        try:
            taken = _snapshot_decoder.decode(snapshot)
        except msgspec.MsgspecError as error:
            raise ValueError(str(error)) from error
        with self._lock:
            self._clear()
            self._offset = max(offset, taken.offset)
            self._ended.extend(taken.ended)
            self._retired.update(taken.retired)
            self._claims = taken.claims
            for state in taken.jobs:
                self._put(state)
            self._all_changed = True

    def digest(self) -> str:
        """See `streams.RecordFold.digest`."""
        with self._lock:
            rest = _encoder.encode(
                (self._jobs_hash, len(self._jobs), self._claims)
            )
        return xxhash.xxh3_64_hexdigest(rest)

    # What the owner, the job desk and `status` read.

    def offset(self) -> int:
        """Offset of the last record folded; -1 before the first."""
        with self._lock:
            return self._offset

    def claims(self) -> tuple[job_state.Claim, ...]:
        """The last claims, the one in force last; empty before the first."""
        return self._claims

    def job(self, job: str) -> job_state.JobState | None:
        """A job still kept in full, else None."""
        with self._lock:
            return self._jobs.get(job)

    def retired_spec_hash(self, job: str) -> int | None:
        """Hash of the content of a job that ended long ago, else None."""
        with self._lock:
            return self._retired.get(job_state.id_hash(job))

    def jobs(self) -> tuple[job_state.JobState, ...]:
        """All jobs kept in full, in order of admission."""
        with self._lock:
            return tuple(self._jobs.values())

    def jobs_on_worker(self, worker: str) -> tuple[job_state.JobState, ...]:
        """Jobs whose running attempt is assigned to a worker."""
        with self._lock:
            names = self._by_worker.get(worker, {})
            return tuple(self._jobs[name] for name in names)

    def assigned_workers(self) -> tuple[str, ...]:
        """Workers to which any attempt is assigned."""
        with self._lock:
            return tuple(self._by_worker)

    def count_in_phase(self, phase: job_state.JobPhase) -> int:
        """How many jobs stand in a phase."""
        with self._lock:
            return self._phase_counts[phase]

    def events(self) -> dict[IgnoredReason, int]:
        """How many records changed nothing, by reason, since the start."""
        with self._lock:
            return dict(self._events)

    def drain_changes(self) -> tuple[str, ...] | None:
        """Ids changed since the last call; None when any may have."""
        with self._lock:
            changed = tuple(self._changed)
            everything = self._all_changed
            self._changed.clear()
            self._all_changed = False
        return None if everything else changed

    # Records.

    def _fold(self, offset: int, body: Any) -> IgnoredReason | None:
        match body:
            case (
                job_records.OwnerClaimed()
                | job_records.OwnerRenewed()
                | job_records.OwnerReleased()
            ):
                return self._fold_claim(offset, body)
            case job_records.JobAdmitted():
                return self._admit(offset, body)
            case job_records.JobCancelled():
                return self._fold_job(offset, body)
            case (
                job_records.AttemptAssigned()
                | job_records.AttemptCheckpointed()
                | job_records.AttemptEnded()
                | job_records.JobParked()
                | job_records.JobMoved()
            ):
                if not self._is_owners(body.term):
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
        kept = self._claims
        if current is not None and current.term == claim.term:
            kept = kept[:-1]
        self._claims = (*kept, claim)[-MAX_CLAIMS:]
        return None

    def _is_owners(self, term: int) -> bool:
        if not self._claims:
            return False
        claim = self._claims[-1]
        return claim.term == term and not claim.released

    def _admit(
        self, offset: int, body: job_records.JobAdmitted
    ) -> IgnoredReason | None:
        spec = body.spec
        known = self._jobs.get(spec.id)
        if known is not None and not job_transitions.may_return(known, body):
            same = known.spec == spec
            return (
                IgnoredReason.DUPLICATE_JOB
                if same
                else IgnoredReason.JOB_ID_TAKEN
            )
        retired = self._retired.get(job_state.id_hash(spec.id))
        if known is None and retired is not None:
            same = retired == job_state.spec_hash(spec)
            return (
                IgnoredReason.DUPLICATE_JOB
                if same
                else IgnoredReason.JOB_ID_TAKEN
            )
        self._put(
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
        self._put(changed)
        if changed.ended:
            self._ended.append((offset, body.job))
        return None

    # Bookkeeping.

    def _put(self, state: job_state.JobState) -> None:
        self._drop(state.spec.id)
        self._jobs[state.spec.id] = state
        self._jobs_hash ^= job_state.state_hash(state)
        self._phase_counts[state.phase] += 1
        self._changed[state.spec.id] = None
        if state.phase is job_state.JobPhase.ASSIGNED:
            names = self._by_worker.setdefault(state.worker, {})
            names[state.spec.id] = None

    def _drop(self, job: str) -> None:
        old = self._jobs.get(job)
        if old is None:
            return
        self._jobs_hash ^= job_state.state_hash(old)
        self._phase_counts[old.phase] -= 1
        if old.phase is job_state.JobPhase.ASSIGNED:
            names = self._by_worker[old.worker]
            del names[job]
            if not names:
                del self._by_worker[old.worker]

    def _retire(self, offset: int) -> None:
        due = offset - self._retire_after_records
        while self._ended and self._ended[0][0] <= due:
            ended_offset, name = self._ended.popleft()
            state = self._jobs.get(name)
            if state is None or state.changed_offset != ended_offset:
                continue
            self._drop(name)
            del self._jobs[name]
            self._changed.pop(name, None)
            content = job_state.spec_hash(state.spec)
            self._retired[job_state.id_hash(name)] = content
        while len(self._retired) > self._max_retired_ids:
            del self._retired[next(iter(self._retired))]

"""The workers of a cell in their current incarnations, with their sessions."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import types
from typing import final
from typing import Self

import attrs
import logbook
import result

from comfreylatch._ports import cell_workers
from comfreylatch._ports import clock as clock_port
from comfreylatch._process import logs
from comfreylatch._process.cell import events
from comfreylatch._process.cell import reasons
from comfreylatch._process.cell import records
from comfreylatch._process.cell import recovered_state
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import worker_session
from comfreylatch._process.cell import worker_view
from comfreylatch._process.cell.carryover import former_leases
from comfreylatch._process.cell.carryover import late_starts
from comfreylatch._process.cell.listing import incarnations
from comfreylatch._process.cell.sizing import worker_limit
from comfreylatch._process.cell.succession import confirmed_tenure

# How long a worker without an entry is still called: entries that lapsed during
# an outage of the store are back within two seconds.
UNLISTED_GRACE_MS = 2_500
# Age of the entries up to which starts rely on the capacity in them, where
# workers don't guard it. A shrunk capacity counts three seconds after it was
# published; orders may take one of these.
MAX_CAPACITY_AGE_MS = 2_000

OpenSession = Callable[[cell_workers.WorkerEntry], worker_session.WorkerSession]

_logger = logbook.Logger(__name__)


@attrs.frozen
class LostRuns:
    """All runs of a worker, which have certainly ended without a report.

    Attributes:
        runs: The runs.
        reason: Why they are known to have ended.
        entry: Entry of the worker's incarnation.
        failed_ms: Monotonic time since which the worker hasn't answered.
        is_planned: Whether the worker was expected to leave.
    """

    runs: tuple[runs_module.Run, ...]
    reason: reasons.LossReason
    entry: cell_workers.WorkerEntry
    failed_ms: int
    is_planned: bool = False


@attrs.define(eq=False)
class _EndCursor:
    """Number of an incarnation's last processed end, see `EndedRun`."""

    last_processed: int = 0


@final
class WorkerTable:
    """Views and sessions of all workers. A context manager.

    Used by the owner's thread only.

    Args:
        open_session: Creates the session for an incarnation of a worker.
        clock: Source of all times.
        known_workers: Workers that may have runs of a previous owner, by id.
        tenure: Tells whether leases on silent workers have ended.
        max_workers: Most workers to drive.
        max_lease_ms: Longest lease on a worker's clock that the platform
            allows.
    """

    def __init__(
        self,
        open_session: OpenSession,
        clock: clock_port.Clock,
        known_workers: Mapping[str, recovered_state.KnownWorker],
        tenure: confirmed_tenure.ConfirmedTenure,
        max_workers: int = 1 << 30,
        max_lease_ms: int = former_leases.DEFAULT_MAX_LEASE_MS,
    ) -> None:
        self._max_workers = max_workers
        self._former_leases = former_leases.FormerLeases(max_lease_ms, clock)
        self._left_out_count = 0
        self._open_session = open_session
        self._clock = clock
        self._known_workers = known_workers
        self._tenure = tenure
        self._views: dict[str, worker_view.WorkerView] = {}
        self._newest_born_ms: dict[str, int] = {}
        self._sessions: dict[str, worker_session.WorkerSession] = {}
        self._end_cursors: dict[str, _EndCursor] = {}

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        for session in self._sessions.values():
            session.__exit__(exc_type, exc, traceback)

    def __iter__(self) -> Iterator[worker_view.WorkerView]:
        return iter(self._views.values())

    def __len__(self) -> int:
        return len(self._views)

    @property
    def are_mostly_unreachable(self) -> bool:
        """Whether calls to most of the listed workers fail.

        A worker whose first call has not returned may be reachable.
        """
        listed = [view for view in self if view.is_listed]
        failing_count = sum(view.failing_since_ms > 0 for view in listed)
        return 2 * failing_count > len(listed)

    def find(self, worker_id: str) -> worker_view.WorkerView | None:
        """Returns a worker by its id."""
        return self._views.get(worker_id)

    def by_id(self) -> dict[str, worker_view.WorkerView]:
        """Returns all workers by their ids; not to be modified."""
        return self._views

    def session(self, worker_id: str) -> worker_session.WorkerSession | None:
        """Returns the session of a worker."""
        return self._sessions.get(worker_id)

    def racks(self) -> dict[str, str]:
        """Returns the rack of each worker, by its id."""
        return {view.worker_id: view.rack for view in self}

    def incarnations(self) -> dict[str, int]:
        """Returns the incarnations on which runs may be, by worker id.

        An incarnation is identified by its start time, `born_ms`.
        """
        return {
            view.worker_id: view.entry.born_ms
            for view in self
            if view.is_answering or view.runs
        }

    def apply_listing(
        self, entries: dict[str, cell_workers.WorkerEntry]
    ) -> list[LostRuns]:
        """Applies the platform's list of workers.

        Returns:
            The runs of incarnations that a newer one has replaced.
        """
        now_ms = self._clock.monotonic_ms()
        self._newest_born_ms = _newest_by_address(entries)
        lost = self._drop_replaced(entries)
        for worker_id, entry in self._select(entries).items():
            if self.is_replaced(entry.address, entry.born_ms):
                continue
            view = self._views.get(worker_id)
            if view is not None and view.entry.born_ms != entry.born_ms:
                if entry.born_ms < view.entry.born_ms:
                    continue
                lost.append(self._renew(view, entry))
                continue
            if view is None:
                self._add(entry)
                continue
            if view.entry.capacity != entry.capacity:
                _log_capacity(view, entry)
            view.update(entry)
            view.is_listed = True
            view.unlisted_since_ms = 0
        for view in self._views.values():
            if view.worker_id not in entries and view.is_listed:
                view.is_listed = False
                view.unlisted_since_ms = now_ms
        return [lost_runs for lost_runs in lost if lost_runs.runs]

    def _renew(
        self,
        view: worker_view.WorkerView,
        entry: cell_workers.WorkerEntry,
    ) -> LostRuns:
        """Replaces a worker by its next incarnation under the same id.

        Returns:
            The runs that have certainly ended.
        """
        in_doubt = incarnations.take_runs_in_doubt(
            view,
            self._clock.monotonic_ms(),
            self._clock.wall_ms() - entry.born_ms,
        )
        late = self._sessions[entry.worker_id].late_starts
        lost = self._drop(view, reasons.LossReason.REBORN)
        self._add(entry)
        for run in in_doubt:
            self._views[entry.worker_id].add(run)
        self._prevent(late, self._views[entry.worker_id])
        return lost

    def _prevent(
        self, late: late_starts.LateStarts, view: worker_view.WorkerView
    ) -> None:
        """Stops runs whose start may still reach a worker.

        The former incarnation may have refused them for good, and their tasks
        may run elsewhere.
        """
        session = self._sessions[view.worker_id]
        session.late_starts.update(late)
        for start in late.recent():
            if worker_view.run_key(start.task, start.number) not in view.runs:
                session.stop(None, start.task, start.number)

    def _select(
        self, entries: dict[str, cell_workers.WorkerEntry]
    ) -> dict[str, cell_workers.WorkerEntry]:
        """Returns the listed workers that this owner drives."""
        known = self._views.keys() | self._known_workers.keys()
        selected = worker_limit.select(entries, known, self._max_workers)
        left_out_count = len(entries) - len(selected)
        if left_out_count != self._left_out_count:
            self._left_out_count = left_out_count
            logs.event(
                _logger,
                "workers-left-out",
                left_out=left_out_count,
                driven=len(selected),
                limit=self._max_workers,
            )
        return selected

    def _drop_replaced(
        self, entries: Mapping[str, cell_workers.WorkerEntry]
    ) -> list[LostRuns]:
        """Drops workers at whose address one with another id has started."""
        return [
            self._drop(view, reasons.LossReason.REBORN)
            for view in list(self._views.values())
            if self.is_replaced(view.entry.address, view.entry.born_ms)
            and not self._is_renewed(view, entries)
        ]

    def _is_renewed(
        self,
        view: worker_view.WorkerView,
        entries: Mapping[str, cell_workers.WorkerEntry],
    ) -> bool:
        """Whether a worker's next incarnation has the same id."""
        entry = entries.get(view.worker_id)
        return (
            entry is not None
            and entry.born_ms > view.entry.born_ms
            and not self.is_replaced(entry.address, entry.born_ms)
        )

    def is_replaced(self, address: str, born_ms: int) -> bool:
        """Whether a later worker has started at an address."""
        return self.newest_born_ms(address) > born_ms

    def newest_born_ms(self, address: str) -> int:
        """Returns when the latest listed worker at an address has started."""
        return self._newest_born_ms.get(address, 0)

    def handle_hold(self, event: events.HoldReturned) -> bool:
        """Applies the outcome of a hold call.

        Returns:
            False if the call was to a former incarnation and is ignored.
        """
        view = self._views.get(event.worker_id)
        if view is None or view.entry.born_ms != event.born_ms:
            return False
        view.deadline_ms = max(view.deadline_ms, event.deadline_ms)
        match event.outcome:
            case result.Ok(answer):
                if not view.answered_ms:
                    view.first_clock_ms = answer.clock_ms
                view.clock_ms = answer.clock_ms
                view.clock_read_ms = event.received_ms
                if not view.is_answering:
                    logs.event(
                        _logger,
                        "worker-answers",
                        worker=view.worker_id,
                        away_ms=event.received_ms
                        - (view.failing_since_ms or event.received_ms),
                    )
                view.answered_ms = event.received_ms
                view.has_listed_all |= answer.lists_all_ends
                view.failing_since_ms = 0
            case result.Err(error):
                self.mark_failing(view, str(error))
        return True

    def _note_next_incarnation(
        self,
        view: worker_view.WorkerView,
        session: worker_session.WorkerSession,
    ) -> None:
        """Notes that another incarnation answers, which is not listed yet.

        It may have accepted starts that were meant for this one.
        """
        known = self._known_workers.get(view.worker_id)
        view.former_leases_end_ms = max(
            view.former_leases_end_ms,
            self._former_leases.next_end_ms(session.renewals_end_ms),
            known.next_release_after_ms if known else 0,
        )

    def mark_failing(self, view: worker_view.WorkerView, detail: str) -> None:
        """Marks a worker as failing after a call without an answer."""
        if view.failing_since_ms == 0:
            view.failing_since_ms = self._clock.monotonic_ms()
            logs.warning(
                _logger,
                "worker-fails",
                worker=view.worker_id,
                detail=detail,
                runs=len(view.runs),
            )

    def new_ends(
        self, worker_id: str, answer: cell_workers.HoldAnswer
    ) -> tuple[cell_workers.EndedRun, ...]:
        """Returns an answer's ends that were not processed before."""
        cursor = self._end_cursors[worker_id]
        new_ends = tuple(
            end for end in answer.ended if end.number > cursor.last_processed
        )
        if new_ends:
            cursor.last_processed = new_ends[-1].number
        return new_ends

    def acknowledger(self, worker_id: str) -> Callable[[], None] | None:
        """Returns a function that acknowledges the ends processed so far."""
        session = self._sessions.get(worker_id)
        if session is None:
            return None
        number = self._end_cursors[worker_id].last_processed
        return lambda: session.acknowledge(number)

    def expire(self) -> list[LostRuns]:
        """Drops missing workers; returns runs that have certainly ended."""
        now_ms = self._clock.monotonic_ms()
        lost = []
        for view in list(self._views.values()):
            if view.is_answering:
                continue
            session = self._sessions[view.worker_id]
            view.deadline_ms = max(view.deadline_ms, session.latest_deadline_ms)
            if session.has_seen_other:
                self._note_next_incarnation(view, session)
            if not self._tenure.has_passed(view.lease_expiry_ms()):
                continue
            missing_ms = now_ms - view.unlisted_since_ms
            if view.unlisted_since_ms and missing_ms > UNLISTED_GRACE_MS:
                lost.append(self._drop(view, reasons.LossReason.WORKER_GONE))
            elif view.runs and not _start_was_sent(view, session):
                lost.append(
                    self._remove_runs(view, reasons.LossReason.LEASE_OVER)
                )
        return [lost_runs for lost_runs in lost if lost_runs.runs]

    def unknown(self) -> list[str]:
        """Returns the workers that may have runs that are not known here.

        A worker is known once its current incarnation, which may be a later one
        than the previous owner's, has listed all of its runs and their ends, or
        when leases of previous owners have ended there. A later worker at its
        address with another id shows that it has ended.
        """
        return [
            worker_id
            for worker_id, known in self._known_workers.items()
            if self._may_have_unknown_runs(worker_id, known)
        ]

    def _may_have_unknown_runs(
        self, worker_id: str, known: recovered_state.KnownWorker
    ) -> bool:
        view = self._views.get(worker_id)
        if view is not None and view.entry.born_ms >= known.born_ms:
            return view.may_have_unknown_runs(self._tenure)
        if self.is_replaced(known.address, known.born_ms):
            return False
        return not self._tenure.has_passed(known.release_after_ms)

    def has_listed_runs(self, worker_id: str, born_ms: int) -> bool:
        """Whether this incarnation has told this owner what it runs."""
        view = self._views.get(worker_id)
        return (
            view is not None
            and view.entry.born_ms == born_ms
            and view.has_listed_all
        )

    def successors_born_ms(self) -> list[int]:
        """Returns when the workers started that replaced known ones."""
        return [
            self.newest_born_ms(known.address)
            for known in self._known_workers.values()
            if self.is_replaced(known.address, known.born_ms)
        ]

    @property
    def are_known_workers_missing(self) -> bool:
        """Whether a worker with runs of a previous owner has not answered."""
        return not all(
            self.has_listed_runs(worker_id, known.born_ms)
            for worker_id, known in self._known_workers.items()
        )

    def addresses(self) -> dict[str, str]:
        """Returns the address of each worker, by its id."""
        return {view.worker_id: view.entry.address for view in self}

    def note_capacity_limits(
        self, guards_capacity: Callable[[str], bool], listing_age_ms: int
    ) -> None:
        """Notes which workers take more than their capacity if told to.

        Args:
            guards_capacity: Whether the workers of a service refuse that.
            listing_age_ms: Age of the newest complete reading of the entries.
        """
        is_current = listing_age_ms <= MAX_CAPACITY_AGE_MS
        for view in self:
            view.guards_capacity = guards_capacity(view.entry.service)
            view.is_capacity_current = is_current

    def forbid_starts(self, recorded: dict[str, int]) -> None:
        """Forbids starts on incarnations that a new record leaves out."""
        for view in self:
            if recorded.get(view.worker_id) != view.entry.born_ms:
                view.is_recorded = False

    def allow_starts(self, recorded: dict[str, int]) -> None:
        """Allows starts on exactly the incarnations in the stored record."""
        for view in self:
            born_ms = recorded.get(view.worker_id)
            view.is_recorded = born_ms == view.entry.born_ms

    def older_leases(self) -> dict[str, int]:
        """Returns how much longer older leases last on silent workers.

        Returns:
            Milliseconds until no lease of a previous owner is left on a worker
            whose lease this one has not renewed, by worker id.
        """
        now_ms = self._clock.monotonic_ms()
        return {
            worker_id: max(known.release_after_ms - now_ms, 0)
            for worker_id, known in self._known_workers.items()
            if not self._may_have_renewed(worker_id)
        }

    def remaining_leases(self, renewed_ms: int) -> records.RemainingLeases:
        """Returns how much longer leases last if none is renewed any more.

        Args:
            renewed_ms: How long a lease lasts that was renewed just now.
        """
        remaining = self.older_leases()
        for worker_id, former_ms in self.former_leases().items():
            # A lease that this owner has renewed may last longer.
            renewed_or_older_ms = remaining.get(worker_id, renewed_ms)
            remaining[worker_id] = max(former_ms, renewed_or_older_ms)
        return records.RemainingLeases(renewed_ms, remaining)

    def former_leases(self) -> dict[str, int]:
        """Returns how much longer leases from calls to others may last.

        Returns:
            Milliseconds until no lease is left that a call to a former
            incarnation may have given, by worker id.
        """
        now_ms = self._clock.monotonic_ms()
        return {
            view.worker_id: view.former_leases_end_ms - now_ms
            for view in self
            if view.former_leases_end_ms > now_ms
        }

    def _may_have_renewed(self, worker_id: str) -> bool:
        # The session may have had an answer that the owner has not handled.
        session = self._sessions.get(worker_id)
        return session is not None and session.has_answer

    def _add(self, entry: cell_workers.WorkerEntry) -> None:
        view = worker_view.WorkerView(
            entry, former_leases_end_ms=self._former_leases.end_ms(entry)
        )
        known = self._known_workers.get(entry.worker_id)
        if known is not None:
            view.release_after_ms = known.release_of(entry.born_ms)
            view.former_leases_end_ms = max(
                view.former_leases_end_ms,
                known.former_leases_of(entry.born_ms),
            )
        session = self._open_session(entry)
        self._views[entry.worker_id] = view
        self._sessions[entry.worker_id] = session
        self._end_cursors[entry.worker_id] = _EndCursor()
        session.__enter__()
        logs.event(
            _logger,
            "worker-added",
            worker=entry.worker_id,
            address=entry.address,
            born_ms=entry.born_ms,
            cpu_millicores=entry.capacity.cpu_millicores,
            former_leases_ms=max(
                view.former_leases_end_ms - self._clock.monotonic_ms(), 0
            ),
        )

    def _remove_runs(
        self, view: worker_view.WorkerView, reason: reasons.LossReason
    ) -> LostRuns:
        runs = tuple(view.runs.values())
        for run in runs:
            view.remove(run)
        return LostRuns(
            runs,
            reason,
            view.entry,
            view.failing_since_ms or self._clock.monotonic_ms(),
            view.entry.is_draining or view.is_being_emptied,
        )

    def _drop(
        self, view: worker_view.WorkerView, reason: reasons.LossReason
    ) -> LostRuns:
        lost = self._remove_runs(view, reason)
        del self._views[view.worker_id]
        del self._end_cursors[view.worker_id]
        session = self._sessions.pop(view.worker_id)
        session.__exit__(None, None, None)
        self._former_leases.note_dropped(
            view.entry, view.former_leases_end_ms, session.renewals_end_ms
        )
        logs.event(
            _logger,
            "worker-dropped",
            worker=view.worker_id,
            reason=reason,
            runs=len(lost.runs),
        )
        return lost


def _log_capacity(
    view: worker_view.WorkerView, entry: cell_workers.WorkerEntry
) -> None:
    before, after = view.entry.capacity, entry.capacity
    logs.event(
        _logger,
        "worker-capacity",
        worker=view.worker_id,
        cpu_millicores_before=before.cpu_millicores,
        cpu_millicores=after.cpu_millicores,
        memory_mb_before=before.memory_mb,
        memory_mb=after.memory_mb,
        free_millicores_before=view.free_cpu,
        runs=len(view.runs),
    )


def _newest_by_address(
    entries: Mapping[str, cell_workers.WorkerEntry],
) -> dict[str, int]:
    """Returns when the latest worker at each address has started.

    A worker that crashes may start again under another id, while its former
    entry is still listed.
    """
    newest: dict[str, int] = {}
    for entry in entries.values():
        newest[entry.address] = max(newest.get(entry.address, 0), entry.born_ms)
    return newest


def _start_was_sent(
    view: worker_view.WorkerView, session: worker_session.WorkerSession
) -> bool:
    """Marks a worker's runs as over, unless a start has just been sent to it.

    The session's thread notes the deadline of a start before it checks whether
    the run is over. So a start whose deadline is not noted after the mark is
    not sent any more.
    """
    runs = tuple(view.runs.values())
    for run in runs:
        run.is_over = True
    if session.latest_deadline_ms <= view.deadline_ms:
        return False
    for run in runs:
        run.is_over = False
    return True

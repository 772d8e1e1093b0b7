"""The owner's loop: from the fold and the workers' reports to records.

An assignment is on the stream and folded under this host's term before its
start is sent; what the fold does not show has not been decided.
"""

from __future__ import annotations

from collections.abc import Sequence
import threading
import types
from typing import Any
from typing import final

import attrs
import logbook
import result

from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import configuration as configuration_port
from comfreylatch._ports import hosts
from comfreylatch._ports import streams
from comfreylatch._ports import workers
from comfreylatch._process import journal as journal_module
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.batch import attempt_table
from comfreylatch._process.batch import capacity
from comfreylatch._process.batch import dispatcher as dispatcher_module
from comfreylatch._process.batch import end_observer
from comfreylatch._process.batch import job_queue
from comfreylatch._process.batch import link_pool
from comfreylatch._process.batch import ownership as ownership_module
from comfreylatch._process.batch import placement as placement_module
from comfreylatch._process.batch import worker_health
from comfreylatch._process.batch import worker_session
from comfreylatch._process.batch import zone_workers
from comfreylatch._version import job_records
from comfreylatch._version import job_state
from comfreylatch._version import zone_fold

STEP_MS = 100
IDLE_STEP_MS = 250
LEAST_STEP_MS = 20
LOST_CHECK_MS = 250
APPEND_TIMEOUT_MS = 1_500
MAX_RECORDS_PER_APPEND = 256

_events = logbook.Logger(__name__)


class NoCost:
    """Predicts no interference; the model when nothing is learned."""

    def cost_milli(self, job_class: str, worker: str) -> int:  # noqa: ARG002
        """See `placement.CostModel.cost_milli`."""
        return 0


@attrs.frozen
class OwnerStatus:
    """What `status` shows of batch work.

    Attributes:
        owner: Host id of the zone's owner as folded; empty if there is none.
        term: Term in force.
        holds: Whether this host may start work now.
        fold_offset: Last record of the zone's stream folded here.
        queued: Jobs that wait.
        running: Attempts assigned.
        parked: Jobs set aside.
        quarantined: Workers that get no new work, or only probes.
    """

    owner: str
    term: int
    holds: bool
    fold_offset: int
    queued: int
    running: int
    parked: int
    quarantined: tuple[str, ...]


@final
class ZoneOwner:
    """Runs the zone's workers while this host holds the claim.

    As a context manager it runs `step` on a thread of its own.
    """

    def __init__(
        self,
        zone: str,
        ownership: ownership_module.Ownership,
        appender: streams.RecordAppender,
        follower: ownership_module.Follower,
        fold: zone_fold.ZoneFold,
        source: configuration_port.ConfigurationSource,
        pool: link_pool.LinkPool,
        journal: journal_module.Journal,
        metrics: metrics_module.Metrics,
        clock: clock_port.Clock,
        policy: placement_module.Policy = (
            placement_module.Policy.PREDICTED_COST
        ),
    ) -> None:
        self._zone = zone
        self._ownership = ownership
        self._appender = appender
        self._follower = follower
        self._fold = fold
        self._source = source
        self._pool = pool
        self._metrics = metrics
        self._clock = clock
        self._policy = policy
        self._term = 0
        self._host_list: hosts.HostList | None = None
        self._lost_checked_ms = 0
        self._append_after_ms = 0
        self._uncertain: dict[str, job_records.AttemptAssigned] = {}
        self._health = worker_health.WorkerHealth()
        self._observer = end_observer.EndObserver(
            zone, fold, self._health, journal, metrics
        )
        self._build()
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="zone-owner", daemon=True
        )

    def _build(self) -> None:
        """Makes empty books, as at the start of a term."""
        self._ledger = capacity.CapacityLedger()
        self._workers = zone_workers.ZoneWorkers(self._zone, self._ledger)
        self._queue = job_queue.JobQueue()
        self._placement = placement_module.Placement(
            self._ledger, NoCost(), self._policy
        )
        self._dispatcher = dispatcher_module.Dispatcher(
            self._queue, self._placement, self._size_for
        )
        self._table = attempt_table.AttemptTable(
            self._fold, self._pool, self._metrics
        )
        self._table.reset(self._term)
        self._uncertain.clear()

    def __enter__(self) -> ZoneOwner:
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Ends the loop, then all links; the claim is released after it."""
        self._stopping.set()
        self._pool.woken.set()
        self._thread.join()
        self._pool.stop_all()

    def update_listed(self, host_list: hosts.HostList) -> None:
        """Takes a new list of hosts; any thread may call it."""
        self._host_list = host_list

    def status(self) -> OwnerStatus:
        """What `status` shows; any thread may call it."""
        claims = self._fold.claims()
        claim = claims[-1] if claims else None
        owned = claim is not None and not claim.released
        hold = self._ownership.hold()
        return OwnerStatus(
            owner=claim.host if owned and claim else "",
            term=claim.term if claim else 0,
            holds=hold.may_start(self._clock.monotonic_ms()),
            fold_offset=self._fold.offset(),
            queued=self._fold.phase_count(job_state.JobPhase.QUEUED),
            running=self._fold.phase_count(job_state.JobPhase.ASSIGNED),
            parked=self._fold.phase_count(job_state.JobPhase.PARKED),
            quarantined=self._health.quarantined(),
        )

    def evict(self, job: str, reason: str) -> bool:
        """Checkpoints and stops a job's attempt; False if none runs here.

        To be called from the thread that calls `step`.
        """
        if not self._table.evict(job):
            return False
        _events.info("evict job={} reason={}", job, reason)
        return True

    def step(self) -> int:
        """Does all that is due; returns milliseconds until the next step."""
        hold = self._ownership.hold()
        if hold.term != self._term:
            self._change_term(hold.term)
        if hold.bounds is None:
            return IDLE_STEP_MS
        now_ms = self._clock.monotonic_ms()
        self._refresh_workers(now_ms)
        self._sync_fold(now_ms)
        self._take_events(hold.bounds, now_ms)
        self._check_lost(hold.bounds, now_ms)
        self._append_pending(now_ms)
        if hold.may_start(self._clock.monotonic_ms()):
            self._place()
        now_ms = self._clock.monotonic_ms()
        hold = self._ownership.hold()
        self._table.drive(hold.may_start(now_ms), now_ms)
        return STEP_MS

    # Inputs.

    def _change_term(self, term: int) -> None:
        self._term = term
        self._pool.clear_commands()
        self._build()
        if term == 0:
            self._pool.stop_all()
            return
        for state in self._fold.jobs():
            self._sync_job(state, self._clock.monotonic_ms())
        if self._host_list is not None:
            self._workers.set_list(self._host_list)

    def _refresh_workers(self, now_ms: int) -> None:
        host_list = self._host_list
        if host_list is not None:
            listed = zone_workers.zone_workers(host_list, self._zone)
            if listed != self._workers.listed():
                self._workers.set_list(host_list)
        listed = self._workers.listed()
        self._pool.update(listed.values(), self._table.workers())
        configuration = self._source.current()
        self._workers.set_configuration(configuration)
        self._queue.set_teams(configuration.teams)
        self._workers.refresh()
        for name, host in listed.items():
            self._ledger.set_open(name, self._is_open(host, now_ms))

    def _is_open(self, host: hosts.ListedHost, now_ms: int) -> bool:
        session = self._pool.session(host.name)
        if session is None or session.fenced_term != self._term:
            return False
        if host.state is not hosts.HostState.LIVE or session.failures > 0:
            return False
        match self._health.standing(host.name, now_ms):
            case worker_health.Standing.GOOD:
                return True
            case worker_health.Standing.PROBED:
                return not self._table.on_worker(host.name)
            case worker_health.Standing.QUARANTINED:
                return False

    def _sync_fold(self, now_ms: int) -> None:
        changed = self._fold.take_changes()
        if changed is None:
            for state in self._fold.jobs():
                self._sync_job(state, now_ms)
            return
        for job in changed:
            state = self._fold.job(job)
            if state is not None:
                self._sync_job(state, now_ms)

    def _sync_job(self, state: job_state.JobState, now_ms: int) -> None:
        self._uncertain.pop(state.spec.id, None)
        self._dispatcher.sync(state)
        self._table.sync(state, now_ms)

    def _take_events(self, bounds: job_records.HoldBounds, now_ms: int) -> None:
        for event in self._pool.take_events():
            if event.term != self._term:
                continue
            match event:
                case worker_session.Reported():
                    amount = event.report.capacity
                    self._workers.set_reported(event.worker, amount)
                    self._table.on_reported(event, bounds, now_ms)
                case worker_session.Unanswered():
                    self._table.on_unanswered(event)

    def _check_lost(self, bounds: job_records.HoldBounds, now_ms: int) -> None:
        if now_ms - self._lost_checked_ms < LOST_CHECK_MS:
            return
        self._lost_checked_ms = now_ms
        guard_until_ms = self._ownership.guard_until_ms()
        for worker in self._table.workers():
            self._table.declare_lost(worker, guard_until_ms, bounds, now_ms)

    def _size_for(self, state: job_state.JobState) -> workers.Resources:
        return state.spec.resources

    # Outputs.

    def _append_pending(self, now_ms: int) -> None:
        pending: list[Any] = self._table.pending_records()
        if not pending and self._uncertain:
            # Anything known to stand settles what was sent before it.
            host = self._ownership.host_id
            pending = [job_records.OwnerRenewed(self._term, host)]
        if not pending or now_ms < self._append_after_ms:
            return
        bodies = [
            self._observer.judge(body)
            for body in pending[:MAX_RECORDS_PER_APPEND]
        ]
        if self._append(bodies):
            self._settle_uncertain()
            self._sync_fold(now_ms)

    def _append(self, bodies: Sequence[Any]) -> bool:
        """Appends; True if the records stand and are folded."""
        outcome = self._appender.append(bodies, APPEND_TIMEOUT_MS)
        match outcome:
            case result.Ok(appended):
                last = appended.offset + len(bodies) - 1
                folded = self._follower.wait_for(last, APPEND_TIMEOUT_MS)
                if folded:
                    self._observer.note_folded(
                        bodies,
                        len(self._workers.listed()),
                        self._clock.monotonic_ms(),
                    )
                return folded
            case result.Err(streams.NotAccepted(_, retry_after_ms)):
                now_ms = self._clock.monotonic_ms()
                self._append_after_ms = now_ms + retry_after_ms
                self._undo(bodies)
                return False
            case result.Err(streams.AppendUnknown()):
                return False

    def _undo(self, bodies: Sequence[Any]) -> None:
        """Takes back assignments that certainly don't stand."""
        for body in bodies:
            if not isinstance(
                body, job_records.AttemptAssigned | job_records.JobParked
            ):
                continue
            self._uncertain.pop(body.job, None)
            state = self._fold.job(body.job)
            if state is not None:
                self._dispatcher.sync(state)

    def _settle_uncertain(self) -> None:
        settled = tuple(self._uncertain.values())
        self._uncertain.clear()
        self._undo(settled)

    def _place(self) -> None:
        now_ms = self._clock.monotonic_ms()
        if self._dispatcher.queued == 0 or now_ms < self._append_after_ms:
            return
        limits = self._source.current().limits
        made = self._dispatcher.run_round(self._term, limits.max_attempts)
        bodies: list[Any] = [*made.assigned, *made.parked]
        if not bodies:
            return
        for body in made.assigned:
            self._uncertain[body.job] = body
        if self._append(bodies):
            self._settle_uncertain()
            self._sync_fold(now_ms)

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                delay_ms = self.step()
            except Exception:
                _events.exception("owner step failed zone={}", self._zone)
                delay_ms = IDLE_STEP_MS
            self._stopping.wait(LEAST_STEP_MS / 1_000)
            self._pool.woken.wait(delay_ms / 1_000)
            self._pool.woken.clear()

"""Control loop of a zone's owner: turns folded state and reports into records.

An assignment is on the stream and folded under this host's term before its
start command is sent. A decision that the fold does not show was not made.
"""

from __future__ import annotations

from collections.abc import Sequence
import threading
import types
from typing import Any
from typing import final

import logbook
import result

from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import configuration as configuration_port
from comfreylatch._ports import hosts
from comfreylatch._ports import streams
from comfreylatch._ports import workers
from comfreylatch._process import journal as journal_module
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.batch import decision_reporter
from comfreylatch._process.batch import evictor
from comfreylatch._process.batch import link_pool
from comfreylatch._process.batch import owner_status
from comfreylatch._process.batch import ownership as ownership_module
from comfreylatch._process.batch import placement as placement_module
from comfreylatch._process.batch import scheduling_state
from comfreylatch._process.batch import usage_analyzer
from comfreylatch._process.batch import worker_health
from comfreylatch._process.batch import worker_session
from comfreylatch._version import job_records
from comfreylatch._version import job_state
from comfreylatch._version import zone_fold

STEP_INTERVAL_MS = 100
IDLE_STEP_INTERVAL_MS = 250
MIN_STEP_INTERVAL_MS = 20
WORKER_CHECK_INTERVAL_MS = 250
MAX_ROUND_INTERVAL_MS = 500
SLOWED_WORKER_POLL_INTERVAL_MS = 1_500
APPEND_TIMEOUT_MS = 1_500
MAX_RECORDS_PER_APPEND = 256

_logger = logbook.Logger(__name__)


@final
class ZoneOwner:
    """Schedules jobs on the zone's workers while this host holds the claim.

    As a context manager it calls `step` in a loop on its own thread.
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
        self._applied_host_list: hosts.HostList | None = None
        self._workers_checked_ms = -WORKER_CHECK_INTERVAL_MS
        self._append_retry_ms = 0
        self._next_round_ms = 0
        self._unconfirmed: dict[str, job_records.AttemptAssigned] = {}
        self._health = worker_health.WorkerHealth()
        self._usage = usage_analyzer.UsageAnalyzer()
        self._evictor = evictor.Evictor(metrics)
        self._reporter = decision_reporter.DecisionReporter(
            zone, fold, self._health, journal, metrics
        )
        self._scheduling = self._new_scheduling_state()
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="zone-owner", daemon=True
        )

    def _new_scheduling_state(self) -> scheduling_state.SchedulingState:
        return scheduling_state.SchedulingState(
            self._zone,
            self._term,
            self._fold,
            self._pool,
            self._usage,
            self._policy,
            self._metrics,
        )

    def __enter__(self) -> ZoneOwner:
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops the loop, then all links; the claim is released afterwards."""
        self._stopping.set()
        self._pool.woken.set()
        self._thread.join()
        self._pool.stop_all()

    def update_host_list(self, host_list: hosts.HostList) -> None:
        """Sets the list of hosts that the next step applies. Thread-safe."""
        self._host_list = host_list

    def status(self) -> owner_status.OwnerStatus:
        """Returns what the `status` command shows. Thread-safe."""
        now_ms = self._clock.monotonic_ms()
        may_start = self._ownership.permissions().may_start(now_ms)
        quarantined = self._health.quarantined()
        return owner_status.from_fold(self._fold, may_start, quarantined)

    def evict(self, job: str, reason: str) -> bool:
        """Starts the eviction of a job's attempt: a checkpoint, then a stop.

        Must be called from the thread that calls `step`.

        Returns:
            False if the job has no attempt here, or it is already ending.
        """
        now_ms = self._clock.monotonic_ms()
        if not self._scheduling.attempts.evict(job, now_ms):
            return False
        logs.event(_logger, "evict", job=job, reason=reason)
        return True

    def throttle(self, job: str, share_milli: int) -> None:
        """Limits a running attempt to a share of its processors.

        Must be called from the thread that calls `step`.
        """
        self._scheduling.attempts.throttle(job, share_milli)

    def step(self) -> int:
        """Runs one pass of the control loop.

        Returns:
            Milliseconds until the next step.
        """
        permissions = self._ownership.permissions()
        if permissions.term != self._term:
            self._change_term(permissions.term)
        if permissions.bounds is None:
            return IDLE_STEP_INTERVAL_MS
        now_ms = self._clock.monotonic_ms()
        self._sync_fold(now_ms)
        self._process_link_events(permissions.bounds, now_ms)
        if now_ms - self._workers_checked_ms >= WORKER_CHECK_INTERVAL_MS:
            self._workers_checked_ms = now_ms
            self._refresh_workers(now_ms)
            self._record_lost_attempts(permissions.bounds, now_ms)
        self._append_pending(now_ms)
        if permissions.may_start(self._clock.monotonic_ms()):
            self._run_scheduling_round()
        now_ms = self._clock.monotonic_ms()
        permissions = self._ownership.permissions()
        self._scheduling.attempts.send_due_commands(
            permissions.may_start(now_ms), now_ms
        )
        return STEP_INTERVAL_MS

    # Inputs.

    def _change_term(self, term: int) -> None:
        self._term = term
        self._pool.clear_commands()
        self._unconfirmed.clear()
        self._workers_checked_ms = -WORKER_CHECK_INTERVAL_MS
        self._scheduling = self._new_scheduling_state()
        if term == 0:
            self._pool.stop_all()
            return
        now_ms = self._clock.monotonic_ms()
        for state in self._fold.jobs():
            self._scheduling.sync_job(state, now_ms)

    def _refresh_workers(self, now_ms: int) -> None:
        scheduling = self._scheduling
        host_list = self._host_list
        if host_list is not None and host_list is not self._applied_host_list:
            self._applied_host_list = host_list
            scheduling.workers.set_list(host_list)
        elif host_list is not None and not scheduling.workers.listed():
            scheduling.workers.set_list(host_list)
        listed = scheduling.workers.listed()
        self._pool.update(listed.values(), scheduling.attempts.workers())
        configuration = self._source.current()
        scheduling.workers.set_configuration(configuration)
        scheduling.queue.set_teams(configuration.teams)
        scheduling.refresh_workers()
        allowed_slowdown = configuration.limits.service_slowdown_percent / 100
        scheduling.cost_model.now_ms = now_ms
        scheduling.cost_model.allowed_slowdown = allowed_slowdown
        self._usage.control.allowed_slowdown = allowed_slowdown
        for name, host in listed.items():
            scheduling.ledger.set_schedulable(
                name, self._is_schedulable(host, now_ms)
            )

    def _is_schedulable(self, host: hosts.ListedHost, now_ms: int) -> bool:
        session = self._pool.session(host.name)
        if session is None or session.fenced_term != self._term:
            return False
        if host.state is not hosts.HostState.LIVE or session.failures > 0:
            return False
        match self._health.health_state(host.name, now_ms):
            case worker_health.HealthState.GOOD:
                return True
            case worker_health.HealthState.PROBED:
                return not self._scheduling.attempts.attempts_on(host.name)
            case worker_health.HealthState.QUARANTINED:
                return False

    def _sync_fold(self, now_ms: int) -> None:
        changed = self._fold.drain_changes()
        if changed is None:
            for state in self._fold.jobs():
                self._sync_job(state, now_ms)
            return
        for job in changed:
            state = self._fold.job(job)
            if state is not None:
                self._sync_job(state, now_ms)

    def _sync_job(self, state: job_state.JobState, now_ms: int) -> None:
        self._unconfirmed.pop(state.spec.id, None)
        self._scheduling.sync_job(state, now_ms)

    def _process_link_events(
        self, bounds: job_records.ClaimBounds, now_ms: int
    ) -> None:
        for event in self._pool.drain_events():
            if event.term != self._term:
                continue
            match event:
                case worker_session.Reported():
                    reported_capacity = event.report.capacity
                    self._scheduling.workers.set_reported(
                        event.worker, reported_capacity
                    )
                    self._scheduling.attempts.on_reported(event, bounds, now_ms)
                    self._process_usage(event.report, now_ms)
                case worker_session.Unanswered():
                    self._scheduling.attempts.on_unanswered(event)
                    self._scheduling.ledger.set_schedulable(event.worker, False)

    def _process_usage(self, report: workers.WorkerReport, now_ms: int) -> None:
        if self._policy is placement_module.Policy.FIRST_FIT:
            return
        attempts = self._scheduling.attempts.attempts_on(report.worker)
        action = self._usage.process(report, self._fold.job, attempts, now_ms)
        if self._usage.control.needs_frequent_reports(report.worker):
            self._pool.poll_by(
                report.worker, now_ms + SLOWED_WORKER_POLL_INTERVAL_MS
            )
        if action is not None:
            per_hour = self._source.current().limits.evictions_per_hour
            self._evictor.apply(
                self._scheduling, report.worker, action, per_hour, now_ms
            )

    def _record_lost_attempts(
        self, bounds: job_records.ClaimBounds, now_ms: int
    ) -> None:
        predecessor_tasks_until_ms = (
            self._ownership.predecessor_tasks_until_ms()
        )
        attempts = self._scheduling.attempts
        for worker in attempts.workers():
            attempts.record_lost_attempts(
                worker, predecessor_tasks_until_ms, bounds, now_ms
            )

    # Outputs.

    def _append_pending(self, now_ms: int) -> None:
        pending: list[Any] = self._scheduling.attempts.pending_records()
        if not pending and self._unconfirmed:
            # Once a later record is folded, an earlier one of unknown
            # outcome is either folded too or never will be.
            host = self._ownership.host_id
            pending = [job_records.OwnerRenewed(self._term, host)]
        if not pending or now_ms < self._append_retry_ms:
            return
        bodies = [
            self._reporter.with_worker_fault(body)
            for body in pending[:MAX_RECORDS_PER_APPEND]
        ]
        if self._append(bodies):
            self._revert_unconfirmed()
            self._sync_fold(now_ms)

    def _append(self, bodies: Sequence[Any]) -> bool:
        """Appends records; True once they are on the stream and folded."""
        outcome = self._appender.append(bodies, APPEND_TIMEOUT_MS)
        match outcome:
            case result.Ok(appended):
                last = appended.offset + len(bodies) - 1
                folded = self._follower.wait_for(last, APPEND_TIMEOUT_MS)
                if folded:
                    self._reporter.report_folded(
                        bodies,
                        len(self._scheduling.workers.listed()),
                        self._clock.monotonic_ms(),
                    )
                return folded
            case result.Err(streams.NotAccepted(_, retry_after_ms)):
                now_ms = self._clock.monotonic_ms()
                self._append_retry_ms = now_ms + retry_after_ms
                self._revert(bodies)
                return False
            case result.Err(streams.AppendUnknown()):
                return False

    def _revert(self, bodies: Sequence[Any]) -> None:
        """Reverts decisions whose records are certainly not on the stream."""
        for body in bodies:
            if not isinstance(
                body, job_records.AttemptAssigned | job_records.JobParked
            ):
                continue
            self._unconfirmed.pop(body.job, None)
            state = self._fold.job(body.job)
            if state is not None:
                self._scheduling.scheduler.sync(state)

    def _revert_unconfirmed(self) -> None:
        unconfirmed = tuple(self._unconfirmed.values())
        self._unconfirmed.clear()
        self._revert(unconfirmed)

    def _run_scheduling_round(self) -> None:
        now_ms = self._clock.monotonic_ms()
        scheduling = self._scheduling
        if scheduling.scheduler.queued == 0 or now_ms < self._append_retry_ms:
            return
        if (
            not scheduling.scheduler.consume_changed()
            and now_ms < self._next_round_ms
        ):
            return
        self._next_round_ms = now_ms + MAX_ROUND_INTERVAL_MS
        limits = self._source.current().limits
        planned = self._assign_planned(now_ms)
        decisions = scheduling.scheduler.run_round(
            self._term,
            limits.max_attempts,
            lambda job: scheduling.planner.plan_for(job) is not None,
        )
        self._evictor.evict_for_waiting_jobs(
            scheduling, decisions, limits.evictions_per_hour, now_ms
        )
        assigned = [*planned, *decisions.assigned]
        bodies: list[Any] = [*assigned, *decisions.parked]
        if not bodies:
            return
        for body in assigned:
            self._unconfirmed[body.job] = body
        if self._append(bodies):
            self._revert_unconfirmed()
            self._sync_fold(now_ms)

    def _assign_planned(self, now_ms: int) -> list[job_records.AttemptAssigned]:
        """Assigns jobs whose planned evictions have freed enough capacity."""
        scheduling = self._scheduling
        assigned = []
        for plan in scheduling.planner.ready_plans(now_ms):
            scheduling.planner.complete(plan.job)
            state = self._fold.job(plan.job)
            if state is not None:
                body = scheduling.scheduler.assign(
                    state, plan.worker, plan.size, self._term
                )
                assigned.append(body)
        return assigned

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                delay_ms = self.step()
            except Exception:
                logs.exception(_logger, "owner-step-failed", zone=self._zone)
                delay_ms = IDLE_STEP_INTERVAL_MS
            self._stopping.wait(MIN_STEP_INTERVAL_MS / 1_000)
            self._pool.woken.wait(delay_ms / 1_000)
            self._pool.woken.clear()

"""Scheduling state of a zone's owner during one term."""

from __future__ import annotations

from typing import final

from comfreylatch._ports import workers
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.batch import attempt as attempt_module
from comfreylatch._process.batch import attempt_tracker
from comfreylatch._process.batch import capacity
from comfreylatch._process.batch import eviction_planner
from comfreylatch._process.batch import interference_cost
from comfreylatch._process.batch import job_queue
from comfreylatch._process.batch import job_scheduler
from comfreylatch._process.batch import placement as placement_module
from comfreylatch._process.batch import usage_analyzer
from comfreylatch._process.batch import zone_workers
from comfreylatch._version import job_state
from comfreylatch._version import zone_fold


@final
class SchedulingState:
    """Scheduling state, rebuilt from the fold in each term. Not thread-safe.

    Attributes:
        ledger: Free capacity of each worker.
        workers: Workers as listed and configured.
        queue: Queued jobs and the resources that each team uses.
        cost_model: Predicts the slowdown between attempts and services.
        scheduler: Assigns queued jobs to workers.
        attempts: Tracks assigned attempts and the reports of their workers.
        planner: Plans evictions for queued jobs.
    """

    def __init__(
        self,
        zone: str,
        term: int,
        fold: zone_fold.ZoneFold,
        sink: attempt_module.CommandSink,
        usage: usage_analyzer.UsageAnalyzer,
        policy: placement_module.Policy,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._usage = usage
        self._policy = policy
        self._largest_usable = capacity.NO_RESOURCES
        self.term = term
        self.ledger = capacity.CapacityLedger()
        self.workers = zone_workers.ZoneWorkers(zone, self.ledger)
        self.queue = job_queue.JobQueue()
        self.cost_model = interference_cost.InterferenceCostModel(
            usage.model, usage.sizes
        )
        self.scheduler = job_scheduler.JobScheduler(
            self.queue,
            placement_module.Placement(self.ledger, self.cost_model, policy),
            self.size_for,
        )
        self.attempts = attempt_tracker.AttemptTracker(
            fold, sink, metrics, self._share_for
        )
        self.attempts.reset(term)
        self.planner = eviction_planner.EvictionPlanner(
            self.ledger, self.attempts.attempts_on
        )

    def sync_job(self, state: job_state.JobState, now_ms: int) -> None:
        """Updates queue, reservations and attempts from a folded job state."""
        self.scheduler.sync(state)
        self.attempts.sync(state, now_ms)

    def size_for(self, state: job_state.JobState) -> workers.Resources:
        """Returns the resources to reserve for a job's next attempt."""
        declared = state.spec.resources
        if self._policy is placement_module.Policy.FIRST_FIT:
            return declared
        return self._usage.sizes.size(
            state.spec.job_class, declared, self._largest_usable
        )

    def refresh_workers(self) -> None:
        """Applies changes of the host list, configuration and reports."""
        if not self.workers.refresh():
            return
        self._largest_usable = capacity.NO_RESOURCES
        for account in self.ledger.accounts():
            usable = account.usable
            if usable.processors_milli > self._largest_usable.processors_milli:
                self._largest_usable = usable
            self.cost_model.set_worker(
                account.name, account.total.processors_milli
            )
            services = self.workers.services_on(account.name)
            self.cost_model.set_services(account.name, services)

    def _share_for(self, job: str) -> int:
        if self._policy is placement_module.Policy.FIRST_FIT:
            return attempt_tracker.FULL_SHARE_MILLI
        return self.cost_model.share_milli(job)

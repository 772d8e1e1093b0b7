"""Analysis of usage reports: learned sizes, interference and actions."""

from __future__ import annotations

from collections.abc import Callable
from typing import final

from comfreylatch._ports import workers
from comfreylatch._process.batch import attempt as attempt_module
from comfreylatch._process.batch import interference
from comfreylatch._process.batch import interference_control
from comfreylatch._process.batch import learned_sizes
from comfreylatch._version import job_state


@final
class UsageAnalyzer:
    """Learns sizes and interference. Not thread-safe."""

    def __init__(self) -> None:
        self.sizes = learned_sizes.LearnedSizes()
        self.model = interference.InterferenceModel()
        self.control = interference_control.InterferenceControl(self.model)

    def process(
        self,
        report: workers.WorkerReport,
        find_job: Callable[[str], job_state.JobState | None],
        attempts: tuple[attempt_module.Attempt, ...],
        now_ms: int,
    ) -> interference_control.Action | None:
        """Processes the measurements of a report in the given order.

        Returns:
            The last action decided against interference, or None.
        """
        host_processors_milli = max(1, report.capacity.processors_milli)

        def load_of(attempt: attempt_module.Attempt) -> float:
            spec = attempt.state.spec
            milli = self.sizes.used_milli(
                spec.job_class, spec.resources.processors_milli
            )
            return milli / host_processors_milli

        action: interference_control.Action | None = None
        for usage in report.usage:
            self._learn(usage, report.capacity, find_job)
            services = [
                (
                    service.service,
                    service.slowdown_milli / interference.UNIT_MILLI,
                )
                for service in usage.services
            ]
            decided = self.control.decide(
                report.worker,
                services,
                now_ms - usage.age_ms,
                attempts,
                load_of,
                now_ms,
            )
            action = decided or action
        return action

    def _learn(
        self,
        usage: workers.Usage,
        worker_capacity: workers.Resources,
        find_job: Callable[[str], job_state.JobState | None],
    ) -> None:
        class_by_job: dict[str, str] = {}
        for used in usage.tasks:
            state = find_job(used.job)
            if state is None:
                continue
            spec = state.spec
            class_by_job[used.job] = spec.job_class
            self.sizes.record(spec.job_class, spec.resources, used)
        sample = interference.build_sample(
            usage, class_by_job, worker_capacity.processors_milli
        )
        self.model.learn(sample)

"""The tasks of one stand-in worker: progress, ends and measured usage."""

from __future__ import annotations

import collections
from collections.abc import Callable

import attrs

from comfreylatch._ports import workers
from testing.standins import worker_model as models
from testing.standins import worker_records as records

USAGE_INTERVAL_MS = 1_000
USAGE_RETENTION_MS = 10_000
ENDED_TASK_RETENTION_MS = 600_000
TIME_TO_FAILURE_MS = 50.0
# Called when an attempt ends, with the time, the task and how it ended.
EndListener = Callable[[float, records.Task, str], None]


@attrs.frozen
class UsageSample:
    """One sample of resource usage and the time it was taken."""

    at_ms: float
    usage: workers.Usage


class TaskTable:
    """Attempts on one worker. Not thread-safe: the caller holds the lock."""

    def __init__(
        self,
        spec: records.WorkerSpec,
        model: models.WorkModel,
        speed: float,
        on_end: EndListener,
    ) -> None:
        self._spec = spec
        self._model = model
        self._speed = speed
        self._on_end = on_end
        self._by_key: dict[records.TaskKey, records.Task] = {}
        self._started_keys: set[records.TaskKey] = set()
        self._samples: collections.deque[UsageSample] = collections.deque()
        self._reported_ms = 0.0
        self.fail_all = False
        self.service_load = {
            service.service: service.load for service in spec.services
        }

    def get(self, key: records.TaskKey) -> records.Task | None:
        """Returns the attempt if it runs or ended recently."""
        return self._by_key.get(key)

    def was_started(self, key: records.TaskKey) -> bool:
        """Returns whether the attempt was started since the last boot."""
        return key in self._started_keys

    def add(self, task: records.Task) -> None:
        """Adds an attempt that starts now."""
        self._started_keys.add(task.key)
        self._by_key[task.key] = task

    def drop_ended(self, key: records.TaskKey) -> None:
        """Drops the status of an ended attempt."""
        task = self._by_key.get(key)
        if task is not None and not task.running:
            del self._by_key[key]

    def running(self) -> list[records.Task]:
        """Returns the running attempts."""
        return [task for task in self._by_key.values() if task.running]

    def statuses(self) -> tuple[workers.TaskStatus, ...]:
        """Returns the status of every attempt."""
        return tuple(task.to_status() for task in self._by_key.values())

    def end(
        self,
        task: records.Task,
        state: workers.TaskState,
        detail: str,
        now_ms: float,
    ) -> None:
        """Ends a running attempt and notifies the listener."""
        task.state = state
        task.ended_ms = now_ms
        self._on_end(now_ms, task, detail)

    def used(self) -> workers.Resources:
        """Returns the sum of the declared sizes of services and attempts."""
        total = workers.Resources(0, 0, 0)
        for service in self._spec.services:
            total = models.add(total, service.resources)
        for task in self.running():
            total = models.add(total, task.start.resources)
        return total

    def advance(self, elapsed_ms: float, now_ms: float) -> None:
        """Advances the running attempts and drops old ended ones."""
        running = self.running()
        if running:
            slowdowns = self._slowdowns()
            for task in running:
                self._advance_task(
                    task, elapsed_ms, slowdowns[task.name], now_ms
                )
        for key, task in tuple(self._by_key.items()):
            if (
                not task.running
                and task.ended_ms < now_ms - ENDED_TASK_RETENTION_MS
            ):
                del self._by_key[key]

    def _advance_task(
        self,
        task: records.Task,
        elapsed_ms: float,
        slowdown: float,
        now_ms: float,
    ) -> None:
        share = task.share_milli / models.FULL_SHARE_MILLI
        slowness = slowdown * self._model.time_factor(task.start.job_class)
        task.ran_ms += elapsed_ms
        task.progress_ms += elapsed_ms * self._speed * share / slowness
        if self.fail_all or models.always_fails(task.start):
            if task.ran_ms >= TIME_TO_FAILURE_MS:
                self.end(task, workers.TaskState.FAILED, "failed", now_ms)
        elif task.progress_ms >= task.start.run_time_ms:
            task.progress_ms = task.start.run_time_ms
            self.end(task, workers.TaskState.FINISHED, "finished", now_ms)

    def enforce_memory_limit(self, now_ms: float) -> None:
        """Fails attempts furthest above their declared size until all fit."""
        while self._spec.guards:
            running = self.running()
            used_mib = self._memory_mib(running)
            if not running or used_mib <= self._spec.capacity.memory_mib:
                return
            worst = max(running, key=self._memory_excess)
            self.end(worst, workers.TaskState.FAILED, "memory", now_ms)

    def _memory_excess(self, task: records.Task) -> float:
        declared_mib = max(task.start.resources.memory_mib, 1)
        return self._real_memory_mib(task) / declared_mib

    def _memory_mib(self, running: list[records.Task]) -> float:
        tasks_mib = sum(self._real_memory_mib(task) for task in running)
        return tasks_mib + sum(
            service.resources.memory_mib for service in self._spec.services
        )

    def _real_memory_mib(self, task: records.Task) -> float:
        factor = self._model.size_factor(task.start.job_class)
        return task.start.resources.memory_mib * factor

    def _real_processors(self, task: records.Task) -> float:
        share = task.share_milli / models.FULL_SHARE_MILLI
        factor = self._model.size_factor(task.start.job_class)
        return task.start.resources.processors_milli * share * factor

    def _workloads(self) -> list[models.Workload]:
        services = [
            models.Workload(
                service.service,
                service.service,
                service.resources.processors_milli
                * self.service_load.get(service.service, service.load),
            )
            for service in self._spec.services
        ]
        tasks = [
            models.Workload(
                task.name, task.start.job_class, self._real_processors(task)
            )
            for task in self.running()
        ]
        return services + tasks

    def _slowdowns(self) -> dict[str, float]:
        capacity_milli = self._spec.capacity.processors_milli
        return models.slowdowns(self._model, self._workloads(), capacity_milli)

    def measure(self, now_ms: float) -> None:
        """Takes a usage sample when one is due."""
        if (
            self._samples
            and now_ms - self._samples[-1].at_ms < USAGE_INTERVAL_MS
        ):
            return
        self._samples.append(UsageSample(now_ms, self._usage()))
        while self._samples[0].at_ms < now_ms - USAGE_RETENTION_MS:
            self._samples.popleft()

    def _usage(self) -> workers.Usage:
        slowdowns = self._slowdowns()
        used_milli = sum(
            workload.processors_milli for workload in self._workloads()
        )
        running = self.running()
        return workers.Usage(
            age_ms=0,
            processors_milli=int(
                min(used_milli, self._spec.capacity.processors_milli)
            ),
            memory_mib=int(self._memory_mib(running)),
            services=tuple(
                workers.ServiceSlowdown(
                    service.service, int(slowdowns[service.service] * 1_000)
                )
                for service in self._spec.services
            ),
            tasks=tuple(
                self._task_usage(task, slowdowns[task.name]) for task in running
            ),
        )

    def _task_usage(
        self, task: records.Task, slowdown: float
    ) -> workers.TaskSlowdown:
        return workers.TaskSlowdown(
            job=task.start.job,
            attempt=task.start.attempt,
            slowdown_milli=int(slowdown * 1_000),
            processors_milli=int(self._real_processors(task)),
            memory_mib=int(self._real_memory_mib(task)),
        )

    def take_due_usage(self, now_ms: float) -> tuple[workers.Usage, ...]:
        """Returns the unreported samples that are old enough to report."""
        due = [
            sample
            for sample in self._samples
            if sample.at_ms > self._reported_ms
            and sample.at_ms <= now_ms - self._spec.usage_lag_ms
        ]
        if due:
            self._reported_ms = due[-1].at_ms
        return tuple(
            attrs.evolve(sample.usage, age_ms=int(now_ms - sample.at_ms))
            for sample in due
        )

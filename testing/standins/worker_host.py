"""One stand-in worker, as docs/PLATFORM.md specifies it, with faults."""

from __future__ import annotations

import itertools
import threading
from typing import Any

import attrs
import msgspec

from comfreylatch._ports import workers
from testing.standins import serving
from testing.standins import worker_codec
from testing.standins import worker_model as models
from testing.standins import worker_records as records
from testing.standins import worker_tasks

MAX_REPORT_AGE_MS = 2_000


class WorkerHost:
    """State of one worker, updated by `advance`. Thread-safe."""

    def __init__(
        self,
        spec: records.WorkerSpec,
        model: models.WorkModel,
        speed: float,
        journal: serving.Journal,
    ) -> None:
        self.spec = spec
        self.faults = records.WorkerFaults()
        self._model = model
        self._speed = speed
        self._journal = journal
        self._changed = threading.Condition(threading.RLock())
        self._boots = itertools.count(1)
        self.listener = serving.Listener(self._handle, spec.port)
        self._reset_state()
        self.listener.start()

    def change(self, change: dict[str, Any]) -> None:
        """Sets faults or service loads by name, or kills the worker."""
        with self._changed:
            self.advance()
            self._tasks.service_load.update(change.pop("service_load", {}))
            if change.pop("kill", False):
                self._kill()
            self.faults = attrs.evolve(self.faults, **change)
            self._tasks.fail_all = self.faults.fail_all
            self._changed.notify_all()
        if self.faults.refuse:
            self.listener.refuse()
        else:
            self.listener.start()

    def _kill(self) -> None:
        now_ms = serving.now_ms()
        for task in self._tasks.running():
            self._tasks.end(task, workers.TaskState.STOPPED, "killed", now_ms)
        self._record_event(now_ms, "kill")
        self.listener.drop_connections()
        self._reset_state()

    def _reset_state(self) -> None:
        now_ms = serving.now_ms()
        self._boot = f"{self.spec.name}-boot-{next(self._boots)}"
        self._report = 0
        self._report_times: dict[int, float] = {}
        self._highest_term = 0
        self._lease_until_ms = 0.0
        self._tasks = worker_tasks.TaskTable(
            self.spec, self._model, self._speed, self._on_task_end
        )
        self._tasks.fail_all = self.faults.fail_all
        self._advanced_ms = now_ms
        self._record_event(now_ms, "boot")

    def advance(self) -> None:
        """Advances tasks and lease by the time since the last call."""
        with self._changed:
            now_ms = serving.now_ms()
            lease_expired = 0.0 < self._lease_until_ms <= now_ms
            until_ms = self._lease_until_ms if lease_expired else now_ms
            self._tasks.advance(
                max(until_ms - self._advanced_ms, 0.0), until_ms
            )
            self._advanced_ms = now_ms
            if lease_expired:
                self._expire_lease()
            self._tasks.enforce_memory_limit(now_ms)
            self._tasks.measure(now_ms)

    def _expire_lease(self) -> None:
        until_ms = self._lease_until_ms
        self._lease_until_ms = 0.0
        for task in self._tasks.running():
            self._tasks.end(task, workers.TaskState.STOPPED, "lapsed", until_ms)
        self._record_event(until_ms, "lapse")

    def _handle(self, call: serving.Call) -> serving.Answer:
        if call.path != "/exchange" or call.method != "POST":
            return serving.json_reply(404, {"detail": call.path})
        try:
            exchange = worker_codec.decode(call.body)
        except (msgspec.MsgspecError, TypeError, ValueError) as error:
            return serving.json_reply(400, {"detail": str(error)})
        with self._changed:
            boot = self._boot
            while self.faults.pause:
                self._changed.wait()
            if self._boot != boot:
                return serving.Drop()
            self.advance()
            return serving.json_reply(200, self._exchange(exchange))

    def _exchange(self, exchange: workers.Exchange) -> workers.WorkerReport:
        now_ms = serving.now_ms()
        refusal = self._refusal(exchange, now_ms)
        if refusal is None:
            statuses = self._accept(exchange, now_ms)
        else:
            statuses = tuple(refusal for _ in exchange.commands)
            self._record_event(now_ms, refusal.value, detail=exchange.owner)
        report = self._make_report(now_ms, statuses)
        if refusal is None:
            for command in exchange.commands:
                if isinstance(command, workers.ForgetTask):
                    self._tasks.drop_ended((command.job, command.attempt))
        return report

    def _refusal(
        self, exchange: workers.Exchange, now_ms: float
    ) -> workers.CommandStatus | None:
        if exchange.term < self._highest_term:
            return workers.CommandStatus.REFUSED_TERM
        # The first exchange has no report to quote, so it may only read.
        is_read_only = not exchange.commands and exchange.lease_ms == 0
        if exchange.quoted_report == 0 and is_read_only:
            return None
        made_ms = self._report_times.get(exchange.quoted_report)
        if made_ms is None or now_ms - made_ms > MAX_REPORT_AGE_MS:
            return workers.CommandStatus.REFUSED_STALE
        return None

    def _accept(
        self, exchange: workers.Exchange, now_ms: float
    ) -> tuple[workers.CommandStatus, ...]:
        if exchange.term > self._highest_term:
            self._highest_term = exchange.term
            self._record_event(now_ms, "term", detail=exchange.owner)
        if exchange.lease_ms > 0:
            self._lease_until_ms = now_ms + exchange.lease_ms
        return tuple(
            self._execute(command, now_ms) for command in exchange.commands
        )

    def _execute(
        self, command: workers.Command, now_ms: float
    ) -> workers.CommandStatus:
        if isinstance(command, workers.StartTask):
            return self._start(command, now_ms)
        task = self._tasks.get((command.job, command.attempt))
        if task is None:
            return workers.CommandStatus.UNKNOWN_ATTEMPT
        if not task.running:
            return workers.CommandStatus.DONE
        match command:
            case workers.StopTask():
                self._tasks.end(
                    task, workers.TaskState.STOPPED, "stopped", now_ms
                )
            case workers.CheckpointTask():
                task.checkpoint_ms = task.progress_ms
                self._record_event(now_ms, "checkpoint", task)
            case workers.ThrottleTask():
                share_milli = min(command.share_milli, models.FULL_SHARE_MILLI)
                task.share_milli = max(share_milli, 1)
                self._record_event(
                    now_ms, "throttle", task, str(task.share_milli)
                )
        return workers.CommandStatus.DONE

    def _start(
        self, command: workers.StartTask, now_ms: float
    ) -> workers.CommandStatus:
        task = records.Task(
            start=command,
            progress_ms=command.checkpoint_ms,
            checkpoint_ms=command.checkpoint_ms,
        )
        refusal = self._start_refusal(task)
        if refusal is not None:
            self._record_event(now_ms, refusal.value, task)
            return refusal
        self._tasks.add(task)
        self._record_event(now_ms, "start", task)
        return workers.CommandStatus.DONE

    def _start_refusal(
        self, task: records.Task
    ) -> workers.CommandStatus | None:
        if not self._lease_until_ms:
            return workers.CommandStatus.REFUSED_LEASE
        if self._tasks.was_started(task.key):
            return workers.CommandStatus.REFUSED_DUPLICATE
        wanted = models.add(self._tasks.used(), task.start.resources)
        if self.spec.guards and not models.fits(wanted, self.spec.capacity):
            return workers.CommandStatus.REFUSED_CAPACITY
        return None

    def _make_report(
        self, now_ms: float, statuses: tuple[workers.CommandStatus, ...]
    ) -> workers.WorkerReport:
        self._report += 1
        self._report_times[self._report] = now_ms
        for number, made_ms in tuple(self._report_times.items()):
            if now_ms - made_ms <= MAX_REPORT_AGE_MS:
                break
            del self._report_times[number]
        return workers.WorkerReport(
            worker=self.spec.name,
            boot=self._boot,
            report=self._report,
            highest_term=self._highest_term,
            lease_left_ms=int(max(self._lease_until_ms - now_ms, 0.0)),
            capacity=self.spec.capacity,
            tasks=self._tasks.statuses(),
            usage=self._tasks.take_due_usage(now_ms),
            statuses=statuses,
        )

    def _on_task_end(
        self, at_ms: float, task: records.Task, detail: str
    ) -> None:
        self._record_event(at_ms, "end", task, detail)

    def _record_event(
        self,
        at_ms: float,
        kind: str,
        task: records.Task | None = None,
        detail: str = "",
    ) -> None:
        self._journal.add(
            records.WorkerEvent(
                at_ms=at_ms,
                worker=self.spec.name,
                boot=self._boot,
                kind=kind,
                job=task.start.job if task else "",
                attempt=task.start.attempt if task else 0,
                term=self._highest_term,
                detail=detail,
                progress_ms=int(task.progress_ms) if task else 0,
                used=self._tasks.used(),
                capacity=self.spec.capacity,
            )
        )

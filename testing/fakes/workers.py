"""In-memory workers and their network, driven by a fake clock."""

from __future__ import annotations

import enum
from typing import final

import attrs
import result

from comfreylatch._ports import workers
from comfreylatch._process.batch import capacity
from testing.fakes import clock as fake_clock

MAX_REPORT_AGE_MS = 2_000


class ExchangeFault(enum.Enum):
    """Fault injected into one exchange."""

    LOSE_REQUEST = enum.auto()
    LOSE_ANSWER = enum.auto()
    DELAY = enum.auto()
    DUPLICATE = enum.auto()


@attrs.define
class FakeTask:
    """One attempt of a job on a worker."""

    start: workers.StartTask
    started_ms: int
    state: workers.TaskState = workers.TaskState.RUNNING
    progress_ms: int = 0
    checkpoint_ms: int = 0
    share_milli: int = 1_000
    fails: bool = False

    def to_status(self) -> workers.TaskStatus:
        """Returns the status as the worker reports it."""
        return workers.TaskStatus(
            self.start.job,
            self.start.attempt,
            self.state,
            self.progress_ms,
            self.checkpoint_ms,
            self.share_milli,
        )


@final
class FakeWorker:
    """Behaves as in docs/PLATFORM.md, but starts tasks beyond its capacity.

    Attributes:
        checks_term: Whether it refuses exchanges with a lower term.
        checks_staleness: Whether it refuses exchanges that quote a stale
            report.
        fail_all: Whether every task it starts fails.
        started: Every start command executed.
        checkpoints: Job and progress of every checkpoint written.
    """

    def __init__(
        self,
        name: str,
        worker_capacity: workers.Resources,
        clock: fake_clock.FakeClock,
    ) -> None:
        self.name = name
        self.worker_capacity = worker_capacity
        self.checks_term = True
        self.checks_staleness = True
        self.fail_all = False
        self.usage: tuple[workers.Usage, ...] = ()
        self._clock = clock
        self._boots = 0
        self._report = 0
        self.tasks: dict[tuple[str, int], FakeTask] = {}
        self.started: list[workers.StartTask] = []
        self.checkpoints: set[tuple[str, int]] = set()
        self.reboot()

    def reboot(self) -> None:
        """Clears all state, including running tasks."""
        self._boots += 1
        self._report = 1_000_000 * self._boots
        self._report_times: dict[int, int] = {}
        self._term = 0
        self._lease_until_ms = 0
        self.tasks.clear()
        self._started_keys: set[tuple[str, int]] = set()
        self._advanced_ms = self._clock.now_ms

    def running(self) -> list[FakeTask]:
        """Returns the running tasks."""
        self.advance()
        return [
            task
            for task in self.tasks.values()
            if task.state is workers.TaskState.RUNNING
        ]

    def advance(self) -> None:
        """Advances all tasks by the time since the last call."""
        now_ms = self._clock.now_ms
        until_ms = min(now_ms, max(self._lease_until_ms, self._advanced_ms))
        elapsed_ms = until_ms - self._advanced_ms
        self._advanced_ms = now_ms
        for task in self.tasks.values():
            if task.state is not workers.TaskState.RUNNING:
                continue
            task.progress_ms += elapsed_ms * task.share_milli // 1_000
            if task.fails and elapsed_ms:
                task.state = workers.TaskState.FAILED
            elif task.progress_ms >= task.start.run_time_ms:
                task.state = workers.TaskState.FINISHED
            elif now_ms >= self._lease_until_ms:
                task.state = workers.TaskState.STOPPED

    def exchange(self, exchange: workers.Exchange) -> workers.WorkerReport:
        """Processes one exchange and returns the report."""
        self.advance()
        now_ms = self._clock.now_ms
        refusal = self._refusal(exchange, now_ms)
        statuses = tuple(refusal for _ in exchange.commands if refusal)
        if refusal is None:
            self._term = exchange.term
            if exchange.lease_ms:
                self._lease_until_ms = now_ms + exchange.lease_ms
            statuses = tuple(
                self._execute(command) for command in exchange.commands
            )
        self._report += 1
        self._report_times[self._report] = now_ms
        report = workers.WorkerReport(
            worker=self.name,
            boot=f"{self.name}-{self._boots}",
            report=self._report,
            highest_term=self._term,
            lease_left_ms=max(0, self._lease_until_ms - now_ms),
            capacity=self.worker_capacity,
            tasks=tuple(task.to_status() for task in self.tasks.values()),
            usage=self.usage,
            statuses=statuses,
        )
        if refusal is None:
            for command in exchange.commands:
                if isinstance(command, workers.ForgetTask):
                    self._drop_ended(command)
        return report

    def used(self) -> workers.Resources:
        """Returns the resources of all running tasks."""
        total = capacity.NO_RESOURCES
        for task in self.running():
            total = capacity.add(total, task.start.resources)
        return total

    def _refusal(
        self, exchange: workers.Exchange, now_ms: int
    ) -> workers.CommandStatus | None:
        if self.checks_term and exchange.term < self._term:
            return workers.CommandStatus.REFUSED_TERM
        if exchange.quoted_report == 0 and not exchange.commands:
            return None
        made_ms = self._report_times.get(exchange.quoted_report)
        if not self.checks_staleness:
            return None
        if made_ms is None or now_ms - made_ms > MAX_REPORT_AGE_MS:
            return workers.CommandStatus.REFUSED_STALE
        return None

    def _drop_ended(self, command: workers.ForgetTask) -> None:
        task = self.tasks.get((command.job, command.attempt))
        if task and task.state is not workers.TaskState.RUNNING:
            del self.tasks[command.job, command.attempt]

    def _execute(self, command: workers.Command) -> workers.CommandStatus:
        key = (command.job, command.attempt)
        if isinstance(command, workers.StartTask):
            if not self._lease_until_ms > self._clock.now_ms:
                return workers.CommandStatus.REFUSED_LEASE
            if key in self._started_keys:
                return workers.CommandStatus.REFUSED_DUPLICATE
            self._started_keys.add(key)
            self.started.append(command)
            self.tasks[key] = FakeTask(
                start=command,
                started_ms=self._clock.now_ms,
                progress_ms=command.checkpoint_ms,
                checkpoint_ms=command.checkpoint_ms,
                fails=self.fail_all or "never-works" in command.job,
            )
            return workers.CommandStatus.DONE
        task = self.tasks.get(key)
        if task is None:
            return workers.CommandStatus.UNKNOWN_ATTEMPT
        if task.state is not workers.TaskState.RUNNING:
            return workers.CommandStatus.DONE
        match command:
            case workers.StopTask():
                task.state = workers.TaskState.STOPPED
            case workers.CheckpointTask():
                task.checkpoint_ms = task.progress_ms
                self.checkpoints.add((command.job, task.checkpoint_ms))
            case workers.ThrottleTask(share_milli=share_milli):
                task.share_milli = share_milli
        return workers.CommandStatus.DONE


@final
class FakeNetwork:
    """Links between hosts and workers, with fault injection."""

    def __init__(self, fleet: dict[str, FakeWorker]) -> None:
        self._fleet = fleet
        self.cut: set[tuple[str, str]] = set()
        self.faults: dict[tuple[str, str], ExchangeFault] = {}
        self.delay_start: set[str] = set()
        self.delayed: list[tuple[str, workers.Exchange]] = []

    def port(self, host: str) -> FakeWorkerPort:
        """Returns the worker port of one host."""
        return FakeWorkerPort(self, host)

    def deliver_delayed(self) -> None:
        """Delivers all delayed and duplicated exchanges."""
        arrived = self.delayed
        self.delayed = []
        for worker, exchange in arrived:
            self._fleet[worker].exchange(exchange)

    def deliver(
        self, host: str, worker: str, exchange: workers.Exchange
    ) -> result.Result[workers.WorkerReport, workers.WorkerError]:
        """Delivers one exchange, unless a fault prevents it."""
        if (host, worker) in self.cut:
            return result.Err(workers.WorkerUnreachable("cut"))
        target = self._fleet[worker]
        lost = result.Err(workers.WorkerAnswerLost("lost"))
        fault = self.faults.pop((host, worker), None)
        starts = any(
            isinstance(command, workers.StartTask)
            for command in exchange.commands
        )
        if starts and host in self.delay_start:
            self.delay_start.discard(host)
            fault = ExchangeFault.DELAY
        match fault:
            case ExchangeFault.LOSE_REQUEST:
                return lost
            case ExchangeFault.LOSE_ANSWER:
                target.exchange(exchange)
                return lost
            case ExchangeFault.DELAY:
                self.delayed.append((worker, exchange))
                return lost
            case ExchangeFault.DUPLICATE:
                self.delayed.append((worker, exchange))
        return result.Ok(target.exchange(exchange))


@final
class FakeWorkerPort:
    """Implements `WorkerPort` for one host; addresses are worker names."""

    def __init__(self, network: FakeNetwork, host: str) -> None:
        self._network = network
        self._host = host

    def exchange(
        self,
        address: str,
        exchange: workers.Exchange,
        timeout_ms: int,  # noqa: ARG002
    ) -> result.Result[workers.WorkerReport, workers.WorkerError]:
        """See `WorkerPort.exchange`."""
        return self._network.deliver(self._host, address, exchange)

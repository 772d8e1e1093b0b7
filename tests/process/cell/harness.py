"""A cell's scheduling components, connected for tests without threads."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
import result

from comfreylatch._ports import cell_workers
from comfreylatch._process import metrics
from comfreylatch._process.cell import duration_model
from comfreylatch._process.cell import events
from comfreylatch._process.cell import interference
from comfreylatch._process.cell import job_table
from comfreylatch._process.cell import reasons
from comfreylatch._process.cell import records
from comfreylatch._process.cell import recovered_state
from comfreylatch._process.cell import run_dispatcher
from comfreylatch._process.cell import run_reconciler
from comfreylatch._process.cell import specs
from comfreylatch._process.cell import worker_table
from comfreylatch._process.cell.carryover import late_starts
from comfreylatch._process.cell.crashes import crash_ledger
from comfreylatch._process.cell.crashes import stored_starts
from comfreylatch._process.cell.crashes import trials
from comfreylatch._process.cell.planning import planner
from comfreylatch._process.cell.planning import ranking
from comfreylatch._process.cell.succession import confirmed_tenure
from testing.fakes import cell_workers as fake_workers
from testing.fakes import clock as fake_clock

START_MS = 100_000
QUEUE = specs.QueueSpec(
    "calib", "a.example", "/calib/", "skyproc", max_attempts=3, target_ms=250
)


def step(count: int = 1, **fields: Any) -> specs.StepSpec:
    """Returns a step of `count` small tasks; `fields` override the defaults."""
    values: dict[str, Any] = {
        "cpu_millicores": 1_000,
        "memory_mb": 100,
        "estimated_ms": 1_000,
        **fields,
    }
    return specs.StepSpec(count, **values)


def job(
    *steps: specs.StepSpec, job_id: str = "0" * 16, **fields: Any
) -> specs.JobSpec:
    """Returns a job of these steps, accepted when the cell's clock starts."""
    fields.setdefault("accepted_wall_ms", START_MS)
    return specs.JobSpec(job_id, QUEUE, "text", steps or (step(),), **fields)


@attrs.define
class _RecordingSession:
    """Stands in for a `WorkerSession` and records its orders.

    Attributes:
        starts: Runs that were ordered to start.
        stops: Task id and run number of each stop order.
        paces: Task id and percentage of each pace order.
        latest_deadline_ms: Latest lease deadline, on the worker's clock.
        acknowledged: Number of the last end acknowledged.
        has_answer: Whether the worker has answered.
        renewals_end_ms: Monotonic time by which calls with a deadline have
            been sent; 0 for none.
        late_starts: Starts that got no answer.
        has_seen_other: Whether another incarnation has answered.
    """

    late_starts: late_starts.LateStarts

    starts: list[Any] = attrs.field(factory=list)
    stops: list[tuple[str, int]] = attrs.field(factory=list)
    paces: list[tuple[str, int]] = attrs.field(factory=list)
    latest_deadline_ms: int = 0
    acknowledged: int = 0
    has_answer: bool = False
    renewals_end_ms: int = 0
    has_seen_other: bool = False

    def __enter__(self) -> _RecordingSession:
        return self

    def __exit__(self, *_: object) -> None:
        return

    def start(
        self, run: Any, payload: str, checkpoint: str, ticket: str
    ) -> None:
        """Records a start order."""
        del payload, checkpoint, ticket
        self.starts.append(run)

    def stop(self, run: Any, task: str, number: int) -> None:
        """Records a stop order."""
        del run
        self.stops.append((task, number))

    def pace(self, task: str, number: int, percent: int) -> None:
        """Records a pace order."""
        del number
        self.paces.append((task, percent))

    def acknowledge(self, last_end: int) -> None:
        """Records an acknowledgement."""
        self.acknowledged = last_end


class Cell:
    """The components of an owner, without its threads."""

    def __init__(
        self,
        workers: int = 2,
        cpu_millicores: int = 8_000,
        known_workers: dict[str, recovered_state.KnownWorker] | None = None,
        clock: fake_clock.FakeClock | None = None,
        max_workers: int = 1 << 30,
    ) -> None:
        self.clock = clock or fake_clock.FakeClock(START_MS)
        self.is_settled = True
        self.on_stored: Callable[[dict[str, bytes]], object] = lambda _: None
        self._ended_jobs: dict[str, records.JobState] = {}
        self.jobs = job_table.JobTable(1, self.clock)
        self.sessions: dict[str, _RecordingSession] = {}
        # The store confirms the tenure at once, unless a test says otherwise.
        self.confirmed_ms: Callable[[], int] = self.clock.monotonic_ms
        self.confirmation_requests = 0
        self.tenure = confirmed_tenure.ConfirmedTenure(
            self._read_confirmed_ms, self._request, self.clock
        )
        self.workers = worker_table.WorkerTable(
            self._session,
            self.clock,
            known_workers or {},
            self.tenure,
            max_workers,
        )
        self.durations = duration_model.DurationModel()
        self.model = interference.InterferenceModel()
        metrics_registry = metrics.Metrics()
        self.ranker = ranking.Ranker(self.durations)
        self.dispatcher = run_dispatcher.RunDispatcher(
            self.jobs, self.workers, self.model, metrics_registry, self.clock
        )
        self.crashes = crash_ledger.CrashLedger(
            self.jobs,
            self.workers,
            self.dispatcher,
            metrics_registry,
            self.clock,
        )
        self.stored_starts = stored_starts.StoredStarts(
            self.jobs,
            self.dispatcher,
            metrics_registry,
            self._note_event,
            self.clock,
        )
        self.reconciler = run_reconciler.RunReconciler(
            self.dispatcher,
            self.jobs,
            self.workers,
            self.durations,
            self.model,
            self.crashes,
            metrics_registry,
            self.clock,
        )
        self.planner = planner.Planner(
            self.workers,
            self.ranker,
            self.model,
            self.crashes.crashed_lately,
        )
        entries = {
            f"w{n}": fake_workers.entry(f"w{n}", cpu_millicores)
            for n in range(1, workers + 1)
        }
        self.workers.apply_listing(entries)
        for worker_id in entries:
            self.answer_hold(worker_id)
        self.workers.allow_starts(self.workers.incarnations())

    def _read_confirmed_ms(self) -> int:
        return self.confirmed_ms()

    def _request(self) -> None:
        self.confirmation_requests += 1

    def _session(self, entry: cell_workers.WorkerEntry) -> Any:
        return self.sessions.setdefault(
            entry.worker_id,
            _RecordingSession(late_starts.LateStarts(self.clock)),
        )

    def submit(self, spec: specs.JobSpec) -> Any:
        """Adds a job; returns the cell's state of it."""
        added = self.jobs.add(spec)
        assert added is not None
        self.ranker.add_job(added)
        return added

    def place(self) -> list[Any]:
        """Places the tasks of ready steps and confirms their starts.

        Returns:
            The runs placed.
        """
        now_ms = self.clock.monotonic_ms()
        placed = self.planner.place(self.jobs.ready_steps(), now_ms)
        for placement in placed:
            self.dispatcher.send_start(placement.run)
            self.dispatcher.handle_start(
                events.StartReturned(
                    placement.run, now_ms, 1, result.Ok(now_ms)
                )
            )
        return [placement.run for placement in placed]

    def answer_hold(
        self,
        worker_id: str,
        running: tuple[cell_workers.RunningTask, ...] = (),
        ended: tuple[cell_workers.EndedRun, ...] = (),
        lease_ms: int = 0,
    ) -> None:
        """Has a worker answer the call that renews its lease."""
        now_ms = self.clock.monotonic_ms()
        answer = cell_workers.HoldAnswer(now_ms, running, ended)
        event = events.HoldReturned(
            worker_id,
            self._born_ms(worker_id),
            now_ms,
            now_ms,
            now_ms + lease_ms if lease_ms else 0,
            result.Ok(answer),
        )
        assert self.workers.handle_hold(event)
        self.reconciler.handle_hold(event, answer)

    def _born_ms(self, worker_id: str) -> int:
        view = self.workers.find(worker_id)
        return view.entry.born_ms if view is not None else 1

    def apply_listing(
        self, entries: dict[str, cell_workers.WorkerEntry]
    ) -> None:
        """Applies the platform's list of workers."""
        self.crashes.handle_lost(self.workers.apply_listing(entries))
        self.crashes.confirm_replaced()

    def expire(self) -> None:
        """Removes runs whose leases are over."""
        self.crashes.handle_lost(self.workers.expire())

    def place_and_store(self) -> list[Any]:
        """Places tasks and stores the records of the step.

        Returns:
            The runs that were ordered to start.
        """
        now_ms = self.clock.monotonic_ms()
        for run in trials.reserve_workers(
            self.workers,
            self.crashes.awaiting_trial(),
            self.crashes.crashed_lately,
            now_ms,
        ):
            self.dispatcher.stop(run, reasons.StopReason.WORKER_RESERVED)
        steps = [
            step
            for step in self.jobs.ready_steps()
            if self.is_settled or not step.may_have_unknown_runs
        ]
        for placement in self.planner.place(steps, now_ms):
            self.stored_starts.start(placement)
        callbacks: list[Callable[[], None]] = []
        self.stored_starts.add_callback(callbacks)
        writes = self.jobs.drain_writes()
        self._note_ended(writes.jobs)
        self.on_stored(
            {key: value for key, value in writes.work.items() if value}
        )
        for callback in callbacks:
            callback()
        return self._take_starts(now_ms)

    def _note_event(self, event: events.Event) -> None:
        assert isinstance(event, events.StartsRecorded)
        self.stored_starts.handle_recorded(event)

    def _take_starts(self, now_ms: int) -> list[Any]:
        """Confirms the starts ordered since the last call; returns them."""
        runs = []
        for session in self.sessions.values():
            runs.extend(session.starts)
            session.starts.clear()
        for run in runs:
            self.dispatcher.handle_start(
                events.StartReturned(run, now_ms, 1, result.Ok(now_ms))
            )
        return runs

    def _note_ended(self, writes: dict[str, bytes | None]) -> None:
        for key, value in writes.items():
            if value is None or not key.startswith(records.STATE_PREFIX):
                continue
            record = records.decode(records.StateRecord, value)
            if record.state.is_final:
                job_id = key.removeprefix(records.STATE_PREFIX)
                self._ended_jobs[job_id] = record.state

    def ended_jobs(self) -> dict[str, records.JobState]:
        """Returns the final states of the jobs that have ended."""
        return self._ended_jobs

    def settle(self) -> None:
        """Ends a takeover: all runs of the previous owner are known."""
        self.is_settled = True
        if self.workers.are_known_workers_missing:
            self.stored_starts.note_missing_runs()
        for job in self.jobs:
            self.crashes.restore(job)
        self.crashes.resolve_trials()

    def fail_hold(self, worker_id: str) -> None:
        """Has a worker not answer the call that renews its lease."""
        now_ms = self.clock.monotonic_ms()
        error = cell_workers.OrderUnanswered("no answer")
        self.workers.handle_hold(
            events.HoldReturned(
                worker_id,
                self._born_ms(worker_id),
                now_ms,
                now_ms,
                0,
                result.Err(error),
            )
        )


def running_task(run: Any, percent: float = 50.0, reading: int = 0) -> Any:
    """Returns a worker's report of a run in progress."""
    return cell_workers.RunningTask(
        run.task.name, run.number, "", percent, reading
    )


def ended_run(
    run: Any, reason: cell_workers.RunEnd, number: int = 1, checkpoint: str = ""
) -> cell_workers.EndedRun:
    """Returns a worker's report of a run that has ended.

    Args:
        run: The run.
        reason: How it ended.
        number: Number of the end in the order of the worker's reports.
        checkpoint: Its final checkpoint; empty for none.
    """
    return cell_workers.EndedRun(
        number, run.task.name, run.number, reason, checkpoint
    )

"""A world for the model of who owns a cell: time, store, network, workers."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Generator
import heapq
import random
from typing import Any

import attrs
import result

from comfreylatch._ports import cell_workers
from comfreylatch._ports import store as store_port
from comfreylatch._process.cell import records
from comfreylatch._process.cell import worker_view
from testing.fakes import cell_workers as fake_workers
from testing.fakes import clock as fake_clock
from testing.fakes import record_store

LEASE_MS = 4_500
MAX_LEASE_MS = 6_000
WORKERS = 3
TRACE_LINES = 60
# Shortest and longest time until an order arrives, by its fate.
ORDER_DELAY_MS = {"late": (300, 5_000)}
# Around the end of the first try of an append and of the retry pause.
LATE_APPEND_MS = (300, 1_200)

Steps = Generator[Any, Any, Any]


class BrokenPromiseError(AssertionError):
    """The model has seen something that must never happen."""


class Call:
    """A call to a worker or the store; its first outcome counts."""

    def __init__(self) -> None:
        self._outcome: Any = None
        self._is_done = False
        self._callback: Callable[[Any], None] | None = None

    def resolve(self, outcome: Any) -> None:
        """Sets the outcome unless there is one."""
        if self._is_done:
            return
        self._is_done = True
        self._outcome = outcome
        if self._callback is not None:
            self._callback(outcome)

    def on_done(self, callback: Callable[[Any], None]) -> None:
        """Calls back with the outcome, at once if there is one."""
        if self._is_done:
            callback(self._outcome)
        else:
            self._callback = callback


@attrs.define
class Faults:
    """Probabilities of faults, and what is cut at present.

    The next host that wins a claim pauses for `claim_pause_ms`.
    """

    lost: float = 0.0
    late: float = 0.0
    pause: float = 0.0
    check_pause: float = 0.0
    release_pause: float = 0.0
    append_ms: int = 4
    late_appends: float = 0.0
    claim_pause_ms: int = 0
    cut_store: dict[str, int] = attrs.field(factory=dict)
    cut_workers: dict[tuple[str, str], int] = attrs.field(factory=dict)


@attrs.define
class Heartbeats:
    """When the store got an owner's heartbeats."""

    token: int
    first_ms: int
    last_ms: int = 0
    is_released: bool = False
    states_leases: bool = False


@attrs.frozen
class Claim:
    """A claim that a host has won.

    Attributes:
        host: Name of the host.
        began_ms: When its process began to read, or last caught up.
    """

    host: str
    began_ms: int


@attrs.frozen
class Takeover:
    """When the leases of earlier owners end, as a new owner has it."""

    token: int
    release_after_ms: dict[str, int]


class World:
    """Carries out events in the order of a fake clock."""

    def __init__(self, seed: int, workers: int = WORKERS) -> None:
        self.rng = random.Random(seed)
        self.clock = fake_clock.FakeClock(100_000)
        self.store = record_store.MemoryStore()
        self.faults = Faults()
        self.fault_ms = 0
        self.has_spare_room = True
        self.has_earlier_version_owned = False
        self.hindered_ms = 0
        self.unstarted_ms: dict[str, int] = {}
        self.restarted_ms: dict[str, int] = {}
        self.on_listing: dict[str, Callable[[], None]] = {}
        self.on_start: Callable[[str], None] | None = None
        self.trace: list[str] = []
        self.takeovers: list[Takeover] = []
        self.heartbeats: dict[int, Heartbeats] = {}
        self.claims: dict[int, Claim] = {}
        self.gangs: dict[str, tuple[str, ...]] = {}
        self._started_ms: dict[str, int] = {}
        self._noted_done: set[str] = set()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0
        self.workers = {
            f"w{number}": Worker(self, f"w{number}")
            for number in range(1, workers + 1)
        }
        self.listed = {w.worker_id: w.entry for w in self.workers.values()}

    @property
    def now_ms(self) -> int:
        """The time."""
        return self.clock.now_ms

    def at(self, time_ms: int, action: Callable[[], None]) -> None:
        """Carries out an action at a time."""
        self._sequence += 1
        heapq.heappush(
            self._events, (max(time_ms, self.now_ms), self._sequence, action)
        )

    def after(self, elapsed_ms: int, action: Callable[[], None]) -> None:
        """Carries out an action after a while."""
        self.at(self.now_ms + elapsed_ms, action)

    def run(self, elapsed_ms: int) -> None:
        """Carries out all events of a time span."""
        end_ms = self.now_ms + elapsed_ms
        while self._events and self._events[0][0] <= end_ms:
            time_ms, _, action = heapq.heappop(self._events)
            self.clock.now_ms = time_ms
            action()
        self.clock.now_ms = end_ms

    def note(self, text: str) -> None:
        """Adds a line to the trace."""
        self.trace.append(f"{self.now_ms - 100_000:6d} {text}")

    def fail(self, text: str) -> None:
        """Reports a broken promise with the trace."""
        self.note(f"BROKEN: {text}")
        raise BrokenPromiseError("\n".join(self.trace[-TRACE_LINES:]))

    def fate(self) -> str:
        """Returns what happens to a message."""
        chance = self.rng.random()
        if chance < self.faults.late:
            return "late"
        if chance < self.faults.late + self.faults.lost:
            return self.rng.choice(["lost", "unanswered"])
        return "ok"

    def is_cut(self, host: str, worker_id: str) -> bool:
        """Whether a host can't reach a worker."""
        until_ms = self.faults.cut_workers.get((host, worker_id), 0)
        return self.now_ms < until_ms

    def is_store_cut(self, host: str) -> bool:
        """Whether a host can't reach the store."""
        return self.now_ms < self.faults.cut_store.get(host, 0)

    def restart(self, worker_id: str, away_ms: int, entry_ms: int) -> None:
        """Has a worker lose power and start again under its id.

        Args:
            worker_id: The worker.
            away_ms: How long it is away.
            entry_ms: Time from its start until the list shows it.
        """
        worker = self.workers[worker_id]
        worker.crash(away_ms)

        def show() -> None:
            self.listed[worker_id] = worker.entry
            for listen in list(self.on_listing.values()):
                self.after(self.rng.randint(5, 300), listen)

        def boot() -> None:
            worker.boot()
            self.restarted_ms[worker_id] = self.now_ms
            self.after(entry_ms, show)

        self.after(away_ms, boot)

    def order(
        self,
        host: str,
        entry: cell_workers.WorkerEntry,
        order: Any,
        timeout_ms: int,
    ) -> Call:
        """Sends an order that is meant for an incarnation of a worker."""
        worker = self.workers[entry.worker_id]
        call = Call()
        self._trigger_on_start(entry.worker_id, order)
        unanswered = result.Err(cell_workers.OrderUnanswered("no answer"))
        self.after(timeout_ms, lambda: call.resolve(unanswered))
        fate = self.fate()
        delay_ms = self.rng.randint(*ORDER_DELAY_MS.get(fate, (1, 5)))
        if fate != "ok":
            self.fault_ms = self.now_ms
            name = type(order).__name__
            self.note(f"{host}->{entry.worker_id} {name} {fate}")

        def respond(answer: Any) -> None:
            if fate == "ok" and not self.is_cut(host, entry.worker_id):
                self.after(self.rng.randint(1, 5), lambda: call.resolve(answer))

        def arrive() -> None:
            # What is late has left the host before a cut.
            if fate == "late" or not self.is_cut(host, entry.worker_id):
                worker.execute(order, entry.born_ms, respond)

        def connect() -> None:
            away_ms = worker.up_ms - self.now_ms
            if away_ms <= 0:
                arrive()
            # The opening packet of a connection is sent again.
            elif fate == "late" or away_ms < timeout_ms:
                self.after(away_ms + self.rng.randint(1, 60), connect)

        if fate != "lost" and not self.is_cut(host, entry.worker_id):
            self.after(delay_ms, connect)
        return call

    def _trigger_on_start(self, worker_id: str, order: Any) -> None:
        if self.on_start and isinstance(order, cell_workers.StartOrder):
            on_start, self.on_start = self.on_start, None
            on_start(worker_id)

    def append(
        self,
        host: str,
        topic: str,
        new_records: tuple[store_port.NewRecord, ...],
        producer: store_port.Producer,
        timeout_ms: int,
    ) -> Call:
        """Sends records to the store."""
        call = Call()
        lost = result.Err(store_port.StoreAnswerLost("no answer"))
        self.after(timeout_ms, lambda: call.resolve(lost))
        fate = self.fate()
        delay_ms = self.faults.append_ms + self.rng.randint(0, 4)
        if fate != "ok":
            self.fault_ms = self.now_ms
        if fate == "late":
            delay_ms = self.rng.randint(300, 5_000)
        share = self.faults.late_appends
        if share and self.rng.random() < share:
            fate = "late"
            delay_ms = self.rng.randint(*LATE_APPEND_MS)

        def arrive() -> None:
            if fate != "late" and self.is_store_cut(host):
                return
            outcome = self.store.append(
                topic, 0, new_records, producer=producer
            )
            if isinstance(outcome, result.Ok):
                self._note_stored(new_records)
            if fate == "ok" and not self.is_store_cut(host):
                self.after(
                    self.rng.randint(0, 3), lambda: call.resolve(outcome)
                )

        if fate != "lost" and not self.is_store_cut(host):
            self.after(delay_ms, arrive)
        return call

    def _note_stored(
        self, new_records: tuple[store_port.NewRecord, ...]
    ) -> None:
        """Notes the heartbeats among stored records."""
        for record in new_records:
            if record.key == records.HEARTBEAT_KEY:
                beat = records.decode(
                    records.HeartbeatRecord, record.value or b""
                )
                owner = self.heartbeats.setdefault(
                    beat.token, Heartbeats(beat.token, self.now_ms)
                )
                owner.last_ms = self.now_ms
                owner.is_released = beat.is_released
                owner.states_leases = beat.leases is not None

    def check_stored(
        self,
        topic: str,
        offset: int,
        new_records: tuple[store_port.NewRecord, ...],
    ) -> None:
        """Checks that an append which was accepted is in the store."""
        stored = self.store._partition(topic, 0).records[offset:]
        values = [(record.key, record.value) for record in stored]
        expected = [(record.key, record.value) for record in new_records]
        if values[: len(expected)] != expected:
            keys = [record.key for record in new_records]
            self.fail(f"{keys} count as stored in {topic} and are not")

    def note_claim(self, token: int, host: str, began_ms: int) -> None:
        """Notes a claim; a token is never used twice."""
        if token in self.claims:
            self.fail(f"{host} owns the cell again as {token}")
        self.claims[token] = Claim(host, began_ms)

    def note_takeover(self, takeover: Takeover) -> None:
        """Checks the ends of leases that a new owner goes by."""
        self.takeovers.append(takeover)
        for worker_id, worker in self.workers.items():
            for token, end_ms in worker.lease_ends_ms.items():
                self._check_lease(takeover, worker_id, token, end_ms)

    def note_lease(self, worker_id: str, token: int, end_ms: int) -> None:
        """Checks a renewed lease against what later owners go by."""
        for takeover in self.takeovers:
            self._check_lease(takeover, worker_id, token, end_ms)

    def _check_lease(
        self, takeover: Takeover, worker_id: str, token: int, end_ms: int
    ) -> None:
        limit_ms = takeover.release_after_ms.get(worker_id)
        if limit_ms is None or token >= takeover.token or end_ms <= limit_ms:
            return
        self.fail(
            f"lease of {token} on {worker_id} ends {end_ms - limit_ms} ms after"
            f" the end that {takeover.token} goes by"
        )

    def check_runs(self) -> None:
        """Checks that no task runs on two workers."""
        seen: dict[str, str] = {}
        for worker_id, worker in self.workers.items():
            for task in worker.running:
                if task in seen:
                    self.fail(f"{task} runs on {seen[task]} and {worker_id}")
                seen[task] = worker_id

    def note_start(self, task: str) -> None:
        """Checks a start against the ends that an owner has taken note of."""
        self._started_ms[task] = self.now_ms
        if task in self._noted_done:
            self.fail(f"{task} is started though it is done")

    def note_done(self, task: str, ended_ms: int) -> None:
        """Notes that an owner has acknowledged that a task is done.

        Args:
            task: The task.
            ended_ms: When its run ended.
        """
        self._noted_done.add(task)
        if self._started_ms.get(task, 0) > ended_ms:
            self.fail(f"{task} was started after it was done")

    def break_gang(self, task: str, run: int) -> None:
        """Ends the other members of a gang, one of which has ended early."""
        for member in self.gangs.get(task, ()):
            for worker in self.workers.values():
                if worker.running.get(member) == run:
                    worker.end(member, cell_workers.RunEnd.BROKEN)

    def complete(self, task: str) -> bool:
        """Ends a running task, or its whole gang, as done.

        Returns:
            Whether it, or all members under one number, were running.
        """
        members = self.gangs.get(task, (task,))
        places = {
            (member, worker.running[member]): worker
            for worker in self.workers.values()
            for member in members
            if member in worker.running
        }
        if len(places) < len(members) or len({run for _, run in places}) > 1:
            return False
        for (member, _), worker in places.items():
            worker.end(member, cell_workers.RunEnd.DONE)
        return True

    def running(self) -> set[str]:
        """Returns the tasks that run."""
        return {t for worker in self.workers.values() for t in worker.running}


class Worker:
    """A worker that keeps the platform's rules, with a clock of its own.

    Attributes:
        checks_token: Whether it refuses orders with lower tokens.
        token: Highest token that it has seen.
        running: Run number of each running task.
        lease_ends_ms: Latest end of a lease that each owner has renewed, by
            token and the world's time; only of its first incarnation.
        up_ms: When it is up again.
    """

    checks_token = True

    def __init__(self, world: World, worker_id: str) -> None:
        self._world = world
        self.entry = fake_workers.entry(worker_id)
        slowness = world.rng.choice([0.0, 0.01, worker_view.MAX_CLOCK_DRIFT])
        self._rate = 1 - slowness
        self._offset_ms = world.rng.randint(0, 100_000)
        self.up_ms = 0
        self._reset()

    def _reset(self) -> None:
        self.token = 0
        self._deadline_ms = 0
        self.running: dict[str, int] = {}
        self.lease_ends_ms: dict[int, int] = {}
        self._closed: dict[str, int] = {}
        self._ended: list[cell_workers.EndedRun] = []
        # When runs ended as done under the lease that still lasts.
        self._done_ms: dict[int, int] = {}
        self._last_number = 0
        self._waiting: list[Callable[[], None]] = []

    def crash(self, away_ms: int) -> None:
        """Ends at once, for a while; what it runs ends with it."""
        self._world.note(f"{self.worker_id} is away for {away_ms} ms")
        self.up_ms = self._world.now_ms + away_ms
        self._reset()

    def boot(self) -> None:
        """Starts again; it knows nothing of before, and counts anew."""
        self._world.note(f"{self.worker_id} starts again")
        self._offset_ms = -int(self._world.now_ms * self._rate)
        self.entry = attrs.evolve(self.entry, born_ms=self._world.now_ms)
        self._reset()

    @property
    def worker_id(self) -> str:
        """Its id."""
        return self.entry.worker_id

    def _clock_ms(self) -> int:
        return self._offset_ms + int(self._world.now_ms * self._rate)

    def _at_clock_ms(self, clock_ms: int) -> int:
        """Returns the time at which its clock first shows a reading."""
        time_ms = int((clock_ms - self._offset_ms) / self._rate)
        while self._offset_ms + int(time_ms * self._rate) < clock_ms:
            time_ms += 1
        return time_ms

    def execute(
        self, order: Any, born_ms: int, respond: Callable[[Any], None]
    ) -> None:
        """Carries out an order that is meant for an incarnation."""
        if order.token < self.token:
            if self.checks_token:
                fenced = cell_workers.OrderRefused(cell_workers.Refusal.FENCED)
                respond(result.Err(fenced))
                return
            self._world.fail(
                f"{self.worker_id} carries out an order of {order.token} "
                f"after one of {self.token}"
            )
        self.token = order.token
        match order:
            case cell_workers.HoldOrder():
                self._hold(order, born_ms, respond)
            case cell_workers.StartOrder():
                respond(self._start(order))
            case cell_workers.StopOrder():
                if self.running.get(order.task) == order.run:
                    self.end(order.task, cell_workers.RunEnd.STOPPED)
                closed = self._closed.get(order.task, 0)
                self._closed[order.task] = max(closed, order.run)
                respond(result.Ok(self._clock_ms()))
            case cell_workers.PaceOrder():
                respond(result.Ok(self._clock_ms()))

    def _hold(
        self,
        order: cell_workers.HoldOrder,
        born_ms: int,
        respond: Callable[[Any], None],
    ) -> None:
        self._renew(order.deadline_ms, order.token)
        self._acknowledge(order.acknowledged_end)
        call = Call()
        entry = self.entry

        def answer(_: Any) -> None:
            if self.entry is entry and self._world.now_ms >= self.up_ms:
                respond(self._report(born_ms))

        call.on_done(answer)
        if self._ended:
            call.resolve(None)
            return
        self._waiting.append(lambda: call.resolve(None))
        self._world.after(order.wait_ms, lambda: call.resolve(None))

    def _acknowledge(self, last_end: int) -> None:
        for end in self._ended:
            if end.number <= last_end and end.number in self._done_ms:
                self._world.note_done(end.task, self._done_ms[end.number])
        self._ended = [end for end in self._ended if end.number > last_end]

    def _report(
        self, born_ms: int
    ) -> result.Result[cell_workers.HoldAnswer, cell_workers.OrderError]:
        """Returns its lists, as a client of an incarnation sees them."""
        if self.entry.born_ms != born_ms:
            return result.Err(
                cell_workers.OrderRefused(
                    cell_workers.Refusal.OTHER_INCARNATION
                )
            )
        running = tuple(
            cell_workers.RunningTask(task, run, "", 100.0, 0)
            for task, run in self.running.items()
        )
        return result.Ok(
            cell_workers.HoldAnswer(
                self._clock_ms(),
                running,
                tuple(self._ended[: cell_workers.MAX_LISTED_ENDS]),
            )
        )

    def _start(
        self, order: cell_workers.StartOrder
    ) -> result.Result[int, cell_workers.OrderError]:
        if order.run <= self._closed.get(order.task, 0):
            self._renew(order.deadline_ms, order.token)
            return result.Err(
                cell_workers.OrderRefused(cell_workers.Refusal.OLD_RUN)
            )
        if order.deadline_ms <= self._clock_ms():
            return result.Err(
                cell_workers.OrderRefused(cell_workers.Refusal.TOO_LATE)
            )
        self._renew(order.deadline_ms, order.token)
        if order.task not in self.running:
            self._world.note(
                f"{self.worker_id} starts {order.task} run {order.run} "
                f"of {order.token}"
            )
            self.running[order.task] = order.run
            self._world.check_runs()
            self._world.note_start(order.task)
        return result.Ok(self._clock_ms())

    def _renew(self, deadline_ms: int, token: int) -> None:
        deadline_ms = min(deadline_ms, self._clock_ms() + MAX_LEASE_MS)
        if deadline_ms <= self._clock_ms():
            return
        end_ms = self._at_clock_ms(deadline_ms)
        # What a call to a former incarnation gives is judged by the runs.
        is_first = self.worker_id not in self._world.restarted_ms
        if is_first and end_ms > self.lease_ends_ms.get(token, 0):
            self.lease_ends_ms[token] = end_ms
            self._world.note_lease(self.worker_id, token, end_ms)
        if deadline_ms > self._deadline_ms:
            self._deadline_ms = deadline_ms
            self._world.at(end_ms, self._expire)

    def _expire(self) -> None:
        if self._clock_ms() < self._deadline_ms:
            return
        self._done_ms.clear()
        for task in list(self.running):
            self.end(task, cell_workers.RunEnd.LEASE_EXPIRED)

    def end(self, task: str, how: cell_workers.RunEnd) -> None:
        """Ends a run."""
        run = self.running.pop(task)
        self._world.note(f"{self.worker_id} ends {task} run {run}: {how}")
        self._closed[task] = max(self._closed.get(task, 0), run)
        self._last_number += 1
        self._ended.append(
            cell_workers.EndedRun(self._last_number, task, run, how, "")
        )
        if how is cell_workers.RunEnd.DONE:
            self._done_ms[self._last_number] = self._world.now_ms
        elif how is not cell_workers.RunEnd.BROKEN:
            self._world.break_gang(task, run)
        waiting, self._waiting = self._waiting, []
        for answer in waiting:
            answer()

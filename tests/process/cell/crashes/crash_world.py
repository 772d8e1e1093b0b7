"""A cell on a fake clock whose workers crash under some tasks."""

from __future__ import annotations

import random
from typing import Any

import attrs

from comfreylatch._ports import cell_workers
from comfreylatch._process.cell import records
from comfreylatch._process.cell import recovered_state
from comfreylatch._process.cell import specs
from testing.fakes import cell_workers as fake_workers
from testing.fakes import clock as fake_clock
from tests.process.cell import harness

STEP_MS = 20
HOLD_INTERVAL_MS = 100
LEASE_MS = 3_000
CELL_CPU_MILLICORES = 8_000


@attrs.frozen
class Start:
    """A start that a worker has executed."""

    task: str
    run: int
    machine: str
    at_ms: int


@attrs.define(eq=False)
class Machine:
    """A machine with a worker, which is another one after each crash.

    Attributes:
        name: Name of the machine; the addresses of its workers contain it.
        rack: Its rack.
        cpu_millicores: Capacity that its worker reports.
        boots: Number of workers that it has had.
        born_ms: When its current worker started.
        back_ms: When its next worker starts; 0 while one is up.
        is_silent: Whether its worker runs on but can't be reached.
        is_faulty: Whether its worker crashes under any task.
        held_ms: When its lease was renewed last.
        running: Run number and end time of the running tasks.
        ended: Ends that are not acknowledged.
    """

    name: str
    rack: str
    cpu_millicores: int = CELL_CPU_MILLICORES
    boots: int = 1
    born_ms: int = 1
    back_ms: int = 0
    is_silent: bool = False
    is_faulty: bool = False
    held_ms: int = 0
    running: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    ended: list[cell_workers.EndedRun] = attrs.field(factory=list)
    end_count: int = 0

    @property
    def worker_id(self) -> str:
        """Id of its current worker."""
        return f"{self.name}-boot{self.boots}"

    @property
    def is_up(self) -> bool:
        """Whether a worker is up."""
        return self.back_ms == 0

    def entry(self) -> cell_workers.WorkerEntry:
        """Returns the entry of its current worker."""
        entry = fake_workers.entry(
            "w1", self.cpu_millicores, self.rack, self.born_ms
        )
        return attrs.evolve(
            entry, worker_id=self.worker_id, address=f"{self.name}:1"
        )

    def end(self, task: str, how: cell_workers.RunEnd) -> None:
        """Ends a running task."""
        run, _ = self.running.pop(task)
        self.end_count += 1
        self.ended.append(
            cell_workers.EndedRun(self.end_count, task, run, how, "")
        )


class CrashWorld:
    """Plays a cell with its store, step by step.

    Attributes:
        deadly: Time after its start at which a task crashes its worker, by
            task id; every task whose id begins with the key.
        starts: All starts executed.
        crashes: Time, machine and tasks of each crash.
        states: Final states of the jobs that have ended.
    """

    def __init__(self, machines: int = 8, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.machines = [
            Machine(f"m{n}", f"r1-{n // 4}") for n in range(machines)
        ]
        self.deadly: dict[str, int] = {}
        self.starts: list[Start] = []
        self.crashes: list[tuple[int, str, tuple[str, ...]]] = []
        self.states: dict[str, records.JobState] = {}
        self.back_after_ms = 3_000
        self._specs: dict[str, specs.JobSpec] = {}
        self._stored: dict[str, bytes] = {}
        self._due: list[tuple[int, Machine, str]] = []
        self._cuts: list[tuple[int, Machine]] = []
        self._token = 1
        self.clock = fake_clock.FakeClock(harness.START_MS)
        self.cell = self._new_cell({})
        self._held_ms = self.now_ms

    def _new_cell(
        self, known: dict[str, recovered_state.KnownWorker]
    ) -> harness.Cell:
        cell = harness.Cell(workers=0, known_workers=known, clock=self.clock)
        cell.on_stored = self._stored.update
        cell.apply_listing(self._entries())
        cell.workers.allow_starts(cell.workers.incarnations())
        return cell

    @property
    def now_ms(self) -> int:
        """Time on the cell's clock."""
        return self.clock.monotonic_ms()

    def _entries(self) -> dict[str, cell_workers.WorkerEntry]:
        return {m.worker_id: m.entry() for m in self.machines if m.is_up}

    def submit(self, spec: specs.JobSpec) -> None:
        """Submits a job."""
        self._specs[spec.job_id] = spec
        self.cell.submit(spec)

    def change_owner(self) -> None:
        """Replaces the owner; what it has not stored is lost."""
        now_ms = self.now_ms
        known = {
            view.worker_id: recovered_state.KnownWorker(
                view.entry.born_ms, now_ms + LEASE_MS, view.entry.address
            )
            for view in self.cell.workers
        }
        ended = set(self.states)
        self._token += 1
        self.cell = self._new_cell(known)
        for job_id, spec in self._specs.items():
            if job_id in ended:
                continue
            value = self._stored.get(job_id)
            progress = None
            if value:
                progress = records.decode(records.ProgressRecord, value)
            job = self.cell.jobs.add(spec, 1_000 * self._token, progress)
            if job is not None:
                self.cell.ranker.add_job(job)
        for machine in self.machines:
            if machine.is_up and not machine.is_silent:
                self._hold(machine, self.cell)
        self.cell.is_settled = False

    def run(self, for_ms: int) -> None:
        """Lets time pass."""
        for _ in range(for_ms // STEP_MS):
            self.step()

    def step(self) -> None:
        """Plays one step."""
        self.clock.advance(STEP_MS)
        self._restart_machines()
        self._heal_cuts()
        self._end_tasks()
        if self.now_ms - self._held_ms >= HOLD_INTERVAL_MS:
            self._held_ms = self.now_ms
            for machine in self.machines:
                self._hold(machine, self.cell)
        self.cell.expire()
        if not self.cell.is_settled and not self.cell.workers.unknown():
            self.cell.settle()
        self.cell.workers.allow_starts(self.cell.workers.incarnations())
        for run in self.cell.place_and_store():
            self._execute(run)
        self.states.update(self.cell.ended_jobs())

    def _execute(self, run: Any) -> None:
        machine = next(m for m in self.machines if m.worker_id == run.worker_id)
        if not machine.is_up or machine.is_silent:
            return
        name = run.task.name
        self.starts.append(Start(name, run.number, machine.name, self.now_ms))
        spec = run.task.step.spec
        duration_ms = 1 << 40 if spec.is_lasting else spec.estimated_ms
        machine.running[name] = (run.number, self.now_ms + duration_ms)
        after_ms = self._deadly_after_ms(name)
        if machine.is_faulty and after_ms is None:
            after_ms = STEP_MS
        if after_ms is not None:
            self._due.append((self.now_ms + after_ms, machine, name))

    def _deadly_after_ms(self, name: str) -> int | None:
        for key, after_ms in self.deadly.items():
            if name.startswith(key):
                return after_ms
        return None

    def _end_tasks(self) -> None:
        due = [entry for entry in self._due if entry[0] <= self.now_ms]
        self._due = [entry for entry in self._due if entry[0] > self.now_ms]
        for _, machine, name in due:
            if name in machine.running:
                self.crash(machine)
        for machine in self.machines:
            for task, (_, end_ms) in list(machine.running.items()):
                if end_ms <= self.now_ms:
                    machine.end(task, cell_workers.RunEnd.DONE)

    def crash(self, machine: Machine) -> None:
        """Crashes the worker of a machine."""
        self.crashes.append((self.now_ms, machine.name, tuple(machine.running)))
        machine.running.clear()
        machine.ended.clear()
        machine.back_ms = self.now_ms + self.back_after_ms
        machine.is_silent = False
        self.cell.fail_hold(machine.worker_id)

    def crash_together(self, count: int) -> None:
        """Crashes the workers of several machines, as a power cut does."""
        up = [machine for machine in self.machines if machine.is_up]
        for machine in self.random.sample(up, min(count, len(up))):
            self.crash(machine)

    def cut(self, machine: Machine, for_ms: int) -> None:
        """Cuts a machine off; its worker runs on until its lease is over."""
        machine.is_silent = True
        self._cuts.append((self.now_ms + for_ms, machine))

    def _heal_cuts(self) -> None:
        for end_ms, machine in self._cuts:
            if end_ms <= self.now_ms:
                machine.is_silent = False
            elif machine.is_silent and (
                self.now_ms - machine.held_ms > LEASE_MS
            ):
                for task in list(machine.running):
                    machine.end(task, cell_workers.RunEnd.LEASE_EXPIRED)
        self._cuts = [cut for cut in self._cuts if cut[0] > self.now_ms]

    def _restart_machines(self) -> None:
        is_changed = False
        for machine in self.machines:
            if not machine.is_up and machine.back_ms <= self.now_ms:
                machine.back_ms = 0
                machine.boots += 1
                machine.born_ms = self.now_ms
                machine.end_count = 0
                is_changed = True
        if is_changed:
            self.cell.apply_listing(self._entries())

    def _hold(self, machine: Machine, cell: harness.Cell) -> None:
        if not machine.is_up or machine.is_silent:
            cell.fail_hold(machine.worker_id)
            return
        running = tuple(
            cell_workers.RunningTask(task, run, "", 50.0, 0)
            for task, (run, _) in machine.running.items()
        )
        session = cell.sessions.get(machine.worker_id)
        if session is not None:
            self._obey_stops(machine, session)
        cell.answer_hold(
            machine.worker_id, running, tuple(machine.ended), LEASE_MS
        )
        machine.ended.clear()
        machine.held_ms = self.now_ms

    def _obey_stops(self, machine: Machine, session: Any) -> None:
        for task, run in session.stops:
            if machine.running.get(task, (0, 0))[0] == run:
                machine.end(task, cell_workers.RunEnd.STOPPED)
        session.stops.clear()

    def starts_of(self, name: str) -> list[Start]:
        """Returns the starts of a task."""
        return [start for start in self.starts if start.task == name]

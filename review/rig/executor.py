"""A stand-in executor, as PROTOCOL.md describes it under "Running tasks"."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import json
import threading
import time
from typing import Any

from rig import proxy as proxy_module
from rig import record as record_module
from rig import store as store_module
from rig import web

TICK_S = 0.01
CHECK_IN_S = 1.5
MISSED_CHECK_INS = 3
STARTUP_S = 0.3
MAX_HOLD_MS = 6_000


@dataclasses.dataclass(frozen=True)
class Life:
    """How a run goes if nothing interrupts it.

    Attributes:
        lasts_s: Time until it ends by itself; None if it doesn't.
        how: How it ends then.
    """

    lasts_s: float | None
    how: str = "done"


Plan = Callable[[str, int, str], Life]


class RunListener:
    """Hears of the runs of executors; used for gangs."""

    def joined(
        self, executor: Executor, task: str, number: int, checkpoint: str
    ) -> None:
        """Hears of a start; called under the executor's lock."""

    def left(self, task: str, number: int, how: str) -> None:
        """Hears of an end; called under the executor's lock."""


@dataclasses.dataclass
class _Run:
    task: str
    number: int
    life: Life
    millicores: int
    started_s: float
    stop_at_s: float | None = None
    saved: str = ""
    shown_percent: int | None = None

    def percent(self, now_s: float) -> int:
        """How far it is."""
        if self.shown_percent is not None:
            return self.shown_percent
        ran_s = now_s - self.started_s
        if self.life.lasts_s is None:
            return 100 if ran_s >= STARTUP_S else 0
        return min(int(100 * ran_s / self.life.lasts_s), 99)


@dataclasses.dataclass(frozen=True)
class Spec:
    """What an executor is.

    Attributes:
        executor_id: Its id.
        service: The service that it belongs to.
        millicores: Its capacity.
        task_millicores: What each task of the case asks for.
        labels: Its labels.
        zone: Its zone.
        stop_s: How long a stop takes.
        first_check_in_s: Time from its start to its first entry in the store.
    """

    executor_id: str
    service: str
    millicores: int = 8_000
    task_millicores: int = 500
    labels: tuple[str, ...] = ("std", "r1-1")
    zone: str = "bole"
    stop_s: float = 0.05
    first_check_in_s: float = 0.0


class Executor:
    """One executor with its server and its entry in the store.

    Args:
        spec: What it is.
        plan: How runs of a task go.
        store: The store in which it registers itself.
        record: Gets each start and end.
        listener: Hears of its runs.
        advertise: A proxy at whose address it registers itself.
    """

    def __init__(
        self,
        spec: Spec,
        plan: Plan,
        store: store_module.Store,
        record: record_module.Record,
        listener: RunListener | None = None,
        advertise: proxy_module.Proxy | None = None,
    ) -> None:
        self.spec = spec
        self._listener = listener or RunListener()
        self._plan = plan
        self._store = store
        self._record = record
        self.born_ms = int(time.time() * 1_000)
        self._booted_s = time.monotonic()
        self._changed = threading.Condition()
        self._runs: dict[tuple[str, int], _Run] = {}
        self._ended: list[list[Any]] = []
        self._next_end = 1
        self._closed_runs: dict[str, int] = {}
        self._token = 0
        self._lease_ms = 0.0
        self._is_up = True
        self._server = web.Server(self._handle)
        self.address = self._server.address
        if advertise is not None:
            advertise.lead_to(self.address)
            self.address = advertise.address
        threading.Thread(target=self._tick_loop, daemon=True).start()
        threading.Thread(target=self._check_in_loop, daemon=True).start()

    @property
    def is_up(self) -> bool:
        """Whether it has not crashed or been closed."""
        return self._is_up

    def running(self) -> list[str]:
        """Returns the tasks that run on it."""
        with self._changed:
            return [run.task for run in self._runs.values()]

    def at_work(self) -> list[str]:
        """Returns the tasks that run on it at 100 percent."""
        now_s = time.monotonic()
        with self._changed:
            return [
                run.task
                for run in self._runs.values()
                if run.percent(now_s) == 100
            ]

    def end_run(self, task: str, number: int, how: str) -> None:
        """Ends a run, if it is there."""
        with self._changed:
            run = self._runs.get((task, number))
            if run is not None:
                self._end(run, how)

    def show(self, task: str, number: int, percent: int, saved: str) -> None:
        """Sets what a run reports."""
        with self._changed:
            run = self._runs.get((task, number))
            if run is not None:
                run.shown_percent = percent
                run.saved = saved

    def close(self) -> None:
        """Ends it without any note in the store."""
        with self._changed:
            self._is_up = False
            for run in self._runs.values():
                self._listener.left(run.task, run.number, "lost")
            self._runs.clear()
            self._changed.notify_all()
        self._server.close()

    def crash(self) -> None:
        """Ends it at once; its entry goes after three missed check-ins."""
        self._record.note(
            "executor-crash",
            executor=self.spec.executor_id,
            tasks=",".join(self.running()),
        )
        self.close()
        timer = threading.Timer(
            MISSED_CHECK_INS * CHECK_IN_S, self._remove_entry
        )
        timer.daemon = True
        timer.start()

    def end_by_platform(self) -> list[str]:
        """Ends it for an upkeep or a move; returns the tasks at work."""
        tasks = self.at_work()
        self.close()
        self._remove_entry()
        return tasks

    def _remove_entry(self) -> None:
        self._store.write("servers", self.spec.executor_id, None)

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._booted_s) * 1_000) + 1

    def _check_in_loop(self) -> None:
        sequence = 0
        time.sleep(self.spec.first_check_in_s)
        while True:
            sequence += 1
            with self._changed:
                if not self._is_up:
                    return
                self._store.write(
                    "servers", self.spec.executor_id, self._entry(sequence)
                )
                self._changed.wait_for(lambda: not self._is_up, CHECK_IN_S)

    def _entry(self, sequence: int) -> dict[str, Any]:
        spec = self.spec
        return {
            "Service": spec.service,
            "Address": self.address,
            "Zone": spec.zone,
            "Version": "1",
            "Slots": 8,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": sequence,
            "Capacity": {
                "CpuMillicores": spec.millicores,
                "RequestedMemoryMb": 64_000,
            },
            "Labels": list(spec.labels),
            "born": self.born_ms,
        }

    def _tick_loop(self) -> None:
        while self._is_up:
            time.sleep(TICK_S)
            with self._changed:
                now_s = time.monotonic()
                has_lapsed = self._clock_ms() > self._lease_ms
                for run in list(self._runs.values()):
                    self._advance(run, now_s, has_lapsed)

    def _advance(self, run: _Run, now_s: float, has_lapsed: bool) -> None:
        lasts_s = run.life.lasts_s
        if run.stop_at_s is not None and now_s >= run.stop_at_s:
            self._end(run, "stopped")
        elif has_lapsed:
            self._end(run, "lapsed")
        elif lasts_s is not None and now_s - run.started_s >= lasts_s:
            self._end(run, run.life.how)

    def _end(self, run: _Run, how: str) -> None:
        del self._runs[run.task, run.number]
        self._close_run(run.task, run.number)
        self._ended.append(
            [self._next_end, run.task, run.number, how, run.saved]
        )
        self._listener.left(run.task, run.number, how)
        self._next_end += 1
        self._changed.notify_all()
        self._record.note(
            "end",
            executor=self.spec.executor_id,
            task=run.task,
            run=run.number,
            how=how,
        )

    def _close_run(self, task: str, number: int) -> None:
        self._closed_runs[task] = max(self._closed_runs.get(task, 0), number)

    def _handle(self, request: web.Request) -> web.Reply | None:
        reply = self._answer_request(request)
        # What crashed meanwhile answers nothing.
        return reply if self._is_up else None

    def _answer_request(self, request: web.Request) -> web.Reply | None:
        if not self._is_up:
            return None
        expected = request.headers.get("x-expected-instance")
        if expected not in (None, self.spec.executor_id):
            return web.Reply(421)
        if request.path == "/health":
            return web.Reply(200)
        body = json.loads(request.body)
        with self._changed:
            if not self._is_up:
                return None
            if body.get("FencingToken", 0) < self._token:
                return self._refuse("fence")
            self._token = body.get("FencingToken", 0)
            match request.path:
                case "/v1/hold":
                    return self._hold(body)
                case "/v1/run-start":
                    return self._start(body)
                case "/v1/run-stop":
                    return self._stop(body)
                case "/v1/pace":
                    return self._answer({})
        return web.Reply(404)

    def _answer(self, fields: dict[str, Any], status: int = 200) -> web.Reply:
        return web.json_reply(status, {"ClockMs": self._clock_ms(), **fields})

    def _refuse(self, reason: str) -> web.Reply:
        return self._answer({"Reason": reason}, 409)

    def _extend_lease(self, body: dict[str, Any]) -> None:
        wanted_ms = body.get("DeadlineMs", 0)
        longest_ms = self._clock_ms() + MAX_HOLD_MS
        self._lease_ms = max(self._lease_ms, min(wanted_ms, longest_ms))

    def _hold(self, body: dict[str, Any]) -> web.Reply:
        self._extend_lease(body)
        self._ended = [
            end for end in self._ended if end[0] > body.get("LastSeen", 0)
        ]
        wait_s = body.get("WaitMs", 0) / 1_000
        self._changed.wait_for(
            lambda: bool(self._ended) or not self._is_up, wait_s
        )
        now_s = time.monotonic()
        running = [
            [run.task, run.number, run.saved, run.percent(now_s), 0]
            for run in self._runs.values()
        ]
        return self._answer(
            {
                "born": self.born_ms,
                "Running": running,
                "Ended": self._ended[:500],
            }
        )

    def _start(self, body: dict[str, Any]) -> web.Reply:
        task, number = body["Task"], body["Run"]
        if (task, number) in self._runs:
            self._extend_lease(body)
            return self._answer({})
        if body["DeadlineMs"] < self._clock_ms():
            return self._refuse("late")
        self._extend_lease(body)
        if number <= self._closed_runs.get(task, 0):
            return self._refuse("old")
        used = sum(run.millicores for run in self._runs.values())
        if used + self.spec.task_millicores > self.spec.millicores:
            return self._refuse("room")
        checkpoint = body.get("Checkpoint", "")
        self._runs[task, number] = _Run(
            task,
            number,
            self._plan(task, number, body["Specification"]),
            self.spec.task_millicores,
            time.monotonic(),
            saved=checkpoint,
        )
        self._listener.joined(self, task, number, checkpoint)
        self._record.note(
            "start",
            executor=self.spec.executor_id,
            task=task,
            run=number,
            token=body["FencingToken"],
            checkpoint=checkpoint or "-",
        )
        return self._answer({})

    def _stop(self, body: dict[str, Any]) -> web.Reply:
        task, number = body["Task"], body["Run"]
        self._close_run(task, number)
        run = self._runs.get((task, number))
        if run is not None and run.stop_at_s is None:
            run.stop_at_s = time.monotonic() + self.spec.stop_s
            self._record.note(
                "stop",
                executor=self.spec.executor_id,
                task=task,
                run=number,
            )
        return self._answer({})

"""Stand-in of an executor, which runs tasks as long as their text says."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import time
from typing import Any

import change
import http_stub
import store as store_module

MAX_HOLD_MS = 6_000
STOP_S = 0.05
HEARTBEAT_S = 1.5
# An entry is removed after three intervals of silence.
SILENT_INTERVALS = 3
ENDS_PER_REPLY = 500
# A machine that is back resets the connections of before when their peers send
# the next keep-alive probe.
RESET_S = 1.0

Note = Callable[..., None]


class Running:
    """A task that an executor runs."""

    def __init__(self, run: int, cpu: int, duration_s: float) -> None:
        self.run = run
        self.cpu = cpu
        self.began_s = time.monotonic()
        self.duration_s = duration_s
        self.timer: asyncio.TimerHandle | None = None

    @property
    def percent(self) -> int:
        """Its progress; a task that lasts (no duration) is at work at once."""
        if not self.duration_s:
            return 100
        share = (time.monotonic() - self.began_s) / self.duration_s
        return min(int(share * 100), 99)


class Executor:
    """One executor; it may crash, fall silent and start again.

    Args:
        store: Where it registers itself.
        note: Writes an event to the record.
        name: Its id.
        fields: Fields of its entry that differ from the defaults.

    Attributes:
        reply_delay_s: How much later than usual it answers.
        cold_s: How much longer it is slow after its start, as in its entry.
        is_up: Whether it runs.
        reading: What it reports as the processors in use of a task, by name.
    """

    def __init__(
        self,
        store: store_module.Store,
        note: Note,
        name: str,
        fields: dict[str, Any] | None = None,
    ) -> None:
        self.server = http_stub.Server(self._handle)
        self.name = name
        self.reply_delay_s = 0.0
        self.cold_s = 0.0
        self.is_up = False
        self.reading: Callable[[str], int] = lambda _: 0
        self._store = store
        self._note = note
        self._fields = fields or {}
        self._heartbeat: asyncio.Task[None] | None = None
        self._cleanups: set[asyncio.Task[None]] = set()
        self._reset()

    def _reset(self) -> None:
        self.running: dict[str, Running] = {}
        self._closed: dict[str, int] = {}
        self._ended: list[tuple[int, str, int, str, str]] = []
        self._last_end = 0
        self._token = 0
        self._born_ms = int(time.time() * 1_000)
        self._boot_s = time.monotonic()
        self._deadline_ms = 0
        self._lease: asyncio.TimerHandle | None = None
        self._ends = change.Change()
        self._sequence = 0

    @property
    def capacity(self) -> dict[str, int]:
        """Its capacity as in its entry."""
        return self._fields.get(
            "Capacity",
            {"CpuMillicores": 32_000, "RequestedMemoryMb": 128_000, "Gpus": 0},
        )

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._boot_s) * 1_000)

    async def boot(
        self, name: str | None = None, entry_delay_s: float = 0.0
    ) -> None:
        """Starts, under a new id if one is given; it then knows nothing."""
        self.name = name or self.name
        self._reset()
        if self.server.is_open:
            self.server.light_up(RESET_S)
        else:
            await self.server.open()
        self.is_up = True
        self._note("executor-up", executor=self.name, born=self._born_ms)
        self._heartbeat = asyncio.create_task(self._register(entry_delay_s))

    async def _register(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        while True:
            while self._store.is_down:
                await asyncio.sleep(0.1)
            self._sequence += 1
            self._store.write(
                "keyed.servers",
                self.name,
                {
                    "Service": "skyproc",
                    "Address": self.server.address,
                    "Zone": "bole",
                    "Version": "v1",
                    "Slots": 8,
                    "State": "ready",
                    "ColdRemainingMs": int(self.cold_s * 1_000),
                    "Sequence": self._sequence,
                    "Labels": ["a", "r1-1"],
                    "born": self._born_ms,
                    **self._fields,
                    "Capacity": self.capacity,
                },
            )
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self, *, dark: bool = False) -> None:
        """Ends at once; what it ran ends with it.

        Args:
            dark: Whether its machine answers nothing until the next boot,
                rather than to reset and refuse connections.
        """
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        if self._lease is not None:
            self._lease.cancel()
        if dark:
            self.server.go_dark()
        else:
            self.server.close()
        self.is_up = False
        for task, running in self.running.items():
            if running.timer is not None:
                running.timer.cancel()
            self._note("lost", executor=self.name, task=task, run=running.run)
        self.running = {}
        self._note("executor-down", executor=self.name, dark=dark)
        cleanup = asyncio.create_task(self._expire(self.name))
        self._cleanups.add(cleanup)
        cleanup.add_done_callback(self._cleanups.discard)

    async def _expire(self, name: str) -> None:
        """Removes the entry of an executor that stays away, as the store."""
        await asyncio.sleep(SILENT_INTERVALS * HEARTBEAT_S)
        if not (self.is_up and self.name == name):
            self._store.write("keyed.servers", name, None)

    async def _handle(self, request: http_stub.Request) -> http_stub.Reply:
        expected = request.headers.get("x-expected-instance", self.name)
        if expected != self.name:
            return 421, b""
        body = request.json()
        if body.get("FencingToken", 0) < self._token:
            return self._refuse("fence")
        self._token = body.get("FencingToken", 0)
        match request.path:
            case "/v1/run-start":
                reply = self._start(body)
            case "/v1/run-stop":
                reply = self._stop(body)
            case "/v1/hold":
                reply = await self._hold(body)
            case "/v1/pace":
                reply = http_stub.json_reply(200, {"ClockMs": self._clock_ms()})
            case _:
                reply = (404, b"")
        await asyncio.sleep(self.reply_delay_s)
        return reply

    def _refuse(self, reason: str) -> http_stub.Reply:
        return http_stub.json_reply(
            409, {"ClockMs": self._clock_ms(), "Reason": reason}
        )

    def _renew(self, deadline_ms: int) -> None:
        """Prolongs the lease; its end kills everything."""
        deadline_ms = min(deadline_ms, self._clock_ms() + MAX_HOLD_MS)
        if deadline_ms <= self._deadline_ms:
            return
        self._deadline_ms = deadline_ms
        if self._lease is not None:
            self._lease.cancel()
        self._lease = asyncio.get_running_loop().call_later(
            (deadline_ms - self._clock_ms()) / 1_000, self._lapse
        )

    def _lapse(self) -> None:
        self._note("lapsed", executor=self.name)
        for task in list(self.running):
            self._end(task, "lapsed")

    def _start(self, body: dict[str, Any]) -> http_stub.Reply:
        task, run = body["Task"], body["Run"]
        current = self.running.get(task)
        if current is not None and current.run == run:
            self._renew(body["DeadlineMs"])
            return http_stub.json_reply(200, {"ClockMs": self._clock_ms()})
        if body["DeadlineMs"] <= self._clock_ms():
            return self._refuse("late")
        self._renew(body["DeadlineMs"])
        if run <= self._closed.get(task, 0) or current is not None:
            return self._refuse("old")
        cpu, duration_s = _parse(body["Specification"])
        used = sum(running.cpu for running in self.running.values())
        if used + cpu > self.capacity["CpuMillicores"]:
            return self._refuse("room")
        running = Running(run, cpu, duration_s)
        self.running[task] = running
        if duration_s:
            running.timer = asyncio.get_running_loop().call_later(
                duration_s, self._end, task, "done"
            )
        self._note("start", executor=self.name, task=task, run=run)
        return http_stub.json_reply(200, {"ClockMs": self._clock_ms()})

    def end_all(self, within_s: float) -> None:
        """Has all that it runs end `done`, one after the other, in a while."""
        loop = asyncio.get_running_loop()
        count = max(len(self.running), 1)
        for number, task in enumerate(list(self.running)):
            loop.call_later(within_s * number / count, self._end, task, "done")

    def _stop(self, body: dict[str, Any]) -> http_stub.Reply:
        task, run = body["Task"], body["Run"]
        self._closed[task] = max(self._closed.get(task, 0), run)
        current = self.running.get(task)
        if current is not None and current.run == run:
            asyncio.get_running_loop().call_later(
                STOP_S, self._end, task, "stopped", run
            )
        return http_stub.json_reply(200, {"ClockMs": self._clock_ms()})

    def _end(self, task: str, how: str, run: int = 0) -> None:
        running = self.running.get(task)
        if running is None or (run and running.run != run):
            return
        if running.timer is not None:
            running.timer.cancel()
        del self.running[task]
        self._closed[task] = max(self._closed.get(task, 0), running.run)
        self._last_end += 1
        self._ended.append((self._last_end, task, running.run, how, ""))
        self._note(
            "end", executor=self.name, task=task, run=running.run, how=how
        )
        self._ends.notify()

    def _forget(self, seen: int) -> None:
        """Forgets ends that are taken note of."""
        for number, task, run, how, _ in self._ended:
            if number <= seen:
                self._note(
                    "taken",
                    executor=self.name,
                    task=task,
                    run=run,
                    how=how,
                    last_seen=seen,
                )
        self._ended = [end for end in self._ended if end[0] > seen]

    async def _hold(self, body: dict[str, Any]) -> http_stub.Reply:
        if "DeadlineMs" in body:
            self._renew(body["DeadlineMs"])
        self._forget(body["LastSeen"])
        await self._ends.wait_for(
            lambda: bool(self._ended), body.get("WaitMs", 0) / 1_000
        )
        return http_stub.json_reply(
            200,
            {
                "ClockMs": self._clock_ms(),
                "born": self._born_ms,
                "Running": [
                    [
                        task,
                        running.run,
                        "",
                        running.percent,
                        self.reading(task),
                    ]
                    for task, running in self.running.items()
                ],
                "Ended": self._ended[:ENDS_PER_REPLY],
            },
        )


def _parse(specification: str) -> tuple[int, float]:
    """Returns processors and duration of a task from its text."""
    cpu, _, duration_ms = specification.partition(":")
    return int(cpu), int(duration_ms) / 1_000

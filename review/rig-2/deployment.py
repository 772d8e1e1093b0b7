"""A small deployment: hosts as processes, the store and executors here."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any

import executor as executor_module
import http_stub
import store as store_module

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The command of `deploy/system.toml`.
COMMAND = ["python3", "-m", "comfreylatch.platform"]
HOST_HEADER = "nony24.example"
PREFIX = "/lohu930/"
READY_TIMEOUT_S = 25.0
# Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2
ROUTE = {
    "Name": "r-1",
    "Host": HOST_HEADER,
    "PathPrefix": PREFIX,
    "Service": "skyproc",
    "Priority": 0,
    "MaxAttempts": 4,
    "SlackFactor": 2.0,
    "TargetCompletionMs": 1000,
}
BOUNDS = {
    "ContactTimeoutMs": 3000,
    "AckDeadlineMs": 4000,
    "DrainTimeoutMs": 2000,
    "GracePeriodS": 6,
    "ConfigApplyMs": 2000,
    "MaxHoldMs": 6000,
    "StopTimeoutMs": 200,
    "GangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "RemotePenalty": 1.5,
    "RequireFencing": True,
    "LeaseDurationMs": 3000,
    "DisruptionMs": 4000,
}


class CannotRunError(Exception):
    """The deployment did not come up."""


class Host:
    """A process of the system."""

    def __init__(self, name: str, zone: str, folder: pathlib.Path) -> None:
        self.name = name
        self.zone = zone
        self.callers = f"127.0.0.1:{http_stub.free_port()}"
        self.readiness = f"127.0.0.1:{http_stub.free_port()}"
        self.log = folder / f"{name}.log"
        self._settings = folder / f"{name}.json"
        self.process: subprocess.Popen[bytes] | None = None

    def write_settings(self, store_address: str) -> None:
        """Writes the settings file, as the platform does."""
        self._settings.write_text(
            json.dumps(
                {
                    "NodeName": self.name,
                    "Role": "entry",
                    "MachineClass": "frontend",
                    "Serves": ["frontend"],
                    "IpAddress": "127.0.0.1",
                    "Zone": self.zone,
                    "Region": "addis",
                    "ListenAddresses": {
                        "Frontend": self.callers,
                        "Readiness": self.readiness,
                    },
                    "Limits": {
                        "CpuShare": 0.43,
                        "Cores": 1,
                        "MemoryMb": 300,
                        "FileDescriptors": 4100,
                    },
                    "HeartbeatIntervalMs": 1500,
                    "Bounds": BOUNDS,
                    "Orders": "request",
                    "platform": {
                        "Address": store_address,
                        "form": "log",
                        "parts": 8,
                        "AppendMs": 4.0,
                        "RecordBytes": store_module.RECORD_BYTES,
                        "RequestBytes": store_module.REQUEST_BYTES,
                    },
                }
            )
        )

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "COMFREYLATCH_CONFIG": str(self._settings),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def kill(self) -> None:
        """Kills the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def is_ready(self) -> bool:
        """Whether it reports that it is ready."""
        answer = await http_stub.call(
            self.readiness, "GET", "/v1/readiness", "x", timeout_s=1.0
        )
        return answer is not None and answer[0] == 200

    def events(self, name: str) -> list[dict[str, Any]]:
        """Returns the lines of its log about one event."""
        found = []
        for line in self.log.read_bytes().splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if event.get("event") == name:
                found.append(event)
        return found


class Deployment:
    """Hosts, store and executors, and the record of what they did."""

    def __init__(self, folder: pathlib.Path, record: pathlib.Path) -> None:
        self.store = store_module.Store()
        self.hosts: list[Host] = []
        self.executors: list[executor_module.Executor] = []
        self.events: list[dict[str, Any]] = []
        self._folder = folder
        self._record = record
        self._began_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Seconds since the deployment was created."""
        return time.monotonic() - self._began_s

    def note(self, event: str, **fields: Any) -> None:
        """Adds an event to the record."""
        self.events.append(
            {"at_s": round(self.now_s, 3), "event": event, **fields}
        )

    def seen(self, event: str, **fields: Any) -> list[dict[str, Any]]:
        """Returns the events with a name and these fields."""
        return [
            entry
            for entry in self.events
            if entry["event"] == event
            and all(entry.get(key) == value for key, value in fields.items())
        ]

    def add_executor(
        self, name: str, **fields: Any
    ) -> executor_module.Executor:
        """Adds an executor, which isn't started yet."""
        added = executor_module.Executor(self.store, self.note, name, fields)
        self.executors.append(added)
        return added

    async def start(self, host_count: int) -> None:
        """Starts everything and waits until a host owns the executors."""
        await self.store.server.open()
        self.store.write(
            "keyed.op",
            "config",
            {
                "Version": 1,
                "Routes": [ROUTE],
                "Services": [{"Name": "skyproc", "EnforcesCapacity": True}],
                "Limits": {},
            },
        )
        for added in self.executors:
            await added.boot()
        for number in range(host_count):
            zone = ("bole", "entoto", "kality")[number % 3]
            host = Host(f"entry-{number + 1}", zone, self._folder)
            host.write_settings(self.store.server.address)
            host.start()
            self.hosts.append(host)
        deadline_s = self.now_s + READY_TIMEOUT_S
        while self.now_s < deadline_s:
            ready = [await host.is_ready() for host in self.hosts]
            if all(ready) and self.owner_name():
                await asyncio.sleep(1.0)
                return
            await asyncio.sleep(0.1)
        for host in self.hosts:
            self.note(
                "not-ready",
                host=host.name,
                exit=host.process.poll() if host.process else None,
                log=host.log.read_bytes()[-500:].decode(errors="replace"),
            )
        raise CannotRunError("the hosts did not become ready")

    def owner_name(self) -> str:
        """Name of the host that wrote the last heartbeat of an owner."""
        newest = self.store.partition("keyed.jobs").newest()
        if "owner" not in newest:
            return ""
        return str(json.loads(newest["owner"][1])["host"])

    def owner(self) -> Host:
        """The host that wrote the last heartbeat of an owner."""
        name = self.owner_name()
        return next(host for host in self.hosts if host.name == name)

    async def submit(
        self, job_id: str, steps: list[dict[str, Any]], text: str, **more: Any
    ) -> int:
        """Hands a submission in at one host after the other, until it is in."""
        for attempt in range(5):
            host = self.hosts[attempt % len(self.hosts)]
            answer = await http_stub.call(
                host.callers,
                "POST",
                PREFIX + job_id,
                HOST_HEADER,
                {"Specification": text, "JobSteps": steps, **more},
            )
            status = 0 if answer is None else answer[0]
            self.note("submitted", job=job_id, host=host.name, status=status)
            if status == 200:
                return status
            await asyncio.sleep(0.3)
        return 0

    async def state(self, job_id: str) -> str:
        """Returns the state that a host shows; empty without an answer."""
        for host in self.hosts:
            answer = await http_stub.call(
                host.callers, "GET", PREFIX + job_id, HOST_HEADER
            )
            if answer is not None and answer[0] == 200:
                state = str(answer[1]["State"])
                self.note("shown", job=job_id, host=host.name, state=state)
                return state
            status = 0 if answer is None else answer[0]
            self.note("not-shown", job=job_id, host=host.name, status=status)
        return ""

    def close(self) -> None:
        """Ends the processes and writes the record."""
        for host in self.hosts:
            host.kill()
        with self._record.open("w") as record:
            for event in self.events:
                record.write(json.dumps(event) + "\n")


Play = Callable[[Deployment, bool], Awaitable[int]]


def run_case(folder: pathlib.Path, play: Play, has_trouble: bool) -> int:
    """Runs a case in its folder, with or without its disruption.

    Returns:
        Its exit code.
    """
    # So that the processes are ended, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))

    async def run() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            deployment = Deployment(
                pathlib.Path(temporary), folder / "record.txt"
            )
            try:
                code = await asyncio.wait_for(
                    play(deployment, has_trouble), 115
                )
                deployment.note("verdict", exit=code, trouble=has_trouble)
                return code
            except (TimeoutError, CannotRunError, OSError) as error:
                deployment.note("not-run", error=repr(error))
                return NOT_RUN
            finally:
                if keep := os.environ.get("KEEP_LOGS"):
                    for host in deployment.hosts:
                        target = pathlib.Path(keep) / host.log.name
                        target.write_bytes(host.log.read_bytes())
                deployment.close()

    code = asyncio.run(run())
    print(
        {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code],
        file=sys.stderr,
    )
    return code

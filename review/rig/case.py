"""Runs a case: sets up a small deployment, plays it and judges it."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import os
import pathlib
import signal
import sys
import tempfile
import threading
import time
from typing import Any

from rig import executor as executor_module
from rig import host as host_module
from rig import proxy as proxy_module
from rig import record as record_module
from rig import store as store_module
from rig import web

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
# Below the 120 seconds that a script may take.
LONGEST_S = 112.0
QUEUE_HOST = "nony24.example"
PREFIX = "/calib/"
SERVICE = "skyproc"


class Deployment:
    """A small deployment of which everything runs on loopback addresses.

    A context manager; leaving it ends all that was started.

    Attributes:
        has_trouble: Whether the case is to be played with its disruption.
    """

    def __init__(
        self, record: record_module.Record, folder: pathlib.Path
    ) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = record
        self.folder = folder
        self._stack = contextlib.ExitStack()
        self.store = store_module.Store()
        self._stack.callback(self.store.close)

    def __enter__(self) -> Deployment:
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    def configure(self, version: int = 1, **queue: Any) -> None:
        """Writes the operator's configuration, with one queue."""
        route = {
            "Name": "calib",
            "Host": QUEUE_HOST,
            "PathPrefix": PREFIX,
            "Service": SERVICE,
            "MaxAttempts": 3,
            "SlackFactor": 2.0,
            "TargetCompletionMs": 1_000,
            **queue,
        }
        service = {"Name": SERVICE, "EnforcesCapacity": True}
        configuration = {
            "Version": version,
            "Routes": [route],
            "Services": [service],
            "Limits": {},
        }
        self.store.write("op", "config", configuration)

    def proxy(self, target: str = "") -> proxy_module.Proxy:
        """Starts a proxy."""
        proxy = proxy_module.Proxy(target)
        self._stack.callback(proxy.close)
        return proxy

    def executor(
        self,
        spec: executor_module.Spec,
        plan: executor_module.Plan,
        listener: executor_module.RunListener | None = None,
        advertise: proxy_module.Proxy | None = None,
    ) -> executor_module.Executor:
        """Starts an executor.

        Args:
            spec: What it is.
            plan: How its runs go.
            listener: Hears of its runs.
            advertise: A proxy at whose address it registers itself.
        """
        executor = executor_module.Executor(
            spec,
            plan,
            self.store,
            self.record,
            listener=listener,
            advertise=advertise,
        )
        self._stack.callback(executor.close)
        return executor

    def host(
        self, name: str, store_address: str = "", **settings: Any
    ) -> host_module.Host:
        """Starts a host."""
        host = host_module.Host(
            name, self.folder, store_address or self.store.address, **settings
        )
        self._stack.callback(host.kill)
        host.start()
        self.record.note("host-start", host=name)
        return host

    def owner(self) -> str:
        """Name of the host that wrote to the store last as the owner."""
        heartbeat = self.store.read_newest("jobs", "owner")
        return "" if heartbeat is None else heartbeat.get("host", "")

    def call(
        self,
        method: str,
        host: host_module.Host,
        job_id: str,
        body: Any = None,
        deadline_ms: int = 3_000,
    ) -> tuple[int, Any] | None:
        """Makes a consumer's call and records it with its answer."""
        sent_s = self.record.note(
            "send", method=method, host=host.name, job=job_id or "-"
        )
        answer = web.call(
            method,
            host.callers,
            PREFIX + job_id,
            QUEUE_HOST,
            body,
            deadline_ms,
        )
        text = "none" if answer is None else f"{answer[0]}"
        self.record.note(
            "answer",
            method=method,
            host=host.name,
            job=job_id or "-",
            status=text,
            body=None if answer is None else answer[1],
            after_ms=int((self.record.now_s() - sent_s) * 1_000),
        )
        return answer

    def require(
        self, what: str, condition: Callable[[], bool], timeout_s: float = 15.0
    ) -> None:
        """Waits for what the case needs before its disruption."""
        end_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end_s:
                raise host_module.CannotRunError(f"{what}: not so in time")
            time.sleep(0.02)
        self.record.note("have", what=what)


Play = Callable[[Deployment], int]


def main(file: str, play: Play) -> None:
    """Plays a case; exits with 1 if the rule was broken, 0 if it held."""
    folder = pathlib.Path(file).resolve().parent
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    with contextlib.ExitStack() as stack:
        temporary = stack.enter_context(tempfile.TemporaryDirectory())
        record = stack.enter_context(
            record_module.Record(folder / "record.txt")
        )
        try:
            deployment = stack.enter_context(
                Deployment(record, pathlib.Path(temporary))
            )
            record.note("begin", trouble=int(deployment.has_trouble))
            watchdog = threading.Timer(
                LONGEST_S, os.kill, (os.getpid(), signal.SIGTERM)
            )
            watchdog.daemon = True
            watchdog.start()
            verdict = play(deployment)
        except Exception as error:
            record.note("cannot-run", detail=repr(error))
            verdict = CANNOT_RUN
        record.note("verdict", exit=verdict)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for log in pathlib.Path(temporary).glob("*.log"):
                (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())
    print(
        {HELD: "held", BROKEN: "broken", CANNOT_RUN: "could not run"}[verdict]
    )
    sys.stdout.flush()
    os._exit(verdict)

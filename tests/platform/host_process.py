"""A host process against stand-ins of the platform, for tests."""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

import testtools
import urllib3

from comfreylatch._connection import http_server
from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import store as store_port
from comfreylatch.platform import host
from testing.fakes import cell_workers as fake_workers
from testing.standins import platform

WAIT_S = 20.0
GRACE_S = 6
JOB_ID = "5c0e7a21d94b36f8"
# Longer than it takes until a host has read a record and acted on it.
SETTLED_S = 1.0
EXECUTOR = {
    "Service": "skyproc",
    "Zone": "bole",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Sequence": 1,
    "Capacity": {"CpuMillicores": 8_000, "RequestedMemoryMb": 64_000},
    "Labels": [],
}
ROUTE = {
    "Name": "calib",
    "Host": "a.example",
    "PathPrefix": "/calib/",
    "Service": "skyproc",
    "MaxAttempts": 3,
}
JOB = {
    "Specification": "text",
    "JobSteps": [
        {"TaskCount": 2, "CpuMillicores": 500, "EstimatedDurationMs": 100},
        {"TaskCount": 1, "CpuMillicores": 500, "DependsOn": [0]},
    ],
}


def free_address() -> str:
    """Returns an address on which nothing is listening."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class HostProcessTestCase(testtools.TestCase):
    """A host process with a store and one executor.

    Attributes:
        process: The host process; its log is in `log_path`.
    """

    def setUp(self) -> None:
        super().setUp()
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.store = platform.StoreStandIn()
        store_server = self.serve(self.store)
        clock = clock_port.SystemClock()
        self.worker = fake_workers.FakeWorker(fake_workers.entry("w1"), clock)
        self.executor = platform.ExecutorStandIn(self.worker)
        executor_server = self.serve(self.executor)
        self.executor_address = executor_server.address
        self.write_record("op", "config", {"Version": 1, "Routes": [ROUTE]})
        self.write_executor("w1", Address=executor_server.address, born=1)
        self.callers = free_address()
        self.readiness = free_address()
        folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.log_path = pathlib.Path(folder) / "host.log"
        self.log_path.touch()
        self.settings_path = pathlib.Path(folder) / "settings.json"
        self.store_address = store_server.address
        self.write_settings("entry-1")
        self.process = self.start()

    def serve(
        self, stand_in: platform.StoreStandIn | platform.ExecutorStandIn
    ) -> http_server.HttpServer:
        """Serves a stand-in until the end of the test."""
        server = self.stack.enter_context(stand_in.serve())
        self.stack.callback(stand_in.answering.set)
        return server

    def write_record(self, topic: str, key: str, value: Any) -> None:
        """Writes a record as an operator or executor would."""
        self.write_raw(topic, key, json.dumps(value).encode())

    def write_raw(self, topic: str, key: str, value: bytes) -> None:
        """Writes a record with any bytes."""
        record = store_port.NewRecord(key, value)
        self.store.memory_store.append("keyed." + topic, 0, (record,))

    def write_executor(self, key: str, **fields: Any) -> None:
        """Writes an entry of an executor; `fields` override the defaults."""
        self.write_record("servers", key, {**EXECUTOR, **fields})

    def delete_record(self, topic: str, key: str) -> None:
        """Deletes a record as an operator or executor would."""
        record = store_port.NewRecord(key, None)
        self.store.memory_store.append("keyed." + topic, 0, (record,))

    def write_settings(self, host_name: str) -> None:
        """Writes the settings file of the next host."""
        self.settings_path.write_text(
            json.dumps(
                {
                    "NodeName": host_name,
                    "IpAddress": "127.0.0.1",
                    "Zone": "bole",
                    "ListenAddresses": {
                        "Frontend": self.callers,
                        "Readiness": self.readiness,
                    },
                    "Bounds": {"GracePeriodS": GRACE_S},
                    "platform": {"Address": self.store_address, "parts": 8},
                    "SomethingNew": {"a": 1},
                }
            )
        )

    def start(self) -> subprocess.Popen[bytes]:
        """Starts the host process."""
        with self.log_path.open("wb") as log:
            return self.start_with_log(log.fileno())

    def start_with_log(self, log: int) -> subprocess.Popen[bytes]:
        """Starts the host process with a descriptor for its log."""
        settings = str(self.settings_path)
        process = subprocess.Popen(
            [sys.executable, "-m", "comfreylatch.platform"],
            env={**os.environ, host.SETTINGS_VARIABLE: settings},
            stdout=log,
        )
        self.stack.callback(process.wait)
        self.stack.callback(process.kill)
        return process

    def request(
        self,
        method: str,
        address: str,
        path: str,
        body: Any = None,
        deadline_ms: int = 2_000,
    ) -> Any:
        """Sends a request; returns None if there is no reply."""
        try:
            return urllib3.request(
                method,
                f"http://{address}{path}",
                json=body,
                headers={
                    "Host": "a.example",
                    "X-Deadline-Ms": str(deadline_ms),
                },
                retries=False,
                timeout=deadline_ms / 1_000,
            )
        except urllib3.exceptions.HTTPError:
            return None

    def wait_for(self, condition: Any) -> None:
        """Waits until a condition holds."""
        deadline_s = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(
                time.monotonic(), deadline_s, "condition not met in time"
            )
            time.sleep(0.02)

    def is_ready(self) -> bool:
        """Whether the readiness page reports ready."""
        reply = self.request("GET", self.readiness, "/v1/readiness")
        return reply is not None and reply.status == 200

    def is_owner(self) -> bool:
        """Whether the host has written the heartbeat of an owner."""
        return "owner" in self.store.memory_store.keys("keyed.jobs", 0)

    def state(self) -> str:
        """Returns the job state that callers see."""
        reply = self.request("GET", self.callers, f"/calib/{JOB_ID}")
        return reply.json().get("State", "") if reply else ""

    def stop(self) -> float:
        """Sends SIGTERM; returns the seconds until the process is gone."""
        started_s = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        self.process.wait(WAIT_S)
        return time.monotonic() - started_s

    def assert_stops_in_time(self) -> None:
        """Sends SIGTERM and checks the exit code and the grace time."""
        took_s = self.stop()
        print(f"the stop took {took_s:.2f} s")
        self.assertEqual(0, self.process.returncode)
        self.assertLess(took_s, GRACE_S, self.log_path.read_text()[-4_000:])

    def logged(self, event: str) -> list[dict[str, Any]]:
        """Returns the log lines of an event."""
        lines = map(json.loads, self.log_path.read_text().splitlines())
        return [line for line in lines if line["event"] == event]

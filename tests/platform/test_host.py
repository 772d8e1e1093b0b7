"""Tests of a host process against stand-ins of the platform."""

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

from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import store as store_port
from comfreylatch.platform import host
from testing.fakes import cell_workers as fake_workers
from testing.standins import platform

WAIT_S = 20.0
JOB_ID = "5c0e7a21d94b36f8"
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


class HostProcessTest(testtools.TestCase):
    """A host process with a store and one executor."""

    def setUp(self) -> None:
        super().setUp()
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.store = platform.StoreStandIn()
        store_server = self.stack.enter_context(self.store.serve())
        clock = clock_port.SystemClock()
        self.worker = fake_workers.FakeWorker(fake_workers.entry("w1"), clock)
        executor = self.stack.enter_context(
            platform.ExecutorStandIn(self.worker).serve()
        )
        self.write_record("op", "config", {"Version": 1, "Routes": [ROUTE]})
        self.write_record(
            "servers",
            "w1",
            {
                "Service": "skyproc",
                "Address": executor.address,
                "State": "ready",
                "Capacity": {
                    "CpuMillicores": 8_000,
                    "RequestedMemoryMb": 64_000,
                },
                "born": 1,
            },
        )
        self.callers = free_address()
        self.readiness = free_address()
        self.process = self.start(store_server.address)

    def write_record(self, topic: str, key: str, value: Any) -> None:
        """Writes a record as an operator or executor would."""
        record = store_port.NewRecord(key, json.dumps(value).encode())
        self.store.memory_store.append("keyed." + topic, 0, (record,))

    def start(self, store_address: str) -> subprocess.Popen[bytes]:
        """Starts the host process."""
        folder = pathlib.Path(
            self.stack.enter_context(tempfile.TemporaryDirectory())
        )
        settings = folder / "settings.json"
        settings.write_text(
            json.dumps(
                {
                    "NodeName": "entry-1",
                    "IpAddress": "127.0.0.1",
                    "Zone": "bole",
                    "ListenAddresses": {
                        "Frontend": self.callers,
                        "Readiness": self.readiness,
                    },
                    "platform": {"Address": store_address, "parts": 8},
                    "SomethingNew": {"a": 1},
                }
            )
        )
        process = subprocess.Popen(
            [sys.executable, "-m", "comfreylatch.platform"],
            env={**os.environ, host.SETTINGS_VARIABLE: str(settings)},
            stdout=subprocess.PIPE,
        )
        self.stack.callback(process.wait)
        self.stack.callback(process.kill)
        return process

    def request(
        self, method: str, address: str, path: str, body: Any = None
    ) -> Any:
        """Sends a request; returns None if there is no reply."""
        try:
            return urllib3.request(
                method,
                f"http://{address}{path}",
                json=body,
                headers={"Host": "a.example"},
                retries=False,
                timeout=2,
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

    def state(self) -> str:
        """Returns the job state that callers see."""
        reply = self.request("GET", self.callers, f"/calib/{JOB_ID}")
        return reply.json().get("State", "") if reply else ""

    def test_submitted_job_runs_to_completion(self) -> None:
        self.wait_for(self.is_ready)
        self.assertEqual(404, self.request("GET", self.callers, "/x/").status)
        self.assertEqual(
            410, self.request("GET", self.callers, f"/calib/{JOB_ID}").status
        )
        path = f"/calib/{JOB_ID}"
        self.assertEqual(
            400, self.request("POST", self.callers, path, {}).status
        )
        self.assertEqual(
            200, self.request("POST", self.callers, path, JOB).status
        )
        self.wait_for(lambda: len(self.worker.running) == 2)
        self.worker.end_all("done")
        self.wait_for(lambda: len(self.worker.running) == 1)
        # The state shown to callers may lag by two seconds.
        self.wait_for(lambda: self.state() == "running")
        self.worker.end_all("done")
        self.wait_for(lambda: self.state() == "completed")
        metrics = self.request("GET", self.readiness, host.METRICS_PATH)
        self.assertIn(b"tasks_started", metrics.data)

    def test_sigterm_releases_the_cell_and_exits_cleanly(self) -> None:
        self.wait_for(self.is_ready)
        jobs = ("keyed.jobs", 0)
        self.wait_for(lambda: "owner" in self.store.memory_store.keys(*jobs))
        self.process.send_signal(signal.SIGTERM)
        self.wait_for(lambda: self.process.poll() is not None)
        self.assertEqual(0, self.process.returncode)
        newest = self.store.memory_store.newest(*jobs).unwrap()
        (heartbeat,) = newest.records
        assert heartbeat.value is not None
        self.assertTrue(json.loads(heartbeat.value)["is_released"])

    def test_missing_settings_file_is_reported(self) -> None:
        completed = subprocess.run(
            [sys.executable, "-m", "comfreylatch.platform"],
            env={**os.environ, host.SETTINGS_VARIABLE: "no-such-file"},
            capture_output=True,
            check=False,
            timeout=WAIT_S,
        )
        self.assertEqual(host.INVALID_SETTINGS_EXIT_CODE, completed.returncode)
        self.assertIn(b"no-such-file", completed.stderr)

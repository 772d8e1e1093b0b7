"""Tests of a host process against stand-ins of the platform."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import time
from typing import Any

from comfreylatch.platform import host
from comfreylatch.platform import placement_page
from tests.platform import host_process

# Several placement passes and reports of workers.
EVACUATED_S = 1.0


class HostProcessTest(host_process.HostProcessTestCase):
    """Jobs, stops and settings of a host process."""

    def test_submitted_job_runs_to_completion(self) -> None:
        self.wait_for(self.is_ready)
        self.assertEqual(404, self.request("GET", self.callers, "/x/").status)
        self.assertEqual(
            410,
            self.request(
                "GET", self.callers, f"/calib/{host_process.JOB_ID}"
            ).status,
        )
        path = f"/calib/{host_process.JOB_ID}"
        self.assertEqual(
            400, self.request("POST", self.callers, path, {}).status
        )
        self.assertEqual(
            200,
            self.request("POST", self.callers, path, host_process.JOB).status,
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

    def test_placement_is_explained_without_a_start(self) -> None:
        self.wait_for(self.is_ready)
        self.wait_for(self.is_owner)
        question = {
            "queue_host": "a.example",
            "queue_path": "/calib/",
            "job": host_process.JOB,
        }

        def ask() -> Any:
            reply = self.request(
                "POST", self.readiness, placement_page.PATH, question
            )
            return json.loads(reply.data) if reply.status == 200 else None

        self.wait_for(lambda: (page := ask()) and page["steps"][0]["worker"])
        self.assertEqual({}, dict(self.worker.running))

    # Guards against starts in a zone that operators have evacuated.
    def test_job_waits_until_its_zone_is_taken_back(self) -> None:
        self.wait_for(self.is_ready)
        self.wait_for(self.is_owner)
        self.write_record("op", "evacuate/bole", {})
        self.wait_for(lambda: self.logged("zone-evacuated"))
        path = f"/calib/{host_process.JOB_ID}"
        reply = self.request("POST", self.callers, path, host_process.JOB)
        self.assertEqual(200, reply.status)
        time.sleep(EVACUATED_S)
        self.assertEqual({}, dict(self.worker.running))
        self.delete_record("op", "evacuate/bole")
        self.wait_for(lambda: len(self.worker.running) == 2)

    def test_sigterm_releases_the_cell_and_exits_cleanly(self) -> None:
        self.wait_for(self.is_ready)
        self.wait_for(self.is_owner)
        self.assert_stops_in_time()
        newest = self.store.memory_store.newest("keyed.jobs", 0).unwrap()
        (heartbeat,) = newest.records
        assert heartbeat.value is not None
        self.assertTrue(json.loads(heartbeat.value)["is_released"])

    # Guards against a host that reports ready while connections of callers are
    # still refused.
    def test_host_that_cannot_listen_for_callers_is_never_ready(self) -> None:
        self.stop()
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            self.callers = f"127.0.0.1:{taken.getsockname()[1]}"
            self.write_settings("entry-2")
            self.process = self.start()

            def has_exited() -> bool:
                self.assertFalse(self.accepts_connections(self.readiness))
                return self.process.poll() is not None

            self.wait_for(has_exited)
        self.assertNotEqual(0, self.process.returncode)

    def accepts_connections(self, address: str) -> bool:
        """Whether a connection to an address is accepted."""
        ip, _, port = address.partition(":")
        try:
            socket.create_connection((ip, int(port)), 1).close()
        except OSError:
            return False
        return True

    def test_missing_settings_file_is_reported(self) -> None:
        completed = subprocess.run(
            [sys.executable, "-m", "comfreylatch.platform"],
            env={**os.environ, host.SETTINGS_VARIABLE: "no-such-file"},
            capture_output=True,
            check=False,
            timeout=host_process.WAIT_S,
        )
        self.assertEqual(host.INVALID_SETTINGS_EXIT_CODE, completed.returncode)
        self.assertIn(b"no-such-file", completed.stderr)

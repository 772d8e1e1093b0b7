"""Tests of the single-file executable that `make binary` builds."""

from __future__ import annotations

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
import urllib.error
import urllib.request

import testtools

REPO = pathlib.Path(__file__).resolve().parent.parent.parent
BINARY = REPO / "dist" / "comfreylatch"
START_TIMEOUT_S = 30
STOP_TIMEOUT_S = 20
# Enough for a bare interpreter, not for one that has also loaded the modules
# that unpack the file.
MAX_INTERPRETER_KIB = 14_000
# Field of /proc/PID/stat, counted from the state field: minor page faults of
# children that were waited for.
CHILD_FAULTS_FIELD = 8


def _free_addresses(count: int) -> list[str]:
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    addresses = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in sockets]
    for sock in sockets:
        sock.close()
    return addresses


class BinaryTest(testtools.TestCase):
    """Runs the executable with an empty directory to unpack into."""

    def setUp(self) -> None:
        super().setUp()
        if not BINARY.exists():
            self.fail(f"{BINARY} is missing; build it with `make binary`")
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        # Puts this interpreter before wrappers in PATH, which would start
        # processes of their own.
        path = f"{pathlib.Path(sys.executable).parent}:{os.environ['PATH']}"
        self.environment = {
            **os.environ,
            "PATH": path,
            "SHIV_ROOT": str(self.folder / "unpacked"),
        }

    def run_binary(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [str(BINARY), *arguments],
            env=self.environment,
            capture_output=True,
            text=True,
            check=False,
            timeout=START_TIMEOUT_S,
        )

    def write_settings(self, **members: object) -> str:
        caller, operator, peer, log, hosts = _free_addresses(5)
        peer_2 = {"seat": "bole-2", "zone": "bole", "peer_address": hosts}
        value = {
            "seat": "bole-1",
            "zone": "bole",
            "peers": [peer_2],
            "caller_address": caller,
            "operator_address": operator,
            "peer_address": peer,
            "platform": {"log_address": log, "host_list_address": hosts},
            **members,
        }
        self.operator = operator
        file = self.folder / "settings.json"
        file.write_text("// one host\n" + json.dumps(value), encoding="utf-8")
        return str(file)

    def test_help_names_the_commands(self) -> None:
        help_page = self.run_binary("--help")
        self.assertEqual(0, help_page.returncode)
        for word in ("serve", "check-settings", "ticket", "job", "explain"):
            self.assertIn(word, help_page.stdout)

    def test_valid_settings_pass_the_check(self) -> None:
        checked = self.run_binary("check-settings", self.write_settings())
        self.assertEqual((0, ""), (checked.returncode, checked.stderr))

    def test_invalid_settings_exit_2_with_their_position(self) -> None:
        file = self.write_settings(threads="many", sea="bole-1")
        for command in ("check-settings", "serve"):
            checked = self.run_binary(command, file)
            self.assertEqual(2, checked.returncode)
            self.assertIn("settings.json:2:", checked.stderr)
            self.assertIn("did you mean 'seat'?", checked.stderr)
            self.assertNotIn("Traceback", checked.stderr)

    def test_serve_is_one_small_process_and_stops_with_0(self) -> None:
        arguments = [str(BINARY), "serve", self.write_settings()]
        self.log = self.folder / "log"
        with self.log.open("w", encoding="utf-8") as log:
            host = subprocess.Popen(arguments, env=self.environment, stderr=log)
        self.addCleanup(host.wait)
        self.addCleanup(host.kill)
        self.wait_until_live(host)
        self.assertEqual([], self.children_of(host.pid))
        status = self.status()
        interpreter_kib = status["memory"]["interpreter_kib"]
        self.assertLess(interpreter_kib, MAX_INTERPRETER_KIB)
        self.assertEqual(-1, status["peers"][0]["heard_age_ms"])
        host.send_signal(signal.SIGTERM)
        self.assertEqual(0, host.wait(STOP_TIMEOUT_S))

    def wait_until_live(self, host: subprocess.Popen[bytes]) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        url = f"http://{self.operator}/health/live"
        while time.monotonic() < deadline:
            if host.poll() is not None:
                self.fail(self.log.read_text(encoding="utf-8"))
            self.assertEqual([], self.children_of(host.pid))
            try:
                with urllib.request.urlopen(url, timeout=1):
                    return
            except (urllib.error.URLError, OSError):
                time.sleep(0.05)
        self.fail("serve did not become live")

    def status(self) -> Any:
        """Returns the status page of the host."""
        url = f"http://{self.operator}/status"
        with urllib.request.urlopen(url, timeout=5) as answer:
            return json.load(answer)

    def children_of(self, pid: int) -> list[str]:
        """Ids of child processes, and "ended" if one has ended before."""
        process = pathlib.Path("/proc") / str(pid)
        children = []
        for task in process.glob("task/*/children"):
            children.extend(task.read_text(encoding="ascii").split())
        stat = (process / "stat").read_text(encoding="ascii")
        if int(stat.rpartition(")")[2].split()[CHILD_FAULTS_FIELD]) > 0:
            children.append("ended")
        return children

"""Tests of `serve` when the entry host can't start."""

from __future__ import annotations

import json
import pathlib
import socket
import subprocess
import sys
import tempfile

import testtools

START_TIMEOUT_S = 30


class ServeStartTest(testtools.TestCase):
    """Exit code and error message of `serve`."""

    def serve(self, setting: str, address: str) -> tuple[int, str]:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        value = {
            "seat": "bole-1",
            "zone": "bole",
            "caller_address": "127.0.0.1:18471",
            "operator_address": "127.0.0.1:18472",
            "peer_address": "127.0.0.1:18473",
            "platform": {
                "log_address": "127.0.0.1:9",
                "host_list_address": "127.0.0.1:9",
            },
            setting: address,
        }
        file = pathlib.Path(folder.name) / "s.json"
        file.write_text(json.dumps(value), encoding="utf-8")
        finished = subprocess.run(
            [sys.executable, "-m", "comfreylatch", "serve", str(file)],
            capture_output=True,
            text=True,
            check=False,
            timeout=START_TIMEOUT_S,
        )
        return finished.returncode, finished.stderr

    def test_address_in_use_is_a_clear_error(self) -> None:
        for setting in ("caller_address", "operator_address", "peer_address"):
            with socket.socket() as other:
                other.bind(("127.0.0.1", 0))
                other.listen()
                address = f"127.0.0.1:{other.getsockname()[1]}"
                code, stderr = self.serve(setting, address)
            self.assertEqual(1, code, stderr)
            self.assertIn(address, stderr)
            self.assertNotIn("Traceback", stderr)

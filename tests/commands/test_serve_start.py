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

    def serve(self, taken: str, address: str) -> tuple[int, str]:
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
            taken: address,
        }
        file = pathlib.Path(folder.name) / "s.json"
        file.write_text(json.dumps(value), encoding="utf-8")
        ended = subprocess.run(
            [sys.executable, "-m", "comfreylatch", "serve", str(file)],
            capture_output=True,
            text=True,
            check=False,
            timeout=START_TIMEOUT_S,
        )
        return ended.returncode, ended.stderr

    def test_address_in_use_is_a_clear_error(self) -> None:
        for taken in ("caller_address", "operator_address", "peer_address"):
            with socket.socket() as other:
                other.bind(("127.0.0.1", 0))
                other.listen()
                address = f"127.0.0.1:{other.getsockname()[1]}"
                code, said = self.serve(taken, address)
            self.assertEqual(1, code, said)
            self.assertIn(address, said)
            self.assertNotIn("Traceback", said)

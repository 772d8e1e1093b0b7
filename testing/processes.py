"""Child processes, with log files, readiness and control calls."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
from typing import Any
from typing import IO

import attrs
import msgspec
import urllib3

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
CALL_TIMEOUT_S = 10.0
ROOT = pathlib.Path(__file__).resolve().parent.parent


class ProcessError(Exception):
    """A child process did not become ready, or a control call failed."""


class ChildProcess:
    """One process with its output in a log file.

    Args:
        name: Name in error messages and of the log file.
        arguments: Command line.
        folder: Directory of the log file.
        stdin: Data for its standard input.
    """

    def __init__(
        self,
        name: str,
        arguments: Sequence[str],
        folder: pathlib.Path,
        stdin: bytes = b"",
    ) -> None:
        self.name = name
        self.log_path = folder / f"{name}.log"
        self._log: IO[bytes] = open(  # noqa: SIM115
            self.log_path, "ab"
        )
        self._process = subprocess.Popen(
            arguments,
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=self._log,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        self._first_line: str | None = None
        self._first_line_read = threading.Event()
        self._reader = threading.Thread(target=self._drain, daemon=True)
        self._reader.start()
        if self._process.stdin is not None:
            try:
                self._process.stdin.write(stdin)
                self._process.stdin.close()
            except BrokenPipeError:
                pass

    def _drain(self) -> None:
        assert self._process.stdout is not None
        for line in self._process.stdout:
            if self._first_line is None:
                self._first_line = line.decode()
                self._first_line_read.set()
            self._log.write(line)
            self._log.flush()
        self._first_line_read.set()

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code, or None while it runs."""
        return self._process.poll()

    def first_line(self) -> Any:
        """Returns the decoded first line, its readiness message.

        Raises:
            ProcessError: The process printed no line in time.
        """
        self._first_line_read.wait(READY_TIMEOUT_S)
        if not self._first_line:
            raise ProcessError(
                f"{self.name} did not become ready: {self.tail()}"
            )
        return json.loads(self._first_line)

    def tail(self, size: int = 2_000) -> str:
        """Returns the last bytes of its output."""
        return self.log_path.read_bytes()[-size:].decode(errors="replace")

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has exited."""
        if self._process.poll() is None:
            self._process.send_signal(number)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Waits until it exits and returns the exit code."""
        return self._process.wait(timeout_s)

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Stops it with SIGTERM, or with SIGKILL after the timeout."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        return self._finish()

    def kill(self) -> int:
        """Kills it with SIGKILL."""
        self._process.kill()
        self._process.wait()
        return self._finish()

    def _finish(self) -> int:
        self._reader.join(STOP_TIMEOUT_S)
        self._log.close()
        assert self._process.stdout is not None
        self._process.stdout.close()
        return self._process.returncode


@attrs.frozen
class StandIn:
    """A running stand-in: its process, readiness message and control calls."""

    process: ChildProcess
    ready: Mapping[str, Any]

    def control(self, **change: Any) -> Any:
        """Sets faults; raises ProcessError if the stand-in refuses them."""
        return _call(
            "POST",
            f"http://{self.ready['control']}/control",
            msgspec.json.encode(change),
        )

    def journal(self, event_class: type) -> Any:
        """Returns all events so far, as a list of `event_class`."""
        page = _call("GET", f"http://{self.ready['control']}/journal")
        return msgspec.convert(page["events"], list[event_class])


def _call(method: str, url: str, body: bytes | None = None) -> Any:
    answer = urllib3.request(
        method, url, body=body, timeout=CALL_TIMEOUT_S, retries=False
    )
    if answer.status != 200:
        raise ProcessError(f"{method} {url}: {answer.data!r}")
    return msgspec.json.decode(answer.data)


def start_stand_in(
    module: str,
    folder: pathlib.Path,
    arguments: Sequence[str] = (),
    specs: Any = None,
) -> StandIn:
    """Starts `python -m testing.MODULE` and waits until it is ready."""
    process = ChildProcess(
        name=module.rpartition(".")[2],
        arguments=[sys.executable, "-m", f"testing.{module}", *arguments],
        folder=folder,
        stdin=b"" if specs is None else msgspec.json.encode(specs),
    )
    try:
        return StandIn(process, process.first_line())
    except BaseException:
        process.stop()
        raise

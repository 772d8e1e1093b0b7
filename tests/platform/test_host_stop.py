"""Tests that a host process stops within its grace time."""

from __future__ import annotations

import collections
import contextlib
import fcntl
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import threading
import time
from typing import Any

from comfreylatch.platform import host
from tests.platform import host_process

IDLE_CONNECTIONS = 200
CALLERS = 12
HOSTS = 6
PIPE_BYTES = 4_096
# The store answers in 4 ms.
SLOW_STORE_MS = 80
HANGING_START = """
import time
from comfreylatch._connection import http_server
from comfreylatch.platform import __main__
http_server.HttpServer.__enter__ = lambda self: time.sleep(60)
__main__.main()
"""
GET = b"GET /calib/ HTTP/1.1\r\nHost: a.example\r\n\r\n"


def path(number: int) -> str:
    """Path of the job with a number."""
    return f"/calib/{number:016x}"


class HostStopTest(host_process.HostProcessTestCase):
    """A host that owns the cell and is told to stop."""

    def setUp(self) -> None:
        super().setUp()
        self.wait_for(self.is_ready)
        self.wait_for(self.is_owner)

    def connect(self) -> socket.socket:
        """Opens a connection to the host, as a caller."""
        ip, _, port = self.callers.partition(":")
        connection = socket.create_connection((ip, int(port)), timeout=10)
        self.addCleanup(connection.close)
        return connection

    def submit_all(
        self, count: int = CALLERS, deadline_ms: int = 8_000
    ) -> tuple[list[threading.Thread], list[Any]]:
        """Submits jobs side by side; returns the threads and the replies."""
        replies: list[Any] = [None] * count

        def submit(number: int) -> None:
            replies[number] = self.request(
                "POST",
                self.callers,
                path(number),
                host_process.JOB,
                deadline_ms,
            )

        threads = [
            threading.Thread(target=submit, args=(number,))
            for number in range(count)
        ]
        for thread in threads:
            thread.start()
        return threads, replies

    def test_stops_in_time_with_idle_connections(self) -> None:
        for _ in range(IDLE_CONNECTIONS):
            connection = self.connect()
            connection.sendall(GET)
            self.assertIn(b" 200 ", connection.recv(65_536))
        self.assert_stops_in_time()

    def test_stops_in_time_with_half_a_request_on_each_thread(self) -> None:
        for _ in range(CALLERS):
            self.connect().sendall(GET[:-4])
        self.assert_stops_in_time()

    def test_stops_in_time_while_callers_go_on_sending(self) -> None:
        # Twice two seconds were waited for callers that didn't go away.
        stopped = threading.Event()
        self.addCleanup(stopped.set)

        def keep_sending() -> None:
            while not stopped.is_set():
                self.request("GET", self.callers, "/calib/", deadline_ms=500)
                time.sleep(0.03)

        for _ in range(2):
            threading.Thread(target=keep_sending, daemon=True).start()
        self.assert_stops_in_time()

    def test_stops_in_time_while_the_store_is_silent(self) -> None:
        self.store.answering.clear()
        self.assert_stops_in_time()

    def test_submissions_that_a_silent_store_holds_up_are_answered(
        self,
    ) -> None:
        # Their handlers waited for their callers' deadlines, until the host
        # was killed.
        self.store.answering.clear()
        threads, replies = self.submit_all()
        time.sleep(0.3)
        self.assert_stops_in_time()
        for thread in threads:
            thread.join()
        statuses = [reply.status if reply else 0 for reply in replies]
        self.assertEqual(set(), set(statuses) - {503, 504})
        (counted,) = self.logged("stop-requests")
        self.assertEqual(
            {
                "stopping": statuses.count(503),
                "stopping-undecided": statuses.count(504),
            },
            counted["refusals"],
        )
        self.assert_refused_are_never_stored(replies)

    def assert_refused_are_never_stored(self, replies: list[Any]) -> None:
        """Checks that no job is stored whose reply was 503."""
        self.store.answering.set()
        time.sleep(0.5)
        refused = {
            f"job/{number:016x}"
            for number, reply in enumerate(replies)
            if reply.status == 503
        }
        self.assertNotEqual(set(), refused)
        stored = self.store.memory_store.keys("keyed.jobs", 0)
        self.assertEqual(set(), refused.intersection(stored))

    def test_stops_in_time_while_the_store_is_twenty_times_slower(
        self,
    ) -> None:
        self.store.delay_ms = SLOW_STORE_MS
        threads, replies = self.submit_all()
        self.assert_stops_in_time()
        for thread in threads:
            thread.join()
        self.assertEqual({200}, {reply.status for reply in replies if reply})
        self.assertNotIn(None, replies)

    def test_stops_in_time_while_a_call_of_a_worker_hangs(self) -> None:
        self.executor.answering.clear()
        reply = self.request(
            "POST", self.callers, path(1), host_process.JOB, 2_000
        )
        self.assertEqual(200, reply.status)
        self.assert_stops_in_time()

    def send_until_unreachable(
        self, number: int, replies: list[tuple[float, int]]
    ) -> None:
        """Submits jobs on new connections, until none can be opened.

        Adds the time and status of each reply; the status is 0 if a
        connection ended without one.
        """
        body = json.dumps(host_process.JOB).encode()
        while True:
            number += 1_000
            head = (
                f"POST {path(number)} HTTP/1.1\r\nHost: a.example\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            try:
                connection = self.connect()
            except OSError:
                return
            reply = b""
            with connection, contextlib.suppress(OSError):
                connection.sendall(head.encode() + body)
                reply = connection.recv(65_536)
            replies.append((time.monotonic(), int(reply[9:12] or 0)))
            time.sleep(0.02)

    def test_requests_that_cross_the_stop_are_answered(self) -> None:
        # Requests were refused while there was time to serve them.
        replies: list[tuple[float, int]] = []
        threads = [
            threading.Thread(
                target=self.send_until_unreachable, args=(number, replies)
            )
            for number in range(4)
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        signalled_s = time.monotonic()
        self.assert_stops_in_time()
        for thread in threads:
            thread.join()
        counts = collections.Counter(status for _, status in replies)
        print(f"replies: {counts}")
        self.assertLessEqual(set(counts), {200, 503})
        refused_s = [time_s for time_s, status in replies if status == 503]
        self.assertGreater(min(refused_s, default=1e9) - signalled_s, 2.8)
        (counted,) = self.logged("stop-requests")
        self.assertEqual({"stopping": counts[503]}, counted["refusals"])
        self.assertEqual(0, counted["unanswered"])

    def test_log_tells_how_long_each_phase_of_a_stop_took(self) -> None:
        self.assert_stops_in_time()
        phases = {line["phase"]: line for line in self.logged("stop-phase")}
        self.assertEqual(
            {
                "release-cell",
                "leave-rotation",
                "answer-callers",
                "end-submissions",
                "drain-readiness",
                "drain-callers",
            },
            set(phases),
        )
        self.assertLess(phases["release-cell"]["took_ms"], 1_000)
        self.assertEqual([], self.logged("stop-late"))
        (stopped,) = self.logged("stopped")
        self.assertLess(stopped["elapsed_ms"], 1_000 * host_process.GRACE_S)

    def test_stops_in_time_after_a_freeze_during_the_stop(self) -> None:
        self.process.send_signal(signal.SIGTERM)
        signalled_s = time.monotonic()
        time.sleep(1)
        self.process.send_signal(signal.SIGSTOP)
        time.sleep(2.5)
        self.process.send_signal(signal.SIGCONT)
        self.process.wait(host_process.WAIT_S)
        self.assertEqual(0, self.process.returncode)
        self.assertLess(time.monotonic() - signalled_s, host_process.GRACE_S)

    def test_second_sigterm_changes_nothing(self) -> None:
        # A handler that takes a lock waits for ever if its thread has it.
        self.process.send_signal(signal.SIGTERM)
        time.sleep(0.05)
        for _ in range(200):
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGTERM)
            time.sleep(0.002)
        self.assert_stops_in_time()


class UnreadLogTest(host_process.HostProcessTestCase):
    """A host whose log is a pipe that is full and not read."""

    def start(self) -> subprocess.Popen[bytes]:
        """Starts the host process."""
        reader, writer = os.pipe()
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        os.set_blocking(writer, False)
        with contextlib.suppress(BlockingIOError):
            while True:
                os.write(writer, b" " * PIPE_BYTES)
        os.set_blocking(writer, True)
        self.addCleanup(os.close, reader)
        process = self.start_with_log(writer)
        os.close(writer)
        return process

    def test_stops_in_time(self) -> None:
        self.wait_for(self.is_ready)
        self.wait_for(self.is_owner)
        self.assert_stops_in_time()


class RollingRestartTest(host_process.HostProcessTestCase):
    """Several hosts that are told to stop shortly after each other."""

    def test_all_hosts_stop_in_time_and_the_cell_is_released(self) -> None:
        seed = 1
        print(f"seed {seed}")
        chance = random.Random(seed)
        self.wait_for(self.is_owner)
        self.wait_for(self.is_ready)
        processes = [self.process]
        for number in range(1, HOSTS):
            self.callers = host_process.free_address()
            self.readiness = host_process.free_address()
            self.write_settings(f"entry-{number + 1}")
            processes.append(self.start())
            self.wait_for(self.is_ready)
        ended_s: dict[int, float] = {}

        def stop(process: subprocess.Popen[bytes]) -> None:
            started_s = time.monotonic()
            process.send_signal(signal.SIGTERM)
            process.wait(host_process.WAIT_S)
            ended_s[process.pid] = time.monotonic() - started_s

        threads = []
        for process in processes:
            threads.append(threading.Thread(target=stop, args=(process,)))
            threads[-1].start()
            time.sleep(chance.uniform(0.4, 1.3))
        for thread in threads:
            thread.join()
        print(f"the stops took {sorted(ended_s.values())} s")
        self.assertEqual({0}, {process.returncode for process in processes})
        self.assertLess(max(ended_s.values()), host_process.GRACE_S)
        newest = self.store.memory_store.newest("keyed.jobs", 0).unwrap()
        (heartbeat,) = newest.records
        assert heartbeat.value is not None
        self.assertTrue(json.loads(heartbeat.value)["is_released"])


class HostStartStopTest(host_process.HostProcessTestCase):
    """A host that is told to stop while it starts."""

    def catches_sigterm(self) -> bool:
        """Whether the process has a handler for SIGTERM."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        (mask,) = re.findall(r"SigCgt:\s*([0-9a-f]+)", status)
        return bool(int(mask, 16) & 1 << signal.SIGTERM - 1)

    def stop_after(self, delay_s: float) -> None:
        """Stops a newly started host."""
        self.process.kill()
        self.process.wait()
        self.process = self.start()
        self.wait_for(self.catches_sigterm)
        time.sleep(delay_s)
        self.assert_stops_in_time()

    def test_sigterm_before_settings_are_read(self) -> None:
        self.stop_after(0.0)
        self.assertEqual([], self.logged("started"))

    def test_sigterm_while_components_start(self) -> None:
        for delay_s in (0.1, 0.2, 0.3, 0.4, 0.6):
            self.stop_after(delay_s)


class HangingStartTest(host_process.HostProcessTestCase):
    """A host whose start hangs when it is told to stop."""

    def start_with_log(self, log: int) -> subprocess.Popen[bytes]:
        """Starts the host process."""
        process = subprocess.Popen(
            [sys.executable, "-c", HANGING_START],
            env={
                **os.environ,
                host.SETTINGS_VARIABLE: str(self.settings_path),
            },
            stdout=log,
        )
        self.stack.callback(process.wait)
        self.stack.callback(process.kill)
        return process

    def test_process_ends_in_time_and_names_the_thread(self) -> None:
        # Nothing bounded the time of a stop that came before the start's end.
        self.wait_for(lambda: self.logged("starting"))
        self.assert_stops_in_time()
        (late,) = self.logged("stop-late")
        self.assertIn("MainThread", "".join(late["threads"]))

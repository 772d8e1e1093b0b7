"""Tests that signals are noticed whichever thread receives them."""

from __future__ import annotations

import subprocess
import sys

import testtools

TIMEOUT_S = 15
# The kernel may hand a signal of the process to any thread. Then it doesn't
# interrupt the main thread, on which Python runs the handler.
SCRIPT = """
import signal, sys, threading, time
from comfreylatch._ports import clock
from comfreylatch.platform import process_signals

signals = process_signals.ProcessSignals(clock.SystemClock())
signals.install()

def send(number):
    signal.pthread_kill(threading.get_ident(), number)

def receive_on_another_thread():
    time.sleep(0.5)
    send(signal.SIGHUP)
    time.sleep(0.5)
    send(signal.SIGTERM)
    time.sleep(60)

threading.Thread(target=receive_on_another_thread, daemon=True).start()
threading.Thread(
    target=lambda: print("guard", signals.wait_in_background() > 0, flush=True),
    daemon=True,
).start()
signals.wait_for_stop(lambda: print("hangup", flush=True))
time.sleep(0.5)
print("stop", signals.is_stop_requested, flush=True)
"""


class ProcessSignalsTest(testtools.TestCase):
    """A process whose main thread waits for signals."""

    # Guards against a planned stop that goes unnoticed until the platform
    # kills the process, which cuts off the requests under way.
    def test_signal_that_another_thread_receives_is_noticed(self) -> None:
        completed = subprocess.run(
            [sys.executable, "-c", SCRIPT],
            capture_output=True,
            check=False,
            text=True,
            timeout=TIMEOUT_S,
        )
        self.assertEqual("", completed.stderr)
        self.assertEqual(
            ["guard True", "hangup", "stop True"],
            sorted(completed.stdout.splitlines()),
        )

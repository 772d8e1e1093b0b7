"""Tests of the deadline, the phases and the guard of a stop."""

from __future__ import annotations

import threading
import unittest.mock

import logbook
import testtools

from comfreylatch._ports import clock as clock_port
from comfreylatch._process import logs
from comfreylatch.platform import process_signals
from comfreylatch.platform import stopping

GRACE_MS = 1_200


class StoppingTest(testtools.TestCase):
    """A stop with a short grace time."""

    def setUp(self) -> None:
        super().setUp()
        clock = clock_port.SystemClock()
        self.clock = clock
        self.deadline = stopping.StopDeadline(
            clock, clock.monotonic_ms(), GRACE_MS
        )
        self.logged = logbook.TestHandler()
        self.logged.push_application()
        self.addCleanup(self.logged.pop_application)

    def events(self, name: str) -> list[logs.LogEvent]:
        """Returns the logged events of a name."""
        messages = [record.msg for record in self.logged.records]
        return [event for event in messages if event.name == name]

    def test_reserve_shortens_a_phase(self) -> None:
        self.assertLessEqual(self.deadline.remaining_ms(300), 700)
        self.assertEqual(0, self.deadline.remaining_ms(GRACE_MS))

    def test_phase_that_fails_does_not_end_the_stop(self) -> None:
        def fail() -> None:
            raise ValueError("no")

        stopping.StopPhases(self.deadline).run("release-cell", fail)
        self.assertEqual(1, len(self.events("stop-phase-failed")))
        (phase,) = self.events("stop-phase")
        self.assertEqual("release-cell", phase.fields["phase"])

    def test_guard_names_the_threads_that_run_and_ends_the_process(
        self,
    ) -> None:
        release = threading.Event()
        self.addCleanup(release.set)
        threading.Thread(target=release.wait, name="hanging").start()
        ended = threading.Event()

        def end(code: int) -> None:
            self.assertEqual(0, code)
            ended.set()

        with unittest.mock.patch.object(stopping.os, "_exit", end):
            signals = process_signals.ProcessSignals(self.clock)
            stopping.start_guard(signals, self.clock, GRACE_MS)
            self.assertFalse(ended.wait(GRACE_MS / 1_000))
            signals.request_stop()
            self.deadline = stopping.StopDeadline(
                self.clock, signals.stop_requested_ms or 0, GRACE_MS
            )
            self.assertTrue(ended.wait(5))
        self.assertLess(self.deadline.elapsed_ms, GRACE_MS)
        (late,) = self.events("stop-late")
        threads = "\n".join(late.fields["threads"])
        self.assertIn("hanging: threading.py", threads)


class ProcessSignalsTest(testtools.TestCase):
    """Requests to stop."""

    def test_second_request_does_not_move_the_first(self) -> None:
        clock = unittest.mock.Mock()
        clock.monotonic_ms.side_effect = [1_000, 2_000]
        signals = process_signals.ProcessSignals(clock)
        signals.request_stop()
        signals.request_stop()
        self.assertEqual(1_000, signals.wait_for_stop(self.fail))

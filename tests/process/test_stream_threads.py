"""Tests of hosts with their threads on a log that fails at random."""

from __future__ import annotations

import contextlib
import random
import threading

import testtools

from comfreylatch._ports import clock
from comfreylatch._ports import streams
from comfreylatch._process import append_batch
from comfreylatch._process import appender
from comfreylatch._process import backoff
from comfreylatch._process import follower
from comfreylatch._process import metrics
from testing import stream_history
from testing.fakes import log as fake_log

SEED = 7
HOSTS = 2
CALLERS_PER_HOST = 4
NOTES_PER_CALLER = 25
FAULTS = 120
TIMEOUT_MS = 10_000
RETRY = backoff.Backoff(base_ms=1, max_ms=5)


class ThreadsTest(testtools.TestCase):
    """Tests that every host folds what callers were told was appended."""

    def setUp(self) -> None:
        super().setUp()
        self.log = fake_log.FakeLog()
        rng = random.Random(SEED)
        faults = rng.choices(list(fake_log.AppendFault), k=FAULTS)
        self.log.faults.extend(faults)
        self.outcomes: dict[int, append_batch.AppendOutcome] = {}

    def test_many_callers_under_random_faults(self) -> None:
        print(f"seed {SEED}")
        folds = [stream_history.NoteFold() for _ in range(HOSTS)]
        with contextlib.ExitStack() as stack:
            hosts = [self.start(stack, fold) for fold in folds]
            callers = [
                threading.Thread(
                    target=self.append_notes, args=(hosts[host][0], first)
                )
                for host in range(HOSTS)
                for first in range(
                    host * 1_000, host * 1_000 + CALLERS_PER_HOST * 100, 100
                )
            ]
            for caller in callers:
                caller.start()
            for caller in callers:
                caller.join()
            self.log.deliver_late()
            head = len(self.log.payloads("s")) - 1
            for _, reader in hosts:
                self.assertTrue(reader.wait_for(head, TIMEOUT_MS))
        self.assertEqual(folds[0].notes, folds[1].notes)
        self.assertEqual(
            HOSTS * CALLERS_PER_HOST * NOTES_PER_CALLER, len(self.outcomes)
        )
        for note, outcome in self.outcomes.items():
            self.check_outcome(folds[0].notes.count(note), outcome)

    def start(
        self, stack: contextlib.ExitStack, fold: stream_history.NoteFold
    ) -> tuple[appender.StreamAppender, follower.StreamFollower]:
        counters = metrics.Metrics()
        system_clock = clock.SystemClock()
        writer = appender.StreamAppender(
            self.log,
            "s",
            f"writer-{id(fold)}",
            counters,
            system_clock,
            min_append_interval_ms=0,
            retry=RETRY,
        )
        reader = follower.StreamFollower(
            self.log,
            "s",
            fold,
            counters,
            system_clock,
            wait_ms=20,
            after_apply=writer.observe,
            retry=RETRY,
        )
        stack.enter_context(writer)
        stack.enter_context(reader)
        return writer, reader

    def append_notes(self, writer: appender.StreamAppender, first: int) -> None:
        for note in range(first, first + NOTES_PER_CALLER):
            self.outcomes[note] = writer.append(
                [stream_history.Note(note)], TIMEOUT_MS
            )

    def check_outcome(
        self, copies: int, outcome: append_batch.AppendOutcome
    ) -> None:
        if outcome.is_ok():
            self.assertEqual(1, copies)
        elif isinstance(outcome.err(), streams.NotAccepted):
            self.assertEqual(0, copies)
        else:
            self.assertLessEqual(copies, 1)

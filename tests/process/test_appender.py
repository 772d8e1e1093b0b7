"""Tests of `StreamAppender`."""

from __future__ import annotations

import random
import threading
import time

import result
import testtools

from comfreylatch._ports import clock
from comfreylatch._ports import streams
from comfreylatch._process import append_batch
from comfreylatch._process import appender
from comfreylatch._process import backoff
from comfreylatch._process import metrics
from comfreylatch._process import reasons
from testing import stream_history
from testing.fakes import clock as fake_clock
from testing.fakes import log as fake_log

OUTAGE_MS = 300_000
TIMEOUT_MS = 5_000
SHORT_TIMEOUT_MS = 50


class StepTest(testtools.TestCase):
    """Tests that run single steps on a fake clock."""

    def setUp(self) -> None:
        super().setUp()
        self.log = fake_log.FakeLog()
        self.clock = fake_clock.FakeClock()
        self.metrics = metrics.Metrics()
        self.appender = appender.StreamAppender(
            self.log,
            "s",
            "writer",
            self.metrics,
            self.clock,
            rng=random.Random(1),
        )

    def submit(self, note: int = 1) -> append_batch.PendingAppend:
        return self.appender.submit([stream_history.Note(note)])

    def step(self) -> None:
        self.clock.advance(stream_history.STEP_MS)
        self.appender.step()

    def test_records_of_many_callers_go_in_one_append(self) -> None:
        pending = [self.submit(note) for note in range(10)]
        self.step()
        self.assertEqual(1, self.log.appends["s"])
        self.assertEqual(
            [result.Ok(streams.Appended(offset)) for offset in range(10)],
            [append.outcome for append in pending],
        )

    def test_appends_keep_the_minimum_interval(self) -> None:
        self.submit()
        self.step()
        self.submit()
        self.assertEqual(
            appender.DEFAULT_MIN_APPEND_INTERVAL_MS, self.appender.step()
        )
        self.assertEqual(1, self.log.appends["s"])

    def test_lost_answer_is_sent_again_with_the_same_sequence(self) -> None:
        self.log.faults.append(fake_log.AppendFault.LOST_AFTER_EFFECT)
        pending = self.submit()
        self.step()
        self.assertIsNone(pending.outcome)
        self.step()
        first, second = self.log.payloads("s")
        self.assertEqual(first, second)
        self.assertEqual(result.Ok(streams.Appended(1)), pending.outcome)
        self.assertEqual(
            1,
            self.metrics.value(
                metrics.Counter.RETRIES, reasons.RetryReason.LOG_ANSWER_LOST
            ),
        )

    def test_reading_own_record_back_settles_a_lost_answer(self) -> None:
        self.log.faults.append(fake_log.AppendFault.LOST_AFTER_EFFECT)
        pending = self.submit()
        self.step()
        self.appender.resolve(pending.first_sequence, 0)
        self.assertEqual(result.Ok(streams.Appended(0)), pending.outcome)
        self.step()
        self.assertEqual(1, len(self.log.payloads("s")))

    def test_unknown_append_is_never_reported_as_not_accepted(self) -> None:
        self.log.faults.append(fake_log.AppendFault.LOST_AFTER_EFFECT)
        pending = self.submit()
        self.step()
        self.log.down = True
        self.step()
        self.assertIsNone(pending.outcome)
        self.appender.abandon(pending)
        assert pending.outcome is not None
        self.assertIsInstance(pending.outcome.err(), streams.AppendUnknown)

    def test_unknown_append_blocks_later_ones(self) -> None:
        self.log.faults.append(fake_log.AppendFault.LOST_BEFORE_EFFECT)
        self.submit(1)
        self.step()
        self.submit(2)
        self.step()
        self.assertEqual(1, len(self.log.payloads("s")))
        self.step()
        self.assertEqual(2, len(self.log.payloads("s")))

    def test_abandoned_record_not_yet_sent_is_dequeued(self) -> None:
        pending = self.submit()
        self.appender.abandon(pending)
        self.step()
        assert pending.outcome is not None
        self.assertIsInstance(pending.outcome.err(), streams.NotAccepted)
        self.assertEqual([], self.log.payloads("s"))

    def test_idle_appender_detects_an_outage_by_a_probe(self) -> None:
        self.log.faults.append(fake_log.AppendFault.LOST_BEFORE_EFFECT)
        self.log.down = True
        pending = self.submit()
        self.step()
        assert pending.outcome is not None
        self.assertIsInstance(pending.outcome.err(), streams.NotAccepted)
        self.assertEqual(1, len(self.log.faults))

    def test_busy_appender_does_not_probe_before_each_append(self) -> None:
        reads: list[str] = []
        self.submit()
        self.step()
        self.log.read = lambda stream, *_: reads.append(stream)
        self.submit()
        self.clock.advance(appender.DEFAULT_MIN_APPEND_INTERVAL_MS)
        self.appender.step()
        self.assertEqual([], reads)
        self.assertEqual(2, len(self.log.payloads("s")))

    def test_reading_own_record_back_ends_an_outage(self) -> None:
        answer_lost = fake_log.AppendFault.LOST_AFTER_EFFECT
        self.log.faults.extend([answer_lost, answer_lost])
        pending = self.submit()
        self.step()
        self.step()
        self.assertTrue(self.appender.down)
        self.appender.resolve(pending.first_sequence, 0)
        self.assertFalse(self.appender.down)

    def test_log_down_for_minutes_refuses_at_once(self) -> None:
        self.log.down = True
        self.submit()
        self.step()
        for _ in range(OUTAGE_MS // stream_history.STEP_MS):
            self.step()
            outcome = self.submit().outcome
            assert outcome is not None
            refusal = outcome.unwrap_err()
            assert isinstance(refusal, streams.NotAccepted)
            self.assertGreater(refusal.retry_after_ms, 0)
        self.log.down = False
        self.step()
        pending = self.submit()
        self.step()
        self.assertEqual(result.Ok(streams.Appended(0)), pending.outcome)

    def test_queue_is_bounded(self) -> None:
        notes = [stream_history.Note(1)] * appender.MAX_QUEUED_RECORDS
        self.appender.submit(notes)
        outcome = self.submit().outcome
        assert outcome is not None
        self.assertIsInstance(outcome.err(), streams.NotAccepted)


class ThreadTest(testtools.TestCase):
    """Tests with the appender's thread and the system clock."""

    def setUp(self) -> None:
        super().setUp()
        self.log = fake_log.FakeLog()
        self.appender = appender.StreamAppender(
            self.log,
            "s",
            "writer",
            metrics.Metrics(),
            clock.SystemClock(),
            retry=backoff.Backoff(base_ms=5, max_ms=10),
        )

    def test_slow_log_gets_few_large_appends(self) -> None:
        self.log.append_s = 0.02
        outcomes: list[append_batch.AppendOutcome] = []

        def append_notes() -> None:
            outcomes.append(
                self.appender.append([stream_history.Note(1)], TIMEOUT_MS)
            )

        with self.appender:
            threads = [threading.Thread(target=append_notes) for _ in range(20)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        offsets = sorted(outcome.unwrap().offset for outcome in outcomes)
        self.assertEqual(list(range(20)), offsets)
        self.assertLess(self.log.appends["s"], 10)

    def test_caller_gets_unknown_at_its_timeout(self) -> None:
        self.log.append_s = 0.2
        with self.appender:
            started = time.monotonic()
            outcome = self.appender.append(
                [stream_history.Note(1)], SHORT_TIMEOUT_MS
            )
            elapsed_s = time.monotonic() - started
        self.assertIsInstance(outcome.err(), streams.AppendUnknown)
        self.assertLess(elapsed_s, 0.19)
        self.assertEqual(1, len(self.log.payloads("s")))

    def test_close_reports_sent_records_as_unknown(self) -> None:
        answer_lost = fake_log.AppendFault.LOST_AFTER_EFFECT
        self.log.faults.extend([answer_lost] * 1_000)
        with self.appender:
            pending = self.appender.submit([stream_history.Note(1)])
            self.assertFalse(pending.done.wait(0.05))
        assert pending.outcome is not None
        self.assertIsInstance(pending.outcome.err(), streams.AppendUnknown)

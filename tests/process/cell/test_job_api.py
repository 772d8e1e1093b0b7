"""Tests of the answers to callers under faults of the store."""

from __future__ import annotations

import contextlib
import threading
import time
from typing import Any

import result
import testtools

from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import store as store_port
from comfreylatch._process import metrics
from comfreylatch._process.cell import job_api as job_api_module
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import (
    partition_reader as partition_reader_module,
)
from comfreylatch._process.cell import reasons
from comfreylatch._process.cell import records
from testing.fakes import record_store
from tests.process.cell import harness

WAIT_MS = 2_000
ID = "0" * 16
SLOW_READ_S = 0.24


class GatedStore:
    """A store that carries out appends only while its gate is open."""

    def __init__(self, store: record_store.MemoryStore) -> None:
        self._store = store
        self.is_open = threading.Event()
        self.is_open.set()
        self.entered = threading.Event()

    def append(self, *arguments: Any, **options: Any) -> Any:
        """Appends to the store once the gate is open."""
        self.entered.set()
        self.is_open.wait()
        return self._store.append(*arguments, **options)


class SlowReads:
    """A store whose answers to reads may be under way for long.

    Attributes:
        delay_s: Time from a read until its answer arrives.
        is_cut: Whether reads fail.
    """

    def __init__(self, store: record_store.MemoryStore) -> None:
        self._store = store
        self.delay_s = 0.0
        self.is_cut = False

    def newest(self, *arguments: Any) -> Any:
        """Reads the newest records."""
        return self._store.newest(*arguments)

    def read(self, *arguments: Any) -> Any:
        """Reads; the answer arrives after the delay."""
        if self.is_cut:
            return result.Err(store_port.StoreUnavailable("cut"))
        answer = self._store.read(*arguments)
        time.sleep(self.delay_s)
        return answer


class JobApiTest(testtools.TestCase):
    """A job API and its partition reader on an in-memory store."""

    def setUp(self) -> None:
        super().setUp()
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        clock = clock_port.SystemClock()
        self.store = record_store.MemoryStore()
        self.reads = SlowReads(self.store)
        self.replica = job_replica.JobReplica(clock)
        self.reader = stack.enter_context(
            partition_reader_module.PartitionReader(
                self.reads, records.JOBS_TOPIC, 0, self.replica.apply, clock, 50
            )
        )
        self.gate = GatedStore(self.store)
        stack.callback(self.gate.is_open.set)
        appender = stack.enter_context(
            job_api_module.BatchAppender(self.gate, 0, clock)
        )
        self.appender = appender
        self.job_api = job_api_module.JobApi(
            self.replica, self.reader, appender, metrics.Metrics(), clock
        )
        self.assertTrue(self.reader.wait_for(-1, WAIT_MS))

    def submit(self) -> job_api_module.SubmitOutcome:
        """Submits the job with the id `ID`."""
        return self.job_api.submit(harness.job(), WAIT_MS)

    def test_accepted_job_is_shown_as_queued(self) -> None:
        self.assertEqual(job_api_module.Accepted(), self.submit())
        self.assertTrue(self.reader.wait_for(0, WAIT_MS))
        self.assertIs(records.JobState.QUEUED, self.job_api.state(ID))
        self.assertEqual(1, self.job_api.count_queued(harness.QUEUE))

    def test_refused_job_is_not_in_the_store(self) -> None:
        self.store.is_down = True
        self.assertIsInstance(self.submit(), job_api_module.Refused)
        self.assertEqual([], self.store.keys(records.JOBS_TOPIC, 0))

    def test_lost_answer_is_never_a_refusal(self) -> None:
        self.store.lose_answers = 1
        self.assertEqual(job_api_module.Accepted(), self.submit())

    def test_job_is_not_refused_while_every_answer_is_lost(self) -> None:
        self.store.lose_answers = 10**6
        outcome = self.job_api.submit(harness.job(), 120)
        self.assertNotIsInstance(outcome, job_api_module.Refused)

    # Guards against "may be stored" for a job that no append has contained.
    def test_job_that_waited_behind_another_append_is_refused(self) -> None:
        self.gate.is_open.clear()
        thread, _ = self.submit_in_background("1" * 16)
        self.gate.entered.wait()
        late = self.job_api.submit(harness.job(job_id="2" * 16), 50)
        self.assertIsInstance(late, job_api_module.Refused)
        self.gate.is_open.set()
        thread.join()
        self.assertEqual(
            [records.JOB_PREFIX + "1" * 16],
            self.store.keys(records.JOBS_TOPIC, 0),
        )

    def submit_in_background(
        self, job_id: str
    ) -> tuple[threading.Thread, list[job_api_module.SubmitOutcome]]:
        """Submits a job on a thread; returns it and the list of outcomes."""
        outcomes: list[job_api_module.SubmitOutcome] = []
        job = harness.job(job_id=job_id)
        thread = threading.Thread(
            target=lambda: outcomes.append(self.job_api.submit(job, WAIT_MS))
        )
        thread.start()
        return thread, outcomes

    def test_stop_refuses_only_jobs_that_are_never_stored(self) -> None:
        # Both waited for their deadline, and the host was killed before it.
        self.gate.is_open.clear()
        sent_thread, sent = self.submit_in_background("1" * 16)
        self.assertTrue(self.gate.entered.wait(2))
        unsent_thread, unsent = self.submit_in_background("2" * 16)
        time.sleep(0.1)
        self.appender.stop(timeout_ms=100)
        sent_thread.join(0.5)
        unsent_thread.join(0.5)
        (outcome,) = sent
        assert isinstance(outcome, job_api_module.Undecided)
        self.assertIs(reasons.Refusal.STOPPING_UNDECIDED, outcome.reason)
        (refusal,) = unsent
        assert isinstance(refusal, job_api_module.Refused)
        self.assertIs(reasons.Refusal.STOPPING, refusal.reason)
        self.gate.is_open.set()
        self.assertTrue(self.reader.wait_for(0, WAIT_MS))
        time.sleep(0.1)
        self.assertEqual(
            [records.JOB_PREFIX + "1" * 16],
            self.store.keys(records.JOBS_TOPIC, 0),
        )

    def test_stop_waits_for_an_append_that_is_under_way(self) -> None:
        self.gate.is_open.clear()
        thread, outcomes = self.submit_in_background("1" * 16)
        self.assertTrue(self.gate.entered.wait(2))
        timer = threading.Timer(0.1, self.gate.is_open.set)
        timer.start()
        self.appender.stop(timeout_ms=1_000)
        thread.join(0.5)
        self.assertEqual([job_api_module.Accepted()], outcomes)

    def test_job_that_comes_after_the_stop_is_refused_at_once(self) -> None:
        self.appender.stop(timeout_ms=100)
        self.assertEqual(
            job_api_module.Refused(
                reasons.Refusal.STOPPING, job_api_module.RETRY_AFTER_MS
            ),
            self.submit(),
        )
        self.assertEqual(0, self.store.appends)

    def test_repeat_of_a_known_job_writes_nothing(self) -> None:
        self.submit()
        self.assertTrue(self.reader.wait_for(0, WAIT_MS))
        appends_before = self.store.appends
        self.assertEqual(job_api_module.Accepted(), self.submit())
        self.assertEqual(appends_before, self.store.appends)

    def test_cancelled_job_is_shown_as_cancelled(self) -> None:
        self.submit()
        self.assertTrue(self.reader.wait_for(0, WAIT_MS))
        self.assertEqual(
            job_api_module.Accepted(), self.job_api.cancel(ID, WAIT_MS)
        )
        self.assertTrue(self.reader.wait_for(1, WAIT_MS))
        self.assertIs(records.JobState.CANCELLED, self.job_api.state(ID))

    # Guards against tasks that run for good after their job was cancelled: the
    # host had accepted the job, but not read of it, and called it unknown.
    def test_job_that_was_just_accepted_can_be_cancelled(self) -> None:
        # The answer to a read is under way for a while.
        self.reads.delay_s = SLOW_READ_S
        time.sleep(SLOW_READ_S)
        self.assertEqual(job_api_module.Accepted(), self.submit())
        self.assertEqual(
            job_api_module.Accepted(), self.job_api.cancel(ID, WAIT_MS)
        )
        self.assertIn(
            records.CANCEL_PREFIX + ID, self.store.keys(records.JOBS_TOPIC, 0)
        )

    # Guards against the same where the record arrives too late to wait for.
    def test_cancellation_is_stored_while_the_view_is_behind(self) -> None:
        self.reads.delay_s = job_api_module.CATCH_UP_TIMEOUT_MS / 1_000
        time.sleep(self.reads.delay_s)
        self.assertEqual(job_api_module.Accepted(), self.submit())
        self.assertEqual(
            job_api_module.Accepted(), self.job_api.cancel(ID, WAIT_MS)
        )
        self.assertIn(
            records.CANCEL_PREFIX + ID, self.store.keys(records.JOBS_TOPIC, 0)
        )

    # Guards against the same on a host that is cut off from the store and so
    # can't know of jobs that others have accepted since.
    def test_host_without_the_store_calls_no_job_unknown(self) -> None:
        self.reads.is_cut = True
        self.assertEqual(
            job_api_module.Refused(
                reasons.Refusal.VIEW_TOO_OLD, job_api_module.RETRY_AFTER_MS
            ),
            self.job_api.cancel(ID, WAIT_MS),
        )

    # Guards against records of cancellations for ids that were never used.
    def test_unknown_job_is_not_cancelled(self) -> None:
        for _ in range(2):
            self.assertEqual(
                job_api_module.UnknownJob(), self.job_api.cancel(ID, WAIT_MS)
            )
            self.submit_other()
        self.assertNotIn(
            records.CANCEL_PREFIX + ID, self.store.keys(records.JOBS_TOPIC, 0)
        )

    def submit_other(self) -> None:
        """Submits another job, whose record this host need not have read."""
        self.job_api.submit(harness.job(job_id="1" * 16), WAIT_MS)

    def test_state_that_was_stored_before_the_question_is_shown(self) -> None:
        self.submit()
        self.assertTrue(self.reader.wait_for(0, WAIT_MS))
        self.reader.pause_ms = 60_000
        self.job_api.state(ID)
        time.sleep(0.1)
        completed = store_port.NewRecord(
            records.STATE_PREFIX + ID,
            records.encode(
                records.StateRecord(records.JobState.COMPLETED, token=1)
            ),
        )
        self.store.append(records.JOBS_TOPIC, 0, (completed,))
        self.assertIs(records.JobState.COMPLETED, self.job_api.state(ID))

    def test_job_is_called_unknown_from_a_current_view_only(self) -> None:
        self.assertEqual(job_api_module.UnknownJob(), self.job_api.state(ID))
        self.store.is_down = True
        is_stale = testtools.matchers.IsInstance(job_api_module.StaleView)
        clock = clock_port.SystemClock()
        deadline_ms = clock.monotonic_ms() + 5_000
        while clock.monotonic_ms() < deadline_ms:
            if is_stale.match(self.job_api.state(ID)) is None:
                return
        self.fail("a stale view still answered that the job is unknown")

    def test_expired_records_cause_a_complete_read(self) -> None:
        self.submit()
        self.assertTrue(self.reader.wait_for(0, WAIT_MS))
        self.store.expire(records.JOBS_TOPIC, 0)
        other_job = harness.job(job_id="1" * 16)
        self.job_api.submit(other_job, WAIT_MS)
        self.assertTrue(self.reader.wait_for(1, WAIT_MS))
        self.assertIs(records.JobState.QUEUED, self.job_api.state("1" * 16))

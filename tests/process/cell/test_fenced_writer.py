"""Tests of the fenced writer under lost answers, outages and fencing."""

from __future__ import annotations

from collections.abc import Callable
import threading
import time
import types
from typing import Any
from unittest import mock

import result
import testtools

from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import store as store_port
from comfreylatch._process.cell import claiming
from comfreylatch._process.cell import fenced_writer as fenced_writer_module
from comfreylatch._process.cell import records
from comfreylatch._process.cell.record_size import limits
from testing.fakes import clock as fake_clock
from testing.fakes import record_store

WAIT_S = 5


class FencedWriterTest(testtools.TestCase):
    """A fenced writer on an in-memory store."""

    def setUp(self) -> None:
        super().setUp()
        self.store = record_store.MemoryStore()
        self.fenced = threading.Event()

    def make_writer(
        self, token: int, clock: clock_port.Clock | None = None
    ) -> fenced_writer_module.FencedWriter:
        """Returns a writer that has not been started."""
        return fenced_writer_module.FencedWriter(
            self.store,
            0,
            records.HeartbeatRecord("bole-1", "boot", token),
            lambda _: self.fenced.set(),
            clock or clock_port.SystemClock(),
        )

    def write(
        self, writer: fenced_writer_module.FencedWriter, key: str
    ) -> bool:
        """Writes a record; returns whether it was reported as stored."""
        stored = threading.Event()
        writer.write({key: b"{}"}, {}, [stored.set])
        return stored.wait(WAIT_S)

    def test_append_with_lost_answer_is_written_once(self) -> None:
        with self.make_writer(1) as writer:
            writer.fence()
            self.store.lose_answers = 1
            self.assertTrue(self.write(writer, "state/a"))
        keys = self.store.keys(records.JOBS_TOPIC, 0)
        self.assertEqual(1, keys.count("state/a"))

    def test_only_stored_heartbeats_let_the_owner_act(self) -> None:
        # A new owner knows when it read the last heartbeat, and waits for
        # AUTONOMY_MS from then.
        clock = fake_clock.FakeClock(100_000)
        writer = fenced_writer_module.FencedWriter(
            self.store,
            0,
            records.HeartbeatRecord("bole-1", "boot", 1),
            lambda _: self.fenced.set(),
            clock,
        )
        writer.fence()
        clock.advance(fenced_writer_module.AUTONOMY_MS - 1)
        self.assertTrue(writer.may_act())
        for topic in (records.WORK_TOPIC, records.JOBS_TOPIC):
            record = store_port.NewRecord("state/a", b"{}")
            writer._append_until_known(topic, (record,))
        clock.advance(1)
        self.assertFalse(writer.may_act())

    # Guards against a lapsed lease that counts as proved by a try before its
    # end: the store repeats the outcome of that try to the later ones.
    def test_append_confirms_the_tenure_from_its_first_try(self) -> None:
        clock = fake_clock.FakeClock(100_000)
        writer = self.make_writer(1, clock)
        self.assertEqual(0, writer.confirmed_ms)
        writer.fence()
        self.assertEqual(100_000, writer.confirmed_ms)
        clock.advance(1_000)
        self.store.lose_answers = 1
        paused = types.SimpleNamespace(sleep=lambda _: clock.advance(400))
        with mock.patch.object(fenced_writer_module, "time", paused):
            writer._append_until_known(
                records.WORK_TOPIC, (store_port.NewRecord("a", b"{}"),)
            )
        self.assertEqual(101_400, clock.now_ms)
        self.assertEqual(101_000, writer.confirmed_ms)

    def test_append_that_is_fenced_confirms_nothing(self) -> None:
        writer = self.make_writer(1)
        writer.fence()
        confirmed_ms = writer.confirmed_ms
        self.make_writer(2).fence()
        writer._write_batch(fenced_writer_module._PendingRecords())
        self.assertTrue(self.fenced.is_set())
        self.assertEqual(confirmed_ms, writer.confirmed_ms)

    def test_requested_heartbeat_is_written_ahead_of_its_interval(self) -> None:
        clock = fake_clock.FakeClock(100_000)
        writer = self.make_writer(1, clock)
        writer.fence()
        batch = fenced_writer_module._PendingRecords
        writer._write_batch(batch())
        clock.advance(1)
        writer._write_batch(batch())
        self.assertEqual(100_000, writer.confirmed_ms)
        writer.request_heartbeat()
        self.assertTrue(writer._is_due())
        writer._write_batch(batch())
        self.assertEqual(100_001, writer.confirmed_ms)
        self.assertFalse(writer._is_due())

    # Guards against records that count as stored and are not: the writer's
    # thread writes a heartbeat while the cell is fenced, under the same number,
    # and counts both. A late try then takes the number of the batch after it.
    def test_records_after_a_late_try_are_stored(self) -> None:
        writer = self.make_writer(1, fake_clock.FakeClock(100_000))
        append = self.store.append
        late: list[Callable[[], object]] = []

        def append_beside_heartbeat(*arguments: Any, **options: Any) -> Any:
            if arguments[0] == records.JOBS_TOPIC:
                self.store.append = append
                writer._write_batch(fenced_writer_module._PendingRecords())
            return append(*arguments, **options)

        def append_late(*arguments: Any, **options: Any) -> Any:
            self.store.append = append
            late.append(lambda: append(*arguments, **options))
            return result.Err(store_port.StoreAnswerLost("timed out"))

        self.store.append = append_beside_heartbeat
        writer.fence()
        self.store.append = append_late
        for key in ("state/a", "state/b"):
            record = store_port.NewRecord(key, b"{}")
            writer._append_until_known(records.JOBS_TOPIC, (record,))
            while late:
                late.pop()()
        self.assertIn("state/b", self.store.keys(records.JOBS_TOPIC, 0))

    # Guards against the same fault in the running thread: whatever it appends
    # while the cell is fenced shares a sequence number with the fence.
    def test_thread_appends_nothing_until_the_cell_is_fenced(self) -> None:
        append = self.store.append
        writers: list[str] = []

        def append_slowly(*arguments: Any, **options: Any) -> Any:
            writers.append(threading.current_thread().name)
            if len(writers) <= 2:
                time.sleep(0.05)
            return append(*arguments, **options)

        self.store.append = append_slowly
        with self.make_writer(1) as writer:
            writer.fence()
            fenced_by = list(writers)
            self.assertTrue(self.write(writer, "state/a"))
        self.assertEqual({threading.current_thread().name}, set(fenced_by))

    # Guards against an append that is given up while the writer closes: a late
    # try of it took the number of the last batch, which then counted as stored.
    def test_nothing_follows_an_append_of_unknown_outcome(self) -> None:
        clock = fake_clock.FakeClock(100_000)
        writer = self.make_writer(1, clock)
        append = self.store.append
        is_tried = threading.Event()
        is_stored = threading.Event()

        def append_late(*arguments: Any, **options: Any) -> Any:
            def append_both(*others: Any, **other_options: Any) -> Any:
                append(*arguments, **options)
                return append(*others, **other_options)

            self.store.append = append_both
            clock.advance(fenced_writer_module.CLOSE_TIMEOUT_MS + 1)
            writer.write({"state/b": b"{}"}, {}, [is_stored.set])
            writer.release(records.HeartbeatRecord("bole-1", "boot", 1, True))
            is_tried.set()
            return result.Err(store_port.StoreAnswerLost("timed out"))

        with writer:
            writer.fence()
            self.store.append = append_late
            writer.write({"state/a": b"{}"}, {}, [])
            self.assertTrue(is_tried.wait(WAIT_S))
        keys = self.store.keys(records.JOBS_TOPIC, 0)
        self.assertEqual("state/b" in keys, is_stored.is_set())

    # Guards against a number that an earlier try still holds: the late try
    # takes it, and the batch that has it counts as stored.
    def test_number_out_of_order_ends_the_tenure_after_a_lost_answer(
        self,
    ) -> None:
        writer = self.make_writer(1)
        writer.fence()
        writer._sequences[records.JOBS_TOPIC] = 3
        append = self.store.append

        def lose(*_: Any, **__: Any) -> Any:
            self.store.append = append
            return result.Err(store_port.StoreAnswerLost("timed out"))

        self.store.append = lose
        record = store_port.NewRecord("state/a", b"{}")
        offset = writer._append_until_known(records.JOBS_TOPIC, (record,))
        self.assertIsNone(offset)
        self.assertTrue(self.fenced.is_set())

    def test_number_out_of_order_is_replaced_at_the_first_try(self) -> None:
        writer = self.make_writer(1)
        writer.fence()
        writer._sequences[records.JOBS_TOPIC] = 3
        record = store_port.NewRecord("state/a", b"{}")
        offset = writer._append_until_known(records.JOBS_TOPIC, (record,))
        self.assertEqual(1, offset)
        self.assertFalse(self.fenced.is_set())

    # Guards against a batch that the store refuses for ever, with the heartbeat
    # behind it.
    def test_batch_longer_than_an_append_is_divided(self) -> None:
        writer = fenced_writer_module.FencedWriter(
            self.store,
            0,
            records.HeartbeatRecord("bole-1", "boot", 1),
            lambda _: self.fenced.set(),
            clock_port.SystemClock(),
            limits=limits.StoreLimits(append_bytes=1_000),
        )
        values = {f"state/{number}": b"x" * 500 for number in range(4)}
        is_stored = threading.Event()
        with writer:
            writer.fence()
            appends = self.store.appends
            writer.write(values, {}, [is_stored.set])
            self.assertTrue(is_stored.wait(WAIT_S))
            self.assertLessEqual(4, self.store.appends - appends)
        self.assertTrue(
            set(values) <= set(self.store.keys(records.JOBS_TOPIC, 0))
        )

    # A batch may take several appends, of which the last ones may be missing.
    def test_records_are_appended_in_the_order_of_their_last_write(
        self,
    ) -> None:
        writer = self.make_writer(1)
        writer.fence()
        writer.write({}, {"job": b"1", "other": b"1"}, [])
        writer.write({}, {"job/part": b"2", "job": b"2"}, [])
        writer._write_batch(writer._pending)
        self.assertEqual(
            ["other", "job/part", "job"],
            self.store.keys(records.WORK_TOPIC, 0),
        )

    def test_first_tries_of_an_append_are_short(self) -> None:
        # Two lost answers in a row kept the owner from writing for longer than
        # OWNER_TIMEOUT_MS, so that it lost the cell.
        self.store.lose_answers = 3
        with self.make_writer(1) as writer:
            writer.fence()
        lost_ms = sum(self.store.timeouts_ms[:3])
        self.assertLess(lost_ms, claiming.OWNER_TIMEOUT_MS)

    def test_appends_to_a_slow_store_get_more_time(self) -> None:
        # Each repeat joined the queue of the partition once more, and the next
        # heartbeat was sent only once one of them was answered in time.
        writer = self.make_writer(1)
        writer.fence()
        self.store.answer_ms = 80
        for _ in range(3):
            record = store_port.NewRecord("state/a", b"{}")
            writer._append_until_known(records.JOBS_TOPIC, (record,))
        self.assertGreater(self.store.timeouts_ms[-1], 1_000)

    def test_write_succeeds_after_an_outage(self) -> None:
        with self.make_writer(1) as writer:
            writer.fence()
            self.store.is_down = True
            threading.Timer(
                0.3, setattr, (self.store, "is_down", False)
            ).start()
            self.assertTrue(self.write(writer, "state/a"))

    def test_higher_token_fences_the_writer(self) -> None:
        with self.make_writer(1) as old:
            old.fence()
            with self.make_writer(2) as new:
                new.fence()
                old.write({"state/a": b"{}"}, {}, [])
                self.assertTrue(self.fenced.wait(WAIT_S))
                self.assertFalse(old.may_act())
                self.assertTrue(new.may_act())
        self.assertNotIn("state/a", self.store.keys(records.JOBS_TOPIC, 0))

    def test_heartbeats_tell_how_long_earlier_leases_last(self) -> None:
        # A host that crashed and came back knew nothing of a silent owner from
        # before its first incarnation.
        clock = fake_clock.FakeClock(100_000)
        first = records.HeartbeatRecord(
            "bole-1", "boot", 1, earlier_leases_ms=9_000
        )
        writer = fenced_writer_module.FencedWriter(
            self.store, 0, first, lambda _: None, clock
        )
        writer.fence()
        seen_ms = [self.earlier_leases_ms()]
        writer.note_earlier_leases(103_000)
        for _ in range(3):
            clock.advance(2_000)
            writer._write_batch(fenced_writer_module._PendingRecords())
            seen_ms.append(self.earlier_leases_ms())
        self.assertEqual([9_000, 1_000, 0, 0], seen_ms)

    def earlier_leases_ms(self) -> int:
        """Returns what the newest heartbeat tells of earlier leases."""
        (record,) = self.store.newest(records.JOBS_TOPIC, 0).unwrap().records
        heartbeat = records.decode(records.HeartbeatRecord, record.value)
        return heartbeat.earlier_leases_ms

    def test_owner_that_releases_the_cell_may_not_act(self) -> None:
        # A lease renewed after the release could outlast the next owner's wait.
        writer = self.make_writer(1)
        writer.fence()
        self.assertTrue(writer.may_act())
        writer.release(records.HeartbeatRecord("bole-1", "boot", 1, True))
        self.assertFalse(writer.may_act())

    def test_release_is_the_last_heartbeat(self) -> None:
        with self.make_writer(1) as writer:
            writer.fence()
            released = records.HeartbeatRecord("bole-1", "boot", 1, True)
            writer.release(released)
        newest = self.store.newest(records.JOBS_TOPIC, 0).unwrap()
        (heartbeat,) = newest.records
        assert heartbeat.value is not None
        last_heartbeat = records.decode(
            records.HeartbeatRecord, heartbeat.value
        )
        self.assertTrue(last_heartbeat.is_released)

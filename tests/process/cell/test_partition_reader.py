"""Tests of the reads of a partition, of their pauses and refreshes."""

from __future__ import annotations

import contextlib
import time

import logbook
import testtools

from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import store as store_port
from comfreylatch._process.cell import (
    partition_reader as partition_reader_module,
)
from testing.fakes import clock as fake_clock
from testing.fakes import record_store

TOPIC = "jobs"
WAIT_MS = 2_000
# Longer than any test takes: only a refresh ends this pause.
LONG_PAUSE_MS = 60_000
POISON = "poison"


class PartitionReaderTest(testtools.TestCase):
    """A reader of an in-memory store that pauses between two reads."""

    def setUp(self) -> None:
        super().setUp()
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        self.store = record_store.MemoryStore()
        self.keys: list[str] = []
        self.reader = stack.enter_context(
            partition_reader_module.PartitionReader(
                self.store,
                TOPIC,
                0,
                self.apply,
                clock_port.SystemClock(),
                pause_ms=LONG_PAUSE_MS,
            )
        )
        self.assertTrue(self.reader.wait_for(-1, WAIT_MS))
        time.sleep(0.05)

    def apply(
        self, batch: tuple[store_port.StoredRecord, ...], is_complete: bool
    ) -> None:
        """Collects the keys of the records read; one of them raises."""
        del is_complete
        keys = [record.key for record in batch]
        if POISON in keys:
            raise RuntimeError("an error that nobody expects")
        self.keys.extend(keys)

    def append(self, key: str) -> None:
        """Appends a record."""
        record = store_port.NewRecord(key, b"value")
        self.store.append(TOPIC, 0, (record,))

    def test_pause_delays_the_next_read(self) -> None:
        self.append("a")
        time.sleep(0.1)
        self.assertEqual([], self.keys)

    def test_refresh_reads_what_was_stored_before_it(self) -> None:
        self.append("a")
        self.reader.refresh(WAIT_MS)
        self.assertEqual(["a"], self.keys)

    def test_refresh_without_new_records_returns_at_once(self) -> None:
        started_ms = time.monotonic() * 1_000
        self.reader.refresh(WAIT_MS)
        self.assertLess(time.monotonic() * 1_000 - started_ms, WAIT_MS / 2)
        self.assertLess(self.reader.age_ms, WAIT_MS / 2)

    def test_refreshes_in_turn_each_make_the_view_current(self) -> None:
        for key in ("a", "b", "c"):
            self.append(key)
            self.reader.refresh(WAIT_MS)
        self.assertEqual(["a", "b", "c"], self.keys)

    def test_record_that_raises_an_error_is_skipped(self) -> None:
        # The reader's thread used to end, and the host's view stayed as it was.
        for key in ("a", POISON, "b"):
            self.append(key)
        self.reader.refresh(WAIT_MS)
        self.append("c")
        self.reader.refresh(WAIT_MS)
        self.assertEqual(["a", "b", "c"], self.keys)

    def test_reads_without_records_show_a_slow_store(self) -> None:
        self.store.answer_ms = 80
        for _ in range(2):
            self.reader.refresh(WAIT_MS)
        self.assertGreater(self.reader.round_trips.slow_ms, 1_000)

    def test_wait_for_records_is_not_taken_for_a_slow_store(self) -> None:
        self.reader.pause_ms = 0
        for _ in range(2):
            self.reader.refresh(WAIT_MS)
        time.sleep(1.0)
        self.assertEqual(0, self.reader.round_trips.slow_ms)

    def test_refresh_gives_up_while_the_store_is_away(self) -> None:
        self.store.is_down = True
        started_ms = time.monotonic() * 1_000
        self.reader.refresh(50)
        self.assertLess(time.monotonic() * 1_000 - started_ms, WAIT_MS / 2)


class LoggedAbsenceTest(testtools.TestCase):
    """What a reader logs on a store that was away."""

    def test_absence_counts_from_the_start_of_the_reader(self) -> None:
        # Hosts that had just started logged an absence of about 10**9 ms.
        clock = fake_clock.FakeClock(100_000)
        store = record_store.MemoryStore()
        reader = partition_reader_module.PartitionReader(
            store, TOPIC, 0, lambda *_: None, clock
        )
        store.is_down = True
        reader._read_once(0)
        clock.advance(300)
        store.is_down = False
        logged = logbook.TestHandler()
        with logged.applicationbound():
            reader._read_once(0)
        (record,) = logged.records
        event = record.message
        self.assertEqual("store-regained", event.name)
        self.assertEqual(300, event.fields["away_ms"])

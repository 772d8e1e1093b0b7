"""Tests of the store client against a stand-in of the store."""

from __future__ import annotations

import socket
import time

import testtools

from comfreylatch._ports import store as store_port
from comfreylatch.platform import store as store_module
from testing.fakes import http_server as raw_server
from testing.standins import platform

TIMEOUT_MS = 2_000


def make_record(key: str, value: bytes | None = b"x") -> store_port.NewRecord:
    """Returns a record to append."""
    return store_port.NewRecord(key, value)


class StoreClientTest(testtools.TestCase):
    """Appends, reads and their errors."""

    def setUp(self) -> None:
        super().setUp()
        self.standin = platform.StoreStandIn()
        server = self.standin.serve()
        server.__enter__()
        self.addCleanup(server.__exit__, None, None, None)
        self.client = store_module.StoreClient(server.address)
        self.addCleanup(self.client.__exit__, None, None, None)

    def append(
        self, *records: store_port.NewRecord, **fields: object
    ) -> object:
        """Returns the outcome of an append."""
        outcome = self.client.append(
            "jobs", 0, records, timeout_ms=TIMEOUT_MS, **fields
        )
        return outcome.ok() if outcome.is_ok() else outcome.err()

    def test_records_are_read_as_written(self) -> None:
        self.assertEqual(
            0, self.append(make_record("a", b"1"), make_record("b", None))
        )
        batch = self.client.read("jobs", 0, 0, 0).unwrap()
        self.assertEqual(
            (
                store_port.StoredRecord(0, "a", b"1"),
                store_port.StoredRecord(1, "b", None),
            ),
            batch.records,
        )
        self.assertEqual((2, 2), (batch.next_offset, batch.end_offset))

    def test_newest_reads_all_pages(self) -> None:
        self.standin.page_size = 2
        self.append(
            *(make_record(f"k{n}") for n in range(5)), make_record("k0", b"y")
        )
        batch = self.client.newest("jobs", 0).unwrap()
        values = {record.key: record.value for record in batch.records}
        self.assertEqual(5, len(values))
        self.assertEqual(b"y", values["k0"])
        self.assertEqual(6, batch.next_offset)

    def test_offset_mismatch_returns_the_end(self) -> None:
        self.append(make_record("a"))
        self.assertEqual(
            store_port.EndOffsetMismatch(1),
            self.append(make_record("b"), at_offset=0),
        )

    def test_repeated_sequence_is_appended_once(self) -> None:
        producer = store_port.Producer("cell-0", 3, 0)
        first = self.append(make_record("a"), producer=producer)
        self.assertEqual(
            first, self.append(make_record("a"), producer=producer)
        )

    def test_lower_epoch_is_fenced(self) -> None:
        self.append(producer=store_port.Producer("cell-0", 3, 0))
        stale_producer = store_port.Producer("cell-0", 2, 0)
        self.assertIsInstance(
            self.append(make_record("a"), producer=stale_producer),
            store_port.ProducerFenced,
        )

    def test_sequence_gap_returns_the_expected_sequence(self) -> None:
        self.append(
            make_record("a"), producer=store_port.Producer("cell-0", 3, 0)
        )
        self.assertEqual(
            store_port.SequenceMismatch(1),
            self.append(
                make_record("b"), producer=store_port.Producer("cell-0", 3, 4)
            ),
        )

    def test_expired_records_return_first_offset(self) -> None:
        self.append(make_record("a"), make_record("b"))
        self.standin.memory_store.expire("keyed.jobs", 0)
        outcome = self.client.read("jobs", 0, 0, 0)
        self.assertEqual(store_port.RecordsExpired(2), outcome.err())

    def test_rejected_append_returns_unavailable(self) -> None:
        self.standin.memory_store.is_down = True
        self.assertIsInstance(
            self.append(make_record("a")), store_port.StoreUnavailable
        )

    def test_closed_port_returns_unavailable(self) -> None:
        with store_module.StoreClient("127.0.0.1:1") as client:
            outcome = client.append(
                "jobs", 0, (make_record("a"),), timeout_ms=500
            )
        self.assertIsInstance(outcome.err(), store_port.StoreUnavailable)

    def test_broken_connection_returns_answer_lost(self) -> None:
        with raw_server.RawServer(raw_server.close) as server:
            with store_module.StoreClient(server.address) as client:
                outcome = client.append(
                    "jobs", 0, (make_record("a"),), timeout_ms=500
                )
        self.assertIsInstance(outcome.err(), store_port.StoreAnswerLost)

    def test_page_over_a_slow_link_is_read_completely(self) -> None:
        # Guards against a timeout for the whole page: after a power loss of
        # all hosts, those with slow links gave up each page after a second
        # and never had a view.
        body = b'{"items": [], "EndOffset": 7}'
        pause_s = 1.3 * store_module.CALL_TIMEOUT_MS / 1_000 / len(body)

        def drip(connection: socket.socket) -> None:
            connection.sendall(
                b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body)
            )
            for index in range(len(body)):
                time.sleep(pause_s)
                connection.sendall(body[index : index + 1])

        with raw_server.RawServer(drip) as server:
            with store_module.StoreClient(server.address) as client:
                batch = client.newest("jobs", 0).unwrap()
        self.assertEqual(7, batch.next_offset)

    def test_truncated_read_returns_unavailable(self) -> None:
        answer = raw_server.reply(200, b"\x00" * 7)
        with raw_server.RawServer(answer) as server:
            with store_module.StoreClient(server.address) as client:
                outcome = client.read("jobs", 0, 0, 0)
        self.assertIsInstance(outcome.err(), store_port.StoreUnavailable)

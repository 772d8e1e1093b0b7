"""Tests of the store's client against a stand-in that follows its pages."""

from __future__ import annotations

import socket
import time

import testtools

from comfreylatch._ports import store as store_port
from comfreylatch.platform import store as store_module
from testing.fakes import http_server as raw_server
from testing.standins import platform

TIMEOUT_MS = 2_000


def new(key: str, value: bytes | None = b"x") -> store_port.NewRecord:
    """A record to be written."""
    return store_port.NewRecord(key, value)


class StoreClientTest(testtools.TestCase):
    """Appends, reads, and what may go wrong with them."""

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
        """What comes of an append."""
        outcome = self.client.append(
            "jobs", 0, records, timeout_ms=TIMEOUT_MS, **fields
        )
        return outcome.ok() if outcome.is_ok() else outcome.err()

    def test_records_are_read_as_written(self) -> None:
        self.assertEqual(0, self.append(new("a", b"1"), new("b", None)))
        batch = self.client.read("jobs", 0, 0, 0).unwrap()
        self.assertEqual(
            (
                store_port.StoredRecord(0, "a", b"1"),
                store_port.StoredRecord(1, "b", None),
            ),
            batch.records,
        )
        self.assertEqual((2, 2), (batch.next_offset, batch.end_offset))

    def test_newest_comes_in_pages(self) -> None:
        self.standin.page_size = 2
        self.append(*(new(f"k{n}") for n in range(5)), new("k0", b"y"))
        batch = self.client.newest("jobs", 0).unwrap()
        values = {record.key: record.value for record in batch.records}
        self.assertEqual(5, len(values))
        self.assertEqual(b"y", values["k0"])
        self.assertEqual(6, batch.next_offset)

    def test_condition_on_the_end_is_told(self) -> None:
        self.append(new("a"))
        self.assertEqual(
            store_port.EndOffsetMismatch(1), self.append(new("b"), at_offset=0)
        )

    def test_repeat_of_a_sequence_writes_once(self) -> None:
        producer = store_port.Producer("cell-0", 3, 0)
        first = self.append(new("a"), producer=producer)
        self.assertEqual(first, self.append(new("a"), producer=producer))

    def test_lower_epoch_is_fenced(self) -> None:
        self.append(producer=store_port.Producer("cell-0", 3, 0))
        old = store_port.Producer("cell-0", 2, 0)
        self.assertIsInstance(
            self.append(new("a"), producer=old), store_port.ProducerFenced
        )

    def test_gap_in_the_sequence_names_the_next(self) -> None:
        self.append(new("a"), producer=store_port.Producer("cell-0", 3, 0))
        self.assertEqual(
            store_port.SequenceMismatch(1),
            self.append(new("b"), producer=store_port.Producer("cell-0", 3, 4)),
        )

    def test_expired_records_are_told(self) -> None:
        self.append(new("a"), new("b"))
        self.standin.kept.expire("keyed.jobs", 0)
        outcome = self.client.read("jobs", 0, 0, 0)
        self.assertEqual(store_port.RecordsExpired(2), outcome.err())

    def test_refusal_means_that_nothing_was_done(self) -> None:
        self.standin.kept.is_down = True
        self.assertIsInstance(
            self.append(new("a")), store_port.StoreUnavailable
        )

    def test_closed_port_means_that_nothing_was_done(self) -> None:
        with store_module.StoreClient("127.0.0.1:1") as client:
            outcome = client.append("jobs", 0, (new("a"),), timeout_ms=500)
        self.assertIsInstance(outcome.err(), store_port.StoreUnavailable)

    def test_broken_connection_leaves_it_open(self) -> None:
        with raw_server.RawServer(raw_server.close) as server:
            with store_module.StoreClient(server.address) as client:
                outcome = client.append("jobs", 0, (new("a"),), timeout_ms=500)
        self.assertIsInstance(outcome.err(), store_port.StoreAnswerLost)

    def test_page_over_a_narrow_link_is_read_whole(self) -> None:
        # Found by a day: after all hosts had lost power, those with narrow
        # links gave up each page after a second and never had a view.
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

    def test_cut_read_is_no_batch(self) -> None:
        answer = raw_server.reply(200, b"\x00" * 7)
        with raw_server.RawServer(answer) as server:
            with store_module.StoreClient(server.address) as client:
                outcome = client.read("jobs", 0, 0, 0)
        self.assertIsInstance(outcome.err(), store_port.StoreUnavailable)

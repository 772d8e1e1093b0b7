"""Tests of the machines client and of decoding operators' waves."""

from __future__ import annotations

import testtools

from comfreylatch._ports import machines as machines_port
from comfreylatch._ports import store as store_port
from comfreylatch.platform import machines
from comfreylatch.platform import views
from testing.fakes import http_server
from testing.fakes import record_store

TIMEOUT_MS = 1_000
ORDER = machines_port.MaintenanceOrder("m-1", 3, "bole-1", 12)


class MachineClientTest(testtools.TestCase):
    """Outcomes of a single call."""

    def client(self, address: str) -> machines.MachineClient:
        """Returns a client that reports to a new `self.store`."""
        self.store = record_store.MemoryStore()
        return machines.MachineClient(address, self.store)

    def maintain(self, answer: http_server.Answer) -> object:
        """Returns the outcome of an order and stores its request."""
        with http_server.RawServer(answer) as server:
            with self.client(server.address) as client:
                outcome = client.maintain(ORDER, TIMEOUT_MS)
            self.request = server.requests[0]
        return outcome.ok() if outcome.is_ok() else outcome.err()

    def assert_refused(
        self, reason: machines_port.Refusal, status: int, body: bytes = b""
    ) -> None:
        """Asserts that a reply is decoded as a refusal."""
        outcome = self.maintain(http_server.reply(status, body))
        self.assertEqual(machines_port.MaintenanceRefused(reason), outcome)

    def test_machines_are_listed(self) -> None:
        body = (
            b'{"Machines": [{"Machine": "m-1", "State": "upkeep", "Id": null},'
            b'{"Machine": "m-2", "State": "up", "Id": "i-2"}],'
            b'"NextPageToken": null}'
        )
        with http_server.RawServer(http_server.reply(200, body)) as server:
            with self.client(server.address) as client:
                found = client.machines(TIMEOUT_MS).unwrap()
        self.assertEqual(
            (
                machines_port.Machine(
                    "m-1", machines_port.MachineState.MAINTENANCE
                ),
                machines_port.Machine(
                    "m-2", machines_port.MachineState.UP, "i-2"
                ),
            ),
            found,
        )

    def test_order_contains_holder_and_token(self) -> None:
        self.assertIsNone(self.maintain(http_server.reply(200, b"{}")))
        self.assertIn(b"X-Lease-Holder: bole-1", self.request)
        self.assertIn(b"X-Fencing-Token: 12", self.request)
        self.assertTrue(self.request.endswith(b'{"Machine":"m-1","Wave":3}'))

    def test_refusal_reasons_are_decoded(self) -> None:
        refusal = machines_port.Refusal
        self.assert_refused(refusal.FENCED, 409, b'{"Reason": "fence"}')
        self.assert_refused(refusal.BUSY, 409, b'{"Reason": "busy"}')
        self.assert_refused(refusal.OTHER_WAVE, 409, b'{"Reason": "wave"}')
        self.assert_refused(refusal.NO_SUCH_MACHINE, 400)
        self.assert_refused(refusal.OVERLOADED, 429)

    def test_lost_answer_returns_unanswered(self) -> None:
        self.assertIsInstance(
            self.maintain(http_server.close),
            machines_port.MaintenanceUnanswered,
        )

    def test_report_is_written_to_the_status_topic(self) -> None:
        with self.client("127.0.0.1:1") as client:
            client.report(3, True, TIMEOUT_MS)
        batch = self.store.newest("status", 0).unwrap()
        self.assertEqual(
            [("wave/3", b'{"State":"completed"}')],
            [(record.key, record.value) for record in batch.records],
        )


class WavesViewTest(testtools.TestCase):
    """Reading of waves from the operators' records."""

    def test_malformed_waves_are_skipped(self) -> None:
        view = views.WavesView()
        wave = b'{"Wave": 2, "Machines": ["m-1"], "DurationS": 20, "Cap": 1}'
        view.apply(
            (
                store_port.StoredRecord(0, "config", b"{}"),
                store_port.StoredRecord(1, "wave/1", b'{"Wave": "x"}'),
                store_port.StoredRecord(2, "wave/2", wave),
            ),
            True,
        )
        self.assertEqual(
            (machines_port.Wave(2, ("m-1",), 20_000, 1),), view.current()
        )

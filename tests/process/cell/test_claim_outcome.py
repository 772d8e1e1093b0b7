"""Tests of claims that the store carries out after their time-out."""

from __future__ import annotations

import contextlib
import time

import testtools

from comfreylatch._ports import store as store_port
from comfreylatch._process.cell import ownership as ownership_module
from comfreylatch._process.cell import records
from testing.fakes import record_store
from tests.process.cell import test_takeover

WAIT_S = 8.0


class ClaimOutcomeTest(testtools.TestCase):
    """A host whose claims wait in the store."""

    def setUp(self) -> None:
        super().setUp()
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.store = record_store.MemoryStore()
        # A host claims the cell of its own previous incarnation at once.
        previous = records.HeartbeatRecord("one", "boot-before", 1)
        self.append(
            records.JOBS_TOPIC, records.HEARTBEAT_KEY, records.encode(previous)
        )

    def append(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record."""
        self.store.append(topic, 0, (store_port.NewRecord(key, value),))

    def claim(self, wait_ms: int) -> int:
        """Claims the cell; the first claim waits in the store.

        Returns:
            The token of the first heartbeat.
        """
        self.store.answer_ms = 1
        waits_ms = [wait_ms]

        def on_call(name: str, topic: str) -> None:
            if (name, topic) == ("append", records.CLAIMS_TOPIC):
                backlog_ms = waits_ms.pop() if waits_ms else 0
                self.store.backlog_ms = {topic: backlog_ms}

        host = test_takeover.Host("one", self.store, {}, self.stack)
        host.store.on_call = on_call
        host.ownership.start()
        deadline_s = time.monotonic() + WAIT_S
        while not host.ownership.is_owner:
            self.assertLess(time.monotonic(), deadline_s, "timed out")
            time.sleep(0.02)
        return host.replica.last_heartbeat.heartbeat.token

    def claims(self) -> list[str]:
        """Returns the keys of all claims in the store."""
        return self.store.keys(records.CLAIMS_TOPIC, 0)

    def test_host_waits_for_the_outcome_of_its_claim(self) -> None:
        # It claimed the cell once more, by a claim with a higher token.
        self.append(records.CLAIMS_TOPIC, "cell/1", b"")
        token = self.claim(ownership_module.CLAIM_TIMEOUT_MS + 200)
        self.assertEqual(2, token)
        self.assertEqual(["cell/1", "cell/0"], self.claims())

    def test_claim_decided_after_the_wait_is_taken_up(self) -> None:
        self.append(records.CLAIMS_TOPIC, "cell/1", b"")
        wait_ms = ownership_module.CLAIM_TIMEOUT_MS
        token = self.claim(wait_ms + ownership_module.OUTCOME_TIMEOUT_MS + 300)
        self.assertEqual(2, token)
        self.assertEqual(["cell/1", "cell/0"], self.claims())

    def test_earlier_claim_is_not_taken_for_an_unanswered_one(self) -> None:
        # The host went on under the token of its previous ownership.
        claim = records.ClaimRecord(0, "one", "boot-one")
        self.append(records.CLAIMS_TOPIC, "cell/0", records.encode(claim))
        token = self.claim(ownership_module.CLAIM_TIMEOUT_MS + 200)
        self.assertEqual(2, token)

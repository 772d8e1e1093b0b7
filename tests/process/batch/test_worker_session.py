"""Tests of the time at which a session last sent a lease to its worker."""

from __future__ import annotations

import testtools

from comfreylatch._ports import workers
from comfreylatch._process.batch import worker_session


class LastSentTest(testtools.TestCase):
    """`last_lease_sent_ms` bounds how long the worker's tasks can run."""

    def setUp(self) -> None:
        super().setUp()
        self.session = worker_session.WorkerSession("wk-1", "a:1", "host")

    def test_lease_updates_last_sent(self) -> None:
        lease = workers.Exchange("host", 1, quoted_report=7, lease_ms=2_000)
        self.session.mark_sent(lease, 1_000)
        self.assertEqual(1_000, self.session.last_lease_sent_ms)

    def test_exchange_without_lease_keeps_last_sent(self) -> None:
        lease = workers.Exchange("host", 1, quoted_report=7, lease_ms=2_000)
        self.session.mark_sent(lease, 1_000)
        poll = workers.Exchange("host", 1, quoted_report=0, lease_ms=0)
        previous_lease_sent_ms = self.session.mark_sent(poll, 5_000)
        lost = workers.WorkerAnswerLost("timeout")
        self.session.on_no_answer(poll, lost, 5_000, previous_lease_sent_ms)
        self.assertEqual(1_000, self.session.last_lease_sent_ms)

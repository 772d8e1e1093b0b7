"""Tests of stand-in endpoints behind a relay, as real processes."""

from __future__ import annotations

from concurrent import futures
import pathlib
import tempfile
from typing import Any

import testtools
import xxhash

from testing import client as client_module
from testing import processes
from testing.standins import endpoint as endpoint_stand_in


class EndpointAndRelayTest(testtools.TestCase):
    """Faults of endpoints and of the relay in front of them."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.client = client_module.Client()
        self.addCleanup(self.client.close)
        self.endpoints = self.start(
            "standins.endpoint", [{"name": "ex-1", "work_ms": 1}]
        )
        target = self.endpoints.ready["addresses"]["ex-1"]
        self.relay = self.start("relay", [{"name": "r", "target": target}])
        self.address = self.relay.ready["addresses"]["r"]

    def start(self, module: str, specs: Any) -> processes.StandIn:
        stand_in = processes.start_stand_in(module, self.folder, (), specs)
        self.addCleanup(stand_in.process.stop)
        return stand_in

    def request(
        self, name: str, timeout_ms: int = 5_000, **options: Any
    ) -> client_module.Answer:
        return self.client.request(
            self.address,
            "skyproc",
            name,
            name.encode(),
            timeout_ms=timeout_ms - 2_000,
            **options,
        )

    def events(self) -> list[endpoint_stand_in.EndpointEvent]:
        return self.endpoints.journal(endpoint_stand_in.EndpointEvent)

    def test_answer_contains_id_and_digest_of_its_request(self) -> None:
        answer = self.request("q-1")
        self.assertEqual("q-1", answer.json()["request_id"])
        self.assertEqual(
            xxhash.xxh64_hexdigest(b"q-1"), answer.json()["digest"]
        )

    def test_request_beyond_the_slots_is_a_violation(self) -> None:
        with futures.ThreadPoolExecutor(9) as pool:
            names = [f"q-{number}" for number in range(9)]
            list(pool.map(lambda name: self.request(name, work_ms=300), names))
        self.assertEqual(1, sum(event.violation for event in self.events()))

    def test_truncated_and_reset_answers_are_lost(self) -> None:
        for fault in ("truncate", "reset"):
            self.endpoints.control(endpoint="ex-1", **{fault: 1})
            self.assertEqual("lost", self.request(fault).outcome)
        for fault in ("truncate_after", "reset_after"):
            self.relay.control(relay="*", **{fault: 60})
            self.assertEqual("lost", self.request(fault).outcome)
            self.relay.control(relay="*", **{fault: -1})
        self.assertEqual(200, self.request("whole").status)

    def test_cut_relay_stalls_and_recovers(self) -> None:
        self.relay.control(relay="r", cut=True)
        self.assertEqual("lost", self.request("cut", 2_200).outcome)
        self.assertEqual([], self.events())
        self.relay.control(relay="r", cut=False)
        self.assertEqual(200, self.request("healed").status)

    def test_delay_is_added_each_way(self) -> None:
        self.request("warm")
        self.relay.control(relay="r", delay_ms=30)
        self.assertGreater(self.request("slow").elapsed_ms, 60)

    def test_refusing_endpoint_listens_again_on_its_port(self) -> None:
        direct = self.endpoints.ready["addresses"]["ex-1"]
        self.endpoints.control(endpoint="*", refuse=True)
        refused = self.client.request(direct, "skyproc", "q-1")
        self.assertEqual("unreachable", refused.outcome)
        self.endpoints.control(endpoint="*", refuse=False)
        again = self.client.request(direct, "skyproc", "q-2")
        self.assertEqual(200, again.status)

    def test_leaving_endpoint_closes_then_refuses(self) -> None:
        direct = self.endpoints.ready["addresses"]["ex-1"]
        self.endpoints.control(endpoint="ex-1", leave_ms=100)
        leaving = self.client.request(direct, "skyproc", "q-1")
        self.assertEqual("close", leaving.headers["Connection"])
        outcomes = [leaving.outcome]
        while outcomes[-1] != "unreachable" and len(outcomes) < 500:
            later = self.client.request(direct, "skyproc", "q-2")
            outcomes.append(later.outcome)
        self.assertEqual("unreachable", outcomes[-1])

"""Tests of requests that a host without the store passes on to the owner."""

from __future__ import annotations

import contextlib
import json
import time
from typing import Any
import unittest.mock

import result
import testtools

from comfreylatch._connection import http
from comfreylatch._connection import http_server
from comfreylatch._connection import json_call
from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import store as store_port
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.cell import job_api as job_api_module
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import (
    partition_reader as partition_reader_module,
)
from comfreylatch._process.cell import reasons
from comfreylatch._process.cell import records
from comfreylatch._process.cell import specs
from comfreylatch._process.cell.forwarding import forwarder
from comfreylatch.platform import caller_handler
from testing.fakes import record_store

WAIT_S = 5.0
QUEUE = specs.QueueSpec("q", "a.example", "/q/", "skyproc")
CONFIGURATION = specs.FleetConfiguration(1, (QUEUE,), ())
JOB_PATH = "/q/" + "1" * 16
BODY = json.dumps({"Specification": "x", "JobSteps": [{"TaskCount": 1}]})


class StoreWithoutAccess:
    """A host's way to the store, on which the store may turn it away.

    Attributes:
        turns_away: Whether every call of this host is rejected.
    """

    def __init__(self, store: record_store.MemoryStore) -> None:
        self._store = store
        self._rejecting = record_store.MemoryStore()
        self._rejecting.is_down = True
        self.turns_away = False

    def __getattr__(self, name: str) -> Any:
        return getattr(
            self._rejecting if self.turns_away else self._store, name
        )


class Host:
    """The part of a host that answers callers. A context manager."""

    def __init__(self, name: str, store: record_store.MemoryStore) -> None:
        clock = clock_port.SystemClock()
        self._stack = contextlib.ExitStack()
        self.store = StoreWithoutAccess(store)
        self.replica = job_replica.JobReplica(clock)
        self.metrics = metrics_module.Metrics()
        self.reader = partition_reader_module.PartitionReader(
            self.store, records.JOBS_TOPIC, 0, self.replica.apply, clock, 50
        )
        self._appender = job_api_module.BatchAppender(self.store, 0, clock)
        self.handler = caller_handler.CallerHandler(
            lambda: CONFIGURATION,
            job_api_module.JobApi(
                self.replica, self.reader, self._appender, self.metrics, clock
            ),
            forwarder.Forwarder(
                name, lambda: self.replica.last_heartbeat, self.metrics, clock
            ),
            self.metrics,
            clock,
        )
        self.server = http_server.HttpServer(
            "127.0.0.1:0", self.handler.handle, 2, 1 << 20
        )

    def __enter__(self) -> Host:
        for part in (self.reader, self._appender, self.server):
            self._stack.enter_context(part)
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    def ask(self, method: str, body: str = "") -> http.HttpReply:
        """Returns the host's reply to a caller's request on a job."""
        headers = {"host": "a.example", "x-deadline-ms": "2000"}
        return self.handler.handle(
            http.HttpRequest(
                method, JOB_PATH, {}, headers, body.encode(), target=JOB_PATH
            )
        )

    def forwards(self, outcome: str) -> int:
        """Returns how many requests were passed on with an outcome."""
        return self.metrics.value(metrics_module.Counter.FORWARDS, outcome)


class ForwardingTest(testtools.TestCase):
    """An owner, and a host that the store turns away."""

    def setUp(self) -> None:
        super().setUp()
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        self.memory = record_store.MemoryStore()
        self.owner = stack.enter_context(Host("owner", self.memory))
        self.other = stack.enter_context(Host("other", self.memory))
        heartbeat = records.HeartbeatRecord(
            "owner", "boot", 1, caller_address=self.owner.server.address
        )
        self.owner.store.append(
            records.JOBS_TOPIC,
            0,
            (
                store_port.NewRecord(
                    records.HEARTBEAT_KEY, records.encode(heartbeat)
                ),
            ),
        )
        self.wait_for(lambda: self.other.replica.last_heartbeat)
        self.other.store.turns_away = True
        self.wait_for(lambda: self.other.reader.reachable_ms == 0)

    # Guards against a submission that the store can never take, which was
    # answered as if the store were away.
    def test_job_longer_than_a_record_is_refused_at_once(self) -> None:
        steps = [{"TaskCount": 1, "CpuMillicores": 100}] * 3_000
        body = json.dumps({"Specification": "text", "JobSteps": steps})
        reply = self.owner.ask("POST", body)
        self.assertEqual(400, reply.status)
        self.assertIn(b"over the limit", reply.body)

    def wait_for(self, condition: Any) -> None:
        """Waits until a condition is true."""
        deadline_s = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline_s)
            time.sleep(0.01)

    # Guards against submissions refused by a host that the store turns away
    # while its neighbours reach it.
    def test_submission_and_cancellation_are_accepted_by_the_owner(
        self,
    ) -> None:
        self.assertEqual(200, self.other.ask("POST", BODY).status)
        self.assertIn(
            records.JOB_PREFIX + "1" * 16,
            self.memory.keys(records.JOBS_TOPIC, 0),
        )
        self.wait_for(lambda: self.owner.ask("GET").status == 200)
        self.wait_for(lambda: self.other.reader.age_ms > 1_900)
        self.assertEqual(200, self.other.ask("GET").status)
        self.assertEqual(200, self.other.ask("DELETE").status)
        self.assertEqual(3, self.other.forwards("answered"))

    def test_job_that_the_caller_repeats_is_one_job(self) -> None:
        for _ in range(3):
            reply = self.other.ask("POST", BODY)
            self.assertEqual(200, reply.status, reply)
        self.wait_for(lambda: self.owner.ask("GET").status == 200)
        self.assertEqual(
            1, self.owner.replica.count_queued(QUEUE.prefix, QUEUE.host)
        )

    # Guards against a repeat that is refused although this host has read that
    # the job was accepted.
    def test_known_job_is_accepted_without_the_owner(self) -> None:
        self.other.store.turns_away = False
        self.assertEqual(200, self.other.ask("POST", BODY).status)
        self.wait_for(lambda: self.other.ask("GET").status == 200)
        self.other.store.turns_away = True
        self.wait_for(lambda: self.other.reader.reachable_ms == 0)
        self.owner.server.drain(0)
        self.assertEqual(200, self.other.ask("POST", BODY).status)
        self.assertEqual(0, self.other.forwards("not-sent"))

    def test_dead_owner_leads_to_a_true_refusal(self) -> None:
        self.owner.server.drain(0)
        reply = self.other.ask("POST", BODY)
        self.assertEqual(503, reply.status)
        self.assertEqual(
            reasons.Refusal.STORE_UNAVAILABLE, reply.headers["X-Reason"]
        )

    def test_owner_that_is_turned_away_too_does_not_pass_it_on(self) -> None:
        self.owner.store.turns_away = True
        self.assertEqual(503, self.other.ask("POST", BODY).status)
        self.assertEqual(0, self.owner.forwards("refused"))
        self.assertEqual(
            [],
            [
                k
                for k in self.memory.keys(records.JOBS_TOPIC, 0)
                if "1" * 16 in k
            ],
        )

    # Guards against "not stored" for a request whose answer was lost.
    def test_lost_answer_is_undecided(self) -> None:
        lost = json_call.AnswerLost("reset")
        with unittest.mock.patch.object(
            json_call,
            "call",
            return_value=result.Err(lost),
        ):
            self.assertEqual(504, self.other.ask("POST", BODY).status)

    # Guards against a 404 for a queue that this host knows.
    def test_owner_with_another_configuration_leads_to_a_refusal(self) -> None:
        answer = json_call.Answer(404, b"{}")
        with unittest.mock.patch.object(
            json_call,
            "call",
            return_value=result.Ok(answer),
        ):
            self.assertEqual(503, self.other.ask("POST", BODY).status)

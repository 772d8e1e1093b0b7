"""Tests of request routing over real connections."""

from __future__ import annotations

import concurrent.futures
import threading
import time
from typing import Any
import unittest.mock

import attrs
import testtools

from comfreylatch._connection import http
from comfreylatch._ports import hosts
from comfreylatch._process import reasons
from comfreylatch._request import request_dispatch
from comfreylatch._version import objects
from comfreylatch._wire.gen.peer import ttypes
from tests import fakes
from tests import scripted_endpoint
from tests.request import harness
from tests.scripted_endpoint import Seen
from tests.scripted_endpoint import Send


def reset(_: Seen) -> Send:
    return Send(b"", reset=True)


def echo(seen: Seen) -> Send:
    return scripted_endpoint.whole(seen, seen.body)


def slow(seconds: float) -> scripted_endpoint.Script:
    def answer(seen: Seen) -> Send:
        time.sleep(seconds)
        return scripted_endpoint.whole(seen, seen.body)

    return answer


def declined(seen: Seen) -> Send:
    return Send(
        scripted_endpoint.answer_bytes(
            seen.request_id, b"full", "503 Busy", "X-Outcome: not-run\r\n"
        )
    )


class RouterTest(testtools.TestCase):
    """Outcomes of requests."""

    def make_fixture(
        self, *scripts: scripted_endpoint.Script, **options: Any
    ) -> harness.Harness:
        fixture = harness.Harness(*scripts, **options)
        fixture.__enter__()
        self.addCleanup(fixture.__exit__, None, None, None)
        return fixture

    def assert_outcome(
        self, reply: http.HttpReply, status: int, outcome: str
    ) -> None:
        self.assertEqual(
            (status, outcome), (reply.status, reply.headers["X-Outcome"])
        )

    def test_answer_is_passed_on_with_id(self) -> None:
        reply = self.make_fixture(echo).send_request("r1", body=b"mine")
        self.assert_outcome(reply, 200, "answered")
        self.assertEqual(b"mine", reply.body)
        self.assertEqual("r1", reply.headers["X-Request-Id"])

    def test_path_query_and_remaining_time_reach_endpoint(self) -> None:
        fixture = self.make_fixture(echo)
        fixture.send_request(
            "r1", timeout_ms=700, target="/services/skyproc/a%2Fb/c?d=%20"
        )
        seen = fixture.endpoints[0].seen[0]
        self.assertEqual("/a%2Fb/c?d=%20", seen.target)
        self.assertLessEqual(int(seen.headers["x-remaining-ms"]), 700)
        self.assertGreater(int(seen.headers["x-remaining-ms"]), 500)

    def test_unknown_service_is_not_run(self) -> None:
        fixture = self.make_fixture(echo)
        reply = fixture.send_request(target="/services/nothing")
        self.assert_outcome(reply, 404, "not-run")
        self.assertEqual("unknown-service", reply.headers["X-Reason"])

    def test_invalid_input_is_refused_with_400(self) -> None:
        fixture = self.make_fixture(echo)
        self.assert_outcome(fixture.send_request("a b"), 400, "not-run")
        self.assert_outcome(fixture.send_request("x" * 129), 400, "not-run")
        reply = fixture.router.handle(
            http.HttpRequest(
                "GET",
                "",
                {},
                {"x-timeout-ms": "-1"},
                b"",
                target="/services/skyproc",
            )
        )
        self.assert_outcome(reply, 400, "not-run")
        self.assertEqual([], fixture.received_ids())

    def test_too_long_body_is_refused(self) -> None:
        fixture = self.make_fixture(
            echo, service=objects.Service(max_body_bytes=3)
        )
        self.assert_outcome(fixture.send_request(body=b"four"), 413, "not-run")

    def test_lost_answer_of_non_idempotent_is_unknown_and_sent_once(
        self,
    ) -> None:
        fixture = self.make_fixture(reset, reset)
        reply = fixture.send_request("r1")
        self.assert_outcome(reply, 504, "unknown")
        self.assertEqual(["r1"], fixture.received_ids())

    def test_lost_answer_of_idempotent_is_retried_elsewhere(self) -> None:
        fixture = self.make_fixture(reset, echo)
        for number in range(4):
            reply = fixture.send_request(f"r{number}", method="GET", body=b"")
            if reply.status == 200 and len(fixture.received_ids()) > number + 1:
                break
        self.assertEqual(
            1, fixture.retries(reasons.RetryReason.CONNECTION_LOST)
        )

    # Guards against a request that crashes one endpoint after the other.
    def test_request_is_not_sent_on_after_two_endpoints_broke_off(self) -> None:
        fixture = self.make_fixture(reset, reset, reset, reset)
        reply = fixture.send_request("r1", method="GET", body=b"")
        self.assert_outcome(reply, 504, "unknown")
        self.assertEqual(["r1", "r1"], fixture.received_ids())
        self.assertEqual(
            1, fixture.retries(reasons.RetryReason.ENDPOINTS_BROKE_OFF)
        )

    def test_declined_request_is_retried_even_if_not_idempotent(self) -> None:
        fixture = self.make_fixture(declined, echo)
        replies = [fixture.send_request(f"r{number}") for number in range(6)]
        self.assertEqual({200}, {reply.status for reply in replies})
        self.assertGreater(
            fixture.retries(reasons.RetryReason.ENDPOINT_BUSY), 0
        )

    def test_declined_everywhere_is_not_run_with_retry_time(self) -> None:
        fixture = self.make_fixture(declined, declined)
        reply = fixture.send_request("r1")
        self.assert_outcome(reply, 503, "not-run")
        self.assertGreater(int(reply.headers["X-Retry-After-Ms"]), 0)

    def test_declined_after_loss_is_unknown(self) -> None:
        def lose_first(seen: Seen) -> Send:
            return (
                reset(seen)
                if len(fixture.received_ids()) == 1
                else declined(seen)
            )

        fixture = self.make_fixture(lose_first, lose_first, lose_first)
        reply = fixture.send_request("r1", method="GET", body=b"")
        self.assert_outcome(reply, 504, "unknown")

    def test_retries_stay_within_budget(self) -> None:
        fixture = self.make_fixture(reset, reset, reset)
        request_count = 60
        for number in range(request_count):
            fixture.send_request(
                f"r{number}", method="GET", body=b"", timeout_ms=400
            )
        retry_count = len(fixture.received_ids()) - request_count
        self.assertLessEqual(retry_count, request_count * 0.1 + 2)
        self.assertGreater(fixture.retries(reasons.RetryReason.BUDGET_SPENT), 0)

    def test_request_without_further_tries_is_answered_at_once(self) -> None:
        fixture = self.make_fixture(reset)
        started = time.monotonic()
        reply = fixture.send_request("r1", timeout_ms=2_000)
        self.assert_outcome(reply, 504, "unknown")
        self.assertLess(time.monotonic() - started, 0.5)

    def test_slots_bound_requests_in_endpoint(self) -> None:
        running = threading.Semaphore(2)
        over_limit: list[str] = []

        def count(seen: Seen) -> Send:
            if not running.acquire(blocking=False):
                over_limit.append(seen.request_id)
                return scripted_endpoint.whole(seen)
            time.sleep(0.01)
            running.release()
            return scripted_endpoint.whole(seen)

        fixture = self.make_fixture(count, slots=2)
        with concurrent.futures.ThreadPoolExecutor(12) as pool:
            list(pool.map(lambda n: fixture.send_request(f"r{n}"), range(60)))
        self.assertEqual([], over_limit)
        self.assertEqual(2, fixture.slots.highest)

    def test_request_without_slot_registers_demand(self) -> None:
        fixture = self.make_fixture(echo, slots=0)
        fixture.send_request("r1")
        self.assertEqual({"ex-0"}, fixture.slots.reported_demand)

    def test_slot_stays_taken_while_lost_request_may_run(self) -> None:
        fixture = self.make_fixture(slow(0.5), slots=1)
        self.assert_outcome(
            fixture.send_request("r1", timeout_ms=100), 504, "unknown"
        )
        self.assertEqual(0, fixture.slots.count_free("ex-0"))
        time.sleep(0.6)
        self.assertEqual(1, fixture.slots.count_free("ex-0"))

    def test_late_idempotent_request_is_hedged(self) -> None:
        fixture = self.make_fixture(
            slow(0.6), slow(0.0), service=objects.Service(hedge_percentile=95)
        )
        started = time.monotonic()
        for number in range(4):
            reply = fixture.send_request(f"r{number}", method="GET", body=b"")
            self.assert_outcome(reply, 200, "answered")
        self.assertLess(time.monotonic() - started, 1.0)
        self.assertGreater(fixture.retries(reasons.RetryReason.HEDGED), 0)
        self.assertGreater(
            fixture.retries(reasons.RetryReason.HEDGE_CANCELLED), 0
        )

    def test_loss_of_hedge_makes_outcome_unknown(self) -> None:
        def lose_first_seen(seen: Seen) -> Send:
            # The first try is declined late, and the hedge is lost.
            if len(fixture.received_ids()) == 1:
                time.sleep(0.3)
                return declined(seen)
            return Send(b"", reset=True)

        fixture = self.make_fixture(
            lose_first_seen,
            lose_first_seen,
            service=objects.Service(
                hedge_percentile=95, retry_budget_percent=100
            ),
        )
        reply = fixture.send_request(
            "r1", method="GET", body=b"", timeout_ms=400
        )
        self.assert_outcome(reply, 504, "unknown")

    def test_percentile_of_zero_turns_hedges_off(self) -> None:
        fixture = self.make_fixture(
            slow(0.3), slow(0.3), service=objects.Service(hedge_percentile=0)
        )
        self.assert_not_hedged(fixture)

    def test_last_try_is_not_hedged(self) -> None:
        fixture = self.make_fixture(
            slow(0.3), slow(0.3), service=objects.Service(hedge_percentile=95)
        )
        with unittest.mock.patch.object(request_dispatch, "MAX_TRIES", 1):
            self.assert_not_hedged(fixture)

    def assert_not_hedged(self, fixture: harness.Harness) -> None:
        """Sends a late idempotent request that should be sent once."""
        reply = fixture.send_request(
            "r1", method="GET", body=b"", timeout_ms=400
        )
        self.assert_outcome(reply, 200, "answered")
        self.assertEqual(["r1"], fixture.received_ids())

    def test_non_idempotent_request_is_never_hedged(self) -> None:
        fixture = self.make_fixture(
            slow(0.2), slow(0.2), service=objects.Service(hedge_percentile=50)
        )
        self.assert_outcome(fixture.send_request("r1"), 200, "answered")
        self.assertEqual(["r1"], fixture.received_ids())

    def test_each_caller_gets_its_own_answer(self) -> None:
        def answer_out_of_order(seen: Seen) -> Send:
            time.sleep(hash(seen.request_id) % 7 / 1_000)
            return echo(seen)

        fixture = self.make_fixture(
            answer_out_of_order,
            answer_out_of_order,
            answer_out_of_order,
            slots=4,
        )

        def check(number: int) -> bool:
            body = f"body of {number}".encode()
            reply = fixture.send_request(f"r{number}", body=body)
            return reply.status == 503 or reply.body == body

        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            self.assertTrue(all(pool.map(check, range(300))))

    def test_stopping_host_refuses(self) -> None:
        fixture = self.make_fixture(echo)
        fixture.router.stop_accepting()
        self.assert_outcome(fixture.send_request(), 503, "not-run")
        self.assertEqual(1, fixture.refusals(reasons.RefusalReason.STOPPING))

    def test_refusal_is_journalled(self) -> None:
        fixture = self.make_fixture(reset)
        fixture.send_request("r1")
        decisions = fixture.journal.about(reasons.Subject.REQUEST, "r1")
        self.assertEqual(["answer-lost"], [d.reason for d in decisions])

    def test_forwarded_request_runs_here(self) -> None:
        fixture = self.make_fixture(echo)
        reply = fixture.router.run_forwarded(forward_request("r1"))
        self.assertEqual(("answered", b"b"), (reply.outcome, reply.body))
        self.assertEqual("r1", reply.request_id)

    def test_forwarded_request_with_lost_answer_is_unknown(self) -> None:
        fixture = self.make_fixture(reset)
        reply = fixture.router.run_forwarded(forward_request("r1"))
        self.assertEqual(
            ("unknown", "answer-lost"), (reply.outcome, reply.reason)
        )


class LeavingTest(testtools.TestCase):
    """Leaving endpoints get no new requests."""

    def make_fixture(
        self, *scripts: scripted_endpoint.Script, **options: Any
    ) -> harness.Harness:
        fixture = harness.Harness(*scripts, **options)
        fixture.__enter__()
        self.addCleanup(fixture.__exit__, None, None, None)
        return fixture

    def test_endpoint_refusing_connections_is_drained(self) -> None:
        fixture = self.make_fixture(echo, echo)
        fixture.endpoints[0].stop_listening()
        for number in range(8):
            self.assertEqual(200, fixture.send_request(f"r{number}").status)
        self.assertEqual({"ex-0"}, fixture.router.leaving_endpoints())
        self.assertEqual(1, fixture.retries(reasons.RetryReason.CONNECT_FAILED))

    def test_endpoint_closing_connections_is_drained(self) -> None:
        fixture = self.make_fixture(echo)
        fixture.send_request("r1")
        fixture.endpoints[0].script = lambda seen: scripted_endpoint.whole(
            seen, extra="Connection: close\r\n"
        )
        fixture.send_request("r2")
        reply = fixture.send_request("r3")
        self.assertEqual("no-endpoint", reply.headers["X-Reason"])
        self.assertEqual(["r1", "r2"], fixture.received_ids())

    def test_endpoint_listed_as_leaving_is_drained(self) -> None:
        fixture = self.make_fixture(echo, echo)
        fixture.router.update_host_list(
            hosts.HostList(
                (
                    hosts.ListedHost(
                        "ex-0",
                        hosts.HostKind.ENDPOINT,
                        hosts.HostState.LEAVING,
                        fakes.ZONE,
                        "",
                        "",
                    ),
                )
            )
        )
        for number in range(6):
            fixture.send_request(f"r{number}")
        self.assertEqual([], fixture.endpoints[0].seen)

    def test_request_in_progress_on_removed_endpoint_finishes(self) -> None:
        fixture = self.make_fixture(slow(0.2))
        replies: list[http.HttpReply] = []
        thread = threading.Thread(
            target=lambda: replies.append(fixture.send_request())
        )
        thread.start()
        while not fixture.received_ids():
            time.sleep(0.005)
        fixture.source.replace(fakes.make_configuration({}, offset=2))
        thread.join()
        self.assertEqual(200, replies[0].status)

    def test_removed_service_is_refused(self) -> None:
        fixture = self.make_fixture(echo)
        new = fakes.make_configuration({}, offset=2)
        fixture.source.replace(attrs.evolve(new, services={}))
        self.assertEqual(404, fixture.send_request().status)


def forward_request(request_id: str) -> ttypes.ForwardRequest:
    return ttypes.ForwardRequest(
        request_id=request_id,
        caller="clerk",
        service_name=fakes.SERVICE,
        path="/x",
        method="POST",
        headers={},
        body=b"b",
        remaining_ms=1_000,
        idempotent=False,
    )

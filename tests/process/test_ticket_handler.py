"""Tests of `TicketHandler`."""

from __future__ import annotations

import threading
from typing import Any

import attrs
import msgspec
import testtools

from comfreylatch._connection import http
from comfreylatch._ports import clock
from comfreylatch._ports import peers as peers_port
from comfreylatch._process import appender
from comfreylatch._process import backoff
from comfreylatch._process import follower
from comfreylatch._process import journal
from comfreylatch._process import metrics
from comfreylatch._process import reasons
from comfreylatch._process import ticket_handler
from comfreylatch._version import configuration_fold
from testing.fakes import log as fake_log
from testing.fakes import peers as fake_peers
from testing.fakes import tickets as samples

FAST_RETRY = backoff.Backoff(base_ms=5, max_ms=20)
TIMEOUT_MS = 2_000


@attrs.frozen
class Reply:
    """A reply with its body decoded."""

    status: int
    body: Any
    headers: dict[str, str]


class Host:
    """The components of one entry host that handle tickets."""

    def __init__(self, log: fake_log.FakeLog, seat: str) -> None:
        system_clock = clock.SystemClock()
        self.metrics = metrics.Metrics()
        self.journal = journal.Journal(seat, system_clock)
        self.peers = fake_peers.FakePeers()
        self.fold = configuration_fold.ConfigurationFold()
        self.appender = appender.StreamAppender(
            log, "config", seat, self.metrics, system_clock, retry=FAST_RETRY
        )
        self.follower = follower.StreamFollower(
            log,
            "config",
            self.fold,
            self.metrics,
            system_clock,
            wait_ms=50,
            after_apply=self.appender.observe,
            retry=FAST_RETRY,
        )
        self.handler = ticket_handler.TicketHandler(
            self.appender,
            self.fold,
            self.follower,
            self.peers,
            self.journal,
            self.metrics,
            system_clock,
            seat,
        )

    def submit(self, value: Any, timeout_ms: int = TIMEOUT_MS) -> Reply:
        request = http.HttpRequest(
            "POST",
            "/tickets",
            {},
            {"x-timeout-ms": str(timeout_ms)},
            msgspec.json.encode(value),
        )
        return decode_reply(self.handler.submit(request))

    def show(self, number: int) -> Reply:
        request = http.HttpRequest("GET", f"/tickets/{number}", {}, {}, b"")
        return decode_reply(self.handler.show_ticket(request))


def decode_reply(reply: http.HttpReply) -> Reply:
    body = msgspec.json.decode(reply.body)
    return Reply(reply.status, body, dict(reply.headers))


class TicketHandlerTest(testtools.TestCase):
    """Tests with two hosts on one log, with their threads."""

    def setUp(self) -> None:
        super().setUp()
        self.log = fake_log.FakeLog()
        self.host = self.start("seat-1")
        self.other = self.start("seat-2")

    def start(self, seat: str) -> Host:
        host = Host(self.log, seat)
        for service in (host.appender, host.follower):
            service.__enter__()
            self.addCleanup(service.__exit__, None, None, None)
        while not host.follower.ready:
            host.follower.wait_for(0, 5)
        return host

    def test_accepted_ticket_is_in_force_when_answered(self) -> None:
        reply = self.host.submit(samples.ticket(1, samples.zone("bole")))
        self.assertEqual(200, reply.status)
        self.assertEqual("accepted", reply.body["verdict"])
        self.assertIn("bole", self.host.fold.current().zones)

    def test_malformed_ticket_is_not_appended(self) -> None:
        reply = self.host.submit({"number": 1})
        self.assertEqual(400, reply.status)
        paths = {problem["path"] for problem in reply.body["problems"]}
        self.assertEqual({"author", "reason", "changes"}, paths)
        request = http.HttpRequest("POST", "/tickets", {}, {}, b"\xff{")
        self.assertEqual(400, self.host.handler.submit(request).status)
        self.assertEqual([], self.log.payloads("config"))

    def test_conflicting_tickets_through_two_hosts_get_one_verdict(
        self,
    ) -> None:
        replies: dict[int, Reply] = {}

        def submit(host: Host, number: int) -> None:
            value = samples.ticket(number, samples.zone("bole"))
            replies[number] = host.submit(value)

        submitters = [
            threading.Thread(target=submit, args=(self.host, 1)),
            threading.Thread(target=submit, args=(self.other, 2)),
        ]
        for submitter in submitters:
            submitter.start()
        for submitter in submitters:
            submitter.join()
        statuses = {number: reply.status for number, reply in replies.items()}
        self.assertEqual([200, 409], sorted(statuses.values()))
        loser = min(statuses, key=lambda number: -statuses[number])
        conflict = replies[loser].body["conflicts"][0]
        self.assertEqual(3 - loser, conflict["winner"])
        self.assertEqual("bole", conflict["name"])
        self.assertTrue(self.other.follower.wait_for(0, TIMEOUT_MS))

    def test_lost_answer_is_resolved_by_reading_the_log(self) -> None:
        lost = fake_log.AppendFault.LOST_AFTER_EFFECT
        self.log.faults.extend([lost] * 20)
        reply = self.host.submit(samples.ticket(1, samples.zone("bole")))
        self.assertEqual(200, reply.status)

    def test_same_ticket_again_gets_the_same_verdict(self) -> None:
        value = samples.ticket(1, samples.zone("bole"))
        first = self.host.submit(value)
        self.assertEqual(first, self.host.submit(value))
        self.other.follower.wait_for(0, TIMEOUT_MS)
        self.assertEqual(first, self.other.submit(value))
        self.assertEqual(1, len(self.log.payloads("config")))

    def test_number_with_other_content_is_refused(self) -> None:
        self.host.submit(samples.ticket(1, samples.zone("bole")))
        reply = self.host.submit(samples.ticket(1, samples.zone("entoto")))
        self.assertEqual(409, reply.status)
        self.assertEqual("ticket-number-taken", reply.body["reason"])

    def test_number_taken_during_the_append_is_refused(self) -> None:
        self.host.submit(samples.ticket(1, samples.zone("bole")))
        find_ticket = self.host.fold.ticket
        self.host.fold.ticket = lambda number: (
            find_ticket(number)
            if len(self.log.payloads("config")) > 1
            else None
        )
        reply = self.host.submit(samples.ticket(1, samples.zone("entoto")))
        self.assertEqual("ticket-number-taken", reply.body["reason"])
        self.assertNotIn("entoto", self.host.fold.current().zones)

    def test_stale_ticket_is_refused_before_the_append(self) -> None:
        self.host.submit(samples.ticket(1, samples.zone("bole")))
        reply = self.host.submit(samples.ticket(2, samples.zone("bole")))
        self.assertEqual(409, reply.status)
        self.assertEqual(1, len(self.log.payloads("config")))
        self.assertEqual(
            1,
            self.host.metrics.value(
                metrics.Counter.REFUSALS,
                reasons.RefusalReason.TICKET_CONFLICT,
            ),
        )

    def test_log_down_is_reported_at_once_with_a_retry_time(self) -> None:
        self.log.down = True
        value = samples.ticket(1, samples.zone("bole"))
        reply = self.host.submit(value, timeout_ms=60_000)
        self.assertEqual(503, reply.status)
        self.assertIn("nothing was written", reply.body["detail"])
        self.assertGreater(int(reply.headers["X-Retry-After-Ms"]), 0)

    def test_unknown_outcome_is_reported_as_unknown(self) -> None:
        lost = fake_log.AppendFault.LOST_BEFORE_EFFECT
        self.log.faults.extend([lost] * 10_000)
        value = samples.ticket(1, samples.zone("bole"))
        reply = self.host.submit(value, timeout_ms=50)
        self.assertEqual(504, reply.status)
        self.log.faults.clear()
        self.assertTrue(self.host.follower.wait_for(0, TIMEOUT_MS))
        self.assertEqual("accepted", self.host.show(1).body["verdict"])

    def test_host_that_is_not_ready_refuses_tickets(self) -> None:
        unready = Host(self.log, "seat-3")
        reply = unready.submit(samples.ticket(1, samples.zone("bole")))
        self.assertEqual(503, reply.status)
        self.assertEqual("no-configuration", reply.body["reason"])

    def test_ticket_page_lists_seats_where_it_is_in_force(self) -> None:
        self.host.submit(samples.ticket(1, samples.zone("bole")))
        self.host.peers.peer_views = (
            peers_port.PeerView(
                "seat-2",
                "bole",
                reachable=True,
                config_offset=0,
                config_digest="another",
            ),
            peers_port.PeerView("seat-3", "entoto", config_offset=-1),
        )
        page = self.host.show(1).body
        in_force = [seat["seat"] for seat in page["in_force"]]
        self.assertEqual(["seat-1", "seat-2"], in_force)
        self.assertEqual("seat-3", page["not_yet"][0]["seat"])
        self.assertGreater(page["since_wall_ms"], 0)
        self.assertIn("in force on 2 of 3 seats", page["sentence"])
        self.assertIn("differs on seat-2", page["sentence"])

    def test_unknown_ticket_is_not_found(self) -> None:
        self.assertEqual(404, self.host.show(9).status)

    def test_objects_are_listed_with_their_versions(self) -> None:
        self.host.submit(samples.ticket(1, samples.zone("bole")))
        request = http.HttpRequest("GET", "/objects", {}, {}, b"")
        page = decode_reply(self.host.handler.list_objects(request)).body
        self.assertEqual("bole", page["objects"][0]["name"])
        self.assertEqual(1, page["objects"][0]["version"])

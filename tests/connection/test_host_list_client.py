"""Tests of the client of the platform's host list."""

from __future__ import annotations

import msgspec
import result
import testtools

from comfreylatch._connection import host_list_client
from comfreylatch._ports import hosts
from testing.fakes import http_server

TIMEOUT_MS = 300
ENTRY = {
    "name": "ex-1",
    "kind": "endpoint",
    "state": "leaving",
    "zone": "bole",
    "rack": "r1",
    "address": "127.0.0.1:80",
    "worker_class": "",
}


class FetchTest(testtools.TestCase):
    """Fetching and decoding the host list."""

    def fetch(
        self, answer: http_server.Answer
    ) -> result.Result[hosts.HostList, hosts.HostListUnavailable]:
        with (
            http_server.RawServer(answer) as server,
            host_list_client.HostListClient(
                server.address, TIMEOUT_MS
            ) as client,
        ):
            return client.fetch()

    def test_malformed_entries_are_skipped(self) -> None:
        body = msgspec.json.encode({"hosts": [ENTRY, {"name": 5}]})
        listed = self.fetch(http_server.reply(200, body)).unwrap()
        self.assertEqual(1, len(listed.hosts))
        self.assertIs(hosts.HostState.LEAVING, listed.hosts[0].state)

    def test_failures_are_unavailable(self) -> None:
        answers = [
            http_server.reply(500, b"{}"),
            http_server.reply(200, b"{}"),
            http_server.close,
        ]
        for answer in answers:
            self.assertTrue(self.fetch(answer).is_err())

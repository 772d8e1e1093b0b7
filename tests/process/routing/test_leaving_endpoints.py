"""Tests of the detection of leaving endpoints."""

from __future__ import annotations

import testtools

from comfreylatch._ports import hosts
from comfreylatch._process.routing import leaving_endpoints
from tests import fakes


def make_host_list(state: hosts.HostState, *names: str) -> hosts.HostList:
    return hosts.HostList(
        tuple(
            hosts.ListedHost(
                name, hosts.HostKind.ENDPOINT, state, "bole", "r1", "a"
            )
            for name in names
        )
    )


class LeavingEndpointsTest(testtools.TestCase):
    """Detection by each source, and its end."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = fakes.FakeClock()
        self.leaving = leaving_endpoints.LeavingEndpoints(self.clock)

    def test_refused_connection_means_leaving_until_accepted(self) -> None:
        self.assertTrue(self.leaving.record_refused_connection("ex-1"))
        self.assertTrue(self.leaving.is_leaving("ex-1"))
        self.assertEqual(("ex-1",), self.leaving.due_probes())
        self.leaving.record_accepted_connection("ex-1")
        self.assertFalse(self.leaving.is_leaving("ex-1"))

    def test_close_after_keep_alive_means_leaving(self) -> None:
        self.leaving.record_answer("ex-1", closing=False)
        self.assertTrue(self.leaving.record_answer("ex-1", closing=True))
        self.assertEqual((), self.leaving.due_probes())

    def test_close_without_keep_alive_is_ignored(self) -> None:
        self.assertFalse(self.leaving.record_answer("ex-1", closing=True))
        self.assertFalse(self.leaving.is_leaving("ex-1"))

    def test_host_list_marks_leaving_and_live_again(self) -> None:
        newly_leaving = self.leaving.update_host_list(
            make_host_list(hosts.HostState.LEAVING, "ex-1")
        )
        self.assertEqual({"ex-1"}, newly_leaving)
        self.leaving.update_host_list(
            make_host_list(hosts.HostState.LIVE, "ex-1")
        )
        self.assertFalse(self.leaving.is_leaving("ex-1"))

    def test_endpoint_no_longer_listed_is_leaving(self) -> None:
        self.leaving.update_host_list(
            make_host_list(hosts.HostState.LIVE, "ex-1", "ex-2")
        )
        newly_leaving = self.leaving.update_host_list(
            make_host_list(hosts.HostState.LIVE, "ex-2")
        )
        self.assertEqual({"ex-1"}, newly_leaving)

    def test_endpoint_never_listed_is_not_leaving(self) -> None:
        self.leaving.update_host_list(
            make_host_list(hosts.HostState.LIVE, "ex-2")
        )
        self.assertFalse(self.leaving.is_leaving("ex-1"))

    def test_peer_report_is_not_reported_back(self) -> None:
        self.leaving.update_peer_reports(frozenset({"ex-1"}))
        self.assertTrue(self.leaving.is_leaving("ex-1"))
        self.assertEqual(frozenset(), self.leaving.observed)
        self.leaving.update_peer_reports(frozenset())
        self.assertFalse(self.leaving.is_leaving("ex-1"))

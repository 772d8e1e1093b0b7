"""Tests of the stand-in for the platform's list of hosts."""

from __future__ import annotations

from unittest import mock

import testtools

from testing.standins import hosts
from testing.standins import serving

LAG_MS = 300


class HostListStandInTest(testtools.TestCase):
    """What readers see, by a clock that the test sets."""

    def test_change_is_visible_from_the_end_of_the_lag_on(self) -> None:
        entry = {
            "kind": "endpoint",
            "name": "ex-1",
            "address": "127.0.0.1:1",
            "zone": "bole",
            "rack": "",
            "state": "live",
        }
        clock = mock.Mock(return_value=1_000.0)
        with mock.patch.object(serving, "now_ms", clock):
            stand_in = hosts.HostListStandIn(LAG_MS)
            stand_in.control({"put": [entry], "at_once": True})
            stand_in.control({"put": [{**entry, "state": "leaving"}]})
            seen = []
            for elapsed_ms in (0, LAG_MS - 1, LAG_MS):
                clock.return_value = 1_000.0 + elapsed_ms
                (host,) = stand_in._visible_hosts()
                seen.append(host.state)
        self.assertEqual(["live", "live", "leaving"], seen)

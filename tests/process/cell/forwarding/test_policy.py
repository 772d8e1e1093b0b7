"""Tests of when a host passes a caller's request on."""

from __future__ import annotations

from typing import Any

import testtools

from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import records
from comfreylatch._process.cell.forwarding import policy

OWNER_ADDRESS = "10.1.0.7:8161"
SEEN_MS = 50_000


def owner(**fields: Any) -> job_replica.ObservedHeartbeat:
    """Returns a heartbeat of another host, seen at `SEEN_MS`."""
    values: dict[str, Any] = {"caller_address": OWNER_ADDRESS, **fields}
    heartbeat = records.HeartbeatRecord("owner", "boot", 7, **values)
    return job_replica.ObservedHeartbeat(heartbeat, SEEN_MS, SEEN_MS)


def choose(**fields: Any) -> str | None:
    """Returns where a host passes a request on; `fields` change the case."""
    values: dict[str, Any] = {
        "was_forwarded": False,
        "remaining_ms": 2_000,
        "host": "here",
        "owner": owner(),
        "now_ms": SEEN_MS + 500,
        **fields,
    }
    return policy.choose_address(policy.ForwardRequest(**values))


class ChooseAddressTest(testtools.TestCase):
    """A host that the store turns away has a request of a caller."""

    def test_request_goes_to_the_owner(self) -> None:
        self.assertEqual(OWNER_ADDRESS, choose())

    # Guards against requests that go round among hosts cut off from the store.
    def test_request_is_passed_on_once(self) -> None:
        self.assertIsNone(choose(was_forwarded=True))

    def test_request_without_enough_time_is_refused(self) -> None:
        self.assertIsNone(choose(remaining_ms=policy.MIN_FORWARD_MS - 1))

    def test_owner_does_not_forward_to_itself(self) -> None:
        self.assertIsNone(choose(host="owner"))

    def test_unknown_released_or_old_owner_gets_nothing(self) -> None:
        self.assertIsNone(choose(owner=None))
        self.assertIsNone(choose(owner=owner(is_released=True)))
        late_ms = SEEN_MS + policy.MAX_OWNER_AGE_MS + 1
        self.assertIsNone(choose(now_ms=late_ms))

    # Guards against hosts of an earlier version, whose heartbeats name none.
    def test_owner_without_an_address_gets_nothing(self) -> None:
        self.assertIsNone(choose(owner=owner(caller_address="")))

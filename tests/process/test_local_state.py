"""Tests of the gate that opens a seat's slots."""

from __future__ import annotations

from collections.abc import Callable
import types

import testtools

from comfreylatch._process import local_state
from comfreylatch._version import configuration
from comfreylatch._version import objects
from testing.fakes import clock as fake_clock

PREDECESSOR_HOLD_MS = 10_000
WITH_ENDPOINT = configuration.Configuration(
    offset=0,
    endpoints={"ex-1": objects.Endpoint("skyproc", "bole", "127.0.0.1:1")},
)


class _FakeDependencies:
    """Fake collaborators of the gate."""

    def __init__(self) -> None:
        self.clock = fake_clock.FakeClock()
        self.config = types.SimpleNamespace(ready=False)
        self.drained = False
        self.listener: Callable[[configuration.Configuration], None]
        self.source = self
        self.membership = self

    def on_change(
        self, listener: Callable[[configuration.Configuration], None]
    ) -> None:
        self.listener = listener

    def is_predecessor_drained(self) -> bool:
        return self.drained

    def predecessor_hold_ms(self) -> int:
        return PREDECESSOR_HOLD_MS


class SeatGateTest(testtools.TestCase):
    """When the gate opens, and for which reason."""

    def setUp(self) -> None:
        super().setUp()
        self.deps = _FakeDependencies()
        self.gate = local_state.SeatGate(self.deps)

    def test_seat_stays_closed_before_the_configuration_is_read(self) -> None:
        self.assertEqual("", self.gate.reason_to_open())

    def test_ticket_right_after_the_start_does_not_close_the_seat(self) -> None:
        self.deps.config.ready = True
        self.deps.listener(WITH_ENDPOINT)
        self.assertEqual(
            local_state.NO_PREVIOUS_ENDPOINT, self.gate.reason_to_open()
        )

    def test_seat_waits_for_requests_of_a_predecessor(self) -> None:
        self.deps.listener(WITH_ENDPOINT)
        self.deps.config.ready = True
        self.assertEqual("", self.gate.reason_to_open())
        self.deps.clock.advance(PREDECESSOR_HOLD_MS)
        self.assertEqual("waited", self.gate.reason_to_open())

    def test_seat_opens_if_predecessor_drained(self) -> None:
        self.deps.listener(WITH_ENDPOINT)
        self.deps.config.ready = True
        self.deps.drained = True
        self.assertEqual("predecessor-drained", self.gate.reason_to_open())

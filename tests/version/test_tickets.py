"""Tests of ticket validation."""

from __future__ import annotations

from typing import Any

import hypothesis
from hypothesis import strategies
import testtools

from comfreylatch._version import schema
from comfreylatch._version import tickets
from testing.fakes import tickets as samples

JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(
                [
                    "number",
                    "author",
                    "changes",
                    "kind",
                    "name",
                    "state",
                    "seats",
                ]
            ),
            inner,
            max_size=5,
        )
    ),
    max_leaves=10,
)


def problems(value: Any) -> dict[str, schema.Problem]:
    """Returns the problems of a ticket by path."""
    checked = tickets.check(value)
    return {problem.path: problem for problem in checked.unwrap_err()}


class CheckTest(testtools.TestCase):
    """Checks of tickets against the schema."""

    def test_ticket_round_trips_through_json(self) -> None:
        value = samples.ticket(
            1,
            samples.service("skyproc", timeout_ms=5),
            samples.zone("bole"),
            samples.endpoint("ex-1", "skyproc", "bole"),
            samples.change("team", "faculty", 3, None),
        )
        ticket = tickets.check(value).unwrap()
        again = tickets.check(tickets.to_json(ticket)).unwrap()
        self.assertEqual(ticket, again)

    def test_all_errors_are_reported_together(self) -> None:
        found = problems(
            {
                "number": 0,
                "author": " ",
                "changes": [
                    samples.change("servce", "a", 0, {}),
                    samples.change("service", "b", -1, {"timout_ms": 5}),
                    samples.change("endpoint", "c", 0, {"slots": "8"}),
                ],
            }
        )
        self.assertEqual(
            {
                "number",
                "author",
                "reason",
                "changes[0].kind",
                "changes[1].replaces",
                "changes[1].state.timout_ms",
                "changes[2].state.slots",
                "changes[2].state.service",
                "changes[2].state.zone",
                "changes[2].state.address",
            },
            set(found),
        )
        self.assertEqual("service", found["changes[0].kind"].nearest)
        self.assertEqual(
            "timeout_ms", found["changes[1].state.timout_ms"].nearest
        )

    def test_out_of_bounds_values_are_reported(self) -> None:
        bad_endpoint = samples.endpoint("ex-1", "skyproc", "bole")
        bad_endpoint["state"]["address"] = "localhost:80"
        bad_endpoint["state"]["slots"] = 0
        value = samples.ticket(
            1, bad_endpoint, samples.change("limits", "mine", 0, {})
        )
        self.assertEqual(
            {
                "changes[0].state.address",
                "changes[0].state.slots",
                "changes[1].name",
            },
            set(problems(value)),
        )

    def test_duplicate_object_in_a_ticket_is_rejected(self) -> None:
        twice = samples.ticket(1, samples.zone("bole"), samples.zone("bole"))
        self.assertEqual({"changes[1]"}, set(problems(twice)))

    def test_new_object_cannot_be_removed(self) -> None:
        value = samples.ticket(1, samples.change("team", "faculty", 0, None))
        self.assertEqual({"changes[0].state"}, set(problems(value)))

    def test_content_hash_ignores_order_and_defaults(self) -> None:
        short = tickets.check(samples.ticket(1, samples.service("a"))).unwrap()
        full = dict(reversed(tickets.to_json(short).items()))
        same = tickets.check(full).unwrap()
        self.assertEqual(
            tickets.content_hash(short), tickets.content_hash(same)
        )

    def test_any_json_is_checked_without_an_exception(self) -> None:
        @hypothesis.settings(derandomize=True, deadline=None, database=None)
        @hypothesis.given(JSON)
        def check(value: Any) -> None:
            tickets.check(value)

        check()

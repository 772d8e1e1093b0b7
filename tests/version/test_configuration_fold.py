"""Tests of folding tickets into the configuration."""

from __future__ import annotations

from typing import Any
from unittest import mock

import hypothesis
from hypothesis import strategies
import msgspec
import testtools

from comfreylatch._version import configuration
from comfreylatch._version import configuration_fold
from comfreylatch._version import records
from comfreylatch._version import tickets
from comfreylatch._version import verdicts
from testing.fakes import tickets as samples

ENVELOPE = records.Envelope("writer", 1, "ticket", msgspec.Raw(b"{}"))


class FoldTest(testtools.TestCase):
    """Tickets on the stream, one after another."""

    def setUp(self) -> None:
        super().setUp()
        self.fold = configuration_fold.ConfigurationFold()
        self.offset = -1

    def put(self, value: dict[str, Any]) -> verdicts.TicketEntry:
        self.offset += 1
        record = tickets.TicketRecord(value)
        self.fold.apply(self.offset, ENVELOPE, record)
        line = self.fold.ticket(value["number"])
        assert line is not None
        return line

    def put_fleet(self) -> None:
        """Ticket 1: a service, a zone and an endpoint."""
        self.put(
            samples.ticket(
                1,
                samples.service("skyproc"),
                samples.zone("bole"),
                samples.endpoint("ex-1", "skyproc", "bole"),
            )
        )

    def test_accepted_ticket_is_in_force(self) -> None:
        self.put_fleet()
        self.assertEqual({"ex-1"}, set(self.fold.current().endpoints))
        self.assertEqual(0, self.fold.current().offset)

    def test_loser_is_told_winner_and_object(self) -> None:
        self.put_fleet()
        self.put(samples.ticket(2, samples.service("skyproc", 1, weight=2)))
        lost = self.put(
            samples.ticket(3, samples.service("skyproc", 1, weight=3))
        )
        self.assertEqual(verdicts.Verdict.CONFLICT, lost.verdict)
        self.assertEqual(2, lost.conflicts[0].winner)
        self.assertIn(
            "ticket 2 set version 2 of service 'skyproc'", lost.detail
        )
        self.assertEqual(2, self.fold.current().services["skyproc"].weight)

    def test_ticket_is_in_force_whole_or_not_at_all(self) -> None:
        self.put_fleet()
        self.put(
            samples.ticket(2, samples.zone("new"), samples.zone("bole", 7))
        )
        self.assertEqual({"bole"}, set(self.fold.current().zones))

    def test_same_ticket_again_changes_nothing(self) -> None:
        self.put_fleet()
        before = self.fold.digest()
        self.put_fleet()
        self.assertEqual(before, self.fold.digest())

    def test_number_stays_with_its_first_content(self) -> None:
        self.put_fleet()
        first = self.fold.ticket(1)
        self.put(samples.ticket(1, samples.zone("other")))
        self.assertEqual(first, self.fold.ticket(1))
        self.assertNotIn("other", self.fold.current().zones)

    def test_object_in_use_is_not_removed(self) -> None:
        self.put_fleet()
        line = self.put(
            samples.ticket(2, samples.change("zone", "bole", 1, None))
        )
        self.assertEqual(verdicts.Verdict.BROKEN_REFERENCE, line.verdict)
        self.assertIn("still used by endpoint 'ex-1'", line.detail)

    def test_object_goes_with_its_users(self) -> None:
        self.put_fleet()
        line = self.put(
            samples.ticket(
                2,
                samples.change("zone", "bole", 1, None),
                samples.change("endpoint", "ex-1", 1, None),
            )
        )
        self.assertTrue(line.accepted)

    def test_endpoint_of_no_service_is_refused(self) -> None:
        line = self.put(
            samples.ticket(1, samples.endpoint("ex-1", "none", "nowhere"))
        )
        self.assertIn("names service 'none'", line.detail)
        self.assertIn("names zone 'nowhere'", line.detail)

    def test_address_of_another_endpoint_is_refused(self) -> None:
        self.put_fleet()
        twin = samples.endpoint("ex-1", "skyproc", "bole")
        line = self.put(samples.ticket(2, {**twin, "name": "ex-2"}))
        self.assertEqual(verdicts.Verdict.BROKEN_REFERENCE, line.verdict)
        self.assertIn("the endpoints 'ex-1' and 'ex-2'", line.detail)

    def test_address_may_pass_on_in_one_ticket(self) -> None:
        self.put_fleet()
        twin = samples.endpoint("ex-1", "skyproc", "bole")
        line = self.put(
            samples.ticket(
                2,
                {**twin, "name": "ex-2"},
                samples.change("endpoint", "ex-1", 1, None),
            )
        )
        self.assertTrue(line.accepted)

    def test_seat_of_another_zone_is_refused(self) -> None:
        self.put_fleet()
        twin = {**samples.zone("bole"), "name": "entoto"}
        line = self.put(samples.ticket(2, twin))
        self.assertIn("the zones 'bole' and 'entoto'", line.detail)

    def test_removed_object_is_not_made_by_an_old_ticket(self) -> None:
        self.put(samples.ticket(1, samples.zone("bole")))
        self.put(samples.ticket(2, samples.change("zone", "bole", 1, None)))
        line = self.put(samples.ticket(3, samples.zone("bole")))
        self.assertIn("ticket 2 removed it as version 2", line.detail)
        self.assertTrue(
            self.put(samples.ticket(4, samples.zone("bole", 2))).accepted
        )

    def test_malformed_ticket_is_refused_and_passed_over(self) -> None:
        line = self.put({"number": 1, "changes": 5})
        self.assertEqual(verdicts.Verdict.MALFORMED, line.verdict)
        self.fold.apply(1, ENVELOPE, "no ticket")
        self.fold.apply(2, ENVELOPE, tickets.TicketRecord({}))
        self.assertEqual(3, self.fold.ignored)

    def test_snapshot_restores_everything(self) -> None:
        self.put_fleet()
        self.put(samples.ticket(2, samples.change("limits", "fleet", 0, {})))
        self.put(samples.ticket(3, samples.service("skyproc", 9)))
        restored = configuration_fold.ConfigurationFold()
        restored.restore(self.offset, self.fold.snapshot())
        self.assertEqual(self.fold.digest(), restored.digest())
        self.assertEqual(self.fold.current(), restored.current())
        self.assertEqual(self.fold.tickets(), restored.tickets())

    def test_bad_snapshot_changes_nothing(self) -> None:
        self.put_fleet()
        before = self.fold.current()
        self.assertRaises(ValueError, self.fold.restore, 5, b"{}")
        self.assertEqual(before, self.fold.current())

    def test_listeners_see_versions_in_order(self) -> None:
        seen: list[int] = []

        def fail(version: configuration.Configuration) -> None:
            raise ValueError(version)

        self.fold.on_change(fail)
        self.fold.on_change(lambda version: seen.append(version.offset))
        self.put_fleet()
        self.put(samples.ticket(2, samples.zone("entoto")))
        self.assertEqual([0, 1], seen)

    def test_old_tickets_and_removals_are_forgotten(self) -> None:
        self.put(samples.ticket(1, samples.zone("bole")))
        self.put(samples.ticket(2, samples.change("zone", "bole", 1, None)))
        with mock.patch.multiple(
            configuration_fold, MAX_TICKETS=1, TOMBSTONE_RETENTION_OFFSETS=10
        ):
            self.offset = 2 * configuration_fold.SWEEP_INTERVAL_OFFSETS
            self.put(samples.ticket(3, samples.zone("kality")))
        restored = configuration_fold.ConfigurationFold()
        restored.restore(self.offset, self.fold.snapshot())
        self.assertEqual([3], [line.number for line in self.fold.tickets()])
        self.assertEqual(1, len(self.fold.objects()))
        self.assertEqual(restored.digest(), self.fold.digest())


# Each operator names the version it last read, up to 2 versions late.
RACES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["a", "b"]), strategies.integers(0, 2)
    ),
    min_size=5,
    max_size=30,
)


def check_race(submitted: list[tuple[str, int]]) -> None:
    """Races tickets on two zones; no accepted change may be lost unseen."""
    fold = configuration_fold.ConfigurationFold()
    versions = {"a": 0, "b": 0}
    for offset, (name, late) in enumerate(submitted):
        named = max(0, versions[name] - late)
        value = samples.ticket(offset + 1, samples.zone(name, named))
        fold.apply(offset, ENVELOPE, tickets.TicketRecord(value))
        line = fold.ticket(offset + 1)
        assert line is not None
        if line.accepted:
            assert named == versions[name], "an unseen version was replaced"
            versions[name] += 1
        else:
            assert named != versions[name], "a current ticket was refused"


class RaceTest(testtools.TestCase):
    """Operators race each other; the version check settles it."""

    SETTINGS = hypothesis.settings(
        derandomize=True, deadline=None, database=None
    )

    def test_no_accepted_change_is_overwritten_unseen(self) -> None:
        self.SETTINGS(hypothesis.given(RACES)(check_race))()

    def test_without_version_check_a_violation_is_found(self) -> None:
        with mock.patch.object(
            configuration_fold.ConfigurationFold,
            "_conflicts",
            return_value=(),
        ):
            self.assertRaises(
                AssertionError,
                self.SETTINGS(hypothesis.given(RACES)(check_race)),
            )

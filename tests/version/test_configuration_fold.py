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
    """Tickets folded one after another."""

    def setUp(self) -> None:
        super().setUp()
        self.fold = configuration_fold.ConfigurationFold()
        self.offset = -1

    def apply_ticket(self, value: dict[str, Any]) -> verdicts.TicketEntry:
        self.offset += 1
        record = tickets.TicketRecord(value)
        self.fold.apply(self.offset, ENVELOPE, record)
        entry = self.fold.ticket(value["number"])
        assert entry is not None
        return entry

    def apply_fleet(self) -> None:
        """Applies ticket 1, with a service, a zone and an endpoint."""
        self.apply_ticket(
            samples.ticket(
                1,
                samples.service("skyproc"),
                samples.zone("bole"),
                samples.endpoint("ex-1", "skyproc", "bole"),
            )
        )

    def test_accepted_ticket_is_applied(self) -> None:
        self.apply_fleet()
        self.assertEqual({"ex-1"}, set(self.fold.current().endpoints))
        self.assertEqual(0, self.fold.current().offset)

    def test_conflict_reports_winner_and_object(self) -> None:
        self.apply_fleet()
        self.apply_ticket(
            samples.ticket(2, samples.service("skyproc", 1, weight=2))
        )
        rejected = self.apply_ticket(
            samples.ticket(3, samples.service("skyproc", 1, weight=3))
        )
        self.assertEqual(verdicts.Verdict.CONFLICT, rejected.verdict)
        self.assertEqual(2, rejected.conflicts[0].winner)
        self.assertIn(
            "ticket 2 set version 2 of service 'skyproc'", rejected.detail
        )
        self.assertEqual(2, self.fold.current().services["skyproc"].weight)

    def test_ticket_is_applied_completely_or_not_at_all(self) -> None:
        self.apply_fleet()
        self.apply_ticket(
            samples.ticket(2, samples.zone("new"), samples.zone("bole", 7))
        )
        self.assertEqual({"bole"}, set(self.fold.current().zones))

    def test_repeated_ticket_changes_nothing(self) -> None:
        self.apply_fleet()
        before = self.fold.digest()
        self.apply_fleet()
        self.assertEqual(before, self.fold.digest())

    def test_ticket_number_keeps_its_first_content(self) -> None:
        self.apply_fleet()
        first = self.fold.ticket(1)
        self.apply_ticket(samples.ticket(1, samples.zone("other")))
        self.assertEqual(first, self.fold.ticket(1))
        self.assertNotIn("other", self.fold.current().zones)

    def test_object_in_use_is_not_removed(self) -> None:
        self.apply_fleet()
        entry = self.apply_ticket(
            samples.ticket(2, samples.change("zone", "bole", 1, None))
        )
        self.assertEqual(verdicts.Verdict.BROKEN_REFERENCE, entry.verdict)
        self.assertIn("still used by endpoint 'ex-1'", entry.detail)

    def test_object_can_be_removed_with_its_users(self) -> None:
        self.apply_fleet()
        entry = self.apply_ticket(
            samples.ticket(
                2,
                samples.change("zone", "bole", 1, None),
                samples.change("endpoint", "ex-1", 1, None),
            )
        )
        self.assertTrue(entry.accepted)

    def test_endpoint_of_unknown_service_is_rejected(self) -> None:
        entry = self.apply_ticket(
            samples.ticket(1, samples.endpoint("ex-1", "none", "nowhere"))
        )
        self.assertIn("names service 'none'", entry.detail)
        self.assertIn("names zone 'nowhere'", entry.detail)

    def test_address_of_another_endpoint_is_rejected(self) -> None:
        self.apply_fleet()
        duplicate = samples.endpoint("ex-1", "skyproc", "bole")
        entry = self.apply_ticket(
            samples.ticket(2, {**duplicate, "name": "ex-2"})
        )
        self.assertEqual(verdicts.Verdict.BROKEN_REFERENCE, entry.verdict)
        self.assertIn("the endpoints 'ex-1' and 'ex-2'", entry.detail)

    def test_address_can_be_reassigned_in_one_ticket(self) -> None:
        self.apply_fleet()
        duplicate = samples.endpoint("ex-1", "skyproc", "bole")
        entry = self.apply_ticket(
            samples.ticket(
                2,
                {**duplicate, "name": "ex-2"},
                samples.change("endpoint", "ex-1", 1, None),
            )
        )
        self.assertTrue(entry.accepted)

    def test_seat_of_another_zone_is_rejected(self) -> None:
        self.apply_fleet()
        duplicate = {**samples.zone("bole"), "name": "entoto"}
        entry = self.apply_ticket(samples.ticket(2, duplicate))
        self.assertIn("the zones 'bole' and 'entoto'", entry.detail)

    def test_removed_object_is_not_recreated_by_a_late_ticket(self) -> None:
        self.apply_ticket(samples.ticket(1, samples.zone("bole")))
        self.apply_ticket(
            samples.ticket(2, samples.change("zone", "bole", 1, None))
        )
        entry = self.apply_ticket(samples.ticket(3, samples.zone("bole")))
        self.assertIn("ticket 2 removed it as version 2", entry.detail)
        self.assertTrue(
            self.apply_ticket(
                samples.ticket(4, samples.zone("bole", 2))
            ).accepted
        )

    def test_malformed_ticket_is_rejected_and_counted(self) -> None:
        entry = self.apply_ticket({"number": 1, "changes": 5})
        self.assertEqual(verdicts.Verdict.MALFORMED, entry.verdict)
        self.fold.apply(1, ENVELOPE, "no ticket")
        self.fold.apply(2, ENVELOPE, tickets.TicketRecord({}))
        self.assertEqual(3, self.fold.ignored)

    def test_snapshot_restores_everything(self) -> None:
        self.apply_fleet()
        self.apply_ticket(
            samples.ticket(2, samples.change("limits", "fleet", 0, {}))
        )
        self.apply_ticket(samples.ticket(3, samples.service("skyproc", 9)))
        restored = configuration_fold.ConfigurationFold()
        restored.restore(self.offset, self.fold.snapshot())
        self.assertEqual(self.fold.digest(), restored.digest())
        self.assertEqual(self.fold.current(), restored.current())
        self.assertEqual(self.fold.tickets(), restored.tickets())

    def test_bad_snapshot_changes_nothing(self) -> None:
        self.apply_fleet()
        before = self.fold.current()
        self.assertRaises(ValueError, self.fold.restore, 5, b"{}")
        self.assertEqual(before, self.fold.current())

    def test_listeners_receive_versions_in_order(self) -> None:
        seen: list[int] = []

        def fail(version: configuration.Configuration) -> None:
            raise ValueError(version)

        self.fold.on_change(fail)
        self.fold.on_change(lambda version: seen.append(version.offset))
        self.apply_fleet()
        self.apply_ticket(samples.ticket(2, samples.zone("entoto")))
        self.assertEqual([0, 1], seen)

    def test_old_tickets_and_tombstones_are_dropped(self) -> None:
        self.apply_ticket(samples.ticket(1, samples.zone("bole")))
        self.apply_ticket(
            samples.ticket(2, samples.change("zone", "bole", 1, None))
        )
        with mock.patch.multiple(
            configuration_fold, MAX_TICKETS=1, TOMBSTONE_RETENTION_OFFSETS=10
        ):
            self.offset = 2 * configuration_fold.SWEEP_INTERVAL_OFFSETS
            self.apply_ticket(samples.ticket(3, samples.zone("kality")))
        restored = configuration_fold.ConfigurationFold()
        restored.restore(self.offset, self.fold.snapshot())
        self.assertEqual([3], [entry.number for entry in self.fold.tickets()])
        self.assertEqual(1, len(self.fold.objects()))
        self.assertEqual(restored.digest(), self.fold.digest())


# Each ticket replaces the version its author last read, up to 2 behind.
RACES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["a", "b"]), strategies.integers(0, 2)
    ),
    min_size=5,
    max_size=30,
)


def check_race(submitted: list[tuple[str, int]]) -> None:
    """Applies racing tickets to two zones; no lost update may occur."""
    fold = configuration_fold.ConfigurationFold()
    versions = {"a": 0, "b": 0}
    for offset, (name, versions_behind) in enumerate(submitted):
        replaces = max(0, versions[name] - versions_behind)
        value = samples.ticket(offset + 1, samples.zone(name, replaces))
        fold.apply(offset, ENVELOPE, tickets.TicketRecord(value))
        entry = fold.ticket(offset + 1)
        assert entry is not None
        if entry.accepted:
            assert replaces == versions[name], (
                "an unread version was overwritten"
            )
            versions[name] += 1
        else:
            assert replaces != versions[name], (
                "an up-to-date ticket was rejected"
            )


class RaceTest(testtools.TestCase):
    """The version check prevents lost updates between operators."""

    SETTINGS = hypothesis.settings(
        derandomize=True, deadline=None, database=None
    )

    def test_no_accepted_change_is_overwritten_unread(self) -> None:
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

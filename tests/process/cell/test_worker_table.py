"""Tests of known incarnations of workers, and of where starts are allowed."""

from __future__ import annotations

import attrs
import testtools

from tests.process.cell import harness


class UnknownIncarnationsTest(testtools.TestCase):
    """Incarnations that a previous owner has recorded."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = harness.Cell(workers=2)

    def test_incarnation_that_has_answered_is_known(self) -> None:
        self.assertFalse(self.cell.workers.has_unknown({"w1": 1, "w2": 1}))

    def test_silent_incarnation_is_not_known(self) -> None:
        self.cell.workers.find("w1").answered_ms = 0
        self.assertTrue(self.cell.workers.has_unknown({"w1": 1}))
        self.assertFalse(self.cell.workers.has_unknown({"w2": 1}))

    def test_incarnation_without_an_entry_is_not_known(self) -> None:
        self.assertTrue(self.cell.workers.has_unknown({"w3": 1}))

    def test_former_incarnation_is_known_to_have_ended(self) -> None:
        view = self.cell.workers.find("w1")
        view.entry = attrs.evolve(view.entry, born_ms=2)
        view.answered_ms = 0
        self.assertFalse(self.cell.workers.has_unknown({"w1": 1}))


class RecordedIncarnationsTest(testtools.TestCase):
    """Tasks start only on incarnations that are recorded."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = harness.Cell(workers=1)
        self.cell.submit(harness.job())

    def test_nothing_starts_on_an_incarnation_missing_from_the_record(
        self,
    ) -> None:
        self.cell.workers.forbid_starts({})
        self.assertEqual([], self.cell.place())
        self.cell.workers.allow_starts({"w1": 1})
        self.assertEqual(1, len(self.cell.place()))

    def test_record_of_a_former_incarnation_allows_no_start(self) -> None:
        self.cell.workers.allow_starts({"w1": 0})
        self.assertEqual([], self.cell.place())

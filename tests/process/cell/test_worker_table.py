"""Which lives of workers an owner knows, and where it may start tasks."""

from __future__ import annotations

import attrs
import testtools

from tests.process.cell import harness


class UnknownLivesTest(testtools.TestCase):
    """Lives that an owner before has recorded."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = harness.Cell(workers=2)

    def test_life_that_has_answered_is_known(self) -> None:
        self.assertFalse(self.cell.workers.has_unknown({"w1": 1, "w2": 1}))

    def test_silent_life_is_not_known(self) -> None:
        self.cell.workers.find("w1").answered_ms = 0
        self.assertTrue(self.cell.workers.has_unknown({"w1": 1}))
        self.assertFalse(self.cell.workers.has_unknown({"w2": 1}))

    def test_life_without_an_entry_is_not_known(self) -> None:
        self.assertTrue(self.cell.workers.has_unknown({"w3": 1}))

    def test_life_before_the_present_one_is_over(self) -> None:
        view = self.cell.workers.find("w1")
        view.entry = attrs.evolve(view.entry, born_ms=2)
        view.answered_ms = 0
        self.assertFalse(self.cell.workers.has_unknown({"w1": 1}))


class RecordedLivesTest(testtools.TestCase):
    """Starts wait until the store knows of a worker's life."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = harness.Cell(workers=1)
        self.cell.submit(harness.job())

    def test_nothing_starts_on_a_life_that_a_record_leaves_out(self) -> None:
        self.cell.workers.forbid_starts({})
        self.assertEqual([], self.cell.place())
        self.cell.workers.allow_starts({"w1": 1})
        self.assertEqual(1, len(self.cell.place()))

    def test_record_of_a_life_before_allows_nothing(self) -> None:
        self.cell.workers.allow_starts({"w1": 0})
        self.assertEqual([], self.cell.place())

"""Tests of the view of operators' requests to evacuate zones."""

from __future__ import annotations

import testtools

from comfreylatch._ports import store as store_port
from comfreylatch.platform import views


def record(
    zone: str, value: bytes | None = b"{}", offset: int = 1
) -> store_port.StoredRecord:
    """Returns the record of a request; without a value it is withdrawn."""
    return store_port.StoredRecord(offset, f"evacuate/{zone}", value)


class EvacuationsViewTest(testtools.TestCase):
    """Records of the operators' topic."""

    def setUp(self) -> None:
        super().setUp()
        self.view = views.EvacuationsView()

    def test_zone_is_evacuated_until_its_record_is_deleted(self) -> None:
        self.view.apply((record("a"), record("b")), False)
        self.assertEqual({"a", "b"}, self.view.current())
        self.view.apply((record("a", None),), False)
        self.assertEqual({"b"}, self.view.current())

    # Guards against a zone that stays empty, as its record was deleted while
    # this host could not read it.
    def test_complete_reading_replaces_what_was_read_before(self) -> None:
        self.view.apply((record("a"),), False)
        self.view.apply((record("b"),), True)
        self.assertEqual({"b"}, self.view.current())

    def test_deletion_of_what_was_never_requested_changes_nothing(
        self,
    ) -> None:
        self.view.apply((record("a", None),), False)
        self.assertEqual(frozenset(), self.view.current())

    def test_malformed_request_is_obeyed_as_its_key_names_the_zone(
        self,
    ) -> None:
        for value in (b"", b"[]", b"\xff", b"null"):
            self.view.apply((record("\u0001odd", value),), True)
            self.assertEqual({"\u0001odd"}, self.view.current(), value)

    def test_other_records_are_not_requests(self) -> None:
        others = ("config", "wave/1", "evacuate")
        self.view.apply(
            tuple(store_port.StoredRecord(1, key, b"{}") for key in others),
            False,
        )
        self.assertEqual(frozenset(), self.view.current())

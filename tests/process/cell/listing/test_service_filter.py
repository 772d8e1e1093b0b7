"""Tests of which listed entries count as workers."""

from __future__ import annotations

import attrs
import testtools

from comfreylatch._ports import cell_workers
from comfreylatch._process.cell.listing import service_filter
from testing.fakes import cell_workers as fake_workers


def entry(worker_id: str, service: str) -> cell_workers.WorkerEntry:
    """Returns an entry of a service."""
    return attrs.evolve(fake_workers.entry(worker_id), service=service)


class ServiceFilterTest(testtools.TestCase):
    """A list with a worker and an entry of another writer."""

    def setUp(self) -> None:
        super().setUp()
        self.configured: frozenset[str] | None = frozenset({"skyproc"})
        self.job_services: set[str] = set()
        self.filter = self.create_filter()
        self.entries = {
            "w1": entry("w1", "skyproc"),
            "w2": entry("w2", "node-probe"),
        }

    def create_filter(
        self, known_workers: frozenset[str] = frozenset()
    ) -> service_filter.ServiceFilter:
        """Returns a filter of an owner that knows these workers."""
        return service_filter.ServiceFilter(
            lambda: self.configured, self.job_services, known_workers
        )

    # Guards against a worker that is given up for an entry of another writer.
    def test_entry_of_an_unknown_service_is_left_out(self) -> None:
        self.assertEqual({"w1"}, set(self.filter.select(self.entries)))

    # Guards against workers that are dropped while a new host has not read a
    # configuration yet.
    def test_all_entries_count_without_a_configuration(self) -> None:
        self.configured = None
        self.assertEqual({"w1", "w2"}, set(self.filter.select(self.entries)))

    # Guards against an empty list that is applied before the first was read.
    def test_nothing_is_selected_before_the_first_list(self) -> None:
        self.assertEqual(None, self.filter.reselect())

    # Guards against workers of a new service that stay unused until their
    # entries change.
    def test_service_that_is_configured_later_is_selected(self) -> None:
        self.filter.select(self.entries)
        self.assertEqual(None, self.filter.reselect())
        self.configured = frozenset({"skyproc", "node-probe"})
        self.assertEqual({"w1", "w2"}, set(self.filter.reselect() or ()))
        self.assertEqual(None, self.filter.reselect())

    # Guards against accepted jobs that are lost, as their service has left the
    # configuration before an owner started.
    def test_service_of_a_job_is_known(self) -> None:
        self.job_services.add("node-probe")
        self.assertEqual({"w1", "w2"}, set(self.filter.select(self.entries)))

    # Guards against a second run, as the first one is on a worker whose service
    # has left the configuration.
    def test_worker_with_runs_of_a_previous_owner_is_kept(self) -> None:
        known = self.create_filter(frozenset({"w2"}))
        self.assertEqual({"w1", "w2"}, set(known.select(self.entries)))

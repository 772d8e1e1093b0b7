"""Tests of how many workers one owner drives, and which."""

from __future__ import annotations

import collections

import attrs
import testtools

from comfreylatch._ports import cell_workers
from comfreylatch._process.cell.sizing import worker_limit
from testing.fakes import cell_workers as fake_workers
from tests.process.cell import harness

ZONES = ("bole", "entoto", "kality")


def listing(count: int) -> dict[str, cell_workers.WorkerEntry]:
    """Returns entries of workers in three zones."""
    return {
        f"w{n}": attrs.evolve(
            fake_workers.entry(f"w{n}"), zone=ZONES[n % len(ZONES)]
        )
        for n in range(1, count + 1)
    }


class MaxWorkersTest(testtools.TestCase):
    """Limits of hosts of the users' deployments."""

    # Guards against a limit that leaves workers of today's deployments idle.
    def test_smallest_host_of_the_largest_deployment_drives_all_of_it(
        self,
    ) -> None:
        self.assertGreaterEqual(worker_limit.max_workers(0.297, 4_100), 270)

    # Guards against an owner that can't start its threads.
    def test_threads_bind_on_strong_hosts(self) -> None:
        self.assertEqual(950, worker_limit.max_workers(8.0, 0))

    def test_descriptors_bind_where_they_are_few(self) -> None:
        self.assertEqual(200, worker_limit.max_workers(8.0, 1_000))

    def test_tiny_host_drives_at_least_one(self) -> None:
        self.assertEqual(1, worker_limit.max_workers(0.0, 100))


class SelectTest(testtools.TestCase):
    """Three thousand listed workers, of which an owner drives a part."""

    # Guards against an owner that drives all workers and gets to none in time.
    def test_no_more_than_the_limit_are_added(self) -> None:
        selected = worker_limit.select(listing(3_000), (), 1_000)
        self.assertEqual(1_000, len(selected))

    def test_each_zone_keeps_its_share(self) -> None:
        selected = worker_limit.select(listing(3_000), (), 900)
        counts = collections.Counter(e.zone for e in selected.values())
        for zone in ZONES:
            self.assertGreater(counts[zone], 200)

    # Guards against runs of a previous owner that no owner looks after.
    def test_known_workers_stay_even_beyond_the_limit(self) -> None:
        entries = listing(3_000)
        known = list(entries)[:1_200]
        selected = worker_limit.select(entries, known, 1_000)
        self.assertEqual(set(known), set(selected))

    def test_all_owners_choose_the_same_workers(self) -> None:
        entries = listing(500)
        shuffled = dict(reversed(entries.items()))
        self.assertEqual(
            set(worker_limit.select(entries, (), 100)),
            set(worker_limit.select(shuffled, (), 100)),
        )

    def test_worker_that_leaves_is_replaced(self) -> None:
        cell = harness.Cell(workers=0, max_workers=3)
        entries = listing(9)
        cell.apply_listing(entries)
        driven = set(cell.workers.by_id())
        self.assertEqual(3, len(driven))
        gone = sorted(driven)[0]
        del entries[gone]
        cell.apply_listing(entries)
        cell.clock.advance(10_000)
        cell.expire()
        cell.apply_listing(entries)
        remaining = set(cell.workers.by_id())
        self.assertEqual(3, len(remaining))
        self.assertNotIn(gone, remaining)

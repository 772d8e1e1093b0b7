"""Tests of known incarnations of workers, and of where starts are allowed."""

from __future__ import annotations

import unittest.mock

import attrs
import testtools

from comfreylatch._ports import cell_workers
from comfreylatch._process.cell import reasons
from comfreylatch._process.cell import records
from comfreylatch._process.cell import recovered_state
from comfreylatch._process.cell import worker_view
from testing.fakes import cell_workers as fake_workers
from tests.process.cell import harness

RELEASE_MS = 500
NEXT_RELEASE_MS = 2_000


def many_ends(
    count: int, first_number: int = 1
) -> tuple[cell_workers.EndedRun, ...]:
    """Returns ends of runs of a previous owner."""
    return tuple(
        cell_workers.EndedRun(
            number, f"a.0.0.{number}", 1, cell_workers.RunEnd.DONE, ""
        )
        for number in range(first_number, first_number + count)
    )


class UnknownIncarnationsTest(testtools.TestCase):
    """Incarnations that a previous owner has recorded."""

    def cell_with_known(self, worker_id: str, born_ms: int = 1) -> harness.Cell:
        """Returns a cell of two workers that was taken over."""
        known = recovered_state.KnownWorker(
            born_ms, harness.START_MS + RELEASE_MS
        )
        return harness.Cell(workers=2, known_workers={worker_id: known})

    def test_incarnation_that_has_answered_is_known(self) -> None:
        cell = self.cell_with_known("w1")
        self.assertEqual([], cell.workers.unknown())

    def test_silent_incarnation_is_not_known(self) -> None:
        cell = self.silent_cell("w1")
        self.assertEqual(["w1"], cell.workers.unknown())

    # Guards against completed tasks that are started again: a worker lists 500
    # ends in an answer, and the others were not read when the owner settled.
    def test_incarnation_with_further_ends_is_not_known(self) -> None:
        cell = self.silent_cell("w1")
        ends = many_ends(cell_workers.MAX_LISTED_ENDS)
        cell.answer_hold("w1", ended=ends)
        self.assertEqual(["w1"], cell.workers.unknown())
        self.assertFalse(cell.workers.has_listed_runs("w1", 1))
        cell.clock.advance(RELEASE_MS + 1)
        self.assertEqual(["w1"], cell.workers.unknown())
        cell.answer_hold("w1", ended=many_ends(1, first_number=501))
        self.assertEqual([], cell.workers.unknown())
        self.assertTrue(cell.workers.has_listed_runs("w1", 1))

    # Guards against a takeover that never ends: a worker fails for good before
    # it has listed all ends.
    def test_further_ends_count_until_the_lease_is_over(self) -> None:
        cell = self.silent_cell("w1")
        ends = many_ends(cell_workers.MAX_LISTED_ENDS)
        cell.answer_hold("w1", ended=ends, lease_ms=2 * RELEASE_MS)
        cell.fail_hold("w1")
        cell.clock.advance(2 * RELEASE_MS)
        self.assertEqual(["w1"], cell.workers.unknown())
        cell.clock.advance(worker_view.LEASE_END_MARGIN_MS + RELEASE_MS)
        self.assertEqual([], cell.workers.unknown())

    def test_incarnation_without_an_entry_is_not_known(self) -> None:
        cell = self.cell_with_known("w3")
        self.assertEqual(["w3"], cell.workers.unknown())

    def silent_cell(self, worker_id: str) -> harness.Cell:
        """Returns a cell whose recorded worker has not answered yet."""
        known = recovered_state.KnownWorker(1, harness.START_MS + RELEASE_MS)
        cell = harness.Cell(workers=0, known_workers={worker_id: known})
        cell.apply_listing({worker_id: fake_workers.entry(worker_id)})
        return cell

    # Guards against a task in two places: calls of the previous owner to the
    # recorded incarnation had started runs on the next one under its id.
    def test_silent_next_incarnation_is_not_known(self) -> None:
        cell = self.cell_with_next("w1")
        self.assertEqual(["w1"], cell.workers.unknown())
        cell.answer_hold("w1")
        self.assertEqual([], cell.workers.unknown())

    def test_next_incarnation_is_known_once_its_leases_have_ended(self) -> None:
        cell = self.cell_with_next("w1")
        cell.clock.advance(NEXT_RELEASE_MS)
        self.assertEqual(["w1"], cell.workers.unknown())
        cell.clock.advance(1)
        self.assertEqual([], cell.workers.unknown())

    # Guards against a wait for a worker whose machine runs one with another
    # id, which shows that it has ended.
    def test_next_incarnation_that_was_replaced_is_known_to_have_ended(
        self,
    ) -> None:
        cell = self.cell_with_next("w1")
        other = attrs.evolve(
            fake_workers.entry("w1", born_ms=3), worker_id="w1b"
        )
        second = fake_workers.entry("w1", born_ms=2)
        cell.apply_listing({"w1": second, "w1b": other})
        self.assertEqual([], cell.workers.unknown())

    # Guards against runs that are given up when this owner's lease is over,
    # while one that the previous owner's call has given goes on.
    def test_lease_of_the_previous_owner_on_a_next_incarnation_lasts(
        self,
    ) -> None:
        cell = self.cell_with_next("w1")
        job = cell.submit(harness.job())
        name = job.steps[0][0].tasks[0].name
        adopted = cell_workers.RunningTask(name, 3, "", 50.0, 0)
        cell.answer_hold("w1", running=(adopted,), lease_ms=100)
        cell.fail_hold("w1")
        cell.clock.advance(NEXT_RELEASE_MS)
        self.assertEqual([], cell.workers.expire())
        cell.clock.advance(1)
        (lost,) = cell.workers.expire()
        self.assertEqual([3], [run.number for run in lost.runs])

    def cell_with_next(self, worker_id: str) -> harness.Cell:
        """Returns a cell with the next incarnation of a recorded worker."""
        entry = fake_workers.entry(worker_id)
        known = recovered_state.KnownWorker(
            1,
            harness.START_MS + RELEASE_MS,
            entry.address,
            next_release_after_ms=harness.START_MS + NEXT_RELEASE_MS,
        )
        cell = harness.Cell(workers=2, known_workers={worker_id: known})
        entries = {view.worker_id: view.entry for view in cell.workers}
        entries[worker_id] = attrs.evolve(entry, born_ms=2)
        cell.apply_listing(entries)
        return cell

    def test_silent_incarnation_is_known_once_its_lease_has_ended(self) -> None:
        cell = self.cell_with_known("w3")
        cell.clock.advance(RELEASE_MS)
        self.assertEqual(["w3"], cell.workers.unknown())
        cell.clock.advance(1)
        self.assertEqual([], cell.workers.unknown())

    # Guards against waiting for the lease of a worker that has crashed: its
    # successor has another id, but the same address.
    def test_incarnation_replaced_at_its_address_is_known_to_have_ended(
        self,
    ) -> None:
        address = fake_workers.entry("w1").address
        known = recovered_state.KnownWorker(
            0, harness.START_MS + RELEASE_MS, address
        )
        cell = harness.Cell(workers=2, known_workers={"w3": known})
        self.assertEqual([], cell.workers.unknown())


class ReplacedWorkerTest(testtools.TestCase):
    """A worker whose successor at the same address has another id."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = harness.Cell(workers=1)
        self.cell.submit(harness.job())
        (self.run,) = self.cell.place()
        first = fake_workers.entry("w1")
        self.first = first
        self.second = attrs.evolve(first, worker_id="w1b", born_ms=2)

    # Guards against runs that are kept until the lease of a worker is over
    # though another one has started at its address.
    def test_runs_end_once_the_successor_is_listed(self) -> None:
        (lost,) = self.cell.workers.apply_listing(
            {"w1": self.first, "w1b": self.second}
        )
        self.assertEqual((self.run,), lost.runs)
        self.assertEqual(reasons.LossReason.REBORN, lost.reason)

    def test_entry_left_of_the_former_worker_is_ignored(self) -> None:
        entries = {"w1": self.first, "w1b": self.second}
        self.cell.apply_listing(entries)
        self.cell.apply_listing(entries)
        self.assertEqual(["w1b"], list(self.cell.workers.by_id()))


class OlderLeasesTest(testtools.TestCase):
    """A worker whose lease a previous owner has renewed."""

    def setUp(self) -> None:
        super().setUp()
        known = recovered_state.KnownWorker(1, harness.START_MS + RELEASE_MS)
        self.cell = harness.Cell(workers=1, known_workers={"w1": known})

    def test_what_is_left_of_it_is_stated_while_it_is_not_renewed(self) -> None:
        self.cell.clock.advance(100)
        self.assertEqual(
            {"w1": RELEASE_MS - 100}, self.cell.workers.older_leases()
        )

    # Guards against a next owner that starts a task elsewhere: a worker has
    # restarted under its id and not answered, and may have runs in doubt.
    def test_leases_from_calls_to_former_incarnations_are_stated(self) -> None:
        self.cell.workers.find("w1").former_leases_end_ms = (
            harness.START_MS + 9_000
        )
        self.cell.clock.advance(1_000)
        self.assertEqual(
            records.RemainingLeases(5_000, {"w1": 8_000}),
            self.cell.workers.remaining_leases(5_000),
        )

    # Guards against the end of a lease that was renewed later than those.
    def test_leases_that_were_renewed_may_last_longer(self) -> None:
        self.cell.sessions["w1"].has_answer = True
        self.cell.workers.find("w1").former_leases_end_ms = (
            harness.START_MS + 2_000
        )
        self.assertEqual(
            records.RemainingLeases(5_000, {"w1": 5_000}),
            self.cell.workers.remaining_leases(5_000),
        )

    # Guards against stating that only the older lease is left although the
    # session has renewed it since and its answer is still queued.
    def test_answer_that_is_not_handled_yet_counts(self) -> None:
        self.cell.sessions["w1"].has_answer = True
        self.assertEqual({}, self.cell.workers.older_leases())

    # Guards against a second run while the previous owner's lease lasts: the
    # worker answered once, and failed before this owner had renewed its lease.
    def test_runs_outlive_an_answer_without_a_renewal(self) -> None:
        job = self.cell.submit(harness.job())
        name = job.steps[0][0].tasks[0].name
        adopted = cell_workers.RunningTask(name, 3, "", 50.0, 0)
        self.cell.answer_hold("w1", running=(adopted,))
        self.cell.fail_hold("w1")
        self.cell.clock.advance(RELEASE_MS)
        self.assertEqual([], self.cell.workers.expire())
        self.cell.clock.advance(1)
        (lost,) = self.cell.workers.expire()
        self.assertEqual([3], [run.number for run in lost.runs])


class IsolationTest(testtools.TestCase):
    """Whether most workers seem to be out of this host's reach."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = harness.Cell(workers=3)

    def test_workers_whose_calls_fail_are_unreachable(self) -> None:
        self.cell.fail_hold("w1")
        self.assertFalse(self.cell.workers.are_mostly_unreachable)
        self.cell.fail_hold("w2")
        self.assertTrue(self.cell.workers.are_mostly_unreachable)

    # Guards against an owner that gives up a large cell right after it has
    # taken over, as it has not had time to ask most workers.
    def test_workers_that_have_not_answered_yet_may_be_reachable(self) -> None:
        for worker in self.cell.workers:
            worker.answered_ms = 0
        self.assertFalse(self.cell.workers.are_mostly_unreachable)

    def test_workers_without_an_entry_do_not_count(self) -> None:
        self.cell.fail_hold("w1")
        self.cell.fail_hold("w2")
        self.cell.workers.find("w2").is_listed = False
        self.assertFalse(self.cell.workers.are_mostly_unreachable)


class ExpiredLeaseTest(testtools.TestCase):
    """A start is still queued when the lease of its worker ends."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = harness.Cell(workers=1)
        self.cell.submit(harness.job())
        (placement,) = self.cell.planner.place(
            self.cell.jobs.ready_steps(), self.cell.clock.now_ms
        )
        self.run = placement.run
        self.cell.dispatcher.send_start(self.run)
        self.cell.fail_hold("w1")
        self.cell.clock.advance(10_000)

    def expire(self) -> None:
        """Ends leases as the owner does."""
        for lost in self.cell.workers.expire():
            self.cell.dispatcher.handle_lost(lost)

    def test_queued_start_of_a_lost_run_is_not_sent(self) -> None:
        # The task may have a new run elsewhere when the worker is reachable
        # again and its order queue goes on.
        self.assertTrue(self.run.should_start)
        self.expire()
        self.assertEqual([], self.run.task.runs)
        self.assertFalse(self.run.should_start)

    def test_run_whose_start_is_sent_meanwhile_is_not_lost(self) -> None:
        # The session notes a deadline after the lease was checked.
        noted_ms = iter((0, 10**9))
        session = unittest.mock.Mock(has_seen_other=False)
        type(session).latest_deadline_ms = unittest.mock.PropertyMock(
            side_effect=noted_ms
        )
        with unittest.mock.patch.dict(
            self.cell.workers._sessions, {"w1": session}
        ):
            self.expire()
        self.assertEqual([self.run], self.run.task.runs)
        self.assertTrue(self.run.should_start)


class UnconfirmedTenureTest(testtools.TestCase):
    """The store has confirmed nothing since the lease of a worker ended."""

    def setUp(self) -> None:
        super().setUp()
        known = recovered_state.KnownWorker(1, harness.START_MS + RELEASE_MS)
        self.cell = harness.Cell(workers=1, known_workers={"w2": known})
        self.cell.submit(harness.job())
        (self.run,) = self.cell.place()
        self.cell.answer_hold(
            "w1", running=(harness.running_task(self.run),), lease_ms=4_500
        )
        self.cell.fail_hold("w1")
        confirmed_ms = self.cell.clock.now_ms + 4_000
        self.cell.confirmed_ms = lambda: confirmed_ms
        self.cell.clock.advance(10_000)

    # Guards against a task in two places: the owner was cut off, and its
    # successor has adopted the run and renews its lease.
    def test_run_on_a_silent_worker_may_go_on(self) -> None:
        self.assertEqual([], self.cell.workers.expire())
        self.assertEqual([self.run], self.run.task.runs)
        self.assertEqual(1, self.cell.confirmation_requests)

    def test_run_is_lost_once_the_store_has_confirmed_the_owner(self) -> None:
        self.cell.confirmed_ms = self.cell.clock.monotonic_ms
        (lost,) = self.cell.workers.expire()
        self.assertEqual((self.run,), lost.runs)

    # Guards against the same for a worker whose entry has gone missing.
    def test_unlisted_worker_is_kept(self) -> None:
        self.cell.apply_listing({})
        self.cell.clock.advance(10_000)
        self.assertEqual([], self.cell.workers.expire())
        self.assertIsNotNone(self.cell.workers.find("w1"))

    # Guards against the same after a takeover: this owner has been replaced
    # before the leases of the previous one have ended.
    def test_silent_worker_of_a_previous_owner_is_not_known(self) -> None:
        self.cell.confirmed_ms = lambda: harness.START_MS + RELEASE_MS
        self.assertEqual(["w2"], self.cell.workers.unknown())
        self.cell.confirmed_ms = lambda: harness.START_MS + RELEASE_MS + 1
        self.assertEqual([], self.cell.workers.unknown())


class RecordedIncarnationsTest(testtools.TestCase):
    """Tasks start only on incarnations that are recorded."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = harness.Cell(workers=1)
        self.cell.submit(harness.job())

    def test_nothing_starts_on_an_incarnation_missing_from_the_record(
        self,
    ) -> None:
        self.cell.workers.allow_starts({})
        self.assertEqual([], self.cell.place())
        self.cell.workers.allow_starts({"w1": 1})
        self.assertEqual(1, len(self.cell.place()))

    def test_record_of_a_former_incarnation_allows_no_start(self) -> None:
        self.cell.workers.allow_starts({"w1": 0})
        self.assertEqual([], self.cell.place())


class AdoptedRunTest(testtools.TestCase):
    """A worker that falls silent before the new owner has its lease."""

    # Guards against a second run of a task whose first run goes on under the
    # lease of the previous owner.
    def test_run_is_not_lost_before_the_previous_lease_has_ended(self) -> None:
        end_ms = harness.START_MS + 5_000
        known = {"w1": recovered_state.KnownWorker(1, end_ms)}
        cell = harness.Cell(workers=1, known_workers=known)
        cell.submit(harness.job())
        task = f"{'0' * 16}.0.0.0"
        running = cell_workers.RunningTask(task, 3_001, "", 50.0, 0)
        cell.answer_hold("w1", running=(running,))
        cell.fail_hold("w1")
        cell.clock.advance(1_000)
        self.assertEqual([], cell.workers.expire())

"""Tests of runs on a worker that starts again under its id."""

from __future__ import annotations

from typing import Any

import attrs
import result
import testtools

from comfreylatch._ports import cell_workers
from comfreylatch._process.cell import events
from comfreylatch._process.cell import lease_ends
from comfreylatch._process.cell import reasons
from comfreylatch._process.cell.carryover import delays
from comfreylatch._process.cell.carryover import former_leases
from comfreylatch._process.cell.carryover import late_starts
from comfreylatch._process.cell.listing import incarnations
from testing.fakes import cell_workers as fake_workers
from tests.process.cell import harness

# A worker that has crashed is back after so long.
AWAY_MS = 3_000


class RestartedWorkerTest(testtools.TestCase):
    """A worker that starts again, while another one is free."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = harness.Cell(workers=2)
        self.cell.submit(harness.job())

    def restart(self, worker_id: str) -> list[Any]:
        """Lists the worker's next incarnation, which has just started."""
        entries = {
            view.worker_id: view.entry
            for view in self.cell.workers
            if view.worker_id != worker_id
        }
        born_ms = self.cell.clock.wall_ms()
        entries[worker_id] = fake_workers.entry(worker_id, born_ms=born_ms)
        return self.cell.workers.apply_listing(entries)

    # Guards against a task in two places: the next incarnation had
    # accepted the start, but the run was given up and started elsewhere.
    def test_run_that_the_next_incarnation_has_accepted_goes_on(self) -> None:
        (run,) = self.cell.place()
        self.assertEqual([], self.restart(run.worker_id))
        self.assertEqual([], self.cell.place())
        listed = harness.running_task(run)
        self.cell.answer_hold(run.worker_id, running=(listed,))
        self.assertFalse(run.is_in_doubt)
        self.assertEqual([], self.cell.place())
        self.assertEqual([run], run.task.runs)

    # Guards against the same while the order is still being sent.
    def test_start_under_way_is_in_doubt(self) -> None:
        now_ms = self.cell.clock.monotonic_ms()
        (placed,) = self.cell.planner.place(
            self.cell.jobs.ready_steps(), now_ms
        )
        self.cell.dispatcher.send_start(placed.run)
        self.cell.clock.advance(AWAY_MS)
        self.assertEqual([], self.restart(placed.run.worker_id))
        self.assertEqual([placed.run], placed.run.task.runs)

    # Guards against a task that waits for good for a run that is nowhere.
    def test_run_that_the_next_incarnation_lacks_is_started_again(
        self,
    ) -> None:
        (run,) = self.cell.place()
        self.restart(run.worker_id)
        session = self.cell.sessions[run.worker_id]
        self.cell.answer_hold(run.worker_id)
        self.assertEqual([(run.task.name, run.number)], session.stops)
        self.cell.clock.advance(10)
        self.cell.dispatcher.handle_stop(
            events.StopReturned(run.worker_id, run, result.Ok(0))
        )
        self.cell.clock.advance(10)
        self.cell.answer_hold(run.worker_id)
        (again,) = self.cell.place()
        self.assertGreater(again.number, run.number)

    # Guards against a crash that is not counted against the task that caused
    # it, so that the task brings down one worker after the other.
    def test_run_that_was_started_before_the_crash_is_lost(self) -> None:
        (run,) = self.cell.place()
        self.cell.clock.advance(AWAY_MS)
        (lost,) = self.restart(run.worker_id)
        self.assertEqual((run,), lost.runs)
        self.assertIs(reasons.LossReason.REBORN, lost.reason)

    # Guards against runs that are kept although the next incarnation is over.
    def test_worker_replaced_under_another_id_since_is_dropped(self) -> None:
        (run,) = self.cell.place()
        former = self.cell.workers.find(run.worker_id).entry
        now_ms = self.cell.clock.wall_ms()
        second = attrs.evolve(former, born_ms=now_ms)
        third = attrs.evolve(former, worker_id="w9", born_ms=now_ms + 1)
        (lost,) = self.cell.workers.apply_listing(
            {former.worker_id: second, "w9": third}
        )
        self.assertEqual((run,), lost.runs)
        self.assertIs(None, self.cell.workers.find(former.worker_id))

    def test_slack_is_shorter_than_a_restart(self) -> None:
        self.assertLess(incarnations.CLOCK_SLACK_MS, AWAY_MS)

    # Guards against capacity that is given away twice.
    def test_run_in_doubt_keeps_its_capacity(self) -> None:
        (run,) = self.cell.place()
        self.restart(run.worker_id)
        worker = self.cell.workers.find(run.worker_id)
        need = run.task.step.spec.need
        self.assertEqual(
            worker.entry.capacity.cpu_millicores - need.cpu_millicores,
            worker.free_cpu,
        )
        end = harness.ended_run(run, cell_workers.RunEnd.DONE)
        self.cell.answer_hold(run.worker_id, ended=(end,))
        self.assertEqual(worker.entry.capacity.cpu_millicores, worker.free_cpu)


class SilentNextIncarnationTest(testtools.TestCase):
    """A worker that starts again under its id and then falls silent."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = harness.Cell(workers=2)
        self.cell.submit(harness.job())

    def restart(self, worker_id: str, alive_ms: int = 0) -> None:
        """Lists the worker's next incarnation."""
        entries = {
            view.worker_id: view.entry
            for view in self.cell.workers
            if view.worker_id != worker_id
        }
        born_ms = self.cell.clock.wall_ms() - alive_ms
        entries[worker_id] = fake_workers.entry(worker_id, born_ms=born_ms)
        self.cell.apply_listing(entries)

    def expire_after(self, elapsed_ms: int) -> None:
        """Lets time pass, then removes runs whose leases are over."""
        self.cell.clock.advance(elapsed_ms)
        self.cell.expire()

    def longest_lease_ms(self) -> int:
        """Returns how long a lease of before may last from now on."""
        return delays.MAX_CALL_DELAY_MS + lease_ends.longest_lease_ms(
            former_leases.DEFAULT_MAX_LEASE_MS
        )

    # Guards against a task in two places: the next incarnation had accepted
    # the run, and it was given up as nothing was known of its lease.
    def test_run_in_doubt_is_kept_until_its_lease_must_be_over(self) -> None:
        (run,) = self.cell.place()
        self.cell.sessions[
            run.worker_id
        ].renewals_end_ms = self.cell.clock.now_ms
        self.restart(run.worker_id)
        lease_ms = self.longest_lease_ms()
        self.expire_after(lease_ms)
        self.assertEqual([run], run.task.runs)
        self.expire_after(1)
        self.assertEqual([], run.task.runs)

    # Guards against a task in two places: a call meant for the former
    # incarnation had given the next one a longer lease than its owner sent.
    def test_run_outlives_the_lease_that_the_owner_has_sent(self) -> None:
        session = self.cell.sessions["w1"]
        session.renewals_end_ms = self.cell.clock.now_ms
        lease_ms = self.longest_lease_ms()
        self.restart("w1")
        self.cell.workers.find("w2").is_listed = False
        self.cell.workers.allow_starts(self.cell.workers.incarnations())
        self.cell.clock.advance(100)
        self.cell.answer_hold("w1", lease_ms=4_500)
        self.cell.workers.allow_starts(self.cell.workers.incarnations())
        (run,) = self.cell.place()
        self.assertEqual("w1", run.worker_id)
        self.cell.fail_hold("w1")
        self.expire_after(lease_ms - 100)
        self.assertEqual([run], run.task.runs)
        self.expire_after(1)
        self.assertEqual([], run.task.runs)

    # Guards against waiting for a lease of before on every worker.
    def test_lease_of_a_worker_that_has_not_restarted_ends_as_sent(
        self,
    ) -> None:
        (run,) = self.cell.place()
        self.cell.sessions[
            run.worker_id
        ].renewals_end_ms = self.cell.clock.now_ms
        self.cell.answer_hold(
            run.worker_id, (harness.running_task(run),), lease_ms=4_500
        )
        self.cell.fail_hold(run.worker_id)
        self.expire_after(lease_ends.longest_lease_ms(4_500))
        self.assertEqual([], run.task.runs)

    # Guards against a run that is taken for lost although a try of its start,
    # which got no answer, may reach the next incarnation.
    def test_unanswered_try_may_reach_the_next_incarnation(self) -> None:
        now_ms = self.cell.clock.monotonic_ms()
        (placed,) = self.cell.planner.place(
            self.cell.jobs.ready_steps(), now_ms
        )
        self.cell.dispatcher.send_start(placed.run)
        self.cell.dispatcher.handle_start(
            events.StartReturned(placed.run, now_ms, 2, result.Ok(now_ms))
        )
        self.cell.clock.advance(AWAY_MS)
        self.restart(placed.run.worker_id)
        self.assertEqual([placed.run], placed.run.task.runs)
        self.assertTrue(placed.run.is_in_doubt)

    # Guards against a run that is stopped as stalled, as it is behind what it
    # had done on the former incarnation.
    def test_progress_of_a_run_in_doubt_starts_anew(self) -> None:
        (run,) = self.cell.place()
        self.cell.answer_hold(
            run.worker_id, (harness.running_task(run, percent=40.0),)
        )
        self.restart(run.worker_id)
        self.cell.clock.advance(100)
        self.cell.answer_hold(
            run.worker_id, (harness.running_task(run, percent=5.0),)
        )
        self.assertEqual(5.0, run.percent)

    # Guards against a task in two places: a start that the former incarnation
    # refuses for good is carried out by the next one after a while.
    def test_run_given_up_is_refused_by_the_next_incarnation(self) -> None:
        late = self.cell.sessions["w1"].late_starts
        late.add(late_starts.RunId("a.0.0.0", 3))
        self.restart("w1")
        self.assertEqual([("a.0.0.0", 3)], self.cell.sessions["w1"].stops)

    # Guards against stopping a run that may go on there.
    def test_run_in_doubt_is_not_stopped_at_once(self) -> None:
        (run,) = self.cell.place()
        session = self.cell.sessions[run.worker_id]
        session.late_starts.add(late_starts.RunId(run.task.name, run.number))
        self.restart(run.worker_id)
        self.assertEqual([], session.stops)

    # Guards against a task in two places: the next incarnation has a run, but
    # the list doesn't show it yet, as the store is down.
    def test_run_outlives_its_lease_once_another_incarnation_answers(
        self,
    ) -> None:
        (run,) = self.cell.place()
        session = self.cell.sessions[run.worker_id]
        session.renewals_end_ms = self.cell.clock.now_ms
        session.has_seen_other = True
        self.cell.fail_hold(run.worker_id)
        lease_ms = self.longest_lease_ms()
        self.expire_after(lease_ms)
        self.assertEqual([run], run.task.runs)
        self.expire_after(1)
        self.assertEqual([], run.task.runs)

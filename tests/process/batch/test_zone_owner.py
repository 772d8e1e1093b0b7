"""Tests of the zone owner's loop with in-memory workers."""

from __future__ import annotations

import testtools

from comfreylatch._ports import workers
from comfreylatch._process import metrics
from comfreylatch._process.batch import placement
from comfreylatch._version import job_state
from comfreylatch._version import objects
from testing.fakes import zone as fake_zone

# Half and all of the processors of a fake worker.
HALF_WORKER = 1_000
WHOLE_WORKER = 2_000


def started_zone(**options: object) -> fake_zone.FakeZone:
    """Returns a zone whose owner has reached every worker."""
    zone = fake_zone.FakeZone(**options)
    zone.run(3_000)
    return zone


class RunTest(testtools.TestCase):
    """Jobs without failing workers, and planned or sudden owner changes."""

    def test_jobs_finish(self) -> None:
        """Every job runs once and is folded as finished."""
        zone = started_zone()
        for number in range(12):
            zone.submit(f"job-{number}", HALF_WORKER)
        zone.run(20_000)
        for number in range(12):
            state = zone.state(f"job-{number}")
            self.assertEqual(job_state.JobPhase.FINISHED, state.phase)
            self.assertEqual(1, state.attempt)

    def test_burst_of_cancellations_stops_everything(self) -> None:
        """Cancelled jobs stop, started or not, with few appends."""
        zone = started_zone()
        for number in range(40):
            zone.submit(f"job-{number}", HALF_WORKER, 60_000)
        zone.run(1_000)
        for number in range(40):
            zone.cancel(f"job-{number}")
        before = len(zone.stream.payloads)
        zone.run(1_500)
        self.assertEqual({}, zone.running())
        self.assertEqual(
            job_state.JobPhase.CANCELLED, zone.state("job-39").phase
        )
        self.assertLess(len(zone.stream.payloads) - before, 12)

    def test_planned_stop_keeps_work_running(self) -> None:
        """After a planned stop the successor continues without a restart."""
        zone = started_zone()
        zone.submit("job", HALF_WORKER, 8_000)
        zone.run(2_000)
        zone.owner().release()
        zone.run(15_000)
        state = zone.state("job")
        self.assertEqual(job_state.JobPhase.FINISHED, state.phase)
        self.assertEqual(1, state.attempt)

    def test_dead_owner_is_replaced_without_restart(self) -> None:
        """By default a lease outlasts the claim, so no work is repeated."""
        zone = started_zone(limits=objects.Limits())
        zone.submit("job", HALF_WORKER, 20_000)
        zone.run(2_000)
        zone.owner().paused = True
        zone.run(30_000)
        state = zone.state("job")
        self.assertEqual(job_state.JobPhase.FINISHED, state.phase)
        self.assertEqual(1, state.attempt)

    def test_running_work_is_checkpointed_periodically(self) -> None:
        """A dead worker loses at most about a minute of work."""
        zone = started_zone()
        zone.submit("job", HALF_WORKER, 200_000)
        zone.run(150_000)
        worker = zone.running()["job"]
        zone.fleet[worker].reboot()
        zone.run(5_000)
        state = zone.state("job")
        self.assertEqual(2, state.attempt)
        self.assertGreater(state.checkpoint_ms, 80_000)


class EndedAttemptTest(testtools.TestCase):
    """An attempt ends while its owner is cut from the log."""

    def test_no_command_makes_a_worker_forget_an_unrecorded_end(self) -> None:
        """The successor still finds the end, so no work is repeated."""
        zone = started_zone()
        zone.submit("job", HALF_WORKER, 3_000)
        zone.run(2_000)
        owner = zone.owner()
        zone.stream.cut.add(owner.name)
        zone.run(2_000)
        owner.owner.throttle("job", 500)
        zone.run(15_000)
        state = zone.state("job")
        self.assertEqual(job_state.JobPhase.FINISHED, state.phase)
        self.assertEqual(1, state.attempt)

    def test_command_that_crosses_an_end_does_not_lose_it(self) -> None:
        """The owner commands the attempt until it reads of its end."""
        zone = started_zone()
        zone.submit("job", HALF_WORKER, 3_000)
        while not zone.running():
            zone.run(fake_zone.TICK_MS)
        worker = zone.fleet[zone.running()["job"]]
        while worker.running()[0].progress_ms < 2_500:
            zone.run(fake_zone.TICK_MS)
        owner = zone.owner()
        zone.stream.cut.add(owner.name)
        while worker.running():
            owner.owner.throttle("job", 1_000)
            zone.run(fake_zone.TICK_MS)
        zone.run(fake_zone.TICK_MS)
        owner.paused = True
        zone.run(30_000)
        state = zone.state("job")
        self.assertEqual(job_state.JobPhase.FINISHED, state.phase)
        self.assertEqual(1, state.attempt)

    def test_cut_off_owner_sends_leases_only(self) -> None:
        """It sends no command whose outcome it could not record."""
        zone = started_zone()
        zone.submit("job", HALF_WORKER, 60_000)
        zone.run(2_000)
        owner = zone.owner()
        zone.stream.cut.update(host.name for host in zone.hosts)
        zone.run(6_500)
        owner.owner.throttle("job", 500)
        zone.run(1_000)
        worker = zone.fleet[zone.running()["job"]]
        self.assertEqual(1_000, worker.running()[0].share_milli)


class FaultyWorkerTest(testtools.TestCase):
    """Workers and jobs that fail."""

    def test_worker_that_fails_everything_is_quarantined(self) -> None:
        """Its jobs finish on other workers and none is parked."""
        zone = started_zone(worker_count=4)
        zone.fleet["w1"].fail_all = True
        for number in range(40):
            zone.submit(f"job-{number}", HALF_WORKER, 2_000)
        zone.run(40_000)
        phases = {zone.state(f"job-{n}").phase for n in range(40)}
        self.assertEqual({job_state.JobPhase.FINISHED}, phases)
        self.assertEqual(("w1",), zone.owner().owner.status().quarantined)
        self.assertLess(len(zone.fleet["w1"].started), 10)

    def test_repaired_worker_leaves_quarantine(self) -> None:
        """One successful probe ends its quarantine."""
        zone = started_zone(worker_count=4)
        zone.fleet["w1"].fail_all = True
        for number in range(40):
            zone.submit(f"job-{number}", HALF_WORKER, 2_000)
        zone.run(20_000)
        zone.fleet["w1"].fail_all = False
        for number in range(40, 140):
            zone.submit(f"job-{number}", HALF_WORKER, 4_000)
        zone.run(60_000)
        self.assertEqual((), zone.owner().owner.status().quarantined)

    def test_job_that_fails_everywhere_is_parked(self) -> None:
        """It is parked after failures on several workers."""
        zone = started_zone(worker_count=4)
        zone.submit("never-works", HALF_WORKER)
        for number in range(12):
            zone.submit(f"job-{number}", HALF_WORKER, 2_000)
        zone.run(30_000)
        state = zone.state("never-works")
        self.assertEqual(job_state.JobPhase.PARKED, state.phase)
        self.assertGreater(len(state.failed_workers), 2)
        self.assertIn("failed-often", state.detail)
        self.assertEqual((), zone.owner().owner.status().quarantined)


class UrgentTest(testtools.TestCase):
    """Urgent starts and quotas."""

    def test_urgent_job_starts_within_six_seconds(self) -> None:
        """A full zone evicts jobs after a checkpoint to make room."""
        zone = started_zone()
        for number in range(6):
            zone.submit(f"job-{number}", HALF_WORKER, 60_000)
        zone.run(5_000)
        zone.submit("now", WHOLE_WORKER, 3_000, urgent=True)
        zone.run(2_000)
        self.assertIn("now", zone.running())
        zone.run(120_000)
        for number in range(6):
            state = zone.state(f"job-{number}")
            self.assertEqual(job_state.JobPhase.FINISHED, state.phase)
            kept = state.evictions == 0 or state.checkpoint_ms > 0
            self.assertTrue(kept, f"{state} lost its work")

    def test_urgent_start_costs_no_more_evictions_than_needed(self) -> None:
        """A job of half a worker's size evicts only one such job."""
        zone = started_zone()
        for number in range(6):
            zone.submit(f"job-{number}", HALF_WORKER, 60_000)
        zone.run(5_000)
        zone.submit("now", HALF_WORKER, 3_000, urgent=True)
        zone.run(3_000)
        evicted = [zone.state(f"job-{number}").evictions for number in range(6)]
        self.assertEqual(1, sum(evicted))

    def test_team_without_borrowing_stays_in_its_quota(self) -> None:
        """It doesn't use idle capacity beyond its quota."""
        quota = workers.Resources(HALF_WORKER, 10_000)
        team = objects.Team(quota, may_borrow=False)
        zone = started_zone(teams={"faculty": team})
        for number in range(4):
            zone.submit(f"job-{number}", HALF_WORKER, 60_000)
        zone.run(3_000)
        self.assertEqual(1, len(zone.running()))

    def test_borrowed_capacity_is_reclaimed(self) -> None:
        """A team within its quota reclaims capacity after a delay."""
        quota = workers.Resources(WHOLE_WORKER, 10_000)
        team = objects.Team(quota)
        zone = started_zone(teams={"faculty": team, "school": team})
        for number in range(8):
            zone.submit(f"job-{number}", HALF_WORKER, 300_000)
        zone.run(3_000)
        zone.submit("mine", HALF_WORKER, 5_000, team="school")
        zone.run(40_000)
        self.assertEqual(job_state.JobPhase.FINISHED, zone.state("mine").phase)

    def test_spent_budget_stops_reclaims(self) -> None:
        """Once the eviction budget is spent, the job stays queued."""
        quota = workers.Resources(WHOLE_WORKER, 10_000)
        team = objects.Team(quota)
        zone = started_zone(
            teams={"faculty": team, "school": team},
            limits=objects.Limits(evictions_per_hour=0),
        )
        for number in range(6):
            zone.submit(f"job-{number}", HALF_WORKER, 300_000)
        zone.run(3_000)
        zone.submit("mine", HALF_WORKER, 5_000, team="school")
        zone.run(40_000)
        self.assertEqual(job_state.JobPhase.QUEUED, zone.state("mine").phase)

    def test_reclaim_without_victims_spends_no_budget(self) -> None:
        """No team borrows, so no job is evicted and no budget spent."""
        quota = workers.Resources(100_000, 100_000)
        zone = started_zone(
            teams={"faculty": objects.Team(quota)},
            limits=objects.Limits(evictions_per_hour=1),
        )
        for number in range(8):
            zone.submit(f"job-{number}", HALF_WORKER, 300_000)
        zone.run(60_000)
        spent = zone.owner().metrics.value(
            metrics.Counter.JOB_EVENTS, "eviction-budget-spent"
        )
        self.assertEqual(0, spent)


class InterferenceTest(testtools.TestCase):
    """Actions against batch work that slows a service down."""

    def _slow_down(self, zone: fake_zone.FakeZone, slowdown_milli: int) -> None:
        for worker in zone.fleet.values():
            tasks = tuple(
                workers.TaskSlowdown(
                    task.start.job, task.start.attempt, 1_000, 500, 50
                )
                for task in worker.running()
            )
            worker.usage = (
                workers.Usage(
                    100,
                    500,
                    50,
                    (workers.ServiceSlowdown("skyproc", slowdown_milli),),
                    tasks,
                ),
            )

    def test_lasting_slowdown_is_throttled_then_moved(self) -> None:
        """Jobs are throttled first, and moved if that did not help."""
        zone = started_zone(worker_count=1)
        zone.submit("noisy", HALF_WORKER, 300_000)
        zone.run(2_000)
        shares = []
        for _ in range(100):
            self._slow_down(zone, 1_500)
            zone.run(500)
            tasks = zone.fleet["w0"].running()
            shares.append(tasks[0].share_milli if tasks else 0)
        self.assertIn(500, shares)
        self.assertLess(shares.index(500), shares.index(0))
        self.assertGreater(zone.state("noisy").evictions, 0)

    def test_one_sample_changes_nothing(self) -> None:
        """A single slow measurement causes no action."""
        zone = started_zone(worker_count=1)
        zone.submit("quiet", HALF_WORKER, 300_000)
        zone.run(4_000)
        self._slow_down(zone, 1_500)
        zone.run(250)
        self._slow_down(zone, 1_000)
        zone.run(10_000)
        self.assertEqual(1_000, zone.fleet["w0"].running()[0].share_milli)

    def test_first_fit_never_acts(self) -> None:
        """The first-fit policy takes no action against interference."""
        zone = started_zone(worker_count=1, policy=placement.Policy.FIRST_FIT)
        zone.submit("noisy", HALF_WORKER, 300_000)
        for _ in range(40):
            self._slow_down(zone, 1_500)
            zone.run(500)
        self.assertEqual(1_000, zone.fleet["w0"].running()[0].share_milli)

"""Tests of capacity, placement, queue order, evictions and learning."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import testtools

from comfreylatch._ports import workers
from comfreylatch._process.batch import attempt as attempt_module
from comfreylatch._process.batch import capacity
from comfreylatch._process.batch import eviction_planner
from comfreylatch._process.batch import interference
from comfreylatch._process.batch import interference_cost
from comfreylatch._process.batch import job_queue
from comfreylatch._process.batch import learned_sizes
from comfreylatch._process.batch import placement
from comfreylatch._version import job_records
from comfreylatch._version import job_state
from comfreylatch._version import objects

WORKER_CAPACITY = workers.Resources(4_000, 4_000)
SMALL = workers.Resources(1_000, 100)
_amounts = strategies.builds(
    workers.Resources,
    strategies.integers(0, 4_000),
    strategies.integers(0, 4_000),
    strategies.integers(0, 2),
)


def queued(
    job: str,
    team: str = "faculty",
    size: workers.Resources = SMALL,
    job_class: str = "stack",
    urgent: bool = False,
) -> job_state.JobState:
    """Returns a queued job."""
    spec = job_records.JobSpec(
        job, team, "bole", job_class, size, 1_000, urgent
    )
    return job_state.JobState(spec, order=0)


def ledger_of(count: int) -> capacity.CapacityLedger:
    """Returns a ledger of equal workers, two to a rack."""
    ledger = capacity.CapacityLedger()
    for index in range(count):
        ledger.set_worker(
            f"w{index}",
            f"rack-{index // 2}",
            WORKER_CAPACITY,
            capacity.NO_RESOURCES,
            True,
        )
    return ledger


def placement_on(
    ledger: capacity.CapacityLedger,
    cost_model: interference_cost.InterferenceCostModel,
) -> placement.Placement:
    """Returns a placement by predicted cost."""
    for account in ledger.accounts():
        cost_model.set_worker(account.name, account.total.processors_milli)
    return placement.Placement(ledger, cost_model)


def empty_cost_model() -> interference_cost.InterferenceCostModel:
    """Returns a cost model without load and learned coefficients."""
    model = interference.InterferenceModel()
    return interference_cost.InterferenceCostModel(
        model, learned_sizes.LearnedSizes()
    )


class LedgerTest(testtools.TestCase):
    """Free capacity and its index."""

    @hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.lists(_amounts, min_size=1, max_size=20), _amounts
    )
    def test_candidates_are_workers_with_enough_capacity(
        self, held: list[workers.Resources], size: workers.Resources
    ) -> None:
        """The index finds exactly the workers that a scan finds."""
        ledger = ledger_of(len(held))
        for index, amount in enumerate(held):
            ledger.reserve(f"job-{index}", f"w{index}", amount)
        expected = {
            account.name
            for account in ledger.accounts()
            if capacity.fits(size, account.free)
        }
        candidates = {account.name for account in ledger.candidates(size, 100)}
        self.assertEqual(expected, candidates)

    def test_services_reserve_first(self) -> None:
        """Capacity reserved by services is never free for batch work."""
        ledger = capacity.CapacityLedger()
        services = workers.Resources(3_500, 100)
        ledger.set_worker("w0", "", WORKER_CAPACITY, services, True)
        size = workers.Resources(1_000, 100)
        self.assertEqual([], ledger.candidates(size, 1))

    def test_released_capacity_is_free_again(self) -> None:
        """Releasing a job twice frees its capacity once."""
        ledger = ledger_of(1)
        ledger.reserve("job", "w0", WORKER_CAPACITY)
        ledger.release("job")
        ledger.release("job")
        self.assertEqual(WORKER_CAPACITY, ledger.account("w0").free)

    def test_nearest_worker_names_the_dimensions(self) -> None:
        """Only dimensions that the nearest worker lacks are named."""
        size = workers.Resources(1_000, 9_000, 1)
        accelerators = workers.Resources(500, 500, 4)
        much_memory = workers.Resources(4_000, 8_000, 1)
        never = placement.never_fits(size, [accelerators, much_memory])
        self.assertEqual(("memory_mib",), never.dimensions)


class ChoiceTest(testtools.TestCase):
    """Choice of a worker."""

    def test_team_is_spread_over_racks(self) -> None:
        """Jobs of a team don't share a rack if another one is free."""
        ledger = ledger_of(4)
        placer = placement_on(ledger, empty_cost_model())
        racks = set()
        for number in range(2):
            state = queued(f"job-{number}")
            worker = placer.choose(state, state.spec.resources)
            placer.place(state, worker, state.spec.resources)
            racks.add(ledger.account(worker).rack)
        self.assertEqual(2, len(racks))

    def test_harmful_class_runs_once_per_worker(self) -> None:
        """A class known to slow a service down runs once per worker."""
        model = interference.InterferenceModel()
        cost_model = interference_cost.InterferenceCostModel(
            model, learned_sizes.LearnedSizes()
        )
        for _ in range(50):
            loads = {"noisy": 0.25}
            sample = interference.Sample(loads, {"skyproc": 1.2}, 0.25)
            model.learn(sample)
        ledger = ledger_of(2)
        placer = placement_on(ledger, cost_model)
        for account in ledger.accounts():
            cost_model.set_services(account.name, ["skyproc"])
        placed = []
        for number in range(3):
            state = queued(f"job-{number}", job_class="noisy")
            worker = placer.choose(state, state.spec.resources)
            placed.append(worker)
            if worker is not None:
                placer.place(state, worker, state.spec.resources)
        self.assertEqual({"w0", "w1"}, set(placed[:2]))
        self.assertIsNone(placed[2])

    def test_urgent_job_ignores_interference(self) -> None:
        """An urgent job doesn't wait for a worker with less interference."""
        cost_model = empty_cost_model()
        ledger = ledger_of(1)
        placer = placement_on(ledger, cost_model)
        cost_model.set_services("w0", ["skyproc"])
        first = queued("first", size=workers.Resources(3_000, 100))
        placer.place(first, "w0", first.spec.resources)
        late = queued("late", urgent=True)
        self.assertEqual("w0", placer.choose(late, late.spec.resources))


class QueueTest(testtools.TestCase):
    """Order of the job queue."""

    def test_smallest_share_comes_first(self) -> None:
        """A team that uses less of its quota goes first."""
        queue = job_queue.JobQueue()
        team = objects.Team(workers.Resources(2_000, 2_000))
        queue.set_teams({"a": team, "b": team})
        queue.add_usage("running", "a", workers.Resources(1_000, 0))
        queue.add(queued("of-a", "a"))
        queue.add(queued("of-b", "b"))
        order = []
        for state in queue.fair_order():
            order.append(state.spec.id)
            queue.discard(state.spec.id)
        self.assertEqual(["of-b", "of-a"], order)

    def test_evicted_job_goes_before_its_team(self) -> None:
        """A job that was started before goes to the front."""
        queue = job_queue.JobQueue()
        queue.add(queued("new"))
        evicted = job_state.JobState(queued("old").spec, order=0, attempt=1)
        queue.add(evicted)
        first = next(queue.fair_order())
        self.assertEqual("old", first.spec.id)


class VictimTest(testtools.TestCase):
    """Selection of jobs to evict."""

    def _attempt(self, job: str, unsaved_ms: int) -> attempt_module.Attempt:
        attempt = attempt_module.Attempt(queued(job), 0)
        attempt.progress_ms = unsaved_ms
        return attempt

    def test_least_unsaved_work_is_evicted_first(self) -> None:
        """One victim suffices: the one with least unsaved work."""
        attempts = [self._attempt("old", 90_000), self._attempt("new", 10)]
        victims = eviction_planner.select_victims(
            workers.Resources(1_000, 100), capacity.NO_RESOURCES, attempts
        )
        self.assertEqual(["new"], [victim.job for victim in victims])

    def test_no_victims_if_all_jobs_together_free_too_little(self) -> None:
        """An eviction that can't make enough room is pointless."""
        victims = eviction_planner.select_victims(
            workers.Resources(3_000, 100),
            capacity.NO_RESOURCES,
            [self._attempt("one", 0)],
        )
        self.assertIsNone(victims)

    def test_eviction_budget_is_per_hour(self) -> None:
        """A request is granted completely or not at all."""
        budget = eviction_planner.EvictionBudget()
        self.assertTrue(budget.try_spend(2, 3, 0))
        self.assertFalse(budget.try_spend(2, 3, 1_000))
        self.assertTrue(budget.try_spend(2, 3, eviction_planner.HOUR_MS))


class LearningTest(testtools.TestCase):
    """Learning of sizes and interference."""

    def test_concurrent_causes_are_distinguished(self) -> None:
        """The model finds which of two classes slows the service down."""
        model = interference.InterferenceModel()
        for step in range(200):
            noisy = 0.1 + 0.4 * (step % 5) / 4
            quiet = 0.1 + 0.4 * (step % 3) / 2
            loads = {"noisy": noisy, "quiet": quiet}
            slowdowns = {"skyproc": 1.0 + 1.0 * noisy}
            model.learn(interference.Sample(loads, slowdowns, noisy + quiet))
        self.assertGreater(model.coefficient("skyproc", "noisy").mean, 0.9)
        self.assertLess(model.coefficient("skyproc", "quiet").mean, 0.1)

    def test_uncertainty_falls_with_samples(self) -> None:
        """A pair that was never seen keeps the prior."""
        model = interference.InterferenceModel()
        for _ in range(20):
            sample = interference.Sample({"a": 0.3}, {"s": 1.1}, 0.3)
            model.learn(sample)
        known = model.coefficient("s", "a").variance
        self.assertLess(known, model.coefficient("s", "b").variance)

    def test_class_that_declares_too_little_reserves_more(self) -> None:
        """It reserves what most attempts use, at most a whole worker."""
        sizes = learned_sizes.LearnedSizes()
        declared = workers.Resources(1_000, 1_000)
        for number in range(10):
            used = workers.TaskSlowdown(f"j{number}", 1, 1_000, 500, 3_000)
            sizes.record("stack", declared, used)
        self.assertEqual(
            workers.Resources(1_000, 3_000),
            sizes.size("stack", declared, WORKER_CAPACITY),
        )
        small = workers.Resources(4_000, 2_000)
        self.assertEqual(2_000, sizes.size("stack", declared, small).memory_mib)

    def test_few_attempts_keep_the_declared_size(self) -> None:
        """The declared size is used until enough attempts were measured."""
        sizes = learned_sizes.LearnedSizes()
        declared = workers.Resources(1_000, 1_000)
        used = workers.TaskSlowdown("j", 1, 1_000, 500, 3_000)
        for _ in range(50):
            sizes.record("stack", declared, used)
        self.assertEqual(
            declared, sizes.size("stack", declared, WORKER_CAPACITY)
        )

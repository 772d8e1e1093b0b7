"""Invariants of zone ownership under random faults, with two hosts."""

from __future__ import annotations

import collections
from typing import Any
from unittest import mock

import hypothesis
from hypothesis import strategies
import testtools

from comfreylatch._ports import workers
from comfreylatch._process.batch import capacity
from comfreylatch._process.batch import ownership
from comfreylatch._version import job_records
from comfreylatch._version import job_state
from comfreylatch._version import records
from comfreylatch._version import zone_fold
from testing.fakes import workers as fake_workers
from testing.fakes import zone as fake_zone

HOSTS = 2
WORKERS = 3
SETTLE_MS = 120_000
Operation = tuple[Any, ...]

_host = strategies.integers(0, HOSTS - 1)
_worker = strategies.integers(0, WORKERS - 1)
_number = strategies.integers(1, 4)
_span_ms = strategies.sampled_from([250, 1_000, 3_000, 9_000, 22_000])
_run_time_ms = strategies.sampled_from([1_000, 6_000, 30_000])
_exchange_fault = strategies.sampled_from(list(fake_workers.ExchangeFault))
_just = strategies.just
_one_operation = strategies.one_of(
    strategies.tuples(_just("submit"), _run_time_ms),
    strategies.tuples(_just("run"), _span_ms),
    strategies.tuples(_just("cancel"), _number),
    strategies.tuples(_just("evict"), _number),
    strategies.tuples(_just("pause"), _host),
    strategies.tuples(_just("cut_log"), _host),
    strategies.tuples(_just("cut_worker"), _host, _worker),
    strategies.tuples(_just("fault"), _host, _worker, _exchange_fault),
    strategies.tuples(_just("lose_append"), _host),
    strategies.tuples(_just("hold_append"), _host),
    strategies.tuples(_just("restart"), _host),
    strategies.tuples(_just("release"), _host),
    strategies.tuples(_just("reboot"), _worker),
    _just(("deliver",)),
    _just(("heal",)),
)


@strategies.composite
def _takeover(draw: strategies.DrawFn) -> list[Operation]:
    """One host loses the log, the other one of the workers."""
    host = draw(_host)
    return [
        ("cut_log", host),
        ("cut_worker", 1 - host, draw(_worker)),
        ("run", draw(_span_ms)),
    ]


@strategies.composite
def _late_start(draw: strategies.DrawFn) -> list[Operation]:
    """A start is delayed in a buffer while its sender stops or fails."""
    host = draw(_host)
    interruptions = strategies.sampled_from(
        ["pause", "restart", "release", "cut_log"]
    )
    cuts_other_host = draw(strategies.booleans())
    return [
        ("delay_start", host),
        ("submit", draw(_run_time_ms)),
        ("run", 250),
        (draw(interruptions), host),
        *([("cut_delayed", 1 - host)] if cuts_other_host else []),
        ("run", draw(strategies.sampled_from([1_000, 1_500, 22_000]))),
        ("deliver",),
        ("run", draw(_span_ms)),
    ]


def _scenarios(max_segments: int) -> strategies.SearchStrategy[list[Operation]]:
    """Scenarios of up to `max_segments` operations or sequences of them."""
    segment = strategies.one_of(
        _one_operation.map(lambda operation: [operation]),
        _one_operation.map(lambda operation: [operation]),
        _takeover(),
        _late_start(),
    )
    segments = strategies.lists(segment, min_size=1, max_size=max_segments)
    return segments.map(
        lambda chosen: [
            operation for segment in chosen for operation in segment
        ]
    )


class Model:
    """Carries out operations and checks the invariants after each tick."""

    def __init__(self) -> None:
        self.zone = fake_zone.FakeZone(worker_count=WORKERS, host_count=HOSTS)
        self.submitted = 0
        self.workers_by_attempt: dict[tuple[str, int], str] = {}
        self.writer = fake_zone.FakeAppender(self.zone.stream, "handler")
        self.submit(30_000)
        self.run(3_000)

    def play(self, operations: list[Operation]) -> None:
        """Runs a scenario, ends all faults and checks the outcome."""
        self.perform(operations)
        self.heal()
        self.run(SETTLE_MS)
        self.check_outcome()

    def perform(self, operations: list[Operation]) -> None:
        """Carries out operations and checks the invariants after each."""
        for name, *arguments in operations:
            getattr(self, name)(*arguments)
            self.check()

    def submit(self, run_time_ms: int) -> None:
        """Admits a job that needs more than half of a worker."""
        self.submitted += 1
        spec = job_records.JobSpec(
            id=f"job-{self.submitted}",
            team="faculty",
            zone=fake_zone.ZONE,
            job_class="stack",
            resources=workers.Resources(1_200, 1_000),
            run_time_ms=run_time_ms,
        )
        self.writer.append([job_records.JobAdmitted(spec)], 0)

    def cancel(self, number: int) -> None:
        """Cancels a job, which need not exist."""
        body = job_records.JobCancelled(f"job-{number}")
        self.writer.append([body], 0)

    def evict(self, number: int) -> None:
        """Lets every host that believes it is the owner evict a job."""
        for host in self.zone.hosts:
            host.owner.evict(f"job-{number}", "model")

    def run(self, elapsed_ms: int) -> None:
        """Advances the clock, checking after each tick."""
        for _ in range(elapsed_ms // fake_zone.TICK_MS):
            self.zone.run(fake_zone.TICK_MS)
            self.check()

    def pause(self, host: int) -> None:
        """Pauses a host or resumes it."""
        self.zone.hosts[host].paused ^= True

    def cut_log(self, host: int) -> None:
        """Cuts a host from the log or reconnects it."""
        self.zone.stream.cut ^= {self.zone.hosts[host].name}

    def cut_worker(self, host: int, worker: int) -> None:
        """Cuts a host from a worker or reconnects it."""
        pair = (self.zone.hosts[host].name, f"w{worker}")
        self.zone.network.cut ^= {pair}

    def fault(
        self, host: int, worker: int, fault: fake_workers.ExchangeFault
    ) -> None:
        """Injects a fault into the next exchange of a host and a worker."""
        pair = (self.zone.hosts[host].name, f"w{worker}")
        self.zone.network.faults[pair] = fault

    def delay_start(self, host: int) -> None:
        """Delays the next exchange that carries a start."""
        self.zone.network.delay_start.add(self.zone.hosts[host].name)

    def cut_delayed(self, host: int) -> None:
        """Cuts a host from workers for which a delayed exchange is pending."""
        for worker, _ in self.zone.network.delayed:
            pair = (self.zone.hosts[host].name, worker)
            self.zone.network.cut.add(pair)

    def lose_append(self, host: int) -> None:
        """Loses the answer to the next append."""
        self.zone.hosts[host].appender.lose_next = True

    def hold_append(self, host: int) -> None:
        """Delays the next append until the one after it."""
        self.zone.hosts[host].appender.hold_next = True

    def restart(self, host: int) -> None:
        """Kills a host and replaces it by a new one."""
        self.zone.hosts[host] = self.zone.new_host()

    def release(self, host: int) -> None:
        """Stops a host as planned and replaces it by a new one."""
        if not self.zone.hosts[host].paused:
            self.zone.hosts[host].release()
        self.zone.hosts[host] = self.zone.new_host()

    def reboot(self, worker: int) -> None:
        """Restarts a worker."""
        self.zone.fleet[f"w{worker}"].reboot()

    def deliver(self) -> None:
        """Delivers all delayed exchanges."""
        self.zone.network.deliver_delayed()

    def heal(self) -> None:
        """Ends all faults."""
        self.deliver()
        self.zone.network.cut.clear()
        self.zone.network.faults.clear()
        self.zone.network.delay_start.clear()
        self.zone.stream.cut.clear()
        for host in self.zone.hosts:
            host.paused = False

    def check(self) -> None:
        """Checks that no job runs twice and no worker exceeds its capacity."""
        running = collections.Counter(
            task.start.job
            for worker in self.zone.fleet.values()
            for task in worker.running()
        )
        twice = [job for job, count in running.items() if count > 1]
        assert not twice, f"{twice} run in two places"
        checkpoints = set()
        for worker in self.zone.fleet.values():
            used = worker.used()
            assert capacity.fits(used, worker.worker_capacity), (
                f"{worker.name} uses {used}"
            )
            checkpoints |= worker.checkpoints
        for name, worker in self.zone.fleet.items():
            for start in worker.started:
                self._check_start(name, start, checkpoints)

    def _check_start(
        self,
        worker: str,
        start: workers.StartTask,
        checkpoints: set[tuple[str, int]],
    ) -> None:
        first_worker = self.workers_by_attempt.setdefault(
            (start.job, start.attempt), worker
        )
        assert first_worker == worker, (
            f"{start} started on {first_worker} and {worker}"
        )
        resumes = (start.job, start.checkpoint_ms) in checkpoints
        assert resumes or start.checkpoint_ms == 0, (
            f"{start} resumes at no checkpoint"
        )

    def check_outcome(self) -> None:
        """Checks that every job ended exactly once and all hosts agree."""
        fold = zone_fold.ZoneFold()
        ended: dict[str, job_state.JobState] = {}
        for offset, payload in enumerate(self.zone.stream.payloads):
            envelope, body = records.decode(payload).unwrap()
            fold.apply(offset, envelope, body)
            for state in fold.jobs():
                before = ended.get(state.spec.id, state)
                assert before == state, f"{state} changed after its end"
                if state.ended:
                    ended[state.spec.id] = state
        for state in fold.jobs():
            assert state.ended, f"{state} has not ended"
        for host in self.zone.hosts:
            host.follower.read()
            assert host.fold.digest() == fold.digest(), "folds differ"


def play(operations: list[Operation]) -> None:
    """Runs one scenario on a new zone."""
    Model().play(operations)


def violates_invariant(
    operations: list[Operation], removed_safeguard: str
) -> bool:
    """Whether a scenario violates an invariant with one safeguard removed."""
    model = Model()
    patches = []
    match removed_safeguard:
        case "term":
            for worker in model.zone.fleet.values():
                worker.checks_term = False
        case "staleness":
            for worker in model.zone.fleet.values():
                worker.checks_staleness = False
        case "wait":
            patches.append(
                mock.patch.object(
                    ownership.Ownership,
                    "predecessor_tasks_until_ms",
                    lambda _: 0,
                )
            )
    for patch in patches:
        patch.start()
    try:
        model.perform(operations)
    except AssertionError:
        return True
    finally:
        for patch in patches:
            patch.stop()
    return False


_SETTINGS = hypothesis.settings(
    max_examples=150,
    deadline=None,
    database=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class OwnershipModelTest(testtools.TestCase):
    """Random scenarios, reproducible in each run."""

    def test_invariants_hold_under_random_faults(self) -> None:
        """No scenario violates an invariant."""

        @_SETTINGS
        @hypothesis.given(_scenarios(max_segments=16))
        def check(operations: list[Operation]) -> None:
            play(operations)

        check()

    def test_worker_without_term_check_is_detected(self) -> None:
        """The model detects workers that accept starts of an earlier owner."""
        self._assert_violation_found("term")

    def test_worker_without_staleness_check_is_detected(self) -> None:
        """The model detects workers that accept starts delayed in a buffer."""
        self._assert_violation_found("staleness")

    def test_successor_without_wait_is_detected(self) -> None:
        """The model detects a successor that restarts work too early."""
        self._assert_violation_found("wait")

    def _assert_violation_found(self, removed_safeguard: str) -> None:
        operations = hypothesis.find(
            _scenarios(max_segments=3),
            lambda candidate: violates_invariant(candidate, removed_safeguard),
            settings=hypothesis.settings(
                _SETTINGS,
                max_examples=1_500,
                phases=[hypothesis.Phase.generate],
            ),
        )
        play(operations)

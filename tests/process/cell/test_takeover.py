"""Tests of takeovers of a cell by another host, with real threads."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import time
from typing import Any

import attrs
import result
import testtools

from comfreylatch._ports import advice as advice_port
from comfreylatch._ports import cell_workers
from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import store as store_port
from comfreylatch._process import metrics
from comfreylatch._process.cell import claiming
from comfreylatch._process.cell import fenced_writer as fenced_writer_module
from comfreylatch._process.cell import job_api as job_api_module
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import lease_ends
from comfreylatch._process.cell import owner_dependencies
from comfreylatch._process.cell import ownership as ownership_module
from comfreylatch._process.cell import (
    partition_reader as partition_reader_module,
)
from comfreylatch._process.cell import records
from comfreylatch._process.cell import recovered_state
from comfreylatch._process.cell import specs
from comfreylatch._process.cell import takeover
from testing.fakes import cell_workers as fake_workers
from testing.fakes import record_store
from tests.process.cell import harness

WAIT_S = 15.0
LEASE_MS = 1_000
# After the last heartbeat of an owner that went silent.
LONGEST_LEASES_MS = lease_ends.longest_after_heartbeat_ms(LEASE_MS)
KEEP_ENDED_MS = 200
ID = "0" * 16
ALLOWED_WORKER = "w2"


class HostStore:
    """One host's connection to the store, which a test can cut.

    Attributes:
        is_cut: Whether all calls fail.
        on_call: Receives the method and the topic of each call, before it.
    """

    def __init__(self, store: record_store.MemoryStore) -> None:
        self.is_cut = False
        self.on_call: Callable[[str, str], None] = lambda *_: None
        self._store = store
        self._unreachable_store = record_store.MemoryStore()
        self._unreachable_store.is_down = True

    def __getattr__(self, name: str) -> Any:
        method = getattr(
            self._unreachable_store if self.is_cut else self._store, name
        )

        def call(topic: str, *args: Any, **kwargs: Any) -> Any:
            self.on_call(name, topic)
            return method(topic, *args, **kwargs)

        return call


class HostWorker:
    """One host's connection to a worker, which a test can cut."""

    def __init__(self, host: Host, worker: fake_workers.FakeWorker) -> None:
        self._host = host
        self._worker = worker
        self._unreachable_worker = fake_workers.FakeWorker(
            worker.entry, clock_port.SystemClock()
        )
        self._unreachable_worker.is_unreachable = True

    def __getattr__(self, name: str) -> Any:
        is_unreachable = self._host.is_unreachable
        return getattr(
            self._unreachable_worker if is_unreachable else self._worker, name
        )


class FixedWorkerList:
    """Reports a fixed list of workers once."""

    age_ms = 0

    def __init__(
        self,
        entries: dict[str, cell_workers.WorkerEntry],
        report: Callable[[dict[str, cell_workers.WorkerEntry]], None],
    ) -> None:
        self._entries = entries
        self._report = report

    def __enter__(self) -> FixedWorkerList:
        self._report(self._entries)
        return self

    def __exit__(self, *_: object) -> None:
        return


class SingleWorkerAdvice:
    """Implements `AdviceService`; allows only `ALLOWED_WORKER`."""

    def advise(
        self, step: str, worker_ids: Sequence[str], timeout_ms: int
    ) -> result.Result[advice_port.Advice, advice_port.AdviceUnavailable]:
        """See `AdviceService.advise`."""
        del timeout_ms
        tickets = {ALLOWED_WORKER: f"{step}/{ALLOWED_WORKER}"}
        allowed = {
            worker_id: tickets[worker_id]
            for worker_id in worker_ids
            if worker_id in tickets
        }
        return result.Ok(advice_port.Advice(allowed, 3_000))


class Host:
    """A host's job replica, job API and ownership."""

    def __init__(
        self,
        name: str,
        store: record_store.MemoryStore,
        workers: dict[str, fake_workers.FakeWorker],
        stack: contextlib.ExitStack,
    ) -> None:
        self.clock = clock = clock_port.SystemClock()
        self.is_unreachable = False
        self.store = HostStore(store)
        self.replica = job_replica.JobReplica(clock)
        self.reader = stack.enter_context(
            partition_reader_module.PartitionReader(
                self.store, records.JOBS_TOPIC, 0, self.replica.apply, clock, 50
            )
        )
        appender = stack.enter_context(
            job_api_module.BatchAppender(self.store, 0, clock)
        )
        metrics_registry = metrics.Metrics()
        self.job_api = job_api_module.JobApi(
            self.replica, self.reader, appender, metrics_registry, clock
        )
        entries = {name: worker.entry for name, worker in workers.items()}
        self.deps = owner_dependencies.OwnerDependencies(
            cell=0,
            store=self.store,
            replica=self.replica,
            jobs_reader=self.reader,
            connect=lambda entry: HostWorker(self, workers[entry.worker_id]),
            follow_workers=lambda report: FixedWorkerList(entries, report),
            lease_ms=LEASE_MS,
            keep_ended_ms=KEEP_ENDED_MS,
            metrics=metrics_registry,
            clock=clock,
            advice_service=SingleWorkerAdvice(),
        )
        self.identity = claiming.HostIdentity(name, f"boot-{name}", "bole", 1.0)
        self.ownership = ownership_module.Ownership(self.deps, self.identity)
        stack.callback(self.ownership.stop, 2_000)

    def disconnect(self) -> None:
        """Cuts the host from the store and all workers."""
        self.is_unreachable = True
        self.store.is_cut = True


class BadRecordsTest(testtools.TestCase):
    """Malformed records in the topics that a new owner reads."""

    def setUp(self) -> None:
        super().setUp()
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        self.store = record_store.MemoryStore()
        clock = clock_port.SystemClock()
        worker = fake_workers.FakeWorker(fake_workers.entry("w1"), clock)
        self.host = Host("one", self.store, {"w1": worker}, stack)

    def store_malformed(self, topic: str, key: str) -> None:
        """Stores a record that no host can read."""
        self.store.append(topic, 0, (store_port.NewRecord(key, b"\xff{"),))

    def take_over(self) -> None:
        """Starts the host and waits until it owns the cell."""
        self.host.ownership.start()
        deadline_s = time.monotonic() + 5
        while not self.host.ownership.is_owner:
            self.assertLess(time.monotonic(), deadline_s)
            time.sleep(0.02)

    def test_malformed_claim_keeps_nobody_from_claiming(self) -> None:
        self.store_malformed(records.CLAIMS_TOPIC, "cell/0")
        self.take_over()

    def test_malformed_progress_is_skipped(self) -> None:
        self.store_malformed(records.WORK_TOPIC, "f" * 16)
        self.take_over()

    def test_wave_without_a_number_is_skipped(self) -> None:
        self.store_malformed(records.WORK_TOPIC, records.WAVE_PREFIX + "x")
        self.take_over()

    def test_malformed_job_and_heartbeat_are_skipped(self) -> None:
        self.store_malformed(records.JOBS_TOPIC, records.JOB_PREFIX + "f" * 16)
        self.store_malformed(records.JOBS_TOPIC, records.HEARTBEAT_KEY)
        self.take_over()


class StoppingTest(testtools.TestCase):
    """Hosts that are stopped while they claim a cell."""

    def setUp(self) -> None:
        super().setUp()
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        self.store = record_store.MemoryStore()
        self.host = Host("two", self.store, {}, stack)
        # A host claims the cell of its own previous incarnation at once.
        self.previous = records.HeartbeatRecord("two", "boot-before", 0)
        record = store_port.NewRecord(
            records.HEARTBEAT_KEY, records.encode(self.previous)
        )
        self.store.append(records.JOBS_TOPIC, 0, (record,))
        self.assertTrue(self.host.reader.wait_for(0, 2_000))

    def claim_and_stop_at(self, name: str, topic: str) -> list[tuple[str, str]]:
        """Claims the cell; a call of the store starts the stop.

        Returns:
            The calls that follow.
        """
        calls: list[tuple[str, str]] = []
        ownership = self.host.ownership

        def on_call(call_name: str, call_topic: str) -> None:
            if call_name == "read":
                return
            if ownership._stopping.is_set():
                calls.append((call_name, call_topic))
            elif (call_name, call_topic) == (name, topic):
                ownership._stopping.set()

        self.host.store.on_call = on_call
        ownership._check_owner()
        self.assertTrue(ownership._stopping.is_set())
        return calls

    def last_heartbeat(self) -> records.HeartbeatRecord:
        """Returns the newest heartbeat in the store."""
        (record,) = self.store.newest(records.JOBS_TOPIC, 0).unwrap().records
        return records.decode(records.HeartbeatRecord, record.value)

    def test_host_that_stops_claims_nothing(self) -> None:
        # The stop came while the claims were read.
        self.claim_and_stop_at("newest", records.CLAIMS_TOPIC)
        self.assertEqual([], self.store.keys(records.CLAIMS_TOPIC, 0))

    def test_claim_won_during_the_stop_is_released_by_one_append(self) -> None:
        # The host took the cell over and gave it up 0.3 s later.
        calls = self.claim_and_stop_at("append", records.CLAIMS_TOPIC)
        self.assertEqual([("append", records.JOBS_TOPIC)], calls)
        last = self.last_heartbeat()
        self.assertEqual((1, True), (last.token, last.is_released))

    def test_claim_won_during_the_stop_vouches_for_no_earlier_owner(
        self,
    ) -> None:
        self.claim_and_stop_at("append", records.CLAIMS_TOPIC)
        self.assertEqual(
            LONGEST_LEASES_MS, self.last_heartbeat().earlier_leases_ms
        )

    def test_stop_during_the_takeover_opens_no_sessions(self) -> None:
        self.host.ownership._deps = attrs.evolve(
            self.host.deps, follow_workers=self.fail
        )
        calls = self.claim_and_stop_at("newest", records.WORK_TOPIC)
        self.assertEqual(("append", records.JOBS_TOPIC), calls[-1])
        self.assertTrue(self.last_heartbeat().is_released)

    def test_cell_given_up_in_a_stop_is_claimed_at_once(self) -> None:
        self.claim_and_stop_at("append", records.CLAIMS_TOPIC)
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        started_s = time.monotonic()
        other = Host("one", self.store, {}, stack)
        other.ownership.start()
        while not other.ownership.is_owner:
            elapsed_ms = (time.monotonic() - started_s) * 1_000
            self.assertLess(elapsed_ms, claiming.OWNER_TIMEOUT_MS / 2)
            time.sleep(0.01)


class ReleaseTest(testtools.TestCase):
    """Takeovers, and when runs of earlier owners must have ended."""

    def setUp(self) -> None:
        super().setUp()
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        self.store = record_store.MemoryStore()
        self.host = Host("three", self.store, {}, stack)
        self.silent = records.HeartbeatRecord("one", "boot-one", 1)
        workers = records.WorkersRecord({"w1": 1})
        record = store_port.NewRecord(
            records.WORKERS_KEY, records.encode(workers)
        )
        self.store.append(records.WORK_TOPIC, 0, (record,))

    def read_heartbeat(self, heartbeat: records.HeartbeatRecord) -> int:
        """Stores a heartbeat; returns when the host has read it."""
        record = store_port.NewRecord(
            records.HEARTBEAT_KEY, records.encode(heartbeat)
        )
        offset = self.store.append(records.JOBS_TOPIC, 0, (record,)).unwrap()
        self.assertTrue(self.host.reader.wait_for(offset, 2_000))
        return self.host.replica.last_heartbeat.seen_ms

    def release_after_ms(self, predecessor: records.HeartbeatRecord) -> int:
        """Takes the cell over; returns when earlier leases have ended."""
        heartbeat = records.HeartbeatRecord("three", "boot-three", 9)
        host = self.host
        with fenced_writer_module.FencedWriter(
            host.store, 0, heartbeat, lambda _: None, host.clock
        ) as writer:
            recovered = takeover.take_over(
                host.deps, host.identity, 9, writer, predecessor
            )
        return recovered.known_workers["w1"].release_after_ms

    def test_takeover_ends_the_pause_between_reads(self) -> None:
        # A host read its own first heartbeat up to 0.4 s late.
        self.read_heartbeat(self.silent)
        self.host.reader.pause_ms = 2_000
        time.sleep(0.2)
        started_s = time.monotonic()
        self.release_after_ms(self.silent)
        self.assertLess(time.monotonic() - started_s, 1.0)

    def test_wait_counts_from_the_last_heartbeat_that_was_read(self) -> None:
        read_ms = self.read_heartbeat(self.silent)
        time.sleep(0.3)
        self.assertEqual(
            read_ms + LONGEST_LEASES_MS, self.release_after_ms(self.silent)
        )

    def test_wait_includes_leases_from_before_an_owner_that_released(
        self,
    ) -> None:
        # An owner that stopped soon after it had replaced a silent one let its
        # successor wait for its own leases only.
        self.read_heartbeat(self.silent)
        released = records.HeartbeatRecord(
            "two", "boot-two", 2, is_released=True, earlier_leases_ms=5_000
        )
        read_ms = self.read_heartbeat(released)
        self.assertEqual(read_ms + 5_000, self.release_after_ms(released))

    def test_wait_includes_leases_from_before_an_owner_that_restarted(
        self,
    ) -> None:
        crashed = records.HeartbeatRecord(
            "three", "boot-before", 2, earlier_leases_ms=5_000
        )
        read_ms = self.read_heartbeat(crashed)
        self.assertEqual(read_ms + 5_000, self.release_after_ms(crashed))

    def test_wait_includes_an_owner_between_the_decision_and_the_claim(
        self,
    ) -> None:
        # The wait followed the heartbeat seen at the decision to claim.
        released = attrs.evolve(self.silent, is_released=True)
        self.read_heartbeat(released)
        between = records.HeartbeatRecord("two", "boot-two", 2)
        read_ms = self.read_heartbeat(between)
        self.assertEqual(
            read_ms + LONGEST_LEASES_MS, self.release_after_ms(released)
        )


class TakeoverTest(testtools.TestCase):
    """Two hosts, one store and two workers."""

    def setUp(self) -> None:
        super().setUp()
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.store = record_store.MemoryStore()
        clock = clock_port.SystemClock()
        self.workers = {
            name: fake_workers.FakeWorker(fake_workers.entry(name), clock)
            for name in ("w1", "w2")
        }
        self.first = Host("one", self.store, self.workers, self.stack)
        self.second = Host("two", self.store, self.workers, self.stack)
        self.first.ownership.start()
        self.wait_for(lambda: self.first.ownership.is_owner)
        self.second.ownership.start()

    def wait_for(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition holds."""
        deadline_s = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline_s, "timed out")
            time.sleep(0.01)

    def running(self) -> dict[str, int]:
        """Returns the run numbers of the tasks that run on any worker."""
        running: dict[str, int] = {}
        for worker in self.workers.values():
            running.update(worker.running)
        return running

    def test_runs_of_a_failed_owner_are_adopted_and_not_repeated(self) -> None:
        self.first.job_api.submit(harness.job(harness.step(3)), 2_000)
        self.wait_for(lambda: len(self.running()) == 3)
        self.first.disconnect()
        self.wait_for(lambda: self.second.ownership.is_owner)
        for worker in self.workers.values():
            worker.end_all(cell_workers.RunEnd.DONE)
        completed = records.JobState.COMPLETED
        self.wait_for(lambda: self.second.job_api.state(ID) is completed)
        starts = [
            start for worker in self.workers.values() for start in worker.starts
        ]
        self.assertEqual(3, len(starts))

    def test_owner_that_stops_hands_over_at_once(self) -> None:
        started_s = time.monotonic()
        self.first.ownership.stop(2_000)
        self.wait_for(lambda: self.second.ownership.is_owner)
        elapsed_ms = (time.monotonic() - started_s) * 1_000
        self.assertLess(elapsed_ms, claiming.OWNER_TIMEOUT_MS)

    def test_owner_that_stops_early_hands_on_the_wait_for_earlier_leases(
        self,
    ) -> None:
        # Its successor took all leases of the silent owner before for ended.
        self.wait_for(lambda: self.recorded_workers() == {"w1", "w2"})
        self.first.store.is_cut = True
        self.wait_for(lambda: self.second.ownership.is_owner)
        self.second.ownership.stop(2_000)
        (record,) = self.store.newest(records.JOBS_TOPIC, 0).unwrap().records
        last = records.decode(records.HeartbeatRecord, record.value)
        self.assertTrue(last.is_released)
        self.assertGreater(last.earlier_leases_ms, LEASE_MS)

    def test_job_submitted_to_any_host_reaches_the_owner(self) -> None:
        self.second.job_api.submit(harness.job(), 2_000)
        self.wait_for(lambda: len(self.running()) == 1)
        running = records.JobState.RUNNING
        self.wait_for(lambda: self.second.job_api.state(ID) is running)

    def test_owner_cut_from_the_store_starts_no_later_jobs(
        self,
    ) -> None:
        self.first.store.is_cut = True
        self.wait_for(lambda: self.second.ownership.is_owner)
        self.second.job_api.submit(harness.job(harness.step(2)), 2_000)
        self.wait_for(lambda: len(self.running()) == 2)
        starts = [
            start for worker in self.workers.values() for start in worker.starts
        ]
        self.assertEqual({2}, {start.token for start in starts})

    def test_ended_job_is_dropped_from_the_store_after_a_while(self) -> None:
        self.first.job_api.submit(harness.job(), 2_000)
        self.wait_for(lambda: len(self.running()) == 1)
        for worker in self.workers.values():
            worker.end_all(cell_workers.RunEnd.DONE)
        unknown = job_api_module.UnknownJob()
        self.wait_for(lambda: self.second.job_api.state(ID) == unknown)
        newest = self.store.newest(records.JOBS_TOPIC, 0).unwrap()
        self.assertEqual(["owner"], [record.key for record in newest.records])

    def test_cancelled_job_stops_running(self) -> None:
        self.first.job_api.submit(harness.job(harness.step(2)), 2_000)
        self.wait_for(lambda: len(self.running()) == 2)
        self.second.job_api.cancel(ID, 2_000)
        self.wait_for(lambda: not self.running())

    def test_steps_that_require_advice_start_with_tickets(self) -> None:
        queue = attrs.evolve(
            harness.QUEUE, advice=specs.AdviceSpec(50.0, 5.0, 3_000.0)
        )
        job = attrs.evolve(harness.job(harness.step(3)), queue=queue)
        self.first.job_api.submit(job, 2_000)
        self.wait_for(lambda: len(self.running()) == 3)
        starts = [
            start for worker in self.workers.values() for start in worker.starts
        ]
        self.assertEqual(
            {ALLOWED_WORKER}, {start.worker_id for start in starts}
        )
        self.assertEqual(
            {f"{ID}.0.0/{ALLOWED_WORKER}"}, {start.ticket for start in starts}
        )

    def test_new_owner_restores_learned_models(self) -> None:
        learned = records.LearnedRecord(
            (records.LearnedPressure("press", 2.0, 0.5),),
            base_ms={"serve": 4.0},
        )
        record = store_port.NewRecord(
            records.LEARNED_KEY, records.encode(learned)
        )
        self.store.append(records.WORK_TOPIC, 0, (record,))
        heartbeat = records.HeartbeatRecord("two", "boot-two", 9)
        with fenced_writer_module.FencedWriter(
            self.second.store, 0, heartbeat, lambda _: None, self.second.clock
        ) as writer:
            recovered = takeover.take_over(
                self.second.deps, self.second.identity, 9, writer, None
            )
        self.assertEqual(learned, recovered.learned)

    def test_divided_progress_is_recovered(self) -> None:
        self.append_work(ID, records.ProgressRecord((), 7))
        for index in (3, 70):
            step = records.StepProgress(0, 0, (index,))
            key = f"{ID}/0.0.{index // 32}"
            self.append_work(key, records.ProgressRecord((step,)))
        recovered = self.take_over_from_store()
        progress = recovered.progress[ID]
        self.assertEqual([(3,), (70,)], [step.done for step in progress.steps])
        self.assertEqual(7, progress.reserved_run)
        self.assertEqual(
            (f"{ID}/0.0.0", f"{ID}/0.0.2"), recovered.progress_keys[ID]
        )

    def append_work(self, key: str, record: object) -> None:
        """Stores a record of a previous owner."""
        new_record = store_port.NewRecord(key, records.encode(record))
        self.store.append(records.WORK_TOPIC, 0, (new_record,))

    def take_over_from_store(self) -> recovered_state.RecoveredState:
        """Returns what the second host recovers."""
        heartbeat = records.HeartbeatRecord("two", "boot-two", 9)
        with fenced_writer_module.FencedWriter(
            self.second.store, 0, heartbeat, lambda _: None, self.second.clock
        ) as writer:
            recovered = takeover.take_over(
                self.second.deps, self.second.identity, 9, writer, None
            )
        assert recovered is not None
        return recovered

    def test_takeover_does_not_wait_for_workers_without_runs(self) -> None:
        # Guards against waiting for workers that can't have runs: machines in
        # maintenance delayed the tasks of a new owner by the lease duration.
        self.workers["w2"].is_unreachable = True
        self.first.job_api.submit(harness.job(harness.step(3)), 2_000)
        self.wait_for(lambda: len(self.workers["w1"].running) == 3)
        self.wait_for(lambda: self.recorded_workers() == {"w1"})
        self.first.disconnect()
        self.wait_for(lambda: self.second.ownership.is_owner)
        started_s = time.monotonic()
        self.workers["w1"].end_all(cell_workers.RunEnd.STOPPED)
        self.wait_for(lambda: len(self.workers["w1"].running) == 3)
        self.assertLess(time.monotonic() - started_s, 2.5)

    def recorded_workers(self) -> set[str]:
        """Returns the workers that may have runs according to the store."""
        batch = self.store.newest(records.WORK_TOPIC, 0).unwrap()
        for record in batch.records:
            if record.key == records.WORKERS_KEY and record.value is not None:
                workers = records.decode(records.WorkersRecord, record.value)
                return set(workers.born_ms)
        return set()

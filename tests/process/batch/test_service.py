"""Tests of two threaded services with in-memory log and simulated workers."""

from __future__ import annotations

import collections
import contextlib
import time
from typing import Any

import msgspec
import result
import testtools

from comfreylatch._connection import http
from comfreylatch._connection import worker_client
from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import hosts
from comfreylatch._ports import log as log_port
from comfreylatch._ports import workers
from comfreylatch._process import journal as journal_module
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import settings as settings_module
from comfreylatch._process.batch import service as service_module
from comfreylatch._version import configuration as configuration_module
from comfreylatch._version import objects
from testing.fakes import log as fake_log
from testing.fakes import zone as fake_zone
from testing.standins import serving
from testing.standins import worker_host
from testing.standins import worker_model
from testing.standins import worker_records

ZONE = "bole"
WORKER_CAPACITY = workers.Resources(4_000, 4_000)
LIMITS = objects.Limits(lease_ms=2_500, claim_ms=1_500, drift_margin_ms=200)
WAIT_TIMEOUT_S = 30.0


class HostLink:
    """A host's connections to log and workers, which tests can cut."""

    def __init__(self, log: fake_log.FakeLog) -> None:
        self._log = log
        self._client = worker_client.WorkerClient()
        self.log_cut = False
        self.workers_cut = False

    def append(self, stream: str, payloads: Any) -> Any:
        """See `LogPort.append`."""
        if self.log_cut:
            return result.Err(log_port.LogUnavailable("cut"))
        return self._log.append(stream, payloads)

    def read(
        self, stream: str, offset: int, max_entries: int, wait_ms: int
    ) -> Any:
        """See `LogPort.read`."""
        if self.log_cut:
            time.sleep(0.05)
            return result.Err(log_port.LogUnavailable("cut"))
        return self._log.read(stream, offset, max_entries, min(wait_ms, 200))

    def exchange(self, address: str, exchange: Any, timeout_ms: int) -> Any:
        """See `WorkerPort.exchange`."""
        if self.workers_cut:
            return result.Err(workers.WorkerUnreachable("cut"))
        return self._client.exchange(address, exchange, timeout_ms)


class ServiceTest(testtools.TestCase):
    """Invariants checked against the workers' own records."""

    def setUp(self) -> None:
        """Starts three workers and two services."""
        super().setUp()
        self.events = serving.Journal()
        specs = [
            worker_records.WorkerSpec(f"w{index}", WORKER_CAPACITY)
            for index in range(3)
        ]
        model = worker_model.WorkModel()
        self.fleet = [
            worker_host.WorkerHost(spec, model, 1.0, self.events)
            for spec in specs
        ]
        for worker in self.fleet:
            self.addCleanup(worker.listener.refuse)
        self.log = fake_log.FakeLog()
        self.links = [HostLink(self.log), HostLink(self.log)]
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        self.services = [
            stack.enter_context(self._service(index)) for index in range(2)
        ]
        for service in self.services:
            service.update_host_list(self._host_list())

    def _host_list(self) -> hosts.HostList:
        return hosts.HostList(
            tuple(
                hosts.ListedHost(
                    worker.spec.name,
                    hosts.HostKind.WORKER,
                    hosts.HostState.LIVE,
                    ZONE,
                    "rack-0",
                    worker.listener.address,
                    "standard",
                )
                for worker in self.fleet
            )
        )

    def _service(self, index: int) -> service_module.BatchService:
        clock = clock_port.SystemClock()
        platform = settings_module.PlatformSettings("", "")
        seat = f"seat-{index}"
        settings = settings_module.Settings(seat, ZONE, "", "", "", platform)
        source = fake_zone.FakeConfigurationSource(
            configuration_module.Configuration(
                offset=1,
                teams={"faculty": objects.Team(WORKER_CAPACITY)},
                worker_classes={
                    "standard": objects.WorkerClass(WORKER_CAPACITY)
                },
                zones={ZONE: objects.Zone((seat,), autonomy_ms=3_000)},
                limits=LIMITS,
            )
        )
        return service_module.BatchService(
            settings,
            seat,
            self.links[index],
            source,
            self.links[index],
            journal_module.Journal(seat, clock),
            metrics_module.Metrics(),
            clock,
        )

    def _submit(self, count: int, run_time_ms: int, first: int = 0) -> None:
        for number in range(first, first + count):
            job = {
                "id": f"job-{number}",
                "team": "faculty",
                "resources": {"processors_milli": 1_000, "memory_mib": 100},
                "run_time_ms": run_time_ms,
            }
            body = msgspec.json.encode(job)
            request = http.HttpRequest("POST", "/jobs", {}, {}, body)
            replies = [
                service.handle(request).status
                for service in self.services
                if not self.links[self.services.index(service)].log_cut
            ]
            self.assertEqual({200}, set(replies))

    def _wait_until(self, condition: Any) -> None:
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            self.assertLess(
                time.monotonic(), deadline, "condition not met in time"
            )
            for worker in self.fleet:
                worker.advance()
            time.sleep(0.02)

    def _owner_index(self) -> int:
        owners = [
            index
            for index, service in enumerate(self.services)
            if service.status().owner.holds
        ]
        return owners[0] if owners else -1

    def _wait_for_owner(self) -> int:
        self._wait_until(lambda: self._owner_index() >= 0)
        return self._owner_index()

    def _wait_for_running(self, count: int) -> None:
        self._wait_until(lambda: self._count("start") >= count)

    def _wait_for_ends(self, service: service_module.BatchService) -> None:
        def all_ended() -> bool:
            status = service.status().owner
            return status.queued + status.running == 0

        self._wait_until(all_ended)

    def _records(self) -> list[worker_records.WorkerEvent]:
        return list(self.events.page(0)["events"])

    def _count(self, kind: str) -> int:
        return sum(event.kind == kind for event in self._records())

    def _assert_invariants(self) -> None:
        """Checks that no job ran twice and no worker exceeded its capacity."""
        running: collections.Counter[str] = collections.Counter()
        for event in sorted(self._records(), key=lambda event: event.at_ms):
            if event.kind == "start":
                running[event.job] += 1
                self.assertEqual(1, running[event.job], event)
            elif event.kind == "end":
                running[event.job] -= 1
            self.assertTrue(
                worker_model.fits(event.used, event.capacity), event
            )

    def test_jobs_finish_once(self) -> None:
        """Without faults each job starts and ends once."""
        self._wait_for_owner()
        self._submit(12, 300)
        self._wait_for_ends(self.services[0])
        self._assert_invariants()
        self.assertEqual(12, self._count("start"))

    def test_owner_cut_from_the_log_is_replaced(self) -> None:
        """Running work continues under the successor without a restart."""
        first_owner = self._wait_for_owner()
        self._submit(6, 6_000)
        self._wait_for_running(6)
        self.links[first_owner].log_cut = True
        self._wait_until(lambda: self._owner_index() == 1 - first_owner)
        self._wait_for_ends(self.services[1 - first_owner])
        self._assert_invariants()
        self.assertEqual(6, self._count("start"))

    def test_owner_cut_from_everything_is_replaced(self) -> None:
        """No job runs twice and all jobs end."""
        first_owner = self._wait_for_owner()
        self._submit(6, 4_000)
        self._wait_for_running(6)
        self.links[first_owner].log_cut = True
        self.links[first_owner].workers_cut = True
        self._wait_until(lambda: self._owner_index() == 1 - first_owner)
        self._wait_for_ends(self.services[1 - first_owner])
        self._assert_invariants()

    def test_dead_worker_loses_only_its_own_work(self) -> None:
        """Its attempts restart elsewhere after its lease has expired."""
        self._wait_for_owner()
        self._submit(9, 3_000)
        self._wait_for_running(9)
        self.fleet[0].change({"kill": True, "refuse": True})
        self._wait_for_ends(self.services[0])
        self._assert_invariants()
        elsewhere = [
            event
            for event in self._records()
            if event.kind == "start" and event.attempt > 1
        ]
        self.assertTrue(elsewhere)
        self.assertNotIn("w0", {event.worker for event in elsewhere})

    def test_planned_stop_hands_over_without_a_restart(self) -> None:
        """The claim is released after the last command is sent."""
        first_owner = self._wait_for_owner()
        self._submit(6, 4_000)
        self._wait_for_running(6)
        self.services[first_owner].release()
        self._wait_for_ends(self.services[1 - first_owner])
        self._assert_invariants()
        self.assertEqual(6, self._count("start"))

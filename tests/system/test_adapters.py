"""Tests of the platform's adapters against stand-in processes."""

from __future__ import annotations

from concurrent import futures
import pathlib
import tempfile
from typing import Any

import testtools

from comfreylatch._connection import host_list_client
from comfreylatch._connection import log_client
from comfreylatch._connection import worker_client
from comfreylatch._ports import hosts as hosts_port
from comfreylatch._ports import log as log_port
from comfreylatch._ports import workers
from testing import processes

TIMEOUT_MS = 2_000
SIZE = workers.Resources(1_000, 512, 0)


class AdapterTest(testtools.TestCase):
    """Each adapter decodes the answers and faults of its stand-in."""

    def start(self, name: str, specs: Any = None) -> processes.StandIn:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name)
        stand_in = processes.start_stand_in(f"standins.{name}", path, (), specs)
        self.addCleanup(stand_in.process.stop)
        return stand_in

    def test_log_appends_and_wakes_a_waiting_reader(self) -> None:
        log = self.start("log")
        client = self.enterContext(
            log_client.LogClient(log.ready["address"], TIMEOUT_MS)
        )
        with futures.ThreadPoolExecutor(1) as pool:
            waiting = pool.submit(client.read, "s", 0, 10, 5_000)
            appended = client.append("s", [b"a", b"b"])
            batch = waiting.result().ok_value
        self.assertEqual(0, appended.ok_value)
        self.assertEqual(
            [b"a", b"b"], [entry.payload for entry in batch.entries]
        )
        self.assertEqual(2, batch.next_offset)

    def test_log_faults_are_told_apart(self) -> None:
        log = self.start("log")
        client = self.enterContext(
            log_client.LogClient(log.ready["address"], TIMEOUT_MS)
        )
        errors = []
        for fault in ({"lose_after": 1}, {"lose_before": 1}, {"down": True}):
            log.control(**fault)
            errors.append(type(client.append("s", [b"x"]).err_value))
        lost = log_port.LogAnswerLost
        self.assertEqual([lost, lost, log_port.LogUnavailable], errors)
        log.control(down=False, keep_records=1)
        client.append("s", [b"y"])
        expired = client.read("s", 0, 10, 0).err_value
        self.assertEqual(log_port.LogExpired(1), expired)

    def test_host_list_is_read(self) -> None:
        host_list = self.start("hosts")
        entry = {
            "name": "wk-1",
            "kind": "worker",
            "state": "live",
            "zone": "bole",
            "rack": "r",
            "address": "127.0.0.1:1",
            "worker_class": "c",
        }
        host_list.control(put=[entry], at_once=True)
        client = self.enterContext(
            host_list_client.HostListClient(
                host_list.ready["address"], TIMEOUT_MS
            )
        )
        (host,) = client.fetch().ok_value.hosts
        self.assertEqual(hosts_port.HostKind.WORKER, host.kind)
        host_list.control(down=True)
        self.assertTrue(client.fetch().is_err())

    def test_worker_runs_a_task_to_its_end(self) -> None:
        group = self.start(
            "worker", [{"name": "wk-1", "capacity": _fields(SIZE)}]
        )
        address = group.ready["addresses"]["wk-1"]
        client = worker_client.WorkerClient()

        def exchange(
            quoted: int, lease_ms: int, *commands: workers.Command
        ) -> workers.WorkerReport:
            sent = workers.Exchange("h", 1, quoted, lease_ms, commands)
            return client.exchange(address, sent, TIMEOUT_MS).ok_value

        start = workers.StartTask("j", 1, "stack", SIZE, 30)
        report = exchange(exchange(0, 0).report, 2_000, start)
        self.assertEqual((workers.CommandStatus.DONE,), report.statuses)
        while report.tasks[0].state is workers.TaskState.RUNNING:
            report = exchange(report.report, 2_000)
        self.assertEqual(workers.TaskState.FINISHED, report.tasks[0].state)
        self.assertEqual(30, report.tasks[0].progress_ms)

    def test_refusing_and_paused_workers_are_told_apart(self) -> None:
        group = self.start(
            "worker", [{"name": "wk-1", "capacity": _fields(SIZE)}]
        )
        address = group.ready["addresses"]["wk-1"]
        exchange = workers.Exchange("h", 1, 0, 0)
        client = worker_client.WorkerClient()
        errors = []
        for fault in ("pause", "refuse"):
            group.control(worker="*", **{fault: True})
            answer = client.exchange(address, exchange, 300)
            errors.append(type(answer.err_value))
            group.control(worker="*", **{fault: False})
        expected = [workers.WorkerAnswerLost, workers.WorkerUnreachable]
        self.assertEqual(expected, errors)


def _fields(size: workers.Resources) -> dict[str, int]:
    return {
        "processors_milli": size.processors_milli,
        "memory_mib": size.memory_mib,
        "accelerators": size.accelerators,
    }

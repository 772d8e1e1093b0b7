"""Tests of the worker client against a stand-in worker."""

from __future__ import annotations

import socket

import result
import testtools

from comfreylatch._connection import worker_client
from comfreylatch._ports import workers
from testing.standins import serving
from testing.standins import worker_host
from testing.standins import worker_model
from testing.standins import worker_records

AMOUNT = workers.Resources(4_000, 4_000)
TIMEOUT_MS = 1_000


def exchange_with(
    address: str, *commands: workers.Command, quoted: int = 0
) -> object:
    """Makes one exchange with a worker."""
    lease_ms = 5_000 if quoted else 0
    exchange = workers.Exchange("host", 1, quoted, lease_ms, commands)
    return worker_client.WorkerClient().exchange(address, exchange, TIMEOUT_MS)


class WorkerClientTest(testtools.TestCase):
    """Exchanges over HTTP."""

    def _worker(self) -> worker_host.WorkerHost:
        worker = worker_host.WorkerHost(
            worker_records.WorkerSpec("w0", AMOUNT),
            worker_model.WorkModel(),
            1.0,
            serving.Journal(),
        )
        self.addCleanup(worker.listener.refuse)
        return worker

    def test_every_command_is_executed(self) -> None:
        """All kinds reach the worker in their order."""
        address = self._worker().listener.address
        first = exchange_with(address).unwrap()
        size = workers.Resources(1_000, 100)
        answer = exchange_with(
            address,
            workers.StartTask("job", 1, "stack", size, 60_000),
            workers.ThrottleTask("job", 1, 500),
            workers.CheckpointTask("job", 1),
            workers.StopTask("job", 1),
            workers.ForgetTask("job", 1),
            quoted=first.report,
        ).unwrap()
        self.assertEqual((workers.CommandStatus.DONE,) * 5, answer.statuses)
        self.assertEqual(workers.TaskState.STOPPED, answer.tasks[0].state)

    def test_refused_connection_is_unreachable(self) -> None:
        """No byte was sent."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
        answer = exchange_with(f"127.0.0.1:{port}")
        self.assertIsInstance(answer.err_value, workers.WorkerUnreachable)

    def test_silence_after_sending_is_a_lost_answer(self) -> None:
        """The worker may have carried the exchange out."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            answer = exchange_with(f"127.0.0.1:{port}")
        self.assertIsInstance(answer.err_value, workers.WorkerAnswerLost)

    def test_malformed_address_is_unreachable(self) -> None:
        """The address is refused before anything is sent."""
        answer = exchange_with("worker:80")
        self.assertIsInstance(answer, result.Err)
        self.assertIsInstance(answer.err_value, workers.WorkerUnreachable)

    def test_malformed_report_is_a_lost_answer(self) -> None:
        """A malformed report doesn't raise."""
        answer = worker_client.decode_report(b'{"worker": 7}', 0)
        self.assertIsInstance(answer.err_value, workers.WorkerAnswerLost)

    def test_missing_statuses_are_a_lost_answer(self) -> None:
        """Fewer statuses than commands can't be matched."""
        body = (
            b'{"worker": "w", "boot": "b", "report": 1, "highest_term": 1,'
            b' "lease_left_ms": 0, "capacity":'
            b' {"processors_milli": 1, "memory_mib": 1}}'
        )
        self.assertTrue(worker_client.decode_report(body, 0).is_ok())
        answer = worker_client.decode_report(body, 1)
        self.assertIsInstance(answer.err_value, workers.WorkerAnswerLost)

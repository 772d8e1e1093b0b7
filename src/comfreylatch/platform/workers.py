"""HTTP client of executors, and their entries in the store."""

from __future__ import annotations

import re
from typing import Any
from typing import final

import result

from comfreylatch._connection import address
from comfreylatch._connection import json_call
from comfreylatch._ports import cell_workers
from comfreylatch.platform import wire

# One connection for the long-polling hold, one for other orders.
POOL_SIZE = 2
_DRAINING = "draining"
# Each call names the worker by its id in a header.
_WORKER_ID = re.compile(r"[!-~]+")
_STATES = frozenset({"ready", _DRAINING})
_REFUSALS = {
    "fence": cell_workers.Refusal.FENCED,
    "old": cell_workers.Refusal.OLD_RUN,
    "late": cell_workers.Refusal.TOO_LATE,
    "room": cell_workers.Refusal.NO_ROOM,
    "ticket": cell_workers.Refusal.NO_TICKET,
}
_STATUS_REFUSALS = {
    400: cell_workers.Refusal.BAD_ORDER,
    421: cell_workers.Refusal.OTHER_INCARNATION,
    429: cell_workers.Refusal.UNHEALTHY,
    503: cell_workers.Refusal.UNHEALTHY,
}


def decode_worker(worker_id: str, value: bytes) -> cell_workers.WorkerEntry:
    """Decodes an executor's entry.

    Args:
        worker_id: Key of the record.
        value: Value of the record.

    Raises:
        wire.BadMessageError: The entry is malformed or unusable.
    """
    record = wire.decode(wire.WorkerRecord, value)
    if record.state not in _STATES:
        raise wire.BadMessageError(f"unknown state {record.state!r}")
    if not _WORKER_ID.fullmatch(worker_id):
        raise wire.BadMessageError(
            f"id {worker_id!r} can't be sent in a header"
        )
    return cell_workers.WorkerEntry(
        worker_id=worker_id,
        address=_decode_address(record.address),
        service=record.service,
        zone=record.zone,
        is_draining=record.state == _DRAINING,
        capacity=cell_workers.Resources(
            max(int(record.capacity.cpu_millicores), 0),
            max(int(record.capacity.memory_mb), 0),
            max(int(record.capacity.gpus), 0),
        ),
        labels=record.labels,
        born_ms=record.born,
    )


def _decode_address(text: str) -> str:
    match address.parse(text):
        case result.Ok(address.Address(_, 0)):
            raise wire.BadMessageError(f"no worker listens on {text!r}")
        case result.Ok(parsed):
            return str(parsed)
        case result.Err(address.BadAddress(detail)):
            raise wire.BadMessageError(f"address: {detail}")


@final
class WorkerClient:
    """Implements `WorkerOrders` for one incarnation of an executor.

    Thread-safe.
    """

    def __init__(self, entry: cell_workers.WorkerEntry) -> None:
        self._entry = entry
        self._pool = json_call.open_pool(entry.address, POOL_SIZE)
        self._headers = {
            "Content-Type": "application/json",
            "X-Expected-Instance": entry.worker_id,
        }

    def hold(
        self, order: cell_workers.HoldOrder, timeout_ms: int
    ) -> result.Result[cell_workers.HoldAnswer, cell_workers.OrderError]:
        """See `WorkerOrders.hold`."""
        body: dict[str, Any] = {
            "FencingToken": order.token,
            # The executor drops ends up to this number.
            "LastSeen": order.acknowledged_end,
        }
        if order.deadline_ms:
            body["DeadlineMs"] = order.deadline_ms
        if order.wait_ms:
            body["WaitMs"] = order.wait_ms
        answered = self._call("/v1/hold", body, timeout_ms)
        match answered:
            case result.Ok(answer):
                return self._decode_hold(answer)
            case result.Err(error):
                return result.Err(error)

    def _decode_hold(
        self, answer: bytes
    ) -> result.Result[cell_workers.HoldAnswer, cell_workers.OrderError]:
        try:
            reply = wire.decode(wire.HoldReply, answer)
            if reply.born and reply.born != self._entry.born_ms:
                return result.Err(
                    cell_workers.OrderRefused(
                        cell_workers.Refusal.OTHER_INCARNATION
                    )
                )
            return result.Ok(
                cell_workers.HoldAnswer(
                    int(reply.clock_ms),
                    tuple(_decode_running(row) for row in reply.running),
                    tuple(_decode_ended(row) for row in reply.ended),
                )
            )
        except (
            wire.BadMessageError,
            ValueError,
            TypeError,
            IndexError,
        ) as error:
            return result.Err(cell_workers.OrderUnanswered(str(error)))

    def start(
        self, order: cell_workers.StartOrder, timeout_ms: int
    ) -> result.Result[int, cell_workers.OrderError]:
        """See `WorkerOrders.start`."""
        body: dict[str, Any] = {
            "Task": order.task,
            "Run": order.run,
            "Specification": order.payload,
            "DeadlineMs": order.deadline_ms,
            "FencingToken": order.token,
        }
        if order.checkpoint:
            body["Checkpoint"] = order.checkpoint
        if order.ticket:
            body["Ticket"] = order.ticket
        return self._send_order("/v1/run-start", body, timeout_ms)

    def stop(
        self, order: cell_workers.StopOrder, timeout_ms: int
    ) -> result.Result[int, cell_workers.OrderError]:
        """See `WorkerOrders.stop`."""
        body = {
            "Task": order.task,
            "Run": order.run,
            "FencingToken": order.token,
        }
        return self._send_order("/v1/run-stop", body, timeout_ms)

    def pace(
        self, order: cell_workers.PaceOrder, timeout_ms: int
    ) -> result.Result[int, cell_workers.OrderError]:
        """See `WorkerOrders.pace`."""
        body = {
            "Task": order.task,
            "Run": order.run,
            "Percent": order.percent,
            "FencingToken": order.token,
        }
        return self._send_order("/v1/pace", body, timeout_ms)

    def close(self) -> None:
        """See `WorkerOrders.close`."""
        self._pool.close()

    def _send_order(
        self, path: str, body: dict[str, Any], timeout_ms: int
    ) -> result.Result[int, cell_workers.OrderError]:
        match self._call(path, body, timeout_ms):
            case result.Ok(answer):
                try:
                    reply = wire.decode(wire.OrderReply, answer)
                except wire.BadMessageError as error:
                    return result.Err(cell_workers.OrderUnanswered(str(error)))
                return result.Ok(int(reply.clock_ms))
            case result.Err(error):
                return result.Err(error)

    def _call(
        self, path: str, body: dict[str, Any], timeout_ms: int
    ) -> result.Result[bytes, cell_workers.OrderError]:
        match json_call.call(
            self._pool,
            "POST",
            path,
            wire.encode(body),
            timeout_ms,
            self._headers,
        ):
            case result.Ok(answer) if answer.status == 200:
                return result.Ok(answer.body)
            case result.Ok(answer):
                return result.Err(_decode_refusal(answer))
            case result.Err(json_call.NotSent(detail)):
                return result.Err(cell_workers.OrderNotSent(detail))
            case result.Err(json_call.AnswerLost(detail)):
                return result.Err(cell_workers.OrderUnanswered(detail))


def _decode_refusal(answer: json_call.Answer) -> cell_workers.OrderError:
    if answer.status == 409:
        try:
            reply = wire.decode(wire.OrderReply, answer.body)
        except wire.BadMessageError as error:
            return cell_workers.OrderUnanswered(str(error))
        if reply.reason in _REFUSALS:
            return cell_workers.OrderRefused(_REFUSALS[reply.reason])
    elif answer.status in _STATUS_REFUSALS:
        return cell_workers.OrderRefused(_STATUS_REFUSALS[answer.status])
    return cell_workers.OrderUnanswered(f"status {answer.status}")


def _decode_running(row: tuple[Any, ...]) -> cell_workers.RunningTask:
    return cell_workers.RunningTask(
        task=str(row[0]),
        run=int(row[1]),
        checkpoint=str(row[2] or ""),
        percent=float(row[3]),
        reading=int(row[4]) if len(row) > 4 and row[4] is not None else 0,
    )


def _decode_ended(row: tuple[int, str, int, str, str]) -> cell_workers.EndedRun:
    number, task, run, how, checkpoint = row
    return cell_workers.EndedRun(
        number, task, run, cell_workers.RunEnd(how), checkpoint
    )

"""Client of the platform's machines API, and its records of waves."""

from __future__ import annotations

import types
from typing import final
from typing import Self
import urllib.parse

import result

from comfreylatch._connection import json_call
from comfreylatch._ports import machines as machines_port
from comfreylatch._ports import store as store_port
from comfreylatch.platform import wire

# One call at a time, as the API limits its call rate.
POOL_SIZE = 1
WAVE_PREFIX = "wave/"
STATUS_TOPIC = "status"
STATUS_PARTITION = 0
# Maximum number of pages per list, so that an endless list can't block its
# reader.
MAX_PAGES = 100
_STATES = {
    "up": machines_port.MachineState.UP,
    "moving": machines_port.MachineState.MOVING,
    "upkeep": machines_port.MachineState.MAINTENANCE,
    "down": machines_port.MachineState.DOWN,
}
_REFUSALS = {
    "fence": machines_port.Refusal.FENCED,
    "busy": machines_port.Refusal.BUSY,
    "wave": machines_port.Refusal.OTHER_WAVE,
}


def decode_wave(value: bytes) -> machines_port.Wave:
    """Decodes a wave as written by operators.

    Raises:
        wire.BadMessageError: The record is malformed.
    """
    record = wire.decode(wire.WaveRecord, value)
    return machines_port.Wave(
        record.number,
        record.machines,
        int(record.duration_s * 1_000),
        max(record.most_at_once, 1),
    )


@final
class MachineClient:
    """Implements `Machines`. A context manager.

    Args:
        address: `IP:port` of the API.
        store: Store to which reports on waves are written.
    """

    def __init__(self, address: str, store: store_port.RecordStore) -> None:
        self._pool = json_call.open_pool(address, POOL_SIZE)
        self._store = store

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._pool.close()

    def machines(
        self, timeout_ms: int
    ) -> result.Result[
        tuple[machines_port.Machine, ...], machines_port.MachinesUnavailable
    ]:
        """See `Machines.machines`."""
        found: list[machines_port.Machine] = []
        target = "/v1/machines"
        for _ in range(MAX_PAGES):
            match json_call.call(self._pool, "GET", target, None, timeout_ms):
                case result.Ok(answer) if answer.status == 200:
                    pass
                case result.Ok(answer):
                    return _unavailable(f"status {answer.status}")
                case result.Err(error):
                    return _unavailable(error.detail)
            try:
                page = wire.decode(wire.MachinesReply, answer.body)
            except wire.BadMessageError as error:
                return _unavailable(str(error))
            found.extend(_decode_machine(entry) for entry in page.machines)
            if not page.next_page:
                return result.Ok(tuple(found))
            query = urllib.parse.urlencode({"PageToken": page.next_page})
            target = f"/v1/machines?{query}"
        return _unavailable(
            f"the list of machines has more than {MAX_PAGES} pages"
        )

    def maintain(
        self, order: machines_port.MaintenanceOrder, timeout_ms: int
    ) -> result.Result[None, machines_port.MaintenanceError]:
        """See `Machines.maintain`."""
        headers = {
            "Content-Type": "application/json",
            "X-Lease-Holder": order.holder,
            "X-Fencing-Token": str(order.token),
        }
        body = wire.encode({"Machine": order.machine_id, "Wave": order.wave})
        match json_call.call(
            self._pool,
            "POST",
            "/v1/machine-upkeep",
            body,
            timeout_ms,
            headers,
        ):
            case result.Ok(answer) if answer.status == 200:
                return result.Ok(None)
            case result.Ok(answer):
                return result.Err(_decode_refusal(answer))
            case result.Err(json_call.NotSent(_)):
                return result.Err(
                    machines_port.MaintenanceRefused(
                        machines_port.Refusal.OVERLOADED
                    )
                )
            case result.Err(json_call.AnswerLost(detail)):
                return result.Err(machines_port.MaintenanceUnanswered(detail))

    def report(
        self, wave: int, is_completed: bool, timeout_ms: int
    ) -> result.Result[None, machines_port.MachinesUnavailable]:
        """See `Machines.report`."""
        state = "completed" if is_completed else "running"
        record = store_port.NewRecord(
            f"{WAVE_PREFIX}{wave}", wire.encode({"State": state})
        )
        match self._store.append(
            STATUS_TOPIC, STATUS_PARTITION, (record,), timeout_ms=timeout_ms
        ):
            case result.Ok(_):
                return result.Ok(None)
            case result.Err(error):
                return _unavailable(str(error))


def _unavailable(
    detail: str,
) -> result.Err[machines_port.MachinesUnavailable]:
    return result.Err(machines_port.MachinesUnavailable(detail))


def _decode_machine(entry: wire.MachineEntry) -> machines_port.Machine:
    # An unknown state counts as DOWN, in which no maintenance is ordered.
    state = _STATES.get(entry.state, machines_port.MachineState.DOWN)
    return machines_port.Machine(entry.machine_id, state, entry.worker_id or "")


def _decode_refusal(answer: json_call.Answer) -> machines_port.MaintenanceError:
    match answer.status:
        case 400:
            return machines_port.MaintenanceRefused(
                machines_port.Refusal.NO_SUCH_MACHINE
            )
        case 429 | 503:
            return machines_port.MaintenanceRefused(
                machines_port.Refusal.OVERLOADED
            )
        case 409:
            try:
                reply = wire.decode(wire.OrderReply, answer.body)
            except wire.BadMessageError as error:
                return machines_port.MaintenanceUnanswered(str(error))
            if reply.reason in _REFUSALS:
                return machines_port.MaintenanceRefused(_REFUSALS[reply.reason])
    return machines_port.MaintenanceUnanswered(f"status {answer.status}")

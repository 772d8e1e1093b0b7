"""Calls the machine API on a thread of its own, one call at a time."""

from __future__ import annotations

from collections.abc import Callable
import types
from typing import final
from typing import Self

import result

from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import machines as machines_port
from comfreylatch._process.cell import call_executor
from comfreylatch._process.cell import events
from comfreylatch._process.cell import wave_state

# The API may be fifty times slower than usual.
CALL_TIMEOUT_MS = 2_000


@final
class MachineCaller:
    """Executes maintenance actions one at a time. A context manager.

    Args:
        machines: The machine API.
        holder: Name of this host.
        token: The owner's fencing token.
        may_act: Tells whether this host is still the owner.
        post: Receives the outcome of each call as an event.
        clock: Measures the times of calls.
    """

    def __init__(
        self,
        machines: machines_port.Machines,
        holder: str,
        token: int,
        may_act: Callable[[], bool],
        post: Callable[[events.Event], None],
        clock: clock_port.Clock,
    ) -> None:
        self._machines = machines
        self._holder = holder
        self._token = token
        self._may_act = may_act
        self._post = post
        self._clock = clock
        self._executor = call_executor.CallExecutor("machines")

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._executor.__exit__(exc_type, exc, traceback)

    def submit(self, action: wave_state.Action) -> None:
        """Queues an action; its outcome is posted as an event."""
        self._executor.submit(lambda: self._execute(action))

    def _execute(self, action: wave_state.Action) -> None:
        match action:
            case wave_state.ListMachines():
                sent_ms = self._clock.monotonic_ms()
                listed = self._machines.machines(CALL_TIMEOUT_MS)
                self._post(events.MachinesListed(sent_ms, listed))
            case wave_state.OrderMaintenance(machine_id, wave):
                self._order_maintenance(machine_id, wave)
            case wave_state.ReportWave(wave, is_completed):
                outcome = self._machines.report(
                    wave, is_completed, CALL_TIMEOUT_MS
                )
                if outcome.is_err():
                    self._post(events.ReportFailed(wave))

    def _order_maintenance(self, machine_id: str, wave: int) -> None:
        outcome: result.Result[None, machines_port.MaintenanceError]
        outcome = result.Err(
            machines_port.MaintenanceRefused(machines_port.Refusal.FENCED)
        )
        if self._may_act():
            outcome = self._machines.maintain(
                machines_port.MaintenanceOrder(
                    machine_id, wave, self._holder, self._token
                ),
                CALL_TIMEOUT_MS,
            )
        self._post(events.MaintenanceReturned(machine_id, wave, outcome))

"""The machines under the workers, and their maintenance in waves."""

from __future__ import annotations

import enum
from typing import Protocol

import attrs
import result


class MachineState(enum.StrEnum):
    """Where a machine stands."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


@attrs.frozen
class Machine:
    """A machine; each of its lives runs another worker.

    Attributes:
        machine_id: Its name, which stays.
        state: Where it stands.
        worker_id: The worker that it runs now; empty for none.
    """

    machine_id: str
    state: MachineState
    worker_id: str = ""


@attrs.frozen
class Wave:
    """Operators want some machines to have their maintenance.

    Attributes:
        number: Names the wave.
        machines: Their names.
        duration_ms: Time in which all should have had it.
        most_at_once: Machines that may be down for it at the same time.
    """

    number: int
    machines: tuple[str, ...]
    duration_ms: int
    most_at_once: int


class Refusal(enum.StrEnum):
    """Why a machine's maintenance was not begun."""

    FENCED = "fenced"
    BUSY = "busy"
    OTHER_WAVE = "other-wave"
    NO_SUCH_MACHINE = "no-such-machine"
    OVERLOADED = "overloaded"


@attrs.frozen
class MaintenanceRefused:
    """The order was refused; nothing was done."""

    reason: Refusal


@attrs.frozen
class MaintenanceUnanswered:
    """No answer came; the order may be carried out now, later or never."""

    detail: str


@attrs.frozen
class MachinesUnavailable:
    """The machines could not be read, or a report not be written."""

    detail: str


MaintenanceError = MaintenanceRefused | MaintenanceUnanswered


@attrs.frozen
class MaintenanceOrder:
    """Begins a machine's maintenance, which ends all that it runs.

    Attributes:
        machine_id: The machine.
        wave: Number of the wave that it belongs to.
        holder: Name of the host that orders.
        token: Its fencing token.
    """

    machine_id: str
    wave: int
    holder: str
    token: int


class Machines(Protocol):
    """Access to machines."""

    def machines(
        self, timeout_ms: int
    ) -> result.Result[tuple[Machine, ...], MachinesUnavailable]:
        """All machines."""
        ...

    def maintain(
        self, order: MaintenanceOrder, timeout_ms: int
    ) -> result.Result[None, MaintenanceError]:
        """Begins a maintenance; Ok also when the wave's was begun before."""
        ...

    def report(
        self, wave: int, is_completed: bool, timeout_ms: int
    ) -> result.Result[None, MachinesUnavailable]:
        """Tells the operators that a wave is running or completed."""
        ...

"""Interface to the machines that run the workers, and their maintenance."""

from __future__ import annotations

import enum
from typing import Protocol

import attrs
import result


class MachineState(enum.StrEnum):
    """State of a machine."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


@attrs.frozen
class Machine:
    """A machine; it runs a different worker after each restart.

    Attributes:
        machine_id: Name of the machine, which never changes.
        state: State of the machine.
        worker_id: Worker that it currently runs; empty for none.
    """

    machine_id: str
    state: MachineState
    worker_id: str = ""


@attrs.frozen
class Wave:
    """Maintenance of a set of machines, requested by operators.

    Attributes:
        number: Identifies the wave.
        machines: Names of the machines.
        duration_ms: Time within which all should be maintained.
        most_at_once: Maximum number of machines in maintenance at a time.
    """

    number: int
    machines: tuple[str, ...]
    duration_ms: int
    most_at_once: int


class Refusal(enum.StrEnum):
    """Why the maintenance of a machine was not started."""

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
    """No valid answer; the order may be carried out now, later or never."""

    detail: str


@attrs.frozen
class MachinesUnavailable:
    """The machines can't be listed, or a report can't be written."""

    detail: str


MaintenanceError = MaintenanceRefused | MaintenanceUnanswered


@attrs.frozen
class MaintenanceOrder:
    """Starts the maintenance of a machine, which ends all its runs.

    Attributes:
        machine_id: Name of the machine.
        wave: Number of the wave that the order belongs to.
        holder: Name of the host that sends the order.
        token: Fencing token of that host.
    """

    machine_id: str
    wave: int
    holder: str
    token: int


class Machines(Protocol):
    """Access to the platform's API of machines."""

    def machines(
        self, timeout_ms: int
    ) -> result.Result[tuple[Machine, ...], MachinesUnavailable]:
        """Returns all machines."""
        ...

    def maintain(
        self, order: MaintenanceOrder, timeout_ms: int
    ) -> result.Result[None, MaintenanceError]:
        """Starts the maintenance; also Ok if the wave has started it before."""
        ...

    def report(
        self, wave: int, is_completed: bool, timeout_ms: int
    ) -> result.Result[None, MachinesUnavailable]:
        """Reports to the operators that a wave is running or completed."""
        ...

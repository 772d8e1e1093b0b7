"""State of maintenance waves, and the actions that they call for."""

from __future__ import annotations

import enum

import attrs

from comfreylatch._ports import machines as machines_port


class MachinePhase(enum.Enum):
    """Phase of a machine's maintenance.

    Attributes:
        WAITING: Its turn has not come, or an order was refused for now.
        EMPTYING: Its worker gets no new tasks while its runs end or move.
        ORDERED: The order was sent, but has not been accepted.
        AWAY: The order was accepted; the machine is not back yet.
        FINISHED: It is back, or needs no maintenance in this wave.
    """

    WAITING = "waiting"
    EMPTYING = "emptying"
    ORDERED = "ordered"
    AWAY = "away"
    FINISHED = "finished"


@attrs.define(eq=False)
class MachineProgress:
    """Progress of one machine of a wave.

    Attributes:
        machine_id: Its id.
        phase: Its current phase.
        worker_id: Worker on the machine when its evacuation started.
        since_ms: Monotonic time at which it entered the phase.
        not_before_ms: Earliest monotonic time of the next evacuation or order.
    """

    machine_id: str
    phase: MachinePhase = MachinePhase.WAITING
    worker_id: str = ""
    since_ms: int = 0
    not_before_ms: int = 0


@attrs.define(eq=False)
class WaveProgress:
    """Progress of a wave.

    Attributes:
        wave: The wave that operators requested.
        began_wall_ms: Wall time at which an owner first saw it.
        machines: Progress of its machines, by id.
        is_completed: Whether all machines are maintained or no longer listed.
        reported: Completion last reported to the operators; None before the
            first report.
    """

    wave: machines_port.Wave
    began_wall_ms: int
    machines: dict[str, MachineProgress]
    is_completed: bool = False
    reported: bool | None = None

    def in_phase(self, phase: MachinePhase) -> tuple[str, ...]:
        """Returns the ids of the machines in a phase."""
        return tuple(
            machine_id
            for machine_id, machine in self.machines.items()
            if machine.phase is phase
        )


@attrs.frozen
class ListMachines:
    """Action: list the machines."""


@attrs.frozen
class OrderMaintenance:
    """Action: order a machine's maintenance."""

    machine_id: str
    wave: int


@attrs.frozen
class ReportWave:
    """Action: report a wave's completion state to the operators."""

    wave: int
    is_completed: bool


Action = ListMachines | OrderMaintenance | ReportWave

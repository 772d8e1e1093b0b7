"""Waves of maintenance as an owner brings them on, and what there is to do."""

from __future__ import annotations

import enum

import attrs

from comfreylatch._ports import machines as machines_port


class MachinePhase(enum.Enum):
    """Where a machine of a wave stands."""

    WAITING = "waiting"
    EMPTYING = "emptying"
    ORDERED = "ordered"
    AWAY = "away"
    FINISHED = "finished"


@attrs.define(eq=False)
class MachineProgress:
    """One machine of a wave.

    Attributes:
        machine_id: Its name.
        phase: Where it stands.
        worker_id: Its worker when its turn came.
        since_ms: When it entered the phase.
        not_before_ms: No order before this monotonic time.
    """

    machine_id: str
    phase: MachinePhase = MachinePhase.WAITING
    worker_id: str = ""
    since_ms: int = 0
    not_before_ms: int = 0


@attrs.define(eq=False)
class WaveProgress:
    """A wave, as far as the owner has brought it.

    Attributes:
        wave: What the operators want.
        began_wall_ms: When it was first seen.
        machines: Its machines, by name.
        is_completed: All have had their maintenance, or have left.
        reported: What the operators were told last; None for nothing.
    """

    wave: machines_port.Wave
    began_wall_ms: int
    machines: dict[str, MachineProgress]
    is_completed: bool = False
    reported: bool | None = None

    def in_phase(self, phase: MachinePhase) -> tuple[str, ...]:
        """Names of the machines that are in a phase."""
        return tuple(
            name for name, one in self.machines.items() if one.phase is phase
        )


@attrs.frozen
class ListMachines:
    """Machines have to be listed."""


@attrs.frozen
class OrderMaintenance:
    """A machine's maintenance has to be ordered."""

    machine_id: str
    wave: int


@attrs.frozen
class ReportWave:
    """The operators have to be told of a wave."""

    wave: int
    is_completed: bool


Action = ListMachines | OrderMaintenance | ReportWave

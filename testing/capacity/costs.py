"""The size to design for, and what a mechanism or a role costs at it."""

from __future__ import annotations

import enum

import attrs

S_PER_DAY = 86_400


@attrs.frozen
class DesignSize:
    """The size to design for; the last lines are this page's assumptions."""

    zones: int = 10
    workers: int = 1_100
    endpoints: int = 2_600
    running_tasks: int = 26_000
    starts_per_s: int = 150
    teams: int = 240
    changes_per_day: int = 3_000
    seats_per_zone: int = 4
    services: int = 40
    change_peak_factor: int = 10
    urgent_queue_s: int = 60
    host_non_idempotent_per_s: int = 50

    @property
    def zone_workers(self) -> float:
        """Workers of one zone."""
        return self.workers / self.zones

    @property
    def zone_tasks(self) -> float:
        """Batch tasks that run in one zone."""
        return self.running_tasks / self.zones

    @property
    def zone_starts_per_s(self) -> float:
        """Starts of one zone at the peak."""
        return self.starts_per_s / self.zones

    @property
    def tasks_per_worker(self) -> float:
        """Batch tasks that run on one worker."""
        return self.running_tasks / self.workers

    @property
    def seats(self) -> int:
        """Entry hosts in all."""
        return self.zones * self.seats_per_zone

    @property
    def changes_per_s(self) -> float:
        """Configuration changes at the peak."""
        return self.changes_per_day / S_PER_DAY * self.change_peak_factor


@attrs.frozen
class MechanismCost:
    """One mechanism's part in a role.

    Attributes:
        mechanism: What carries it.
        state_kib: Memory.
        messages_per_s: Calls made and answered.
        cpu_us_per_s: Processor time of this process.
        bytes_per_s: Sent and received.
    """

    mechanism: str
    state_kib: float = 0
    messages_per_s: float = 0
    cpu_us_per_s: float = 0
    bytes_per_s: float = 0


class Role(enum.StrEnum):
    """What an entry host can be."""

    FRONT = "front of requests"
    OWNER = "owner of a zone's workers"
    STANDBY = "standby"
    FOLLOWER = "follower"
    RELAY = "peer relay"


@attrs.frozen
class RoleCost:
    """A role's mechanisms and whether it is built."""

    role: Role
    built: str
    costs: tuple[MechanismCost, ...]

    def total(self, name: str) -> float:
        """Sum of one of the figures over all mechanisms."""
        return sum(getattr(cost, name) for cost in self.costs)

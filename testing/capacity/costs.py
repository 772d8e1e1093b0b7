"""The design size, and the costs of mechanisms and roles at it."""

from __future__ import annotations

import enum

import attrs

S_PER_DAY = 86_400


@attrs.frozen
class DesignSize:
    """The size to design for.

    The fields from `seats_per_zone` on are assumptions of docs/CAPACITY.md.
    """

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
        """Number of workers in one zone."""
        return self.workers / self.zones

    @property
    def zone_tasks(self) -> float:
        """Number of running batch tasks in one zone."""
        return self.running_tasks / self.zones

    @property
    def zone_starts_per_s(self) -> float:
        """Starts per second in one zone at the peak."""
        return self.starts_per_s / self.zones

    @property
    def tasks_per_worker(self) -> float:
        """Number of running batch tasks on one worker."""
        return self.running_tasks / self.workers

    @property
    def seats(self) -> int:
        """Number of entry hosts in all zones."""
        return self.zones * self.seats_per_zone

    @property
    def changes_per_s(self) -> float:
        """Configuration changes per second at the peak."""
        return self.changes_per_day / S_PER_DAY * self.change_peak_factor


@attrs.frozen
class MechanismCost:
    """What one mechanism adds to the cost of a role.

    Attributes:
        mechanism: Name of the mechanism, as in the report.
        state_kib: Memory, in KiB.
        messages_per_s: Calls made and answered per second.
        cpu_us_per_s: Processor time of this process, in microseconds per
            second.
        bytes_per_s: Bytes sent and received per second.
    """

    mechanism: str
    state_kib: float = 0
    messages_per_s: float = 0
    cpu_us_per_s: float = 0
    bytes_per_s: float = 0


class Role(enum.StrEnum):
    """Roles of an entry host."""

    FRONT = "front of requests"
    OWNER = "owner of a zone's workers"
    STANDBY = "standby"
    FOLLOWER = "follower"
    RELAY = "peer relay"


@attrs.frozen
class RoleCost:
    """Costs of a role's mechanisms.

    Attributes:
        built: Whether the role is implemented, as a text for the report.
    """

    role: Role
    built: str
    costs: tuple[MechanismCost, ...]

    def total(self, name: str) -> float:
        """Sum of the attribute `name` over all mechanisms."""
        return sum(getattr(cost, name) for cost in self.costs)

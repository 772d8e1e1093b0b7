"""Until when leases may last that calls to former incarnations have given.

A deadline is a time on the clock of the incarnation that it was computed for.
The next incarnation, whose clock starts anew, takes it for one far ahead, and
grants the longest lease that the platform allows from when it carries out the
call. The lease keeps all that it runs, whatever this owner has sent it since.
"""

from __future__ import annotations

from typing import final

import attrs

from comfreylatch._ports import cell_workers
from comfreylatch._ports import clock as clock_port
from comfreylatch._process.cell import lease_ends
from comfreylatch._process.cell import worker_session
from comfreylatch._process.cell.carryover import delays

# Longest lease that a worker grants where the platform states none.
DEFAULT_MAX_LEASE_MS = 6_000


def next_incarnation_ms(lease_ms: int, max_lease_ms: int) -> int:
    """Returns how much later leases on a worker's next incarnation end.

    Later than the last one that an owner has renewed on this incarnation.

    Args:
        lease_ms: Duration of the leases that owners renew.
        max_lease_ms: Longest lease that the platform allows.
    """
    return (
        delays.MAX_CALL_DELAY_MS
        + worker_session.MAX_CALL_MS
        + lease_ends.longest_lease_ms(max_lease_ms)
        - lease_ends.longest_lease_ms(lease_ms)
    )


@attrs.frozen
class _Former:
    """An incarnation that the owner no longer drives.

    Attributes:
        born_ms: Identifies it.
        end_ms: Monotonic time by which leases have ended that calls to it, and
            to those before it, may have given to the next one.
    """

    born_ms: int
    end_ms: int


@final
class FormerLeases:
    """Ends of the leases that calls to former incarnations may have given.

    Only the owner's thread uses it.

    Args:
        max_lease_ms: Longest lease on a worker's clock that the platform
            allows.
        clock: Source of all times.
    """

    def __init__(self, max_lease_ms: int, clock: clock_port.Clock) -> None:
        self._longest_ms = lease_ends.longest_lease_ms(max_lease_ms)
        self._clock = clock
        self._former: dict[str, _Former] = {}

    def note_dropped(
        self,
        entry: cell_workers.WorkerEntry,
        inherited_end_ms: int,
        renewals_end_ms: int,
    ) -> None:
        """Notes that an incarnation is no longer driven.

        Args:
            entry: Its entry.
            inherited_end_ms: Monotonic time by which leases from calls to
                incarnations before it have ended.
            renewals_end_ms: Monotonic time by which calls to it that carry a
                deadline have been sent; 0 if there were none.
        """
        end_ms = max(
            inherited_end_ms,
            self.end_ms(entry),
            self.next_end_ms(renewals_end_ms),
        )
        self._former[entry.worker_id] = _Former(entry.born_ms, end_ms)

    def next_end_ms(self, renewals_end_ms: int) -> int:
        """Returns by when leases from some calls have ended on another.

        Args:
            renewals_end_ms: Monotonic time by which the calls with a deadline
                have been sent to an incarnation; 0 if there were none.

        Returns:
            Monotonic time by which leases have ended that these calls may have
            given to the next incarnation; 0 if there are none.
        """
        if not renewals_end_ms:
            return 0
        return renewals_end_ms + delays.MAX_CALL_DELAY_MS + self._longest_ms

    def end_ms(self, entry: cell_workers.WorkerEntry) -> int:
        """Returns by when leases from calls to former incarnations have ended.

        Args:
            entry: Entry of the current incarnation.

        Returns:
            A monotonic time; 0 if no call may have reached this incarnation
            that was meant for another.
        """
        now_ms = self._clock.monotonic_ms()
        self._former = {
            worker_id: former
            for worker_id, former in self._former.items()
            if former.end_ms > now_ms
        }
        former = self._former.get(entry.worker_id)
        if former is None or former.born_ms == entry.born_ms:
            return 0
        return former.end_ms

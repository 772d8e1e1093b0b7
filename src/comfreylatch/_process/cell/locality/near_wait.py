"""Whether a task waits for a near worker or starts on a far one now."""

from __future__ import annotations

import attrs

# Longest wait in all, and least gain that is waited for. Work that has not run
# for three seconds beside free capacity counts as lost.
MAX_WAIT_MS = 2_000
MIN_GAIN_MS = 50


@attrs.frozen
class NearWait:
    """What is known of a task that a far worker could take now.

    Attributes:
        duration_ms: Expected duration on a near worker.
        remote_penalty: Factor by which it lasts longer on a far one.
        near_start_ms: Expected time until a near worker has room; None if no
            end is expected that would make room.
        waited_ms: Time for which it has waited so far.
        reliability: Share of the waits for its rack that were worth it.
        contention: Share of the rack's expected room that tasks ahead wait for.
            Where all of it is wanted, a wait only takes the place of another.
    """

    duration_ms: float
    remote_penalty: float
    near_start_ms: float | None
    waited_ms: int
    reliability: float
    contention: float = 0.0

    @property
    def gain_ms(self) -> float:
        """Expected time by which it ends earlier if it waits.

        A wait that fails is lost; the task then starts far.
        """
        if self.near_start_ms is None:
            return 0.0
        saved_ms = (self.remote_penalty - 1.0) * self.duration_ms
        saved_ms *= self.reliability * (1.0 - self.contention)
        return saved_ms - self.near_start_ms


def should_wait(wait: NearWait) -> bool:
    """Whether waiting ends the task earlier than a far start now."""
    if wait.near_start_ms is None or wait.gain_ms < MIN_GAIN_MS:
        return False
    return wait.waited_ms + wait.near_start_ms <= MAX_WAIT_MS

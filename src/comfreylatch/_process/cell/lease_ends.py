"""When the leases that previous owners of a cell renewed have ended.

A new owner asks the workers that it reaches what they run. On the others, the
runs of a previous owner end with the lease that was renewed last. Each owner
stores which leases it is about to renew (`records.WorkersRecord`), and renews
none later than AUTONOMY_MS after its last heartbeat. So such a lease counts
from the heartbeats of the owner that renewed it, however many owners there have
been since.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import final

from comfreylatch._process.cell import fenced_writer
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import worker_view


@final
class LeaseEnds:
    """Ends of the leases of previous owners, for one new owner.

    Args:
        observed_owners: Last heartbeat read of each owner, by token, up to the
            new one.
        host_name: Name of the new owner's host.
        started_ms: Monotonic time at which it began to take over.
        lease_ms: Duration of a lease on the worker's clock.
    """

    def __init__(
        self,
        observed_owners: Mapping[int, job_replica.ObservedHeartbeat],
        host_name: str,
        started_ms: int,
        lease_ms: int,
    ) -> None:
        self._owners = [
            observed_owners[token] for token in sorted(observed_owners)
        ]
        self._host_name = host_name
        self._started_ms = started_ms
        self._lease_ms = int(lease_ms / (1 - worker_view.MAX_CLOCK_DRIFT))

    def end_ms(self, lease_token: int) -> int:
        """Returns the monotonic time by which a lease has ended.

        Args:
            lease_token: Token of the last owner that has stored that it renews
                the lease.
        """
        renewed_until_ms = self._acted_until_ms(lease_token)
        for observed in self._owners:
            heartbeat = observed.heartbeat
            if heartbeat.token > lease_token and not heartbeat.records_leases:
                renewed_until_ms = max(
                    renewed_until_ms, self._acted_until_ms(heartbeat.token)
                )
        return renewed_until_ms + self._lease_ms

    def _acted_until_ms(self, token: int) -> int:
        """Returns the time until which an owner may have renewed leases."""
        for observed in self._owners:
            if observed.heartbeat.token > token:
                # It had been replaced when this host read the first heartbeat.
                return observed.owner_since_ms + fenced_writer.AUTONOMY_MS
            if observed.heartbeat.token == token:
                return self._last_renewal_ms(observed)
        return self._started_ms + fenced_writer.AUTONOMY_MS

    def _last_renewal_ms(self, observed: job_replica.ObservedHeartbeat) -> int:
        heartbeat = observed.heartbeat
        if heartbeat.is_released:
            # Earlier versions renew leases until their sessions are closed.
            is_exact = heartbeat.records_leases
            return observed.seen_ms if is_exact else self._started_ms
        until_ms = observed.seen_ms + fenced_writer.AUTONOMY_MS
        if heartbeat.host == self._host_name:
            # That process has ended, as this host runs another one.
            until_ms = min(until_ms, self._started_ms)
        return until_ms

"""Injects faults into the connections of a fleet."""

from __future__ import annotations

from typing import Any

from testing import deployments
from testing import fleet_plan
from testing import processes
from testing import relay


class Network:
    """Sets the faults of a fleet's relays."""

    def __init__(
        self,
        relays: processes.StandIn,
        deployment: deployments.Deployment,
    ) -> None:
        self._relays = relays
        self._deployment = deployment

    def set_faults(self, pattern: str, **faults: Any) -> int:
        """Sets faults of all relays whose names match a shell pattern.

        The faults are fields of `relay.RelayFaults`. Names are
        `peer/ZONE/SEAT/OTHER-ZONE/OTHER-SEAT`, `log/SEAT`, `list/SEAT`,
        `caller/SEAT`, `worker/NAME` or `worker/SEAT/NAME`, and
        `endpoint/NAME`.

        Returns:
            The number of relays that match.
        """
        answer = self._relays.control(relay=pattern, **faults)
        return int(answer["relays"])

    def held_chunks(self) -> list[relay.HeldChunk]:
        """Returns all chunks that a fault has held back in a relay so far."""
        chunks: list[relay.HeldChunk] = self._relays.journal(relay.HeldChunk)
        return chunks

    def cut_zones(self, first: str, second: str, cut: bool = True) -> None:
        """Cuts or restores every peer connection between two zones."""
        matched = self.set_faults(f"peer/{first}/*/{second}/*", cut=cut)
        matched += self.set_faults(f"peer/{second}/*/{first}/*", cut=cut)
        if not matched:
            raise fleet_plan.FleetError("the fleet has no relays between peers")

    def cut_platform(self, zone: str, cut: bool = True) -> None:
        """Cuts or restores a zone's connections to the log and host list."""
        matched = sum(
            self.set_faults(f"{service}/{seat}", cut=cut)
            for service in ("log", "list")
            for seat in self._deployment.seats(zone)
        )
        if not matched:
            raise fleet_plan.FleetError(
                "the fleet has no relays to the platform"
            )

    def isolate_zone(self, zone: str, cut: bool = True) -> None:
        """Cuts or restores a zone's links to other zones and the platform."""
        for other in self._deployment.zones:
            if other != zone:
                self.cut_zones(zone, other, cut)
        self.cut_platform(zone, cut)

    def set_delays(self) -> None:
        """Applies the deployment's delays between zones and to callers."""
        between_ms = self._deployment.zone_delay_ms
        for source in self._deployment.zones:
            for target in self._deployment.zones:
                if source != target:
                    self.set_faults(
                        f"peer/{source}/*/{target}/*",
                        delay_ms=between_ms,
                        jitter_ms=between_ms / 3,
                    )
        self.set_faults("caller/*", delay_ms=self._deployment.client_delay_ms)

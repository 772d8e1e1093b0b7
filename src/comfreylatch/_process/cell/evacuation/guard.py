"""Whether a worker may be sent starts while operators evacuate zones."""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

import logbook

from comfreylatch._ports import evacuations
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.cell import worker_view

# Time that a start may take from its check until a worker carries it out, with
# the age of a reading at its check.
START_MARGIN_MS = 1_000

_logger = logbook.Logger(__name__)


@final
class EvacuationGuard:
    """Decides which workers may be sent starts.

    A zone gets none from the moment that a request is read until it is read
    that the request was withdrawn. If the reading is too old to tell, no zone
    gets any.

    Args:
        feed: This host's reading of the requests.
        metrics: Gets the gauges.
    """

    def __init__(
        self,
        feed: evacuations.EvacuationFeed,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._feed = feed
        self._metrics = metrics
        self._noted_zones: frozenset[str] = frozenset()
        self._was_stale = False

    @property
    def zones(self) -> frozenset[str]:
        """The evacuated zones as last read."""
        return self._feed.zones()

    @property
    def is_stale(self) -> bool:
        """Whether a request may be in force that this host has not read."""
        in_force_ms = self._feed.in_force_ms
        if in_force_ms == 0:
            return False
        return self._feed.age_ms() > in_force_ms - START_MARGIN_MS

    def permits_start(self, zone: str) -> bool:
        """Whether a worker of a zone may be sent a start now. Thread-safe."""
        return not self.is_stale and zone not in self._feed.zones()

    def update(self, workers: Iterable[worker_view.WorkerView]) -> None:
        """Notes on the owner's workers what is permitted; logs changes."""
        zones, is_stale = self._feed.zones(), self.is_stale
        views = list(workers)
        for view in views:
            view.is_evacuated = view.entry.zone in zones
            view.may_get_starts = not is_stale and not view.is_evacuated
        for zone in zones - self._noted_zones:
            self._note_evacuated(zone, views)
        for zone in self._noted_zones - zones:
            logs.event(_logger, "zone-taken-back", zone=zone)
            self._metrics.set_gauge(metrics_module.Gauge.EVACUATED, 0, zone)
        self._noted_zones = zones
        if is_stale != self._was_stale:
            self._was_stale = is_stale
            self._note_stale(is_stale)

    def _note_evacuated(
        self, zone: str, views: list[worker_view.WorkerView]
    ) -> None:
        in_zone = [view for view in views if view.entry.zone == zone]
        logs.event(
            _logger,
            "zone-evacuated",
            zone=zone,
            workers=len(in_zone),
            runs=sum(len(view.runs) for view in in_zone),
            reading_age_ms=self._feed.age_ms(),
        )
        self._metrics.set_gauge(metrics_module.Gauge.EVACUATED, 1, zone)

    def _note_stale(self, is_stale: bool) -> None:
        """Logs that no starts are sent, or that they are sent again."""
        logs.event(
            _logger,
            "starts-suspended" if is_stale else "starts-resumed",
            reason="evacuation requests are unknown",
            reading_age_ms=self._feed.age_ms(),
        )
        self._metrics.set_gauge(
            metrics_module.Gauge.STARTS_SUSPENDED, int(is_stale)
        )

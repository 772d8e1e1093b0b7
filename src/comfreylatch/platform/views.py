"""This host's views of what operators and executors publish in the store."""

from __future__ import annotations

from collections.abc import Callable
from typing import final

import logbook

from comfreylatch._ports import cell_workers
from comfreylatch._ports import machines as machines_port
from comfreylatch._ports import store as store_port
from comfreylatch._process import logs
from comfreylatch._process.cell import specs
from comfreylatch.platform import configuration
from comfreylatch.platform import machines
from comfreylatch.platform import wire
from comfreylatch.platform import workers

# The rest of the key is the name of the zone.
EVACUATION_PREFIX = "evacuate/"
# An error may quote a value as long as a record.
MAX_DETAIL_CHARS = 200

OnWorkersChanged = Callable[[dict[str, cell_workers.WorkerEntry]], None]

_logger = logbook.Logger(__name__)


@final
class ConfigurationView:
    """The newest configuration; its version never decreases.

    Attributes:
        current: The newest configuration; None before the first one.
        services: Services that any configuration so far has named; None before
            the first one. Jobs of an earlier one may still run on them.
    """

    def __init__(self) -> None:
        self.current: specs.FleetConfiguration | None = None
        self.services: frozenset[str] | None = None

    def apply(
        self, batch: tuple[store_port.StoredRecord, ...], is_complete: bool
    ) -> None:
        """Applies records of the operators' topic."""
        del is_complete  # A version expires only after a higher one is set.
        for record in batch:
            if record.key != configuration.CONFIGURATION_KEY:
                continue
            if record.value is None:
                continue
            try:
                decoded = configuration.decode_configuration(record.value)
            except wire.BadMessageError as error:
                logs.warning(
                    _logger,
                    "bad-configuration",
                    offset=record.offset,
                    detail=str(error),
                )
                continue
            current = self.current
            if current is None or decoded.version > current.version:
                self.current = decoded
                self.services = decoded.service_names.union(self.services or ())
                logs.event(
                    _logger,
                    "configured",
                    version=decoded.version,
                    queues=len(decoded.queues),
                    offset=record.offset,
                )


@final
class WavesView:
    """Maintenance waves that operators requested; none is ever withdrawn."""

    def __init__(self) -> None:
        self._waves: dict[int, machines_port.Wave] = {}

    def current(self) -> tuple[machines_port.Wave, ...]:
        """Returns all waves in order of their numbers. Thread-safe."""
        waves = self._waves
        return tuple(waves[number] for number in sorted(waves))

    def apply(
        self, batch: tuple[store_port.StoredRecord, ...], is_complete: bool
    ) -> None:
        """Applies records of the operators' topic."""
        del is_complete  # A wave is deleted only after its completion.
        for record in batch:
            if not record.key.startswith(machines.WAVE_PREFIX):
                continue
            if record.value is None:
                continue
            try:
                wave = machines.decode_wave(record.value)
            except wire.BadMessageError as error:
                logs.warning(
                    _logger, "bad-wave", key=record.key, detail=str(error)
                )
                continue
            self._waves = {**self._waves, wave.number: wave}


@final
class EvacuationsView:
    """The zones that operators have evacuated."""

    def __init__(self) -> None:
        self._zones: frozenset[str] = frozenset()

    def current(self) -> frozenset[str]:
        """Returns the evacuated zones. Thread-safe."""
        return self._zones

    def apply(
        self, batch: tuple[store_port.StoredRecord, ...], is_complete: bool
    ) -> None:
        """Applies records of the operators' topic.

        The key alone names the zone, so a malformed value is obeyed, too.
        """
        zones = set() if is_complete else set(self._zones)
        for record in batch:
            if not record.key.startswith(EVACUATION_PREFIX):
                continue
            zone = record.key.removeprefix(EVACUATION_PREFIX)
            if record.value is None:
                zones.discard(zone)
                continue
            zones.add(zone)
            self._check(record.key, record.value)
        self._zones = frozenset(zones)

    def _check(self, key: str, value: bytes) -> None:
        try:
            wire.decode(wire.EvacuationRecord, value)
        except wire.BadMessageError as error:
            logs.warning(
                _logger,
                "bad-evacuation",
                key=key,
                detail=str(error),
                handling="obeyed, as its key names the zone",
            )


@final
class WorkersView:
    """The listed workers; reports the complete list on each change."""

    def __init__(
        self,
        on_change: OnWorkersChanged,
    ) -> None:
        self._on_change = on_change
        self._entries: dict[str, cell_workers.WorkerEntry] = {}

    def apply(
        self, batch: tuple[store_port.StoredRecord, ...], is_complete: bool
    ) -> None:
        """Applies records of the executors' topic."""
        previous = dict(self._entries)
        if is_complete:
            self._entries = {}
        for record in batch:
            entry = None
            if record.value is not None:
                entry = self._decode(record.key, record.value)
            if entry is None:
                self._entries.pop(record.key, None)
            else:
                self._entries[record.key] = entry
        if self._entries != previous or is_complete:
            self._on_change(dict(self._entries))

    def _decode(
        self, key: str, value: bytes
    ) -> cell_workers.WorkerEntry | None:
        try:
            return workers.decode_worker(key, value)
        except wire.BadMessageError as error:
            logs.warning(
                _logger,
                "bad-worker-entry",
                worker=key,
                detail=str(error)[:MAX_DETAIL_CHARS],
            )
            return None

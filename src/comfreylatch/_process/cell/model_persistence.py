"""Restores and records the models that an owner learns."""

from __future__ import annotations

from typing import final

import attrs

from comfreylatch._ports import clock as clock_port
from comfreylatch._process.cell import duration_model as duration_model_module
from comfreylatch._process.cell import interference
from comfreylatch._process.cell import records
from comfreylatch._process.cell.locality import calibration

# Interval between two records of the models. If the owner fails, what it has
# learned since the last record is lost. A record takes about 2 KB.
RECORD_INTERVAL_MS = 2_000


@final
class ModelPersistence:
    """Restores the previous owner's models and records those of this owner.

    Used by the owner's thread only.
    """

    def __init__(
        self,
        model: interference.InterferenceModel,
        durations: duration_model_module.DurationModel,
        near_waits: calibration.Calibration,
        recovered: records.LearnedRecord,
        clock: clock_port.Clock,
        value_bytes: int,
    ) -> None:
        self._value_bytes = value_bytes
        self._model = model
        self._durations = durations
        self._near_waits = near_waits
        self._clock = clock
        self._recorded = recovered
        self._recorded_ms = clock.monotonic_ms()
        model.restore(recovered)
        durations.restore(recovered.duration_ratios)
        near_waits.restore(recovered.near_waits, self._recorded_ms)

    def add_writes(self, work: dict[str, bytes | None]) -> None:
        """Adds the learned record to a write if it changed and is due."""
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._recorded_ms < RECORD_INTERVAL_MS:
            return
        self._recorded_ms = now_ms
        learned = attrs.evolve(
            self._model.export(self._durations.export()),
            near_waits=self._near_waits.export(),
        )
        if learned != self._recorded:
            self._recorded = learned
            work[records.LEARNED_KEY] = _encode(learned, self._value_bytes)


def _encode(learned: records.LearnedRecord, value_bytes: int) -> bytes:
    """Encodes models, without the older half as long as they are too long."""
    while len(value := records.encode(learned)) > value_bytes:
        learned = records.LearnedRecord(
            learned.pressures[(len(learned.pressures) + 1) // 2 :],
            learned.pairs[(len(learned.pairs) + 1) // 2 :],
            _newer_half(learned.base_ms),
            _newer_half(learned.duration_ratios),
            _newer_half(learned.near_waits),
        )
    return value


def _newer_half(values: dict[str, float]) -> dict[str, float]:
    return dict(list(values.items())[(len(values) + 1) // 2 :])

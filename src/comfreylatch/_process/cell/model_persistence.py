"""Keeps the record of what an owner has learned of images."""

from __future__ import annotations

from typing import final

from comfreylatch._ports import clock as clock_port
from comfreylatch._process.cell import duration_model as duration_model_module
from comfreylatch._process.cell import interference
from comfreylatch._process.cell import records

# An owner that is lost takes so much learning with it at most; a record has
# about 2 KB.
RECORD_INTERVAL_MS = 2_000


@final
class ModelPersistence:
    """Begins with what an owner before has learned, and hands on what is.

    Only the owner's thread uses it.
    """

    def __init__(
        self,
        model: interference.InterferenceModel,
        durations: duration_model_module.DurationModel,
        inherited: records.LearnedRecord,
        clock: clock_port.Clock,
    ) -> None:
        self._model = model
        self._durations = durations
        self._clock = clock
        self._recorded = inherited
        self._recorded_ms = clock.monotonic_ms()
        model.restore(inherited)
        durations.restore(inherited.duration_ratios)

    def add_writes(self, work: dict[str, bytes | None]) -> None:
        """Adds what was learned to the records of a round, now and then."""
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._recorded_ms < RECORD_INTERVAL_MS:
            return
        self._recorded_ms = now_ms
        learned = self._model.export(self._durations.export())
        if learned != self._recorded:
            self._recorded = learned
            work[records.LEARNED_KEY] = records.encode(learned)

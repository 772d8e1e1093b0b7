"""Interference of filling tasks with lasting tasks on the same worker.

A lasting task runs until its job is cancelled; a filling task uses processors
that the other tasks on its worker leave idle. A lasting task's tail latency is
modelled as that of a queue: `base / (1 - x)` where `x` is the sum of the task's
own load and of the pressure of each filling task on its worker. A filling
task's pressure is its use of the worker's processors times a coefficient, which
depends on both images and is learned from the tail latencies and uses that
workers report. Its use is weighted by its intensity, the share of its request
that it uses at full pace: in a light phase it uses less, and each processor
that it uses adds less pressure.

Where all demands together exceed a worker's processors, tail latencies grow
without bound, so filling tasks are slowed there, however harmless they are.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

import attrs

from comfreylatch._process.cell import harm_guard
from comfreylatch._process.cell import pressure_model
from comfreylatch._process.cell import records
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import serving_load
from comfreylatch._process.cell import worker_view

# A reading above this load is outside the model's range: it shows only that
# there is too much pressure.
SATURATED_LOAD = 0.93
# Standard deviation of a coefficient from its learned value.
COEFFICIENT_SD = 0.15
# Readings are whole milliseconds.
ROUNDING_SD_MS = 0.3
# How far ahead loads are forecast: for paces, until readings show their effect;
# for placements, until the placed task has run for a while.
PACE_FORECAST_MS = 700
PLACEMENT_FORECAST_MS = 1_200
# A filling task is placed only where it can run at this pace at least.
MIN_INITIAL_PACE_PERCENT = 70
# A slowed task will get its pace back, so placement counts it with this pace
# at least.
MIN_COUNTED_PACE_PERCENT = 60
# Standard deviations that placement adds to a coefficient, so that few tasks
# of an image are tried until its coefficient is known.
COEFFICIENT_MARGIN_SDS = 1.0
# Mean square of the intensity of filling tasks.
MEAN_SQUARED_INTENSITY = 0.8
# Averaging window of a reading: for this long after a start or a change of
# pace it includes the time before.
READING_WINDOW_MS = 700
MIN_INTENSITY = 0.3
# At this pace or less a reading says little about the intensity.
MAX_UNINFORMATIVE_PACE_PERCENT = 20
# Share of a worker's processors that all tasks together may request; demands
# change between a worker's reports.
MAX_REQUESTED_CPU_SHARE = 1.0
# Share of a tail target that plans may use; the rest covers model errors.
PLANNED_TARGET_SHARE = 0.78
# A task that has just started is slow whatever else its worker runs.
SETTLING_MS = 1_500
# Base tail of an image relative to its target, until lower tails are seen.
BASE_TAIL_SHARE = 0.22
DEFAULT_MAX_DISRUPTION_MS = 4_000
FULL_PACE = 100
PACE_STEP = 10
# Headroom that stays free when a pace is raised, so that it isn't lowered
# again right away.
PACE_RAISE_MARGIN = 0.04


@attrs.frozen
class Slack:
    """Headroom of a lasting step on a worker.

    Attributes:
        image: Image of the step.
        headroom: Its load limit less its own load and all pressures.
    """

    image: str
    headroom: float


@attrs.frozen
class PaceChange:
    """A run and its new pace."""

    run: runs_module.Run
    percent: int


@final
class InterferenceModel:
    """Learns interference and plans placements and paces. Not thread-safe.

    Args:
        max_disruption_ms: How long a lasting task may be over its target while
            filling tasks work beside it.

    Attributes:
        pressures: Learned coefficients of filling images.
    """

    def __init__(
        self, max_disruption_ms: int = DEFAULT_MAX_DISRUPTION_MS
    ) -> None:
        self.pressures = pressure_model.PressureModel()
        self._harm_guard = harm_guard.HarmGuard(max_disruption_ms)
        self._planned_coefficients: dict[tuple[str, str], float] = {}
        self._planned_revision = 0
        self._base_ms: dict[str, float] = {}
        self._loads: dict[
            runs_module.StepInstance, serving_load.ServingLoad
        ] = {}

    def restore(self, learned: records.LearnedRecord) -> None:
        """Restores what a previous owner learned."""
        self.pressures.restore(learned)
        self._base_ms.update(learned.base_ms)

    def export(
        self, duration_ratios: dict[str, float]
    ) -> records.LearnedRecord:
        """Returns what was learned, for the next owner."""
        return records.LearnedRecord(
            self.pressures.export(),
            self.pressures.export_pairs(),
            dict(self._base_ms),
            duration_ratios,
        )

    def coefficient(self, serving_image: str, filling_image: str) -> float:
        """Coefficient of a filling image on a serving image."""
        return self.pressures.coefficient(serving_image, filling_image)

    def _base_tail_ms(self, run: runs_module.Run) -> float:
        spec = run.task.step.spec
        assumed_ms = spec.tail_target_ms * BASE_TAIL_SHARE
        return min(self._base_ms.get(spec.image, assumed_ms), assumed_ms)

    def load_limit(self, run: runs_module.Run) -> float:
        """Sum of load and pressures that plans allow for a lasting task."""
        target_ms = run.task.step.spec.tail_target_ms
        return 1 - self._base_tail_ms(run) / (PLANNED_TARGET_SHARE * target_ms)

    def load_estimate(self, run: runs_module.Run) -> serving_load.ServingLoad:
        """Returns the load estimate of a lasting task's step."""
        return self._loads.setdefault(run.task.step, serving_load.ServingLoad())

    def discard_step(self, step: runs_module.StepInstance) -> None:
        """Discards the state of a step that has ended."""
        self._loads.pop(step, None)
        self.pressures.discard_step(step)

    def learn(self, worker: worker_view.WorkerView, now_ms: int) -> None:
        """Learns from a worker's newest readings."""
        cpu = max(worker.entry.capacity.cpu_millicores, 1)
        uses: dict[str, float] = {}
        for filling_run in _filling_runs(worker):
            _update_intensity(filling_run, now_ms)
            image = _image(filling_run)
            use = filling_run.reading * filling_run.intensity / cpu
            uses[image] = uses.get(image, 0.0) + use
        for run in serving_runs(worker):
            self._harm_guard.observe(run, now_ms)
            is_settled = now_ms - run.confirmed_ms > SETTLING_MS
            if run.reading > 0 and run.confirmed_ms and is_settled:
                self._learn_from_reading(run, uses, now_ms)

    def _learn_from_reading(
        self, run: runs_module.Run, uses: dict[str, float], now_ms: int
    ) -> None:
        image = run.task.step.spec.image
        base_ms = min(self._base_tail_ms(run), run.reading)
        self._base_ms[image] = base_ms
        observed_load = 1 - base_ms / run.reading
        estimate = self.load_estimate(run)
        estimate.predict(now_ms)
        pressure = sum(
            self.coefficient(image, filling_image) * use
            for filling_image, use in uses.items()
        )
        error = observed_load - estimate.load - pressure
        if observed_load > SATURATED_LOAD:
            if error > 0:
                estimate.update(error, now_ms)
            return
        self.pressures.observe(
            run.task.step, image, run.worker_id, observed_load, uses, now_ms
        )
        variance = serving_load.READING_SD**2
        # Readings are rounded, and coefficients are uncertain.
        variance += (ROUNDING_SD_MS * base_ms / run.reading**2) ** 2
        variance += sum((COEFFICIENT_SD * use) ** 2 for use in uses.values())
        estimate.update(error, now_ms, variance)

    def slacks(self, worker: worker_view.WorkerView) -> tuple[Slack, ...]:
        """Forecasts the slack of each lasting step on a worker."""
        cpu = max(worker.entry.capacity.cpu_millicores, 1)
        uses: dict[str, float] = {}
        for filling_run in _filling_runs(worker):
            pace = (
                max(filling_run.pace_percent, MIN_COUNTED_PACE_PERCENT)
                / FULL_PACE
            )
            image = _image(filling_run)
            used = filling_run.task.step.spec.cpu_millicores * pace / cpu
            used *= (filling_run.intensity**2 + MEAN_SQUARED_INTENSITY) / 2
            uses[image] = uses.get(image, 0.0) + used
        steps = {run.task.step: run for run in serving_runs(worker)}
        slacks = []
        for run in steps.values():
            image = _image(run)
            headroom = self.load_limit(run) - self.load_estimate(run).forecast(
                PLACEMENT_FORECAST_MS
            )
            for filling_image, use in uses.items():
                headroom -= (
                    self._planned_coefficient(image, filling_image) * use
                )
            slacks.append(Slack(image, headroom))
        return _least_by_image(slacks)

    def _planned_coefficient(
        self, serving_image: str, filling_image: str
    ) -> float:
        """Coefficient used by placement: higher while it is uncertain.

        Placement asks for it once for each worker and step, so it is computed
        once for each fit of the coefficients.
        """
        if self._planned_revision != self.pressures.revision:
            self._planned_revision = self.pressures.revision
            self._planned_coefficients.clear()
        key = serving_image, filling_image
        planned = self._planned_coefficients.get(key)
        if planned is None:
            margin = COEFFICIENT_MARGIN_SDS * self.pressures.uncertainty(
                filling_image
            )
            planned = self.coefficient(serving_image, filling_image) + margin
            self._planned_coefficients[key] = planned
        return planned

    def summary(self) -> dict[str, float]:
        """Coefficients by filling image, for logs."""
        return {
            learned.filling: round(learned.coefficient, 2)
            for learned in self.pressures.export()
        }

    def common_coefficient(self, image: str) -> float:
        """Coefficient of a filling image on serving images in general."""
        return self.pressures.common_coefficient(image)

    def headroom(
        self, slacks: tuple[Slack, ...], image: str, use: float
    ) -> float:
        """Returns the least slack after placing one more filling task.

        The task counts with the lowest pace that it may start with.

        Args:
            slacks: Slacks of the worker's lasting steps.
            image: Image of the filling task.
            use: Share of the worker's processors that the task requests.

        Returns:
            The least slack; negative if a lasting task would exceed its limit.
        """
        use *= MEAN_SQUARED_INTENSITY * MIN_INITIAL_PACE_PERCENT / FULL_PACE
        return min(
            (
                slack.headroom
                - self._planned_coefficient(slack.image, image) * use
                for slack in slacks
            ),
            default=1.0,
        )

    def pace_changes(self, worker: worker_view.WorkerView) -> list[PaceChange]:
        """Returns the changes of pace that keep lasting tasks within targets.

        A pace is raised only to the full one or by at least two steps.
        """
        filling_runs = list(_filling_runs(worker))
        lasting_runs = list(serving_runs(worker))
        if not filling_runs:
            return []
        cpu = max(worker.entry.capacity.cpu_millicores, 1)
        paces = dict.fromkeys(filling_runs, self._cpu_bound_pace(worker))
        for run in lasting_runs:
            self._lower_paces(run, paces, cpu)
        if self._harm_guard.must_pause(worker):
            paces = dict.fromkeys(filling_runs, 0)
        return [
            PaceChange(run, percent)
            for run, percent in paces.items()
            if not run.is_pace_known or _is_worth_ordering(run, percent)
        ]

    def _cpu_bound_pace(self, worker: worker_view.WorkerView) -> int:
        """Pace at which all tasks together fit into the worker's processors."""
        lasting_use = 0.0
        for run in serving_runs(worker):
            load = self.load_estimate(run).forecast(PACE_FORECAST_MS)
            lasting_use += load * run.task.step.spec.cpu_millicores
        if not lasting_use:
            return FULL_PACE
        cpu = worker.entry.capacity.cpu_millicores
        reserved = cpu - worker.free_cpu - worker.lasting_millicores
        available = MAX_REQUESTED_CPU_SHARE * cpu - reserved - lasting_use
        requested = sum(
            filling_run.task.step.spec.cpu_millicores * filling_run.intensity
            for filling_run in _filling_runs(worker)
        )
        if requested <= max(available, 0.0):
            return FULL_PACE
        steps = int(max(available, 0.0) / requested * FULL_PACE) // PACE_STEP
        return steps * PACE_STEP

    def _lower_paces(
        self,
        run: runs_module.Run,
        paces: dict[runs_module.Run, int],
        cpu: int,
    ) -> None:
        """Lowers paces, most harmful runs first, to meet a task's target."""
        image = run.task.step.spec.image
        budget = self.load_limit(run) - self.load_estimate(run).forecast(
            PACE_FORECAST_MS
        )
        full_pressures = {
            filling_run: self.coefficient(image, _image(filling_run))
            * filling_run.task.step.spec.cpu_millicores
            * filling_run.intensity**2
            / cpu
            for filling_run in paces
        }
        total_pressure = sum(
            full_pressures[filling_run] * paces[filling_run] / FULL_PACE
            for filling_run in paces
        )
        for filling_run in sorted(paces, key=lambda run: -full_pressures[run]):
            margin = (
                PACE_RAISE_MARGIN
                if filling_run.pace_percent < FULL_PACE
                else 0.0
            )
            excess = total_pressure - budget + margin
            if excess <= 0 or full_pressures[filling_run] <= 0:
                return
            cut_steps = -(
                -int(excess / full_pressures[filling_run] * FULL_PACE)
                // PACE_STEP
            )
            lowered = max(paces[filling_run] - cut_steps * PACE_STEP, 0)
            total_pressure -= (
                full_pressures[filling_run]
                * (paces[filling_run] - lowered)
                / FULL_PACE
            )
            paces[filling_run] = lowered


def _least_by_image(slacks: Iterable[Slack]) -> tuple[Slack, ...]:
    """Returns the least slack of each image; the others never decide."""
    least: dict[str, Slack] = {}
    for slack in slacks:
        known = least.get(slack.image)
        if known is None or slack.headroom < known.headroom:
            least[slack.image] = slack
    return tuple(least.values())


def serving_runs(
    worker: worker_view.WorkerView,
) -> Iterable[runs_module.Run]:
    """Runs of lasting tasks with a tail target on a worker."""
    return (
        run for run in worker.runs.values() if run.task.step.spec.tail_target_ms
    )


def _update_intensity(filling_run: runs_module.Run, now_ms: int) -> None:
    """Updates the share of its allowed processors that a filling run uses."""
    since_ms = max(filling_run.confirmed_ms, filling_run.pace_changed_ms)
    if not filling_run.confirmed_ms or now_ms - since_ms < READING_WINDOW_MS:
        return
    if (
        filling_run.pace_percent <= MAX_UNINFORMATIVE_PACE_PERCENT
        or filling_run.reading <= 0
    ):
        return
    allowed = (
        filling_run.task.step.spec.cpu_millicores
        * filling_run.pace_percent
        / FULL_PACE
    )
    if not allowed:
        # A task that requests no processors has no share of its request.
        return
    filling_run.intensity = min(
        max(filling_run.reading / allowed, MIN_INTENSITY), 1.0
    )


def _filling_runs(worker: worker_view.WorkerView) -> Iterable[runs_module.Run]:
    return (
        run for run in worker.runs.values() if run.task.step.spec.fills_idle
    )


def _image(run: runs_module.Run) -> str:
    return run.task.step.spec.image


def _is_worth_ordering(run: runs_module.Run, percent: int) -> bool:
    if percent == run.pace_percent:
        return False
    return (
        percent < run.pace_percent
        or percent == FULL_PACE
        or percent >= run.pace_percent + 2 * PACE_STEP
    )

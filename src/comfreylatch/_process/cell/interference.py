"""How much tasks that fill idle processors disturb lasting tasks beside them.

A lasting task's tail latency is modelled as that of a queue: `base / (1 - x)`
where `x` is the sum of the task's own load and of the pressure of each task
that fills beside it. A filling task's pressure is its use of the worker's
processors times a coefficient, which depends on both images and is learned
from the tails and uses that workers report. Its use is weighted by its
intensity: in a light phase it uses less, and each share of it presses less.

Where all demands together exceed a worker's processors, tails grow without
bound, so that tasks that fill are slowed there, however harmless they are.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

import attrs

from comfreylatch._process.cell import pressure_model
from comfreylatch._process.cell import records
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import serving_load
from comfreylatch._process.cell import worker_view

# Error above which a reading is so far off the model's range that it only
# says that there is too much pressure.
SATURATED = 0.93
# Scatter of a coefficient beside what was learned of it.
PRESSURE_SD = 0.15
ROUNDING_SD_MS = 0.3
# The trend of a load is followed this far: for paces until readings show what
# they did, for placing into a task's run.
PACE_AHEAD_MS = 700
PLACE_AHEAD_MS = 1_200
# A task that fills is placed where it can work at this pace at least.
LEAST_FIRST_PACE = 70
# A task that was slowed down wants its pace back: where more are placed, it
# counts with this pace at least.
LEAST_COUNTED_PACE = 60
# Standard deviations of a coefficient that placing adds to it, so that few
# tasks of an image are tried until it is known.
PLANNED_SDS = 1.0
# Square of the intensity of a task that fills, on average.
USUAL_WEIGHT = 0.8
# Readings after a start or a change of pace are averages with what was before.
READING_MS = 700
LEAST_INTENSITY = 0.3
# At this pace or less a reading says little of the intensity.
LEAST_READ_PACE = 20
# Share of a worker's processors that all tasks together may ask for; demands
# change within a worker's report.
CROWDED_SHARE = 1.0
# Part of a tail target that is planned for; the rest is for what the model
# does not know.
TARGET_SHARE = 0.78
# A task that has just started serves slowly whatever is beside it.
SETTLING_MS = 1_500
# Base of an image's tail relative to its target, until lower tails are seen.
BASE_SHARE = 0.22
FULL_PACE = 100
PACE_STEP = 10
# Head room that a pace is raised into, so that it isn't lowered at once.
RAISE_MARGIN = 0.04


@attrs.frozen
class Slack:
    """How far the lasting tasks of an image are from their limit."""

    image: str
    left: float


@attrs.frozen
class PaceChange:
    """A run that should work at another pace."""

    run: runs_module.Run
    percent: int


@final
class InterferenceModel:
    """Learns pressures and plans with them. Not thread-safe."""

    def __init__(self) -> None:
        self.pressures = pressure_model.Pressures()
        self._base_ms: dict[str, float] = {}
        self._loads: dict[
            runs_module.StepInstance, serving_load.ServingLoad
        ] = {}

    def restore(self, learned: records.LearnedRecord) -> None:
        """Begins with what an owner before has learned."""
        self.pressures.restore(learned)
        self._base_ms.update(learned.base_ms)

    def export(
        self, duration_ratios: dict[str, float]
    ) -> records.LearnedRecord:
        """What the next owner need not learn again."""
        return records.LearnedRecord(
            self.pressures.export(),
            self.pressures.export_pairs(),
            dict(self._base_ms),
            duration_ratios,
        )

    def pressure(self, serving: str, filling: str) -> float:
        """Coefficient of a filling image on a serving image."""
        return self.pressures.of(serving, filling)

    def _base(self, run: runs_module.Run) -> float:
        spec = run.task.step.spec
        guess = spec.tail_target_ms * BASE_SHARE
        return min(self._base_ms.get(spec.image, guess), guess)

    def limit(self, run: runs_module.Run) -> float:
        """Sum of load and pressures at which a task nears its target."""
        target_ms = run.task.step.spec.tail_target_ms
        return 1 - self._base(run) / (TARGET_SHARE * target_ms)

    def load(self, run: runs_module.Run) -> serving_load.ServingLoad:
        """What is known of the load of a lasting task's step."""
        return self._loads.setdefault(run.task.step, serving_load.ServingLoad())

    def discard_step(self, step: runs_module.StepInstance) -> None:
        """Drops what is known of a step that has ended."""
        self._loads.pop(step, None)
        self.pressures.discard_step(step)

    def learn(self, worker: worker_view.WorkerView, now_ms: int) -> None:
        """Takes in a worker's newest readings."""
        cpu = max(worker.entry.capacity.cpu_millicores, 1)
        uses: dict[str, float] = {}
        for fill in _fills(worker):
            _note_intensity(fill, now_ms)
            image = _image(fill)
            use = fill.reading * fill.intensity / cpu
            uses[image] = uses.get(image, 0.0) + use
        for run in serving(worker):
            settled = now_ms - run.confirmed_ms > SETTLING_MS
            if run.reading > 0 and run.confirmed_ms and settled:
                self._learn_one(run, uses, now_ms)

    def _learn_one(
        self, run: runs_module.Run, uses: dict[str, float], now_ms: int
    ) -> None:
        image = run.task.step.spec.image
        base_ms = min(self._base(run), run.reading)
        self._base_ms[image] = base_ms
        seen = 1 - base_ms / run.reading
        state = self.load(run)
        state.advance(now_ms)
        pressed = sum(
            self.pressure(image, filling) * use for filling, use in uses.items()
        )
        error = seen - state.load - pressed
        if seen > SATURATED:
            if error > 0:
                state.update(error, now_ms)
            return
        self.pressures.observe(
            run.task.step, image, run.worker_id, seen, uses, now_ms
        )
        variance = serving_load.READING_SD**2
        # Readings are whole milliseconds.
        variance += (ROUNDING_SD_MS * base_ms / run.reading**2) ** 2
        variance += sum((PRESSURE_SD * use) ** 2 for use in uses.values())
        state.update(error, now_ms, variance)

    def slacks(self, worker: worker_view.WorkerView) -> tuple[Slack, ...]:
        """What each lasting step on a worker has left to its limit soon."""
        cpu = max(worker.entry.capacity.cpu_millicores, 1)
        wanted: dict[str, float] = {}
        for fill in _fills(worker):
            pace = max(fill.pace_percent, LEAST_COUNTED_PACE) / FULL_PACE
            image = _image(fill)
            used = fill.task.step.spec.cpu_millicores * pace / cpu
            used *= (fill.intensity**2 + USUAL_WEIGHT) / 2
            wanted[image] = wanted.get(image, 0.0) + used
        steps = {run.task.step: run for run in serving(worker)}
        slacks = []
        for run in steps.values():
            image = _image(run)
            left = self.limit(run) - self.load(run).ahead(PLACE_AHEAD_MS)
            for filling, use in wanted.items():
                left -= self._planned(image, filling) * use
            slacks.append(Slack(image, left))
        return tuple(slacks)

    def _planned(self, serving_image: str, filling: str) -> float:
        """Coefficient that placing reckons with: higher while uncertain."""
        margin = PLANNED_SDS * self.pressures.uncertainty(filling)
        return self.pressure(serving_image, filling) + margin

    def summary(self) -> dict[str, float]:
        """Coefficients by filling image, for logs."""
        return {
            one.filling: round(one.coefficient, 2)
            for one in self.pressures.export()
        }

    def harm(self, image: str) -> float:
        """Coefficient of a filling image on serving images in general."""
        return self.pressures.common(image)

    def head_room(
        self, slacks: tuple[Slack, ...], image: str, use: float
    ) -> float:
        """Least slack that a further filling task would leave.

        `use` is the share of the worker's processors that the task asks for;
        it is taken at the least pace that it may begin with. Negative where
        some lasting task would come over its limit.
        """
        use *= USUAL_WEIGHT * LEAST_FIRST_PACE / FULL_PACE
        return min(
            (
                slack.left - self._planned(slack.image, image) * use
                for slack in slacks
            ),
            default=1.0,
        )

    def pace_changes(self, worker: worker_view.WorkerView) -> list[PaceChange]:
        """Paces that keep a worker's lasting tasks within their targets."""
        fills = list(_fills(worker))
        lasting = list(serving(worker))
        if not fills:
            return []
        cpu = max(worker.entry.capacity.cpu_millicores, 1)
        paces = dict.fromkeys(fills, self._uncrowded_pace(worker))
        for run in lasting:
            self._fit(run, paces, cpu)
        return [
            PaceChange(run, percent)
            for run, percent in paces.items()
            if run.pace_percent != percent
            and (
                percent < run.pace_percent
                or percent == FULL_PACE
                or percent >= run.pace_percent + 2 * PACE_STEP
            )
        ]

    def _uncrowded_pace(self, worker: worker_view.WorkerView) -> int:
        """Pace at which tasks that fill leave the others their processors."""
        lasting_use = 0.0
        for run in serving(worker):
            load = self.load(run).ahead(PACE_AHEAD_MS)
            lasting_use += load * run.task.step.spec.cpu_millicores
        if not lasting_use:
            return FULL_PACE
        cpu = worker.entry.capacity.cpu_millicores
        short = cpu - worker.free_cpu - worker.lasting_millicores
        left = CROWDED_SHARE * cpu - short - lasting_use
        asked = sum(
            fill.task.step.spec.cpu_millicores * fill.intensity
            for fill in _fills(worker)
        )
        if asked <= left:
            return FULL_PACE
        steps = int(max(left, 0.0) / asked * FULL_PACE) // PACE_STEP
        return steps * PACE_STEP

    def _fit(
        self,
        run: runs_module.Run,
        paces: dict[runs_module.Run, int],
        cpu: int,
    ) -> None:
        """Lowers the paces of the most harmful runs until a task is well."""
        image = run.task.step.spec.image
        allowed = self.limit(run) - self.load(run).ahead(PACE_AHEAD_MS)
        full = {
            fill: self.pressure(image, _image(fill))
            * fill.task.step.spec.cpu_millicores
            * fill.intensity**2
            / cpu
            for fill in paces
        }
        total = sum(full[fill] * paces[fill] / FULL_PACE for fill in paces)
        for fill in sorted(paces, key=lambda one: -full[one]):
            margin = RAISE_MARGIN if fill.pace_percent < FULL_PACE else 0.0
            over = total - allowed + margin
            if over <= 0 or full[fill] <= 0:
                return
            cut = -(-int(over / full[fill] * FULL_PACE) // PACE_STEP)
            lowered = max(paces[fill] - cut * PACE_STEP, 0)
            total -= full[fill] * (paces[fill] - lowered) / FULL_PACE
            paces[fill] = lowered


def serving(
    worker: worker_view.WorkerView,
) -> Iterable[runs_module.Run]:
    """Runs of lasting tasks with a tail target on a worker."""
    return (
        run for run in worker.runs.values() if run.task.step.spec.tail_target_ms
    )


def _note_intensity(fill: runs_module.Run, now_ms: int) -> None:
    """Takes in how much of what it asks for a task that fills uses."""
    since_ms = max(fill.confirmed_ms, fill.pace_changed_ms)
    if not fill.confirmed_ms or now_ms - since_ms < READING_MS:
        return
    if fill.pace_percent <= LEAST_READ_PACE or fill.reading <= 0:
        return
    asked = fill.task.step.spec.cpu_millicores * fill.pace_percent / FULL_PACE
    fill.intensity = min(max(fill.reading / asked, LEAST_INTENSITY), 1.0)


def _fills(worker: worker_view.WorkerView) -> Iterable[runs_module.Run]:
    return (
        run for run in worker.runs.values() if run.task.step.spec.fills_idle
    )


def _image(run: runs_module.Run) -> str:
    return run.task.step.spec.image

"""How much tasks that fill idle processors disturb lasting tasks beside them.

A lasting task's tail latency is modelled as that of a queue: `base / (1 - x)`
where `x` is the sum of the task's own load and of the pressure of each task
that fills beside it. A filling task's pressure is its use of the worker's
processors times a coefficient, which depends on both images and is learned
from the tails and uses that workers report.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import final

import attrs

from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import worker_view

# Coefficient of a pair of images of which nothing is known: between those of
# harmless images (about 0.2) and of harmful ones (about 1.8).
UNKNOWN_PRESSURE = 0.7
HIGHEST_PRESSURE = 6.0
# Share of an error that a step's load takes from each reading; a step of
# seven tasks gives some fifteen readings a second, and load changes in
# seconds.
LOAD_RATE = 0.15
# Share of an error that goes to the coefficients.
PRESSURE_RATE = 0.08
# Error above which a reading is so far off the model's range that it only
# says that there is too much pressure.
SATURATED = 0.93
# Uses below this share of a worker say nothing of a coefficient.
LEAST_USE = 0.01
# The trend of a load is taken over this time, and followed this far: for
# paces until readings show what they did, for placing into a task's run.
TREND_MS = 1_000
PACE_AHEAD_MS = 700
PLACE_AHEAD_MS = 1_200
# A task that fills is placed where it can work at this pace at least.
LEAST_FIRST_PACE = 30
# A task that was slowed down wants its pace back: where more are placed, it
# counts with this pace at least.
LEAST_COUNTED_PACE = 60
# Until a task has shown its load; the middle of what loads have been seen.
UNKNOWN_LOAD = 0.45
# Part of a tail target that is planned for; the rest is for what the model
# does not know.
TARGET_SHARE = 0.78
# A task that has just started serves slowly whatever is beside it.
SETTLING_MS = 1_500
# Base of an image's tail relative to its target, until lower tails are seen.
BASE_SHARE = 0.25
FULL_PACE = 100
PACE_STEP = 10
# Head room that a pace is raised into, so that it isn't lowered at once.
RAISE_MARGIN = 0.04


@attrs.define(eq=False)
class ServingLoad:
    """Own load of a step's lasting tasks, as a share of their capacity.

    Attributes:
        load: Newest estimate.
        readings: How many readings it rests on.
        recent: Estimates of the last `TREND_MS`, with their times.
    """

    load: float = UNKNOWN_LOAD
    readings: int = 0
    recent: collections.deque[tuple[int, float]] = attrs.field(
        factory=collections.deque
    )

    def update(self, error: float, now_ms: int) -> None:
        """Moves the estimate towards a reading."""
        # The first few readings say more than the guess before them.
        rate = max(LOAD_RATE, 1 / (1 + self.readings))
        self.readings += 1
        self.load = min(max(self.load + rate * error, 0.0), 1.0)
        self.recent.append((now_ms, self.load))
        while now_ms - self.recent[0][0] > TREND_MS:
            self.recent.popleft()

    def ahead(self, ahead_ms: int) -> float:
        """The load expected soon; never below what it is now."""
        if len(self.recent) < 2:
            return self.load
        before_ms, before = self.recent[0]
        elapsed_ms = self.recent[-1][0] - before_ms
        if elapsed_ms < TREND_MS / 3:
            return self.load
        rise = (self.load - before) * ahead_ms / elapsed_ms
        return min(self.load + max(rise, 0.0), 1.0)


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
class DisturbanceModel:
    """Learns pressures and plans with them. Not thread-safe."""

    def __init__(self) -> None:
        self._by_image: dict[str, float] = {}
        self._by_pair: dict[tuple[str, str], float] = {}
        self._base_ms: dict[str, float] = {}
        self._loads: dict[runs_module.StepRun, ServingLoad] = {}

    def pressure(self, serving: str, filling: str) -> float:
        """Coefficient of a filling image on a serving image."""
        common = self._by_image.get(filling, UNKNOWN_PRESSURE)
        return max(common + self._by_pair.get((serving, filling), 0.0), 0.0)

    def _base(self, run: runs_module.Run) -> float:
        spec = run.task.step.spec
        guess = spec.tail_target_ms * BASE_SHARE
        return min(self._base_ms.get(spec.image, guess), guess)

    def limit(self, run: runs_module.Run) -> float:
        """Sum of load and pressures at which a task nears its target."""
        target_ms = run.task.step.spec.tail_target_ms
        return 1 - self._base(run) / (TARGET_SHARE * target_ms)

    def load(self, run: runs_module.Run) -> ServingLoad:
        """What is known of the load of a lasting task's step."""
        return self._loads.setdefault(run.task.step, ServingLoad())

    def forget(self, step: runs_module.StepRun) -> None:
        """Drops what is known of a step that has ended."""
        self._loads.pop(step, None)

    def learn(self, worker: worker_view.WorkerView, now_ms: int) -> None:
        """Takes in a worker's newest readings."""
        fills = list(_fills(worker))
        cpu = max(worker.entry.capacity.cpu_millicores, 1)
        uses = [(run, run.reading / cpu) for run in fills]
        for run in serving(worker):
            settled = now_ms - run.confirmed_ms > SETTLING_MS
            if run.reading > 0 and run.confirmed_ms and settled:
                self._learn_one(run, uses, now_ms)

    def _learn_one(
        self,
        run: runs_module.Run,
        uses: list[tuple[runs_module.Run, float]],
        now_ms: int,
    ) -> None:
        image = run.task.step.spec.image
        base_ms = min(self._base(run), run.reading)
        self._base_ms[image] = base_ms
        seen = 1 - base_ms / run.reading
        state = self.load(run)
        pressed = sum(
            self.pressure(image, _image(fill)) * use for fill, use in uses
        )
        error = seen - state.load - pressed
        if seen > SATURATED and error < 0:
            return
        norm = sum(use * use for _, use in uses) + LEAST_USE
        for fill, use in uses:
            self._adjust(
                image, _image(fill), PRESSURE_RATE * error * use / norm
            )
        state.update(error, now_ms)

    def _adjust(self, serving_image: str, filling: str, change: float) -> None:
        common = self._by_image.get(filling, UNKNOWN_PRESSURE)
        common = min(max(common + change / 2, 0.0), HIGHEST_PRESSURE)
        self._by_image[filling] = common
        pair = serving_image, filling
        own = self._by_pair.get(pair, 0.0) + change / 2
        self._by_pair[pair] = min(max(own, -HIGHEST_PRESSURE), HIGHEST_PRESSURE)

    def slacks(self, worker: worker_view.WorkerView) -> tuple[Slack, ...]:
        """What each lasting step on a worker has left to its limit soon."""
        cpu = max(worker.entry.capacity.cpu_millicores, 1)
        wanted: dict[str, float] = {}
        for fill in _fills(worker):
            pace = max(fill.pace_percent, LEAST_COUNTED_PACE) / FULL_PACE
            image = _image(fill)
            used = fill.task.step.spec.cpu_millicores * pace / cpu
            wanted[image] = wanted.get(image, 0.0) + used
        steps = {run.task.step: run for run in serving(worker)}
        slacks = []
        for run in steps.values():
            image = _image(run)
            left = self.limit(run) - self.load(run).ahead(PLACE_AHEAD_MS)
            for filling, use in wanted.items():
                left -= self.pressure(image, filling) * use
            slacks.append(Slack(image, left))
        return tuple(slacks)

    def head_room(
        self, slacks: tuple[Slack, ...], image: str, use: float
    ) -> float:
        """Least slack that a further filling task would leave.

        `use` is the share of the worker's processors that the task asks for;
        it is taken at the least pace that it may begin with. Negative where
        some lasting task would come over its limit.
        """
        use *= LEAST_FIRST_PACE / FULL_PACE
        return min(
            (
                slack.left - self.pressure(slack.image, image) * use
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
        paces = dict.fromkeys(fills, FULL_PACE)
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


def _fills(worker: worker_view.WorkerView) -> Iterable[runs_module.Run]:
    return (
        run for run in worker.runs.values() if run.task.step.spec.fills_idle
    )


def _image(run: runs_module.Run) -> str:
    return run.task.step.spec.image

"""Learns the pressure of each filling image on lasting tasks.

See `interference` for the model of which this fits the coefficients.

Tasks of a lasting step have the same load at the same time, so differences
between their tail latencies on different workers are due to the filling tasks
there. The coefficients are fitted to these differences by least squares with a
prior; the load itself cancels out.
"""

from __future__ import annotations

from collections.abc import Mapping
import math
from typing import final

import attrs

from comfreylatch._process.cell import records

# Coefficient of an unknown image: between those of harmless images (about 0.1)
# and of harmful ones (about 2).
PRIOR_COEFFICIENT = 0.5
# Standard deviation of the readings that are compared.
COMPARISON_SD = 0.06
# Weight of the prior: variance of a reading over variance of coefficients.
PRIOR_WEIGHT = (COMPARISON_SD / 0.5) ** 2
# The same for the excess of a pair of images: how much the filling image's
# coefficient on this serving image exceeds its coefficient on all.
PAIR_PRIOR_WEIGHT = (COMPARISON_SD / 0.3) ** 2
# Maximum weight of a coefficient that was learned by a previous owner.
MAX_RESTORED_WEIGHT = 0.2
MAX_COEFFICIENT = 6.0
# Readings of a step within this time are compared with each other; workers
# report averages over half a second.
COMPARISON_WINDOW_MS = 500
# Longest wait for readings of a second worker. After it, readings of a single
# worker are compared, although its load may have changed between them.
MAX_COMPARISON_MS = 1_600
FIT_INTERVAL_MS = 500
# Time constant of the decay of the sums; their half-life is about 40 s.
DECAY_TIME_CONSTANT_MS = 60_000
# An image is dropped when its sum of squares has decayed below this.
MIN_SQUARES_SUM = 1e-6


@attrs.frozen
class _Reading:
    """One reading of a lasting task, see `PressureModel.observe`."""

    worker_id: str
    load: float
    uses: Mapping[str, float]


@attrs.define(eq=False)
class _Comparison:
    """Readings of one step that are compared with each other."""

    serving_image: str
    started_ms: int
    readings: list[_Reading] = attrs.field(factory=list)

    def is_over(self, now_ms: int) -> bool:
        """Whether no more readings should be added."""
        age_ms = now_ms - self.started_ms
        if age_ms < COMPARISON_WINDOW_MS:
            return False
        first_worker_id = self.readings[0].worker_id
        has_several_workers = any(
            reading.worker_id != first_worker_id for reading in self.readings
        )
        return has_several_workers or age_ms >= MAX_COMPARISON_MS


@attrs.define(eq=False)
class _PairSums:
    """Decaying sums for the fit of the excess of one pair of images."""

    squares: float = 0.0
    products: float = 0.0


@attrs.frozen
class _Prior:
    """Value and weight of a coefficient before any reading."""

    coefficient: float = PRIOR_COEFFICIENT
    weight: float = PRIOR_WEIGHT


@final
class PressureModel:
    """Coefficients of filling images on serving images. Not thread-safe.

    Attributes:
        revision: Increases with every change of the coefficients.
    """

    def __init__(self) -> None:
        self._open_comparisons: dict[object, _Comparison] = {}
        self._squares: dict[str, dict[str, float]] = {}
        self._products: dict[str, float] = {}
        self._pairs: dict[tuple[str, str], _PairSums] = {}
        self._priors: dict[str, _Prior] = {}
        self._coefficients: dict[str, float] = {}
        self._pair_excesses: dict[tuple[str, str], float] = {}
        self._fitted_ms = 0
        self.revision = 0

    def restore(self, learned: records.LearnedRecord) -> None:
        """Uses what a previous owner learned as priors."""
        self.revision += 1
        for pressure in learned.pressures:
            weight = min(pressure.weight, MAX_RESTORED_WEIGHT)
            self._priors[pressure.filling] = _Prior(
                pressure.coefficient, weight
            )
        for pair in learned.pairs:
            weight = min(pair.weight, MAX_RESTORED_WEIGHT)
            key = pair.serving, pair.filling
            self._pairs[key] = _PairSums(weight, weight * pair.excess)
            self._pair_excesses[key] = pair.excess

    def export(self) -> tuple[records.LearnedPressure, ...]:
        """Returns the coefficients of all images, for the next owner."""
        return tuple(
            records.LearnedPressure(
                image,
                round(self.common_coefficient(image), 3),
                round(self._coefficient_weight(image), 4),
            )
            for image in sorted(self._priors.keys() | self._coefficients.keys())
        )

    def export_pairs(self) -> tuple[records.LearnedPair, ...]:
        """Returns the excesses of pairs that were observed often enough."""
        return tuple(
            records.LearnedPair(
                serving_image,
                filling_image,
                round(
                    self._pair_excesses.get(
                        (serving_image, filling_image), 0.0
                    ),
                    3,
                ),
                round(sums.squares, 4),
            )
            for (serving_image, filling_image), sums in self._pairs.items()
            if sums.squares >= PAIR_PRIOR_WEIGHT
        )

    def _prior(self, filling_image: str) -> _Prior:
        return self._priors.get(filling_image, _Prior())

    def _coefficient_weight(self, filling_image: str) -> float:
        """Weight of an image's coefficient: of its readings and its prior."""
        squares = self._squares.get(filling_image, {}).get(filling_image, 0.0)
        return squares + self._prior(filling_image).weight

    def uncertainty(self, filling_image: str) -> float:
        """Returns the standard deviation of an image's coefficient."""
        return COMPARISON_SD / math.sqrt(
            self._coefficient_weight(filling_image)
        )

    def common_coefficient(self, filling_image: str) -> float:
        """Returns the coefficient of a filling image on any serving image."""
        learned = self._coefficients.get(filling_image)
        return (
            self._prior(filling_image).coefficient
            if learned is None
            else learned
        )

    def coefficient(self, serving_image: str, filling_image: str) -> float:
        """Returns the coefficient of a filling image on a serving image."""
        excess = self._pair_excesses.get((serving_image, filling_image), 0.0)
        return min(
            max(self.common_coefficient(filling_image) + excess, 0.0),
            MAX_COEFFICIENT,
        )

    def discard_step(self, step: object) -> None:
        """Discards the open comparison of a step that has ended."""
        self._open_comparisons.pop(step, None)

    def observe(
        self,
        step: object,
        serving_image: str,
        worker_id: str,
        load: float,
        uses: Mapping[str, float],
        now_ms: int,
    ) -> None:
        """Adds one reading of a lasting task.

        Args:
            step: The task's step.
            serving_image: The task's image.
            worker_id: The worker it runs on.
            load: Sum of load and pressures that the tail latency implies.
            uses: Shares of the worker's processors that filling tasks use, by
                image.
            now_ms: Monotonic time of the reading.
        """
        comparison = self._open_comparisons.get(step)
        if comparison is not None and comparison.is_over(now_ms):
            self._close_comparison(comparison)
            comparison = None
        if comparison is None:
            comparison = _Comparison(serving_image, now_ms)
            self._open_comparisons[step] = comparison
        comparison.readings.append(_Reading(worker_id, load, uses))
        if now_ms - self._fitted_ms >= FIT_INTERVAL_MS:
            self._fit_coefficients(now_ms)

    def _close_comparison(self, comparison: _Comparison) -> None:
        """Adds the differences of a comparison's readings from their mean.

        They are added to the sums that are fitted.
        """
        readings = comparison.readings
        count = len(readings)
        images = sorted(
            {image for reading in readings for image in reading.uses}
        )
        if count < 2 or not images:
            return
        mean_load = sum(reading.load for reading in readings) / count
        means = {
            image: sum(reading.uses.get(image, 0.0) for reading in readings)
            / count
            for image in images
        }
        for reading in readings:
            differences = {
                image: reading.uses.get(image, 0.0) - means[image]
                for image in images
            }
            self._add_differences(
                comparison.serving_image, reading.load - mean_load, differences
            )

    def _add_differences(
        self, serving_image: str, load: float, differences: Mapping[str, float]
    ) -> None:
        """Adds one reading's differences to the sums that are fitted."""
        unexplained = load - sum(
            self.coefficient(serving_image, image) * use
            for image, use in differences.items()
        )
        for image, use in differences.items():
            row = self._squares.setdefault(image, {})
            for other_image, other_use in differences.items():
                row[other_image] = row.get(other_image, 0.0) + use * other_use
            self._products[image] = self._products.get(image, 0.0) + use * load
            excess = self._pair_excesses.get((serving_image, image), 0.0)
            sums = self._pairs.setdefault((serving_image, image), _PairSums())
            sums.squares += use * use
            sums.products += use * (unexplained + excess * use)

    def _fit_coefficients(self, now_ms: int) -> None:
        """Decays the sums and fits the coefficients to them."""
        elapsed_ms = now_ms - self._fitted_ms if self._fitted_ms else 0
        self._fitted_ms = now_ms
        self.revision += 1
        self._decay(math.exp(-elapsed_ms / DECAY_TIME_CONSTANT_MS))
        images = list(self._squares)
        matrix = [
            [
                self._squares[image].get(other_image, 0.0)
                for other_image in images
            ]
            for image in images
        ]
        values = []
        for index, image in enumerate(images):
            prior = self._prior(image)
            matrix[index][index] += prior.weight
            values.append(
                self._products[image] + prior.weight * prior.coefficient
            )
        solution = solve(matrix, values)
        self._coefficients = {
            image: min(max(value, 0.0), MAX_COEFFICIENT)
            for image, value in zip(images, solution, strict=True)
        }
        self._pair_excesses = {
            pair: sums.products / (sums.squares + PAIR_PRIOR_WEIGHT)
            for pair, sums in self._pairs.items()
        }

    def _decay(self, factor: float) -> None:
        for image, row in list(self._squares.items()):
            if row[image] < MIN_SQUARES_SUM:
                self._drop_image(image)
                continue
            for other_image in row:
                row[other_image] *= factor
            self._products[image] *= factor
        for sums in self._pairs.values():
            sums.squares *= factor
            sums.products *= factor

    def _drop_image(self, image: str) -> None:
        del self._squares[image]
        del self._products[image]
        for row in self._squares.values():
            row.pop(image, None)
        for pair in [pair for pair in self._pairs if pair[1] == image]:
            del self._pairs[pair]


def solve(matrix: list[list[float]], values: list[float]) -> list[float]:
    """Solves linear equations with a positive definite matrix.

    Uses Gaussian elimination; a positive definite matrix needs no pivoting.
    Overwrites its arguments.
    """
    size = len(values)
    for index in range(size):
        row = matrix[index]
        for below in range(index + 1, size):
            factor = matrix[below][index] / row[index]
            if factor == 0.0:
                continue
            target = matrix[below]
            for column in range(index, size):
                target[column] -= factor * row[column]
            values[below] -= factor * values[index]
    solution = [0.0] * size
    for index in range(size - 1, -1, -1):
        known = sum(
            matrix[index][column] * solution[column]
            for column in range(index + 1, size)
        )
        solution[index] = (values[index] - known) / matrix[index][index]
    return solution

"""Tests of learning how much filling images slow down lasting tasks."""

from __future__ import annotations

import math
import random

import testtools

from comfreylatch._process.cell import pressure_model
from comfreylatch._process.cell import records

HARMFUL = 2.0
HARMLESS = 0.05
SEED = 7


class PressureModelTest(testtools.TestCase):
    """A step on several workers, whose load swings by about half."""

    def setUp(self) -> None:
        super().setUp()
        self.model = pressure_model.PressureModel()
        self.random = random.Random(SEED)

    def _observe(self, seconds: int, images: dict[str, float]) -> None:
        """Observes two readings a second of each of six workers.

        Args:
            seconds: Duration of the readings.
            images: True coefficient of each filling image.
        """
        image_names = sorted(images)
        for tick in range(2 * seconds):
            load = 0.42 + 0.2 * math.sin(2 * math.pi * tick / 20)
            for worker in range(6):
                uses = {
                    image: self.random.choice((0.0, 0.1, 0.2))
                    for image in image_names
                }
                pressure = sum(
                    images[image] * uses[image] for image in image_names
                )
                noise = self.random.gauss(0, 0.05)
                self.model.observe(
                    "step",
                    "serve",
                    f"w{worker}",
                    load + pressure + noise,
                    uses,
                    500 * tick + 10 * worker,
                )

    def test_harmful_and_harmless_are_distinguished_in_seconds(self) -> None:
        images = {"press": HARMFUL, "idle": HARMLESS}
        self._observe(8, images)
        self.assertAlmostEqual(
            HARMFUL, self.model.coefficient("serve", "press"), delta=0.3
        )
        self.assertAlmostEqual(
            HARMLESS, self.model.coefficient("serve", "idle"), delta=0.3
        )

    def test_swing_of_the_load_is_not_learned_as_pressure(self) -> None:
        self._observe(20, {"idle": 0.0})
        self.assertLess(self.model.coefficient("serve", "idle"), 0.15)

    def test_next_owner_restores_learned_coefficients(self) -> None:
        # After a power loss of all hosts, lasting tasks exceeded their targets
        # until the coefficient of each image was learned again.
        self._observe(20, {"press": HARMFUL, "idle": HARMLESS})
        learned = records.LearnedRecord(
            self.model.export(), self.model.export_pairs()
        )
        successor = pressure_model.PressureModel()
        successor.restore(
            records.decode(records.LearnedRecord, records.encode(learned))
        )
        for image in ("press", "idle"):
            self.assertAlmostEqual(
                self.model.coefficient("serve", image),
                successor.coefficient("serve", image),
                delta=0.02,
            )
        self.assertLess(
            successor.uncertainty("press"), successor.uncertainty("new")
        )

    def test_readings_override_restored_coefficient(self) -> None:
        self.model.restore(
            records.LearnedRecord(
                (records.LearnedPressure("press", 0.1, 100.0),)
            )
        )
        self._observe(40, {"press": HARMFUL})
        self.assertGreater(self.model.coefficient("serve", "press"), 1.5)

    def test_unknown_image_has_the_prior(self) -> None:
        self.assertEqual(
            pressure_model.PRIOR_COEFFICIENT,
            self.model.coefficient("serve", "new"),
        )


class SolveTest(testtools.TestCase):
    """Solution of linear equations."""

    def test_solution_satisfies_the_equations(self) -> None:
        matrix = [[4.0, 1.0, 0.5], [1.0, 3.0, 0.0], [0.5, 0.0, 2.0]]
        solution = pressure_model.solve(
            [row[:] for row in matrix], [1.0, 2.0, 3.0]
        )
        for row, value in zip(matrix, [1.0, 2.0, 3.0], strict=True):
            product = sum(a * b for a, b in zip(row, solution, strict=True))
            self.assertAlmostEqual(value, product)

"""Compares waiting as long as it pays with fixed rules, on random work.

A rack with a few slots is wanted by batches of tasks; far slots are plenty. The
load is that of one rack wanted by many jobs at once, with breaks between.
"""

from __future__ import annotations

from collections.abc import Callable
import heapq
import random
import statistics

import attrs
import testtools

from comfreylatch._process.cell.locality import calibration
from comfreylatch._process.cell.locality import near_wait

NEAR_SLOTS = 8
LENGTH_MS = 120_000
FIXED_WAIT_MS = 500
# Declared durations are off by at most this share.
ESTIMATE_ERROR = 0.9
STEP_MS = 50
SEEDS = range(4)

Rule = Callable[[near_wait.NearWait], bool]


def always(wait: near_wait.NearWait) -> bool:
    """Waits up to the limit for any room that is expected."""
    return wait.near_start_ms is not None and (
        wait.waited_ms <= near_wait.MAX_WAIT_MS
    )


def never(wait: near_wait.NearWait) -> bool:
    """Starts far at once."""
    del wait
    return False


def fixed(wait: near_wait.NearWait) -> bool:
    """Waits for a fixed time, whatever is expected."""
    return wait.waited_ms < FIXED_WAIT_MS


@attrs.frozen
class Mix:
    """A load on the rack.

    Attributes:
        remote_penalty: How many times as long a task lasts elsewhere.
        duration_ms: Mean duration of a task near its data.
        batch: Tasks that want the rack at once.
        pause_ms: Mean time between two batches.
    """

    remote_penalty: float
    duration_ms: int
    batch: int
    pause_ms: int


MIXES = tuple(
    Mix(remote_penalty, duration_ms, batch, pause_ms)
    for remote_penalty in (1.5, 3.0)
    for duration_ms in (300, 1_000, 2_700)
    for batch, pause_ms in ((4, 400), (12, 1_500), (30, 3_000))
)


def mean_response_ms(mix: Mix, rule: Rule, seed: int) -> float:
    """Plays a load under a rule; returns the mean time to a task's end."""
    source = random.Random(f"{mix}/{seed}")
    arrivals: list[tuple[float, float]] = []
    at_ms = 0.0
    while at_ms < LENGTH_MS:
        for _ in range(mix.batch):
            actual_ms = mix.duration_ms * source.uniform(
                1 - ESTIMATE_ERROR, 1 + ESTIMATE_ERROR
            )
            arrivals.append((at_ms, actual_ms))
        at_ms += source.expovariate(1 / mix.pause_ms)
    return statistics.fmean(_play(mix, rule, arrivals))


@attrs.define(eq=False)
class _Task:
    """A task that wants the rack."""

    arrived_ms: float
    actual_ms: float
    has_waited: bool = False


def _play(
    mix: Mix, rule: Rule, arrivals: list[tuple[float, float]]
) -> list[float]:
    """Plays a load; returns the time from arrival to end of each task."""
    shares = calibration.Calibration()
    near: list[tuple[float, float]] = []  # Actual and expected ends, as a heap.
    waiting: list[_Task] = []
    responses_ms = []
    coming = [_Task(*arrival) for arrival in reversed(arrivals)]
    now_ms = 0
    while waiting or coming:
        while coming and coming[-1].arrived_ms <= now_ms:
            waiting.append(coming.pop())
        while near and near[0][0] <= now_ms:
            heapq.heappop(near)
        starts_ms = sorted(max(end - now_ms, STEP_MS) for _, end in near)
        still_waiting: list[_Task] = []
        for task in waiting:
            if len(near) < NEAR_SLOTS:
                is_near = True
                end_ms = now_ms + task.actual_ms
                heapq.heappush(near, (end_ms, now_ms + mix.duration_ms))
            else:
                taken = len(still_waiting)
                wait = near_wait.NearWait(
                    mix.duration_ms,
                    mix.remote_penalty,
                    starts_ms[taken] if taken < len(starts_ms) else None,
                    int(now_ms - task.arrived_ms),
                    shares.reliability("rack", now_ms),
                    taken / max(len(starts_ms), 1),
                )
                if rule(wait):
                    task.has_waited = True
                    still_waiting.append(task)
                    continue
                is_near = False
                end_ms = now_ms + mix.remote_penalty * task.actual_ms
            responses_ms.append(end_ms - task.arrived_ms)
            if task.has_waited:
                shares.observe("rack", is_near, now_ms)
        waiting = still_waiting
        now_ms += STEP_MS
    return responses_ms


class NearWaitModelTest(testtools.TestCase):
    """Waiting as long as it pays, beside always, never and a fixed wait."""

    def mean_ms(self, mix: Mix, rule: Rule) -> float:
        """Returns the mean time to a task's end over all seeds."""
        return statistics.fmean(
            mean_response_ms(mix, rule, seed) for seed in SEEDS
        )

    def setUp(self) -> None:
        super().setUp()
        self.fixed_rules = {
            rule.__name__: [self.mean_ms(mix, rule) for mix in MIXES]
            for rule in (always, never, fixed)
        }
        self.pays_ms = [
            self.mean_ms(mix, near_wait.should_wait) for mix in MIXES
        ]

    def test_waiting_as_long_as_it_pays_is_ahead_over_all_mixes(self) -> None:
        for name, means_ms in self.fixed_rules.items():
            self.assertLess(sum(self.pays_ms), sum(means_ms), name)

    # Guards against a rule that wins on one kind of load and loses on another.
    def test_no_fixed_rule_does_better_on_any_mix(self) -> None:
        worse = []
        for index, mix in enumerate(MIXES):
            best_ms = min(means[index] for means in self.fixed_rules.values())
            if self.pays_ms[index] > best_ms:
                worse.append((mix, round(self.pays_ms[index] / best_ms, 3)))
        self.assertEqual([], worse)

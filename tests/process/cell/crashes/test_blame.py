"""Tests of which task is to blame for crashes of workers."""

from __future__ import annotations

from typing import Any

import attrs
import testtools

from comfreylatch._process.cell import reasons
from comfreylatch._process.cell import records
from comfreylatch._process.cell.crashes import blame


def crash(run: int, **fields: Any) -> records.CrashRecord:
    """Returns a confirmed early crash beside other runs, on its own machine."""
    values: dict[str, Any] = {
        "ran_ms": 30,
        "is_prime": True,
        "is_confirmed": True,
        **fields,
    }
    return records.CrashRecord(run, f"w{run}", 1, f"10.0.0.{run}:1", **values)


def alone(run: int, **fields: Any) -> records.CrashRecord:
    """Returns a crash under a run that was alone on its worker."""
    return crash(run, was_alone=True, was_on_trial=True, **fields)


class VerdictTest(testtools.TestCase):
    """Crashes under one task."""

    def verdict(
        self, *crashes: records.CrashRecord, are_workers_noisy: bool = False
    ) -> reasons.Verdict | None:
        """Returns the verdict on a task with these crashes."""
        return blame.verdict(crashes, are_workers_noisy)

    def test_crash_beside_others_and_one_alone_give_a_task_up(self) -> None:
        self.assertEqual(
            reasons.Verdict.ALONE, self.verdict(crash(1), alone(2))
        )

    def test_one_crash_proves_nothing(self) -> None:
        self.assertEqual(None, self.verdict(alone(1)))

    def test_crashes_of_one_machine_prove_nothing(self) -> None:
        again = attrs.evolve(alone(2), machine=crash(1).machine)
        self.assertEqual(None, self.verdict(crash(1), again))

    def test_three_crashes_in_trials_beside_others_give_a_task_up(self) -> None:
        trials = [crash(run, was_on_trial=True) for run in (2, 3)]
        self.assertEqual(None, self.verdict(crash(1), trials[0]))
        self.assertEqual(
            reasons.Verdict.REPEATEDLY, self.verdict(crash(1), *trials)
        )

    # Guards against giving up a task for a machine that crashes under any.
    def test_soon_crashes_count_only_on_more_than_two_machines(self) -> None:
        first = crash(1)
        on_first = [
            attrs.evolve(crash(run), machine=first.machine, is_excused=run == 2)
            for run in (2, 3)
        ]
        crashes = (first, *on_first, crash(4))
        self.assertEqual(None, self.verdict(*crashes))
        self.assertEqual(
            reasons.Verdict.REPEATEDLY, self.verdict(*crashes, crash(5))
        )

    # Guards against giving up a task for workers that were only unreachable.
    def test_unconfirmed_crashes_do_not_count(self) -> None:
        self.assertEqual(
            None, self.verdict(crash(1), alone(2, is_confirmed=False))
        )

    def test_late_crash_weighs_less(self) -> None:
        late_ms = blame.EARLY_CRASH_MS + 1
        self.assertEqual(None, self.verdict(crash(1), alone(2, ran_ms=late_ms)))

    def test_more_evidence_is_needed_while_workers_crash_by_themselves(
        self,
    ) -> None:
        self.assertEqual(
            None, self.verdict(crash(1), alone(2), are_workers_noisy=True)
        )
        self.assertEqual(
            reasons.Verdict.ALONE,
            self.verdict(crash(1), alone(2), alone(3), are_workers_noisy=True),
        )

    def test_one_power_cut_is_excused(self) -> None:
        self.assertEqual(
            None, self.verdict(crash(1), alone(2, is_excused=True))
        )

    # Guards against deadly tasks that start many at once, which look like a
    # power cut each time.
    def test_second_power_cut_is_not_excused(self) -> None:
        crashes = [crash(1, is_excused=True), crash(2, is_excused=True)]
        self.assertEqual(
            reasons.Verdict.ALONE, self.verdict(*crashes, alone(3))
        )

    # Guards against a sixth start: one crash may be known to no owner.
    def test_four_crashes_soon_after_starts_always_give_a_task_up(self) -> None:
        crashes = [crash(run, is_excused=True) for run in (1, 2, 3, 4)]
        self.assertEqual(
            reasons.Verdict.REPEATEDLY,
            self.verdict(*crashes, are_workers_noisy=True),
        )


class SuspicionTest(testtools.TestCase):
    """Which crashes make a task a suspect, and which runs refute them."""

    def test_task_is_tried_apart_after_a_crash_right_after_its_start(
        self,
    ) -> None:
        self.assertTrue(blame.needs_trial((crash(1),)))

    # Guards against neighbours of a deadly task that wait for a trial.
    def test_neighbour_goes_on_at_once(self) -> None:
        self.assertFalse(blame.needs_trial((crash(1, is_prime=False),)))

    def test_task_is_tried_apart_after_a_second_crash(self) -> None:
        crashes = (crash(1, is_prime=False), crash(2, is_prime=False))
        self.assertTrue(blame.needs_trial(crashes))

    def test_run_that_lasts_longer_refutes_a_crash(self) -> None:
        crashes = (crash(1, ran_ms=100), crash(2, ran_ms=2_000))
        self.assertEqual(
            crashes[1:],
            blame.without_refuted(crashes, 101 + blame.SURVIVAL_MARGIN_MS),
        )

    def test_third_start_waits_for_unconfirmed_crashes(self) -> None:
        crashes = (crash(1), crash(2), crash(3, is_confirmed=False))
        self.assertTrue(blame.awaits_confirmation(crashes))
        self.assertFalse(blame.awaits_confirmation(crashes[:2]))

    def test_late_return_of_a_worker_tells_of_a_late_crash(self) -> None:
        trial = crash(1, is_confirmed=False, recorded_wall_ms=1_000)
        soon = blame.confirm(trial, 1_000 + blame.EARLY_RETURN_MS)
        late = blame.confirm(trial, 1_001 + blame.EARLY_RETURN_MS)
        self.assertTrue(soon.is_confirmed)
        self.assertEqual(30, soon.ran_ms)
        self.assertGreater(late.ran_ms, blame.EARLY_CRASH_MS)

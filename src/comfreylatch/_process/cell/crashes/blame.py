"""Decides which task is to blame for crashes of workers.

When a worker crashes, any run on it may be the cause, or the worker itself, or
something that many workers have in common, such as their power. The cause can
be told by trying the suspected tasks one at a time, each on a worker of its
own: a task that crashes two machines, one of them without any other run, is
given up. A run that outlasts the time after which its task seemed to crash
workers refutes the suspicion.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from comfreylatch._process.cell import reasons
from comfreylatch._process.cell import records
from comfreylatch._process.cell import runs as runs_module

# A worker's crash is not attributed to runs that had lasted longer.
SUSPECT_RUN_MS = 5_000
# Runs that were started this shortly before a crash are its likely cause. A
# silent worker's crash is noticed about a second late.
RECENT_START_MS = 1_500
# Of these, the ones started about when the latest one was, and at most so many,
# are tried apart.
PRIME_SPREAD_MS = 300
MAX_PRIME_RUNS = 3
# Added to the time after which a task seemed to crash its workers.
SURVIVAL_MARGIN_MS = 500
# Workers that fail within the window have a common cause. Those that fail right
# after a start count only within the shorter one, as several deadly tasks may
# be started one after the other.
MASS_FAILURE_COUNT = 4
MASS_FAILURE_WINDOW_MS = 1_000
MASS_BURST_WINDOW_MS = 200
# Crashes of a machine within the window after which it is considered faulty.
FAULTY_MACHINE_CRASHES = 2
FAULTY_MACHINE_WINDOW_MS = 30_000
# Crashes after which a task is started again only if they are confirmed, or
# have not been for some time.
CRASHES_TO_CONFIRM = 3
CONFIRMATION_WAIT_MS = 8_000
# A worker that fails this soon after a start most likely crashed under it.
QUICK_CRASH_MS = 150
# Weights of a crash as evidence against a task, by how it ran, and the weight
# at which it is given up. More is needed while workers crash by themselves: so
# many within the window.
ALONE_WEIGHT = 3
TRIAL_WEIGHT = 2
SHARED_WEIGHT = 1
LATE_WEIGHT = -1
ALONE_GIVE_UP_WEIGHT = 4
GIVE_UP_WEIGHT = 5
NOISY_GIVE_UP_WEIGHT = 6
NOISE_CRASHES = 1
NOISE_WINDOW_MS = 30_000
# A crash that comes later after the start weighs less.
EARLY_CRASH_MS = 250
# A worker that is back within this time of a start most likely crashed early.
EARLY_RETURN_MS = 4_000
# Crashes soon after the start after which a task is given up, whatever else may
# explain them: it may have had one more of which no owner knows. They must be
# on several machines, as a machine may crash under any task.
MAX_SOON_CRASHES = 4
MIN_SOON_MACHINES = 3
SOON_CRASH_MS = 500


def prime_runs(
    runs: Iterable[runs_module.Run], failed_ms: int
) -> list[runs_module.Run]:
    """Returns the runs that most likely crashed their worker."""
    recent = [
        run for run in runs if failed_ms - started_ms(run) <= RECENT_START_MS
    ]
    recent.sort(key=started_ms, reverse=True)
    return [
        run
        for run in recent[:MAX_PRIME_RUNS]
        if started_ms(recent[0]) - started_ms(run) <= PRIME_SPREAD_MS
    ]


def is_explained(runs: Iterable[runs_module.Run], failed_ms: int) -> bool:
    """Whether a run was started right before its worker failed."""
    return any(
        0 <= failed_ms - started_ms(run) <= QUICK_CRASH_MS for run in runs
    )


def started_ms(run: runs_module.Run) -> int:
    """Monotonic time of its confirmation, else of its start order.

    On a busy host some time passes between the two.
    """
    if run.phase is runs_module.RunPhase.RUNNING:
        return max(run.ordered_ms, run.confirmed_ms)
    return run.ordered_ms


def is_suspect(run: runs_module.Run, failed_ms: int) -> bool:
    """Whether a run may have crashed its worker."""
    if not run.was_ordered:
        return False
    trial = run.task.trial
    if run.is_adopted:
        return trial is not None and trial.run == run.number
    return failed_ms - run.ordered_ms <= SUSPECT_RUN_MS


def _counted(
    crashes: Sequence[records.CrashRecord],
) -> list[records.CrashRecord]:
    """Returns the crashes that count against a task.

    Only one is excused, as many deadly tasks at once look like a power cut.
    """
    excused = next((crash for crash in crashes if crash.is_excused), None)
    return [crash for crash in crashes if crash is not excused]


def confirm(
    crash: records.CrashRecord, successor_born_ms: int
) -> records.CrashRecord:
    """Returns a crash with what the start of the next worker tells of it."""
    ran_ms = crash.ran_ms
    away_ms = successor_born_ms - crash.recorded_wall_ms
    if crash.recorded_wall_ms and away_ms > EARLY_RETURN_MS:
        ran_ms = max(ran_ms, EARLY_CRASH_MS + 1)
    return attrs.evolve(crash, is_confirmed=True, ran_ms=ran_ms)


def needs_trial(crashes: Sequence[records.CrashRecord]) -> bool:
    """Whether a task's next run has to be kept apart from others."""
    if not crashes:
        return False
    counted = _counted(crashes)
    return len(counted) > 1 or any(
        crash.is_prime
        and (not crash.is_excused or crash.ran_ms <= EARLY_CRASH_MS)
        for crash in crashes
    )


def suspicion(crashes: Sequence[records.CrashRecord]) -> tuple[int, int]:
    """Ranks suspected tasks; the highest is the most suspected."""
    soonest_ms = min((crash.ran_ms for crash in crashes), default=0)
    return len(crashes), -soonest_ms


def awaits_confirmation(crashes: Sequence[records.CrashRecord]) -> bool:
    """Whether a task starts only once more is known of its crashes.

    Its workers may have been unreachable only. If they did crash, the task has
    to be given up rather than to be started once more.
    """
    return len(crashes) >= CRASHES_TO_CONFIRM and not all(
        crash.is_confirmed for crash in crashes
    )


def probation_ms(crashes: Sequence[records.CrashRecord]) -> int:
    """How long a run has to last to refute the suspicion."""
    longest_ms = max((crash.ran_ms for crash in crashes), default=0)
    return longest_ms + SURVIVAL_MARGIN_MS


def without_refuted(
    crashes: Sequence[records.CrashRecord], ran_ms: int
) -> tuple[records.CrashRecord, ...]:
    """Returns the crashes that a run of this duration does not refute."""
    return tuple(crash for crash in crashes if ran_ms <= probation_ms((crash,)))


def verdict(
    crashes: Sequence[records.CrashRecord], are_workers_noisy: bool
) -> reasons.Verdict | None:
    """Returns why a task has to be given up; None if it has not.

    Args:
        crashes: The crashes under the task.
        are_workers_noisy: Whether workers crashed lately without a run that
            had just been started.
    """
    confirmed = [crash for crash in _counted(crashes) if crash.is_confirmed]
    if len({crash.machine for crash in confirmed}) < 2:
        return None
    soon = [
        crash
        for crash in crashes
        if crash.is_confirmed and crash.ran_ms <= SOON_CRASH_MS
    ]
    soon_machines = {crash.machine for crash in soon}
    if (
        len(soon) >= MAX_SOON_CRASHES
        and len(soon_machines) >= MIN_SOON_MACHINES
    ):
        return reasons.Verdict.REPEATEDLY
    weight = sum(_weight(crash) for crash in confirmed)
    was_alone = any(crash.was_alone for crash in confirmed)
    needed = ALONE_GIVE_UP_WEIGHT if was_alone else GIVE_UP_WEIGHT
    if are_workers_noisy:
        needed = NOISY_GIVE_UP_WEIGHT
    if weight < needed:
        return None
    if was_alone:
        return reasons.Verdict.ALONE
    return reasons.Verdict.REPEATEDLY


def _weight(crash: records.CrashRecord) -> int:
    """Returns how strongly a crash speaks against the task."""
    weight = SHARED_WEIGHT
    if crash.was_alone:
        weight = ALONE_WEIGHT
    elif crash.was_on_trial:
        weight = TRIAL_WEIGHT
    if crash.ran_ms > EARLY_CRASH_MS:
        weight += LATE_WEIGHT
    return weight

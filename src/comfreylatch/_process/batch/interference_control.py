"""Escalation against batch work that slows down services on a worker.

The steps are: throttle, throttle more, checkpoint and move, stop. Each step
needs several consecutive measurements, all made after the previous step had
time to take effect. Hysteresis: a step is relaxed only well below the
threshold that led to it.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Sequence
import enum
from typing import final

import attrs

from comfreylatch._process.batch import attempt as attempt_module
from comfreylatch._process.batch import eviction_planner
from comfreylatch._process.batch import interference

ESCALATION_MARGIN = 0.05
RELAXATION_MARGIN = -0.04
MIN_SAMPLES = 3
ACTION_SETTLE_MS = 1_500
FULL_SHARE_MILLI = 1_000
FIRST_THROTTLE_SHARE_MILLI = 500
SECOND_THROTTLE_SHARE_MILLI = 250
MAX_THROTTLED_PER_STEP = 8
MIN_SHARE_GAIN_MILLI = 100
MIN_FULL_SHARE_SLOWDOWN = 0.001
MAX_MOVED_PER_STEP = 2


class EscalationStep(enum.IntEnum):
    """Escalation step reached on a worker."""

    NONE = 0
    THROTTLED = 1
    THROTTLED_MORE = 2
    MOVED = 3
    STOPPED = 4


@attrs.frozen
class JobShare:
    """Share of its processors, in thousandths, that a job's attempt gets."""

    job: str
    share_milli: int


@attrs.frozen
class Throttle:
    """Limit attempts to shares; `relaxes` tells if that raises them."""

    shares: tuple[JobShare, ...]
    relaxes: bool = False


@attrs.frozen
class Move:
    """Checkpoint and stop these jobs' attempts; they resume elsewhere."""

    jobs: tuple[str, ...]


@attrs.frozen
class Stop:
    """Stop these jobs' attempts at once."""

    jobs: tuple[str, ...]


Action = Throttle | Move | Stop
LoadOf = Callable[[attempt_module.Attempt], float]


@attrs.define(eq=False)
class _WorkerState:
    step: EscalationStep = EscalationStep.NONE
    acted_ms: int = -ACTION_SETTLE_MS
    worst_slowdowns: collections.deque[tuple[str, float]] = attrs.field(
        factory=lambda: collections.deque(maxlen=MIN_SAMPLES)
    )


@final
class InterferenceControl:
    """Decides the escalation steps of every worker. Not thread-safe.

    Attributes:
        allowed_slowdown: Allowed extra slowdown of a service, as a fraction of
            its time when running alone.
    """

    def __init__(self, model: interference.InterferenceModel) -> None:
        self._model = model
        self._states: dict[str, _WorkerState] = {}
        self.allowed_slowdown = 0.1

    def needs_frequent_reports(self, worker: str) -> bool:
        """Whether reports are needed more often than lease renewals bring."""
        state = self._states.get(worker)
        if state is None:
            return False
        relaxation_limit = 1.0 + self.allowed_slowdown + RELAXATION_MARGIN
        slow = (
            bool(state.worst_slowdowns)
            and state.worst_slowdowns[-1][1] > relaxation_limit
        )
        return slow or state.step is not EscalationStep.NONE

    def decide(
        self,
        worker: str,
        services: Sequence[tuple[str, float]],
        measured_ms: int,
        attempts: Sequence[attempt_module.Attempt],
        load_of: LoadOf,
        now_ms: int,
    ) -> Action | None:
        """Evaluates one measurement of a worker's services.

        Args:
            worker: Name of the worker.
            services: Services there and their slowdown, 1 if none.
            measured_ms: Time of the measurement on this host's clock.
            attempts: Attempts assigned to the worker now.
            load_of: Share of the host that an attempt would use unthrottled.
            now_ms: Monotonic time.

        Returns:
            The action to carry out, or None.
        """
        if not services:
            return None
        state = self._states.setdefault(worker, _WorkerState())
        if measured_ms < state.acted_ms + ACTION_SETTLE_MS:
            return None
        state.worst_slowdowns.append(max(services, key=lambda item: item[1]))
        if len(state.worst_slowdowns) < MIN_SAMPLES:
            return None
        slowdowns = [slowdown for _, slowdown in state.worst_slowdowns]
        action: Action | None = None
        allowed = 1.0 + self.allowed_slowdown
        if min(slowdowns) > allowed + ESCALATION_MARGIN:
            action = self._escalate(state, attempts, load_of)
        elif max(slowdowns) < allowed + RELAXATION_MARGIN:
            action = self._relax(state, attempts, load_of)
        if action is not None:
            state.acted_ms = now_ms
            state.worst_slowdowns.clear()
        return action

    def _escalate(
        self,
        state: _WorkerState,
        attempts: Sequence[attempt_module.Attempt],
        load_of: LoadOf,
    ) -> Action | None:
        service, slowdown = state.worst_slowdowns[-1]
        ranked = self._rank_by_contribution(service, attempts, load_of)
        if not ranked:
            return None
        state.step = EscalationStep(min(state.step + 1, EscalationStep.STOPPED))
        match state.step:
            case EscalationStep.THROTTLED:
                chosen = self._select_contributors(
                    service, slowdown, ranked, load_of
                )
                return _throttle(chosen, FIRST_THROTTLE_SHARE_MILLI)
            case EscalationStep.THROTTLED_MORE:
                chosen = self._select_contributors(
                    service, slowdown, ranked, load_of
                )
                return _throttle(chosen, SECOND_THROTTLE_SHARE_MILLI)
            case EscalationStep.MOVED:
                return Move(_least_unsaved(ranked))
            case _:
                # The next escalation moves attempts again.
                state.step = EscalationStep.THROTTLED_MORE
                return Stop(_least_unsaved(ranked))

    def _select_contributors(
        self,
        service: str,
        slowdown: float,
        ranked: Sequence[attempt_module.Attempt],
        load_of: LoadOf,
    ) -> list[attempt_module.Attempt]:
        """Selects attempts that are predicted to cause the excess together."""
        excess = slowdown - 1.0 - self.allowed_slowdown
        chosen = []
        for attempt in ranked:
            if excess <= 0.0:
                break
            coefficient = self._model.coefficient(
                service, attempt.state.spec.job_class
            )
            share = attempt.share_milli / FULL_SHARE_MILLI
            excess -= coefficient.mean * load_of(attempt) * share
            chosen.append(attempt)
        return chosen

    def _relax(
        self,
        state: _WorkerState,
        attempts: Sequence[attempt_module.Attempt],
        load_of: LoadOf,
    ) -> Action | None:
        """Raises shares as far as no excess slowdown is predicted."""
        state.step = EscalationStep(max(state.step - 1, EscalationStep.NONE))
        service, slowdown = max(state.worst_slowdowns, key=lambda item: item[1])
        slack = 1.0 + self.allowed_slowdown - slowdown
        shares = []
        for attempt in reversed(
            self._rank_by_contribution(service, attempts, load_of)
        ):
            if attempt.share_milli >= FULL_SHARE_MILLI:
                continue
            spec = attempt.state.spec
            coefficient = self._model.coefficient(service, spec.job_class)
            full_share_slowdown = max(
                coefficient.mean * load_of(attempt), MIN_FULL_SHARE_SLOWDOWN
            )
            gain_milli = int(slack / full_share_slowdown * FULL_SHARE_MILLI)
            share_milli = min(
                attempt.share_milli + gain_milli, FULL_SHARE_MILLI
            )
            if share_milli - attempt.share_milli < MIN_SHARE_GAIN_MILLI:
                continue
            gained_milli = share_milli - attempt.share_milli
            slack -= full_share_slowdown * gained_milli / FULL_SHARE_MILLI
            shares.append(JobShare(attempt.job, share_milli))
        return Throttle(tuple(shares), relaxes=True) if shares else None

    def _rank_by_contribution(
        self,
        service: str,
        attempts: Sequence[attempt_module.Attempt],
        load_of: LoadOf,
    ) -> list[attempt_module.Attempt]:
        """Attempts not being stopped, the largest contribution first."""

        def contribution(attempt: attempt_module.Attempt) -> float:
            spec = attempt.state.spec
            coefficient = self._model.coefficient(service, spec.job_class)
            return coefficient.mean * load_of(attempt) * attempt.share_milli

        running = [
            attempt for attempt in attempts if attempt.stop_reason is None
        ]
        return sorted(running, key=contribution, reverse=True)


def _throttle(
    ranked: Sequence[attempt_module.Attempt], share_milli: int
) -> Action | None:
    shares = tuple(
        JobShare(attempt.job, share_milli)
        for attempt in ranked
        if attempt.share_milli > share_milli
    )
    return Throttle(shares[:MAX_THROTTLED_PER_STEP])


def _least_unsaved(
    ranked: Sequence[attempt_module.Attempt],
) -> tuple[str, ...]:
    """Jobs with least unsaved work in the upper half by contribution."""
    upper = ranked[: max(1, (len(ranked) + 1) // 2)]
    ordered = sorted(upper, key=eviction_planner.unsaved_work_ms)
    return tuple(attempt.job for attempt in ordered[:MAX_MOVED_PER_STEP])

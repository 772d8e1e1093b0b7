"""Tasks that work only together, as PROTOCOL.md describes them under `Gang`."""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses
import threading
import time

from rig import executor as executor_module

TICK_S = 0.01


@dataclasses.dataclass(frozen=True)
class Terms:
    """How the gangs of a case work.

    Attributes:
        size: Tasks of a gang.
        work_s: Work until it ends.
        interval_s: `CheckpointIntervalS`.
        restore_s: `RestoreMs`.
        timeout_s: `GangTimeoutMs`.
    """

    size: int
    work_s: float
    interval_s: float
    restore_s: float
    timeout_s: float


@dataclasses.dataclass(frozen=True)
class _Member:
    executor: executor_module.Executor
    checkpoint: str
    joined_s: float


@dataclasses.dataclass
class _Gang:
    number: int
    members: dict[str, _Member] = dataclasses.field(default_factory=dict)
    working_since_s: float | None = None
    done_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class AloneEnd:
    """A run that ended `alone`, with the checkpoints of its gang's members."""

    at_s: float
    started_s: float
    task: str
    number: int
    checkpoints: dict[str, str]


def encode_checkpoint(worked_s: float) -> str:
    """Returns the checkpoint of a gang that has worked for a time."""
    return f"{int(worked_s * 1_000):08x}7a21d94b"


def decode_checkpoint(text: str) -> float:
    """Returns how long a gang with a checkpoint has worked."""
    return int(text[:8], 16) / 1_000 if text else 0.0


class Gangs(executor_module.RunListener):
    """Coordinates the members of all gangs on all executors.

    Members work from the moment at which all of a run are present. As all
    have to carry the same checkpoint, members with different ones don't work
    together; each waits for the others.
    """

    def __init__(self, terms: Terms) -> None:
        self._terms = terms
        self._events: collections.deque[Callable[[], None]] = (
            collections.deque()
        )
        self._gangs: dict[tuple[str, int], _Gang] = {}
        self.alone_ends: list[AloneEnd] = []
        self.done: set[str] = set()
        threading.Thread(target=self._run, daemon=True).start()

    def joined(
        self,
        executor: executor_module.Executor,
        task: str,
        number: int,
        checkpoint: str,
    ) -> None:
        """See `RunListener.joined`."""
        member = _Member(executor, checkpoint, time.monotonic())
        self._events.append(lambda: self._join(task, number, member))

    def left(self, task: str, number: int, how: str) -> None:
        """See `RunListener.left`."""
        self._events.append(lambda: self._leave(task, number, how))

    def _join(self, task: str, number: int, member: _Member) -> None:
        step = task.rpartition(".")[0]
        gang = self._gangs.setdefault((step, number), _Gang(number))
        gang.members[task] = member

    def _leave(self, task: str, number: int, how: str) -> None:
        step = task.rpartition(".")[0]
        gang = self._gangs.get((step, number))
        if gang is None or gang.members.pop(task, None) is None:
            return
        if gang.working_since_s is None or how == "done":
            return
        gang.working_since_s = None
        members, gang.members = gang.members, {}
        for other, member in members.items():
            member.executor.end_run(other, number, "broken")

    def _run(self) -> None:
        while True:
            time.sleep(TICK_S)
            while self._events:
                self._events.popleft()()
            for (step, _), gang in list(self._gangs.items()):
                self._advance(step, gang, time.monotonic())

    def _advance(self, step: str, gang: _Gang, now_s: float) -> None:
        if gang.working_since_s is not None:
            self._work(step, gang, now_s)
            return
        checkpoints = {each.checkpoint for each in gang.members.values()}
        if len(gang.members) == self._terms.size and len(checkpoints) == 1:
            gang.working_since_s = now_s
            gang.done_s = decode_checkpoint(checkpoints.pop())
            return
        for task, member in list(gang.members.items()):
            if now_s - member.joined_s >= self._terms.timeout_s:
                self._end_alone(gang, task, member, now_s)

    def _end_alone(
        self, gang: _Gang, task: str, member: _Member, now_s: float
    ) -> None:
        checkpoints = {
            name: each.checkpoint for name, each in gang.members.items()
        }
        self.alone_ends.append(
            AloneEnd(now_s, member.joined_s, task, gang.number, checkpoints)
        )
        del gang.members[task]
        member.executor.end_run(task, gang.number, "alone")

    def _work(self, step: str, gang: _Gang, now_s: float) -> None:
        terms = self._terms
        assert gang.working_since_s is not None
        restore_s = terms.restore_s if gang.done_s else 0.0
        worked_s = max(now_s - gang.working_since_s - restore_s, 0.0)
        total_s = gang.done_s + worked_s
        if total_s >= terms.work_s:
            self.done.add(step)
            members, gang.members = gang.members, {}
            gang.working_since_s = None
            for task, member in members.items():
                member.executor.end_run(task, gang.number, "done")
            return
        steps = int(total_s / terms.interval_s)
        saved = encode_checkpoint(steps * terms.interval_s) if steps else ""
        for task, member in gang.members.items():
            percent = int(100 * total_s / terms.work_s)
            member.executor.show(task, gang.number, percent, saved)

"""Runs hosts that share one stream through faults and checks invariants.

There are no threads: every step of an appender or a follower is an action, so
that a history of actions is reproducible.
"""

from __future__ import annotations

import enum
import random
from typing import Any
from typing import final

import attrs
import msgspec
import result

from comfreylatch._ports import log as log_port
from comfreylatch._ports import streams
from comfreylatch._process import append_batch
from comfreylatch._process import appender
from comfreylatch._process import follower
from comfreylatch._process import metrics
from comfreylatch._process import snapshot_stream
from comfreylatch._version import records
from comfreylatch._version import snapshots
from testing.fakes import clock as fake_clock
from testing.fakes import log as fake_log

STREAM = "history"
HOSTS = 2
# Longer than every backoff and append interval.
STEP_MS = 3_000
MAX_RECOVERY_ROUNDS = 200


@attrs.frozen
class Note:
    """Body of a test record."""

    note: int


records.register("test-note", Note)


@final
class NoteFold:
    """Keeps the notes in the order in which they were folded."""

    def __init__(self) -> None:
        self.notes: list[int] = []

    def apply(self, offset: int, envelope: records.Envelope, body: Any) -> None:
        """See `RecordFold.apply`."""
        del offset, envelope
        if isinstance(body, Note):
            self.notes.append(body.note)

    def snapshot(self) -> bytes:
        """See `RecordFold.snapshot`."""
        return msgspec.json.encode(self.notes)

    def restore(self, offset: int, snapshot: bytes) -> None:
        """See `RecordFold.restore`."""
        del offset
        self.notes = msgspec.json.decode(snapshot, type=list[int])

    def digest(self) -> str:
        """See `RecordFold.digest`."""
        return str(self.notes)


class ActionKind(enum.Enum):
    """Kinds of actions on a host or on the log."""

    SUBMIT = enum.auto()
    APPEND = enum.auto()
    FOLLOW = enum.auto()
    ABANDON = enum.auto()
    RESTART = enum.auto()
    PUSH = enum.auto()
    SNAPSHOT = enum.auto()
    DELIVER_LATE = enum.auto()
    TOGGLE_LOG = enum.auto()
    BAD_RECORD = enum.auto()


@attrs.frozen
class Action:
    """One action; `choice` selects its fault or its range of entries."""

    kind: ActionKind
    host: int
    choice: int


class InvariantViolationError(AssertionError):
    """An invariant of the stream doesn't hold."""


@attrs.define
class _Host:
    appender: appender.StreamAppender
    follower: follower.StreamFollower
    fold: NoteFold
    pending: dict[int, append_batch.PendingAppend]


@final
class HistoryRunner:
    """Executes a history of actions on a few hosts and a log."""

    def __init__(self) -> None:
        self.log = fake_log.FakeLog()
        self._clock = fake_clock.FakeClock()
        self._metrics = metrics.Metrics()
        self._starts = 0
        self._notes = 0
        self._abandoned: dict[int, append_batch.PendingAppend] = {}
        self._hosts = [self._start() for _ in range(HOSTS)]

    def run(self, actions: list[Action]) -> None:
        """Executes the actions, clears all faults and checks the invariants.

        Raises:
            InvariantViolationError: An invariant doesn't hold.
        """
        for action in actions:
            host = self._hosts[action.host % HOSTS]
            before = host.follower.offset()
            self._execute(action, host)
            self._clock.advance(STEP_MS)
            if host.follower.offset() < before:
                raise InvariantViolationError("a follower's offset decreased")
        self._recover()
        self._check()

    def _start(self) -> _Host:
        self._starts += 1
        fold = NoteFold()
        writer = appender.StreamAppender(
            self.log,
            STREAM,
            f"writer-{self._starts}",
            self._metrics,
            self._clock,
            rng=random.Random(self._starts),
        )
        reader = follower.StreamFollower(
            self.log,
            STREAM,
            fold,
            self._metrics,
            self._clock,
            wait_ms=0,
            after_apply=writer.observe,
        )
        return _Host(writer, reader, fold, {})

    def _execute(self, action: Action, host: _Host) -> None:
        match action.kind:
            case ActionKind.SUBMIT:
                self._submit(host)
            case ActionKind.APPEND:
                self._append(host, action.choice)
            case ActionKind.FOLLOW:
                host.follower.step()
            case ActionKind.ABANDON:
                for pending in host.pending.values():
                    host.appender.abandon(pending)
            case ActionKind.RESTART:
                self._abandoned.update(host.pending)
                self._hosts[action.host % HOSTS] = self._start()
            case ActionKind.PUSH:
                self._push(host, action.choice)
            case ActionKind.SNAPSHOT:
                self._snapshot(host)
            case _:
                self._execute_on_log(action.kind)

    def _execute_on_log(self, kind: ActionKind) -> None:
        match kind:
            case ActionKind.DELIVER_LATE:
                self.log.deliver_late()
            case ActionKind.TOGGLE_LOG:
                self.log.down = not self.log.down
            case _:
                self.log.put(STREAM, [b"{"])

    def _append(self, host: _Host, choice: int) -> None:
        """Runs one step of an appender, with a fault if `choice` is odd."""
        faults = list(fake_log.AppendFault)
        if choice % 2:
            self.log.faults.append(faults[choice % len(faults)])
        host.appender.step()
        self.log.faults.clear()

    def _submit(self, host: _Host) -> None:
        self._notes += 1
        host.pending[self._notes] = host.appender.submit([Note(self._notes)])

    def _push(self, host: _Host, start: int) -> None:
        """Applies all entries from some offset on, as if pushed by a peer."""
        payloads = self.log.payloads(STREAM)
        entries = [
            log_port.LogEntry(offset, payload)
            for offset, payload in enumerate(payloads)
        ]
        host.follower.apply_from_peer(entries[start % (len(entries) + 1) :])

    def _snapshot(self, host: _Host) -> None:
        """Publishes a snapshot and expires the records that it covers."""
        snapshot = host.follower.snapshot()
        if snapshot.offset < 0:
            return
        chunks = [
            records.encode("publisher", snapshot.offset * 1_000 + index, chunk)
            for index, chunk in enumerate(snapshots.split(snapshot))
        ]
        self.log.put(snapshot_stream.name_of(STREAM), chunks)
        self.log.expire_below(STREAM, snapshot.offset + 1)

    def _recover(self) -> None:
        self.log.down = False
        self.log.deliver_late()
        for _ in range(MAX_RECOVERY_ROUNDS):
            self._clock.advance(STEP_MS)
            for host in self._hosts:
                host.appender.step()
                host.follower.step()
            if self._has_converged():
                return
        raise InvariantViolationError(
            "the hosts don't converge after all faults are cleared"
        )

    def _has_converged(self) -> bool:
        """Whether all appends have an outcome and all hosts are at the head."""
        head = len(self.log.payloads(STREAM)) - 1
        return all(
            host.follower.offset() == head
            and all(
                pending.outcome is not None for pending in host.pending.values()
            )
            and not host.appender.busy
            for host in self._hosts
        )

    def _check(self) -> None:
        folds = [host.fold.notes for host in self._hosts]
        if any(notes != folds[0] for notes in folds):
            raise InvariantViolationError(f"folds differ: {folds}")
        for host in self._hosts:
            for note, pending in host.pending.items():
                self._check_note(note, pending, folds[0])
        for note, pending in self._abandoned.items():
            self._check_note(note, pending, folds[0])

    def _check_note(
        self, note: int, pending: append_batch.PendingAppend, notes: list[int]
    ) -> None:
        times = notes.count(note)
        match pending.outcome:
            case result.Ok(streams.Appended(offset)):
                if times != 1:
                    raise InvariantViolationError(
                        f"note {note} was appended, but folded {times} times"
                    )
                if self.log.payloads(STREAM)[offset] != pending.payloads[0]:
                    raise InvariantViolationError(
                        f"note {note} is not at the reported offset {offset}"
                    )
            case result.Err(streams.NotAccepted()):
                if times != 0:
                    raise InvariantViolationError(
                        f"note {note} was refused, but folded"
                    )
            case _:
                if times > 1:
                    raise InvariantViolationError(
                        f"note {note} was folded {times} times"
                    )

"""A bounded journal of decisions, the source of `explain`."""

from __future__ import annotations

import collections
import threading

import attrs

from comfreylatch._ports import clock as clock_port
from comfreylatch._process import reasons

MAX_DECISIONS = 5_000


@attrs.frozen
class Decision:
    """One decision of this host.

    Attributes:
        wall_ms: Time of the decision, in milliseconds since the epoch.
        host: Host id of the host that decided.
        subject: Kind of the subject.
        name: Id of the subject.
        reason: Stable reason code, from `reasons` or a record.
        sentence: The reason for operators, with the values that led to it.
        offset: Offset of the record that caused it; -1 for none.
    """

    wall_ms: int
    host: str
    subject: reasons.Subject
    name: str
    reason: str
    sentence: str
    offset: int = -1


class Journal:
    """Keeps the last decisions and evicts the oldest. Thread-safe."""

    def __init__(
        self,
        host: str,
        clock: clock_port.Clock,
        max_decisions: int = MAX_DECISIONS,
    ) -> None:
        self._host = host
        self._clock = clock
        self._lock = threading.Lock()
        self._decisions: collections.deque[Decision] = collections.deque(
            maxlen=max_decisions
        )
        self._forgotten = 0

    def record(
        self,
        subject: reasons.Subject,
        name: str,
        reason: str,
        sentence: str,
        offset: int = -1,
    ) -> None:
        """Adds a decision with the current time."""
        decision = Decision(
            wall_ms=self._clock.wall_ms(),
            host=self._host,
            subject=subject,
            name=name,
            reason=reason,
            sentence=sentence,
            offset=offset,
        )
        with self._lock:
            if len(self._decisions) == self._decisions.maxlen:
                self._forgotten += 1
            self._decisions.append(decision)

    def about(
        self, subject: reasons.Subject, name: str
    ) -> tuple[Decision, ...]:
        """Decisions about one subject, oldest first."""
        with self._lock:
            return tuple(
                decision
                for decision in self._decisions
                if decision.subject == subject and decision.name == name
            )

    @property
    def host(self) -> str:
        """Host id of the host that makes the decisions."""
        return self._host

    @property
    def forgotten(self) -> int:
        """Number of decisions evicted so far."""
        return self._forgotten

"""Folds the configuration stream into the configuration in force."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import types
from typing import Any
from typing import final

import attrs
import logbook
import msgspec
import result
import xxhash

from comfreylatch._process import logs
from comfreylatch._version import configuration
from comfreylatch._version import objects
from comfreylatch._version import records
from comfreylatch._version import reference_rules
from comfreylatch._version import tickets
from comfreylatch._version import verdicts

MAX_TICKETS = 2_000
# Removed objects are forgotten after this many offsets.
TOMBSTONE_RETENTION_OFFSETS = 100_000
SWEEP_INTERVAL_OFFSETS = 1_024
MAX_DETAIL_CHARACTERS = 2_000
UNKNOWN_AGE_MS = 2**53
DIGEST_MODULUS = 2**64

_events = logbook.Logger(__name__)

Key = tuple[objects.ObjectKind, str]
Listener = Callable[[configuration.Configuration], None]
TicketListener = Callable[[verdicts.TicketEntry], None]


@attrs.frozen
class _ObjectLine:
    kind: objects.ObjectKind
    name: str
    version: int
    ticket: int
    offset: int
    state: Any


@attrs.frozen
class _Snapshot:
    offset: int
    objects: tuple[_ObjectLine, ...]
    tickets: tuple[verdicts.TicketEntry, ...]


_FIELD_BY_KIND: Mapping[objects.ObjectKind, str] = types.MappingProxyType(
    {
        objects.ObjectKind.SERVICE: "services",
        objects.ObjectKind.ENDPOINT: "endpoints",
        objects.ObjectKind.TEAM: "teams",
        objects.ObjectKind.WORKER_CLASS: "worker_classes",
        objects.ObjectKind.ZONE: "zones",
    }
)


@final
class ConfigurationFold:
    """Implements `RecordFold` and `ConfigurationSource`.

    One thread at a time may call `apply` and `restore`; the other methods may
    be called from any thread. What is decided depends on the records and
    their offsets alone.
    """

    def __init__(self) -> None:
        self._objects: dict[Key, configuration.Versioned] = {}
        self._tickets: dict[int, verdicts.TicketEntry] = {}
        self._sum = 0
        self._current = configuration.Configuration(digest=_hex(0))
        self._listeners: list[Listener] = []
        self._ticket_listeners: list[TicketListener] = []
        self._age_source: Callable[[], int] = lambda: UNKNOWN_AGE_MS
        self._ignored = 0

    # ConfigurationSource

    def current(self) -> configuration.Configuration:
        """See `ConfigurationSource.current`."""
        return self._current

    def on_change(self, listener: Listener) -> None:
        """See `ConfigurationSource.on_change`."""
        self._listeners.append(listener)

    def age_ms(self) -> int:
        """See `ConfigurationSource.age_ms`; needs `set_age_source` first."""
        return self._age_source()

    def set_age_source(self, age_ms: Callable[[], int]) -> None:
        """Sets where `age_ms` comes from: the follower of the stream."""
        self._age_source = age_ms

    # RecordFold

    def apply(self, offset: int, envelope: records.Envelope, body: Any) -> None:
        """See `RecordFold.apply`; records that carry no ticket are counted."""
        if not isinstance(body, tickets.TicketRecord):
            self._ignored += 1
            return
        del envelope
        match tickets.check(body.ticket):
            case result.Ok(ticket):
                line = self._fold_ticket(offset, ticket)
            case result.Err(problems):
                line = self._fold_malformed(offset, body.ticket, problems)
        self._sweep(offset)
        self._publish(offset)
        if line is not None:
            _tell(self._ticket_listeners, line)

    def snapshot(self) -> bytes:
        """See `RecordFold.snapshot`."""
        lines = tuple(
            _ObjectLine(
                kind,
                name,
                versioned.version,
                versioned.ticket,
                versioned.offset,
                versioned.state,
            )
            for (kind, name), versioned in self._objects.items()
        )
        known = tuple(self._tickets.values())
        return msgspec.json.encode(
            _Snapshot(self._current.offset, lines, known)
        )

    def restore(self, offset: int, snapshot: bytes) -> None:
        """See `RecordFold.restore`.

        Raises:
            ValueError: The snapshot is malformed; nothing was changed.
        """
        del offset
        taken = msgspec.json.decode(snapshot, type=_Snapshot)
        self._objects = {
            (line.kind, line.name): _versioned(line) for line in taken.objects
        }
        self._tickets = {line.number: line for line in taken.tickets}
        self._sum = sum(
            _object_hash(key, versioned)
            for key, versioned in self._objects.items()
        )
        self._sum += sum(map(_ticket_hash, self._tickets.values()))
        self._current = configuration.Configuration(
            **{field: self._collect(kind) for kind, field in _FIELDS},
            limits=self._limits(),
        )
        self._publish(taken.offset)

    def digest(self) -> str:
        """See `RecordFold.digest`."""
        return _hex(self._sum)

    # Tickets

    @property
    def ignored(self) -> int:
        """Records folded so far that were no tickets."""
        return self._ignored

    def on_ticket(self, listener: TicketListener) -> None:
        """Calls `listener` with every later verdict, in order."""
        self._ticket_listeners.append(listener)

    def ticket(self, number: int) -> verdicts.TicketEntry | None:
        """What was decided about a ticket; None when it is not known."""
        return self._tickets.get(number)

    def tickets(self) -> tuple[verdicts.TicketEntry, ...]:
        """The tickets remembered, in the order of their offsets."""
        return tuple(self._tickets.copy().values())

    def objects(self) -> Mapping[Key, configuration.Versioned]:
        """A copy of all objects, with those removed not long ago."""
        return self._objects.copy()

    def evaluate(
        self, offset: int, ticket: tickets.Ticket
    ) -> verdicts.TicketEntry:
        """What the verdict would be if the ticket stood at `offset`."""
        conflicts = self._conflicts(ticket)
        broken: list[str] = []
        verdict = verdicts.Verdict.ACCEPTED
        if conflicts:
            verdict = verdicts.Verdict.CONFLICT
        else:
            broken = reference_rules.broken_references(ticket, self._current)
            if broken:
                verdict = verdicts.Verdict.BROKEN_REFERENCE
        return verdicts.TicketEntry(
            number=ticket.number,
            content_hash=tickets.content_hash(ticket),
            author=ticket.author,
            reason=ticket.reason,
            offset=offset,
            verdict=verdict,
            detail="; ".join([*map(str, conflicts), *broken]),
            conflicts=conflicts,
            objects=tuple(
                f"{change.kind}/{change.name}" for change in ticket.changes
            ),
        )

    def _conflicts(
        self, ticket: tickets.Ticket
    ) -> tuple[verdicts.Conflict, ...]:
        found: list[verdicts.Conflict] = []
        for change in ticket.changes:
            held = self._objects.get((change.kind, change.name))
            version = held.version if held else 0
            if change.replaces != version:
                found.append(
                    verdicts.Conflict(
                        kind=change.kind,
                        name=change.name,
                        replaces=change.replaces,
                        current=version,
                        winner=held.ticket if held else 0,
                        removed=held is not None and held.state is None,
                    )
                )
        return tuple(found)

    def _fold_ticket(
        self, offset: int, ticket: tickets.Ticket
    ) -> verdicts.TicketEntry | None:
        """Decides on a ticket; None when its number is taken."""
        if ticket.number in self._tickets:
            # The number belongs to its first record, whatever follows.
            return None
        line = self.evaluate(offset, ticket)
        self._remember(line)
        if line.accepted:
            self._put_in_force(offset, ticket)
        return line

    def _fold_malformed(
        self, offset: int, value: Mapping[str, Any], problems: Any
    ) -> verdicts.TicketEntry | None:
        """Remembers a malformed ticket by its number, if it has one."""
        self._ignored += 1
        number = value.get("number")
        if not tickets.is_number(number) or number in self._tickets:
            return None
        line = verdicts.TicketEntry(
            number=number,
            content_hash="",
            author="",
            reason="",
            offset=offset,
            verdict=verdicts.Verdict.MALFORMED,
            detail=tickets.format_problems(problems)[:MAX_DETAIL_CHARACTERS],
        )
        self._remember(line)
        return line

    def _remember(self, line: verdicts.TicketEntry) -> None:
        self._tickets[line.number] = line
        self._sum += _ticket_hash(line)
        while len(self._tickets) > MAX_TICKETS:
            oldest = next(iter(self._tickets))
            self._sum -= _ticket_hash(self._tickets.pop(oldest))

    def _put_in_force(self, offset: int, ticket: tickets.Ticket) -> None:
        for change in ticket.changes:
            key = (change.kind, change.name)
            held = self._objects.get(key)
            version = 1
            if held is not None:
                self._sum -= _object_hash(key, held)
                version = held.version + 1
            put = configuration.Versioned(
                version, ticket.number, offset, change.state
            )
            self._objects[key] = put
            self._sum += _object_hash(key, put)
        self._rebuild({change.kind for change in ticket.changes})

    def _rebuild(self, kinds: set[objects.ObjectKind]) -> None:
        """Makes the configuration anew as far as some kinds changed."""
        members: dict[str, Any] = {
            field: self._collect(kind)
            for kind, field in _FIELDS
            if kind in kinds
        }
        if objects.ObjectKind.LIMITS in kinds:
            members["limits"] = self._limits()
        self._current = attrs.evolve(self._current, **members)

    def _collect(self, kind: objects.ObjectKind) -> Mapping[str, Any]:
        return types.MappingProxyType(
            {
                name: versioned.state
                for (held, name), versioned in self._objects.items()
                if held is kind and versioned.state is not None
            }
        )

    def _limits(self) -> objects.Limits:
        key = (objects.ObjectKind.LIMITS, objects.FLEET_LIMITS_NAME)
        held = self._objects.get(key)
        if held is not None and isinstance(held.state, objects.Limits):
            return held.state
        return objects.Limits()

    def _sweep(self, offset: int) -> None:
        """Forgets removals of long ago, at offsets equal on every host."""
        before = self._current.offset
        if offset // SWEEP_INTERVAL_OFFSETS == before // SWEEP_INTERVAL_OFFSETS:
            return
        oldest = offset - TOMBSTONE_RETENTION_OFFSETS
        for key, versioned in list(self._objects.items()):
            if versioned.state is None and versioned.offset < oldest:
                self._sum -= _object_hash(key, versioned)
                del self._objects[key]

    def _publish(self, offset: int) -> None:
        self._current = attrs.evolve(
            self._current, offset=offset, digest=self.digest()
        )
        _tell(self._listeners, self._current)


def _tell(listeners: list[Callable[[Any], None]], news: Any) -> None:
    for listener in listeners:
        try:
            listener(news)
        except Exception:
            # The state is right; one faulty listener must not stop it.
            logs.exception(_events, "listener-failed")


_FIELDS = tuple(_FIELD_BY_KIND.items())


def _versioned(line: _ObjectLine) -> configuration.Versioned:
    state = line.state
    if state is not None:
        state = msgspec.convert(state, type=objects.CLASS_BY_KIND[line.kind])
    return configuration.Versioned(
        line.version, line.ticket, line.offset, state
    )


def _object_hash(key: Key, versioned: configuration.Versioned) -> int:
    return xxhash.xxh3_64_intdigest(msgspec.json.encode((key, versioned)))


def _ticket_hash(line: verdicts.TicketEntry) -> int:
    return xxhash.xxh3_64_intdigest(msgspec.json.encode(line))


def _hex(total: int) -> str:
    return f"{total % DIGEST_MODULUS:016x}"

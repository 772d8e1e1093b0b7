"""Folds the configuration stream into the current configuration."""

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
# The version of a removed object is kept for this many offsets, so that a
# late ticket still conflicts with the removal.
TOMBSTONE_RETENTION_OFFSETS = 100_000
SWEEP_INTERVAL_OFFSETS = 1_024
MAX_DETAIL_CHARACTERS = 2_000
UNKNOWN_AGE_MS = 2**53
DIGEST_MODULUS = 2**64

_logger = logbook.Logger(__name__)

ObjectKey = tuple[objects.ObjectKind, str]
Listener = Callable[[configuration.Configuration], None]
TicketListener = Callable[[verdicts.TicketEntry], None]


@attrs.frozen
class _ObjectEntry:
    kind: objects.ObjectKind
    name: str
    version: int
    ticket: int
    offset: int
    state: Any


@attrs.frozen
class _Snapshot:
    offset: int
    objects: tuple[_ObjectEntry, ...]
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

    `apply` and `restore` must not run concurrently; the other methods are
    thread-safe. Decisions depend only on the records and their offsets, so
    every host reaches the same state.
    """

    def __init__(self) -> None:
        self._objects: dict[ObjectKey, configuration.Versioned] = {}
        self._tickets: dict[int, verdicts.TicketEntry] = {}
        self._hash_sum = 0
        self._current = configuration.Configuration(digest=_format_digest(0))
        self._listeners: list[Listener] = []
        self._ticket_listeners: list[TicketListener] = []
        self._age_source: Callable[[], int] = lambda: UNKNOWN_AGE_MS
        self._ignored_count = 0

    # ConfigurationSource

    def current(self) -> configuration.Configuration:
        """See `ConfigurationSource.current`."""
        return self._current

    def on_change(self, listener: Listener) -> None:
        """See `ConfigurationSource.on_change`."""
        self._listeners.append(listener)

    def age_ms(self) -> int:
        """See `ConfigurationSource.age_ms`; call `set_age_source` first."""
        return self._age_source()

    def set_age_source(self, age_ms: Callable[[], int]) -> None:
        """Sets the source of `age_ms`: the follower of the stream."""
        self._age_source = age_ms

    # RecordFold

    def apply(self, offset: int, envelope: records.Envelope, body: Any) -> None:
        """See `RecordFold.apply`; counts records that are not tickets."""
        if not isinstance(body, tickets.TicketRecord):
            self._ignored_count += 1
            return
        del envelope
        match tickets.check(body.ticket):
            case result.Ok(ticket):
                entry = self._fold_ticket(offset, ticket)
            case result.Err(problems):
                entry = self._fold_malformed(offset, body.ticket, problems)
        self._sweep(offset)
        self._publish(offset)
        if entry is not None:
            _notify(self._ticket_listeners, entry)

    def snapshot(self) -> bytes:
        """See `RecordFold.snapshot`."""
        entries = tuple(
            _ObjectEntry(
                kind,
                name,
                versioned.version,
                versioned.ticket,
                versioned.offset,
                versioned.state,
            )
            for (kind, name), versioned in self._objects.items()
        )
        ticket_entries = tuple(self._tickets.values())
        return msgspec.json.encode(
            _Snapshot(self._current.offset, entries, ticket_entries)
        )

    def restore(self, offset: int, snapshot: bytes) -> None:
        """See `RecordFold.restore`.

        Raises:
            ValueError: The snapshot is malformed; the state is unchanged.
        """
        del offset
        decoded = msgspec.json.decode(snapshot, type=_Snapshot)
        self._objects = {
            (entry.kind, entry.name): _to_versioned(entry)
            for entry in decoded.objects
        }
        self._tickets = {entry.number: entry for entry in decoded.tickets}
        self._hash_sum = sum(
            _object_hash(key, versioned)
            for key, versioned in self._objects.items()
        )
        self._hash_sum += sum(map(_ticket_hash, self._tickets.values()))
        self._current = configuration.Configuration(
            **{
                field: self._states_by_name(kind)
                for kind, field in _KINDS_AND_FIELDS
            },
            limits=self._limits(),
        )
        self._publish(decoded.offset)

    def digest(self) -> str:
        """See `RecordFold.digest`."""
        return _format_digest(self._hash_sum)

    # Tickets

    @property
    def ignored(self) -> int:
        """Number of folded records that were not valid tickets."""
        return self._ignored_count

    def on_ticket(self, listener: TicketListener) -> None:
        """Registers a listener for every later decision, in order."""
        self._ticket_listeners.append(listener)

    def ticket(self, number: int) -> verdicts.TicketEntry | None:
        """Returns the decision on a ticket; None if it is unknown."""
        return self._tickets.get(number)

    def tickets(self) -> tuple[verdicts.TicketEntry, ...]:
        """Returns the retained tickets in order of their offsets."""
        return tuple(self._tickets.copy().values())

    def objects(self) -> Mapping[ObjectKey, configuration.Versioned]:
        """Returns a copy of all objects, including recent tombstones."""
        return self._objects.copy()

    def evaluate(
        self, offset: int, ticket: tickets.Ticket
    ) -> verdicts.TicketEntry:
        """Returns the decision on a ticket if it were folded at `offset`."""
        conflicts = self._conflicts(ticket)
        reference_errors: list[str] = []
        verdict = verdicts.Verdict.ACCEPTED
        if conflicts:
            verdict = verdicts.Verdict.CONFLICT
        else:
            reference_errors = reference_rules.broken_references(
                ticket, self._current
            )
            if reference_errors:
                verdict = verdicts.Verdict.BROKEN_REFERENCE
        return verdicts.TicketEntry(
            number=ticket.number,
            content_hash=tickets.content_hash(ticket),
            author=ticket.author,
            reason=ticket.reason,
            offset=offset,
            verdict=verdict,
            detail="; ".join([*map(str, conflicts), *reference_errors]),
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
            existing = self._objects.get((change.kind, change.name))
            version = existing.version if existing else 0
            if change.replaces != version:
                found.append(
                    verdicts.Conflict(
                        kind=change.kind,
                        name=change.name,
                        replaces=change.replaces,
                        current=version,
                        winner=existing.ticket if existing else 0,
                        removed=existing is not None and existing.state is None,
                    )
                )
        return tuple(found)

    def _fold_ticket(
        self, offset: int, ticket: tickets.Ticket
    ) -> verdicts.TicketEntry | None:
        """Decides on a ticket; returns None if its number is in use."""
        if ticket.number in self._tickets:
            # The first record with a number owns it, whatever its content.
            return None
        entry = self.evaluate(offset, ticket)
        self._store_entry(entry)
        if entry.accepted:
            self._apply_changes(offset, ticket)
        return entry

    def _fold_malformed(
        self, offset: int, value: Mapping[str, Any], problems: Any
    ) -> verdicts.TicketEntry | None:
        """Stores a malformed ticket under its number, if that is valid."""
        self._ignored_count += 1
        number = value.get("number")
        if not tickets.is_ticket_number(number) or number in self._tickets:
            return None
        entry = verdicts.TicketEntry(
            number=number,
            content_hash="",
            author="",
            reason="",
            offset=offset,
            verdict=verdicts.Verdict.MALFORMED,
            detail=tickets.format_problems(problems)[:MAX_DETAIL_CHARACTERS],
        )
        self._store_entry(entry)
        return entry

    def _store_entry(self, entry: verdicts.TicketEntry) -> None:
        self._tickets[entry.number] = entry
        self._hash_sum += _ticket_hash(entry)
        while len(self._tickets) > MAX_TICKETS:
            oldest = next(iter(self._tickets))
            self._hash_sum -= _ticket_hash(self._tickets.pop(oldest))

    def _apply_changes(self, offset: int, ticket: tickets.Ticket) -> None:
        for change in ticket.changes:
            key = (change.kind, change.name)
            existing = self._objects.get(key)
            version = 1
            if existing is not None:
                self._hash_sum -= _object_hash(key, existing)
                version = existing.version + 1
            updated = configuration.Versioned(
                version, ticket.number, offset, change.state
            )
            self._objects[key] = updated
            self._hash_sum += _object_hash(key, updated)
        self._rebuild({change.kind for change in ticket.changes})

    def _rebuild(self, kinds: set[objects.ObjectKind]) -> None:
        """Rebuilds the parts of the configuration that hold these kinds."""
        updated_fields: dict[str, Any] = {
            field: self._states_by_name(kind)
            for kind, field in _KINDS_AND_FIELDS
            if kind in kinds
        }
        if objects.ObjectKind.LIMITS in kinds:
            updated_fields["limits"] = self._limits()
        self._current = attrs.evolve(self._current, **updated_fields)

    def _states_by_name(self, kind: objects.ObjectKind) -> Mapping[str, Any]:
        return types.MappingProxyType(
            {
                name: versioned.state
                for (object_kind, name), versioned in self._objects.items()
                if object_kind is kind and versioned.state is not None
            }
        )

    def _limits(self) -> objects.Limits:
        key = (objects.ObjectKind.LIMITS, objects.FLEET_LIMITS_NAME)
        existing = self._objects.get(key)
        if existing is not None and isinstance(existing.state, objects.Limits):
            return existing.state
        return objects.Limits()

    def _sweep(self, offset: int) -> None:
        """Drops expired tombstones, at the same offsets on every host."""
        before = self._current.offset
        if offset // SWEEP_INTERVAL_OFFSETS == before // SWEEP_INTERVAL_OFFSETS:
            return
        oldest = offset - TOMBSTONE_RETENTION_OFFSETS
        for key, versioned in list(self._objects.items()):
            if versioned.state is None and versioned.offset < oldest:
                self._hash_sum -= _object_hash(key, versioned)
                del self._objects[key]

    def _publish(self, offset: int) -> None:
        self._current = attrs.evolve(
            self._current, offset=offset, digest=self.digest()
        )
        _notify(self._listeners, self._current)


def _notify(listeners: list[Callable[[Any], None]], value: Any) -> None:
    for listener in listeners:
        try:
            listener(value)
        except Exception:
            # The state is already updated; a failing listener must not
            # prevent the others from being called.
            logs.exception(_logger, "listener-failed")


_KINDS_AND_FIELDS = tuple(_FIELD_BY_KIND.items())


def _to_versioned(entry: _ObjectEntry) -> configuration.Versioned:
    state = entry.state
    if state is not None:
        state = msgspec.convert(state, type=objects.CLASS_BY_KIND[entry.kind])
    return configuration.Versioned(
        entry.version, entry.ticket, entry.offset, state
    )


def _object_hash(key: ObjectKey, versioned: configuration.Versioned) -> int:
    return xxhash.xxh3_64_intdigest(msgspec.json.encode((key, versioned)))


def _ticket_hash(entry: verdicts.TicketEntry) -> int:
    return xxhash.xxh3_64_intdigest(msgspec.json.encode(entry))


def _format_digest(total: int) -> str:
    return f"{total % DIGEST_MODULUS:016x}"

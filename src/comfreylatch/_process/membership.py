"""Membership of entry hosts: heartbeats, peer views and record pushes.

The settings list the seats, so the set of peers is fixed at run time; what
changes is which process occupies a seat and whether it answers. One thread
per peer sends heartbeats and pushes new records between them.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import contextlib
import threading
from typing import Any
from typing import final
from typing import Protocol
from typing import Self

import attrs
import logbook
import result

from comfreylatch._connection import address
from comfreylatch._connection import peer_link
from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import peers
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import settings as settings_module
from comfreylatch._wire.gen.peer import ttypes

PROTOCOL_VERSION = 1
MAX_MISSED_HEARTBEATS = 3
REMOTE_ZONE_INTERVAL_FACTOR = 2
SUPERSEDED = "superseded"
MAX_PREDECESSORS_PER_SEAT = 64
# Must be shorter than the time for which a host that gets no drain report
# from its zone keeps its seat closed; that exceeds
# `loans.MIN_LOAN_DURATION_MS`.
DRAINED_VALIDITY_MS = 5_000
MAX_QUEUED_ENTRIES = 1_000

_logger = logbook.Logger(__name__)


class HeartbeatSource(Protocol):
    """Provides the state that this host sends in heartbeats."""

    def heartbeat(self) -> ttypes.Heartbeat:
        """Returns the current state of this host."""
        ...


@attrs.frozen
class SeatOccupant:
    """A process that occupies, or did occupy, a seat.

    Attributes:
        host_id: Its host id.
        drained: Whether it reported that all its requests have ended. Of a
            predecessor, also that the report came shortly before the first
            message of its successor.
        drained_ms: Monotonic time of that report.
    """

    host_id: str
    drained: bool
    drained_ms: int = 0


def _to_predecessor(current: SeatOccupant, now_ms: int) -> SeatOccupant:
    """Clears a drain report that is too old when a successor appears.

    After a longer gap a third process, unknown to this host, may have
    occupied the seat in between and left requests running.
    """
    is_fresh = now_ms - current.drained_ms < DRAINED_VALIDITY_MS
    return attrs.evolve(current, drained=current.drained and is_fresh)


@final
class Membership:
    """The peers in all other seats; implements `_ports.peers.Peers`."""

    def __init__(
        self,
        settings: settings_module.Settings,
        source: HeartbeatSource,
        metrics: metrics_module.Metrics,
        clock: clock_port.Clock,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._lock = threading.Lock()
        self._occupants: dict[str, SeatOccupant] = {}
        self._predecessors: dict[str, collections.deque[SeatOccupant]] = {}
        self._predecessor_reports: dict[str, bool] = {}
        self._superseded = threading.Event()
        self._listeners: list[Callable[[peers.PeerView], None]] = []
        self._members = {
            peer.seat: _Member(peer, settings, source, metrics, self, clock)
            for peer in settings.peers
        }
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> Self:
        for member in self._members.values():
            self._stack.enter_context(member)
        return self

    def __exit__(self, *_: object) -> None:
        for member in self._members.values():
            member.request_stop()
        self._stack.close()

    def views(self) -> tuple[peers.PeerView, ...]:
        """See `Peers.views`."""
        now_ms = self._clock.monotonic_ms()
        timeout_ms = self._settings.timing.peer_timeout_ms
        return tuple(
            attrs.evolve(
                member.view,
                reachable=member.view.heard_ms >= 0
                and now_ms - member.view.heard_ms
                <= member.interval_ms * MAX_MISSED_HEARTBEATS + timeout_ms,
            )
            for member in self._members.values()
        )

    def on_heartbeat_reply(
        self, listener: Callable[[peers.PeerView], None]
    ) -> None:
        """Registers a listener called after each answered heartbeat."""
        self._listeners.append(listener)

    def observe_occupant(self, seat: str, host_id: str, drained: bool) -> bool:
        """Records which process occupies a seat.

        Called for heartbeats received and for replies to own heartbeats.

        Returns:
            False if another process has superseded this one in the seat.
            Late messages of the old process don't change the occupant.
        """
        with self._lock:
            predecessors = self._predecessors.setdefault(
                seat, collections.deque(maxlen=MAX_PREDECESSORS_PER_SEAT)
            )
            if any(
                predecessor.host_id == host_id for predecessor in predecessors
            ):
                return False
            now_ms = self._clock.monotonic_ms()
            current = self._occupants.get(seat)
            if current is None or current.host_id != host_id:
                if current is not None:
                    predecessors.append(_to_predecessor(current, now_ms))
                current = SeatOccupant(host_id, drained=False)
            if drained and not current.drained:
                current = SeatOccupant(host_id, True, now_ms)
            self._occupants[seat] = current
            return True

    def find_predecessor(self, seat: str) -> SeatOccupant | None:
        """Returns the process that occupied a seat before the current one."""
        with self._lock:
            predecessors = self._predecessors.get(seat)
            return predecessors[-1] if predecessors else None

    @property
    def superseded(self) -> threading.Event:
        """Set once a peer reports that another process has this seat."""
        return self._superseded

    def record_predecessor_report(
        self, reporter_seat: str, drained: bool
    ) -> None:
        """Records a peer's report whether this seat's predecessor drained."""
        with self._lock:
            self._predecessor_reports[reporter_seat] = drained

    def is_predecessor_drained(self) -> bool:
        """Returns whether all other hosts of the zone report it drained.

        One report isn't enough: a partitioned host may have missed the last
        process in this seat, and then reports on the one before it.
        """
        zone_seats = [
            peer.seat
            for peer in self._settings.peers
            if peer.zone == self._settings.zone
        ]
        with self._lock:
            reports = [
                self._predecessor_reports.get(seat) for seat in zone_seats
            ]
        return bool(reports) and all(reports)

    def apply_reply(
        self, view: peers.PeerView, reply: ttypes.HeartbeatReply
    ) -> peers.PeerView:
        """Returns a peer's view after a reply, and notifies the listeners."""
        new_view = attrs.evolve(
            view,
            host_id=reply.host_id,
            heard_ms=self._clock.monotonic_ms(),
            stopping=reply.stopping,
            config_offset=reply.config_offset,
            config_digest=reply.config_digest,
            leaving_endpoints=frozenset(reply.leaving_endpoints or ()),
            spare_slots=dict(reply.spare_slots or {}),
        )
        for listener in self._listeners:
            listener(new_view)
        return new_view

    def forward(
        self, seat: str, request: ttypes.ForwardRequest, timeout_ms: int
    ) -> result.Result[ttypes.ForwardReply, peers.PeerError]:
        """See `Peers.forward`."""
        return self._call(seat, lambda c: c.forward(request), timeout_ms)

    def mark(
        self, seat: str, request: ttypes.MarkRequest, timeout_ms: int
    ) -> result.Result[ttypes.MarkReply, peers.PeerError]:
        """See `Peers.mark`."""
        return self._call(seat, lambda c: c.mark(request), timeout_ms)

    def borrow(
        self, seat: str, request: ttypes.LoanRequest, timeout_ms: int
    ) -> result.Result[ttypes.LoanReply, peers.PeerError]:
        """See `Peers.borrow`."""
        return self._call(seat, lambda c: c.borrow(request), timeout_ms)

    def give_back(
        self, seat: str, loan: ttypes.LoanReturn, timeout_ms: int
    ) -> result.Result[None, peers.PeerError]:
        """See `Peers.give_back`."""
        return self._call(seat, lambda c: c.give_back(loan), timeout_ms)

    def catch_up(
        self, seat: str, request: ttypes.CatchUpRequest, timeout_ms: int
    ) -> result.Result[ttypes.CatchUpReply, peers.PeerError]:
        """See `Peers.catch_up`."""
        return self._call(seat, lambda c: c.catch_up(request), timeout_ms)

    def explain(
        self, seat: str, subject: str, name: str, timeout_ms: int
    ) -> result.Result[bytes, peers.PeerError]:
        """See `Peers.explain`."""
        return self._call(seat, lambda c: c.explain(subject, name), timeout_ms)

    def push(
        self, stream: str, entries: tuple[ttypes.StreamEntry, ...]
    ) -> None:
        """See `Peers.push`."""
        for member in self._members.values():
            member.enqueue(stream, entries)

    def announce_drained(self) -> None:
        """Sends a heartbeat to every peer now, to report the drain early."""
        for member in self._members.values():
            member.send_heartbeat()

    def _call(
        self,
        seat: str,
        send: Callable[[Any], Any],
        timeout_ms: int,
    ) -> result.Result:
        member = self._members.get(seat)
        if member is None:
            return result.Err(
                peers.PeerUnreachable(f"seat {seat!r} is not configured")
            )
        return member.link.call(send, timeout_ms)


class _Member:
    """The link to the peer in one seat and the thread that serves it."""

    def __init__(
        self,
        peer: settings_module.PeerSettings,
        settings: settings_module.Settings,
        source: HeartbeatSource,
        metrics: metrics_module.Metrics,
        membership: Membership,
        clock: clock_port.Clock,
    ) -> None:
        self._clock = clock
        self._peer = peer
        timing = settings.timing
        self._timing = timing
        # Hosts of one zone share slots, so they must detect changes sooner.
        factor = (
            1 if peer.zone == settings.zone else REMOTE_ZONE_INTERVAL_FACTOR
        )
        self.interval_ms = timing.heartbeat_ms * factor
        self._source = source
        self._metrics = metrics
        self._membership = membership
        self._condition = threading.Condition()
        self._stopping = False
        self._queue: collections.deque[tuple[str, ttypes.StreamEntry]] = (
            collections.deque(maxlen=MAX_QUEUED_ENTRIES)
        )
        self._thread = threading.Thread(
            target=self._run, name=f"peer-{peer.seat}", daemon=True
        )
        parsed = address.parse(peer.peer_address).unwrap()
        self.link = peer_link.PeerLink(parsed, timing.connect_timeout_ms)
        self.view = peers.PeerView(peer.seat, peer.zone)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.request_stop()
        self._thread.join(self._timing.peer_timeout_ms * 2 / 1_000)
        self.link.__exit__()

    def request_stop(self) -> None:
        """Signals the thread to stop, without waiting for it."""
        with self._condition:
            self._stopping = True
            self._condition.notify()

    def enqueue(
        self, stream: str, entries: tuple[ttypes.StreamEntry, ...]
    ) -> None:
        """Queues records to push; a full queue drops its oldest records."""
        with self._condition:
            self._queue.extend((stream, entry) for entry in entries)
            self._condition.notify()

    def send_heartbeat(self) -> None:
        """Sends one heartbeat and processes the reply."""
        heartbeat = self._source.heartbeat()
        answer = self.link.call(
            lambda client: client.heartbeat(heartbeat),
            self._timing.peer_timeout_ms,
        )
        match answer:
            case result.Ok(reply):
                self._metrics.count(
                    metrics_module.Counter.PEER_MESSAGES, "heartbeat"
                )
                self._membership.observe_occupant(
                    self._peer.seat, reply.host_id, drained=False
                )
                self._membership.record_predecessor_report(
                    self._peer.seat, bool(reply.predecessor_drained)
                )
                self.view = self._membership.apply_reply(self.view, reply)
            case result.Err(peers.PeerRefusal() as refusal):
                if refusal.reason == SUPERSEDED:
                    self._membership.superseded.set()
            case result.Err(error):
                self._metrics.count(
                    metrics_module.Counter.PEER_MESSAGES,
                    type(error).__name__,
                )

    def _run(self) -> None:
        while True:
            self.send_heartbeat()
            if not self._push_until_next_heartbeat():
                return

    def _push_until_next_heartbeat(self) -> bool:
        """Pushes queued records until the next heartbeat is due.

        Returns:
            False if the thread must stop.
        """
        deadline_ms = self._clock.monotonic_ms() + self.interval_ms
        while True:
            with self._condition:
                while not self._queue and not self._stopping:
                    remaining_ms = deadline_ms - self._clock.monotonic_ms()
                    if remaining_ms <= 0:
                        return True
                    self._condition.wait(remaining_ms / 1_000)
                if self._stopping:
                    return False
                queued = list(self._queue)
                self._queue.clear()
            self._push(queued)

    def _push(self, queued: list[tuple[str, ttypes.StreamEntry]]) -> None:
        """Pushes records by stream; peers read lost ones from the log."""
        by_stream: dict[str, list[ttypes.StreamEntry]] = {}
        for stream, entry in queued:
            by_stream.setdefault(stream, []).append(entry)
        for stream, entries in by_stream.items():
            self.link.call(
                lambda client, s=stream, e=entries: client.push(s, e),
                self._timing.peer_timeout_ms,
            )

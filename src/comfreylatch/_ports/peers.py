"""Other entry hosts, as the rest of the program sees them."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

import attrs
import result

from comfreylatch._wire.gen.peer import ttypes


@attrs.frozen
class PeerView:
    """What this host last heard of another seat.

    Attributes:
        seat: Name of the seat.
        zone: Its availability zone.
        host_id: Id of the process in it; empty before the first heartbeat.
        reachable: Whether the last heartbeats were answered.
        heard_ms: Monotonic time of the last answer; -1 before the first.
        stopping: Whether it takes no more work.
        config_offset: Configuration offset it has applied.
        config_digest: Digest of that configuration.
        leaving_endpoints: Endpoints it has seen leave.
        spare_slots: Slots it offers other zones, by service.
    """

    seat: str
    zone: str
    host_id: str = ""
    reachable: bool = False
    heard_ms: int = -1
    stopping: bool = False
    config_offset: int = -1
    config_digest: str = ""
    leaving_endpoints: frozenset[str] = frozenset()
    spare_slots: Mapping[str, int] = attrs.field(factory=dict)


@attrs.frozen
class PeerUnreachable:
    """No byte of the call reached the peer."""

    detail: str


@attrs.frozen
class PeerAnswerLost:
    """The call was sent; the peer may have carried it out."""

    detail: str


@attrs.frozen
class PeerRefusal:
    """The peer refused the call and did nothing."""

    reason: str
    detail: str


PeerError = PeerUnreachable | PeerAnswerLost | PeerRefusal


class Peers(Protocol):
    """The other entry hosts; every call names a seat."""

    def views(self) -> tuple[PeerView, ...]:
        """All other seats, in the order of the settings."""
        ...

    def forward(
        self, seat: str, request: ttypes.ForwardRequest, timeout_ms: int
    ) -> result.Result[ttypes.ForwardReply, PeerError]:
        """Hands a caller's request to a host of another zone."""
        ...

    def mark(
        self, seat: str, request: ttypes.MarkRequest, timeout_ms: int
    ) -> result.Result[ttypes.MarkReply, PeerError]:
        """Marks a request id as dispatched, at its home host or a copy."""
        ...

    def borrow(
        self, seat: str, request: ttypes.LoanRequest, timeout_ms: int
    ) -> result.Result[ttypes.LoanReply, PeerError]:
        """Asks for slots of an endpoint."""
        ...

    def give_back(
        self, seat: str, loan: ttypes.LoanReturn, timeout_ms: int
    ) -> result.Result[None, PeerError]:
        """Gives borrowed slots back."""
        ...

    def catch_up(
        self, seat: str, request: ttypes.CatchUpRequest, timeout_ms: int
    ) -> result.Result[ttypes.CatchUpReply, PeerError]:
        """Fetches records, or a snapshot, of a stream from a peer."""
        ...

    def push(
        self, stream: str, entries: tuple[ttypes.StreamEntry, ...]
    ) -> None:
        """Offers new records to every peer; never blocks on one."""
        ...

    def explain(
        self, seat: str, subject: str, name: str, timeout_ms: int
    ) -> result.Result[bytes, PeerError]:
        """Asks a peer what it knows of a subject; Ok holds JSON."""
        ...


class PeerHandler(Protocol):
    """What this host does for its peers; one method per thrift call."""

    def heartbeat(self, beat: ttypes.Heartbeat) -> ttypes.HeartbeatReply:
        """Answers with this host's own state."""
        ...

    def catch_up(self, request: ttypes.CatchUpRequest) -> ttypes.CatchUpReply:
        """Serves records or a snapshot of a stream this host follows."""
        ...

    def push(self, stream: str, entries: list[ttypes.StreamEntry]) -> None:
        """Takes records another host has read from the log."""
        ...

    def borrow(self, request: ttypes.LoanRequest) -> ttypes.LoanReply:
        """Lends slots, debited before the answer."""
        ...

    def give_back(self, loan: ttypes.LoanReturn) -> None:
        """Takes lent slots back."""
        ...

    def forward(self, request: ttypes.ForwardRequest) -> ttypes.ForwardReply:
        """Runs a request of another zone on this zone's endpoints."""
        ...

    def mark(self, request: ttypes.MarkRequest) -> ttypes.MarkReply:
        """Marks a request id, once."""
        ...

    def explain(self, subject: str, name: str) -> bytes:
        """Tells what this host's journal holds of a subject, as JSON."""
        ...

"""Interface to the other entry hosts."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

import attrs
import result

from comfreylatch._wire.gen.peer import ttypes


@attrs.frozen
class PeerView:
    """The latest known state of another seat.

    Attributes:
        seat: Name of the seat.
        zone: Its availability zone.
        host_id: Id of the process in the seat; empty before the first
            heartbeat.
        reachable: Whether the latest heartbeats were answered.
        heard_ms: Monotonic time of the latest answer; -1 before the first.
        stopping: Whether it refuses new work because it shuts down.
        config_offset: Offset up to which it has applied the configuration.
        config_digest: Digest of that configuration.
        leaving_endpoints: Endpoints that it has seen listed as leaving.
        spare_slots: Slots it offers to other zones, by service.
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
    """No part of the call reached the peer."""

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
    """Calls to the other entry hosts, addressed by seat."""

    def views(self) -> tuple[PeerView, ...]:
        """Returns the state of all other seats, in order of the settings."""
        ...

    def forward(
        self, seat: str, request: ttypes.ForwardRequest, timeout_ms: int
    ) -> result.Result[ttypes.ForwardReply, PeerError]:
        """Forwards a caller's request to a host of another zone."""
        ...

    def mark(
        self, seat: str, request: ttypes.MarkRequest, timeout_ms: int
    ) -> result.Result[ttypes.MarkReply, PeerError]:
        """Marks a request id as dispatched, on a host that holds marks.

        With a `keep_ms` of 0 it removes the mark instead.
        """
        ...

    def borrow(
        self, seat: str, request: ttypes.LoanRequest, timeout_ms: int
    ) -> result.Result[ttypes.LoanReply, PeerError]:
        """Requests a loan of slots of an endpoint."""
        ...

    def give_back(
        self, seat: str, loan: ttypes.LoanReturn, timeout_ms: int
    ) -> result.Result[None, PeerError]:
        """Returns borrowed slots to their lender."""
        ...

    def catch_up(
        self, seat: str, request: ttypes.CatchUpRequest, timeout_ms: int
    ) -> result.Result[ttypes.CatchUpReply, PeerError]:
        """Fetches records or a snapshot of a stream from a peer."""
        ...

    def push(
        self, stream: str, entries: tuple[ttypes.StreamEntry, ...]
    ) -> None:
        """Sends new records to every peer without waiting for any."""
        ...

    def explain(
        self, seat: str, subject: str, name: str, timeout_ms: int
    ) -> result.Result[bytes, PeerError]:
        """Fetches a peer's journal of a subject; Ok holds JSON."""
        ...


class PeerHandler(Protocol):
    """Handles the calls of peers; one method per thrift call."""

    def heartbeat(self, beat: ttypes.Heartbeat) -> ttypes.HeartbeatReply:
        """Returns this host's state."""
        ...

    def catch_up(self, request: ttypes.CatchUpRequest) -> ttypes.CatchUpReply:
        """Returns records or a snapshot of a stream that this host follows."""
        ...

    def push(self, stream: str, entries: list[ttypes.StreamEntry]) -> None:
        """Receives records that another host has read from the log."""
        ...

    def borrow(self, request: ttypes.LoanRequest) -> ttypes.LoanReply:
        """Lends slots and debits them before it returns."""
        ...

    def give_back(self, loan: ttypes.LoanReturn) -> None:
        """Credits returned slots."""
        ...

    def forward(self, request: ttypes.ForwardRequest) -> ttypes.ForwardReply:
        """Dispatches a request of another zone to this zone's endpoints."""
        ...

    def mark(self, request: ttypes.MarkRequest) -> ttypes.MarkReply:
        """Marks a request id as dispatched, for at most one claimant.

        With a `keep_ms` of 0 the claimant removes its mark.
        """
        ...

    def explain(self, subject: str, name: str) -> bytes:
        """Returns this host's journal of a subject as JSON."""
        ...

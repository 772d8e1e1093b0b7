"""Transfer of a stream's state between entry hosts."""

from __future__ import annotations

from collections.abc import Sequence
from typing import final
from typing import Protocol

import attrs
import result

from comfreylatch._ports import log as log_port
from comfreylatch._ports import peers as peers_port
from comfreylatch._wire.gen.peer import ttypes


@attrs.frozen
class CatchUp:
    """State that advances a host from one offset of a stream to a later one.

    Attributes:
        snapshot: An encoded `StreamSnapshot`; empty when entries suffice.
        entries: Entries after the snapshot, or after the requested offset.
        offset: Offset of the receiver once it has applied them.
        digest: Digest of the fold at `offset`.
        min_serving_offset: Highest offset that any peer is known to have; a
            host without a state of its own must not serve below it.
    """

    snapshot: bytes
    entries: tuple[log_port.LogEntry, ...]
    offset: int
    digest: str
    min_serving_offset: int = -1


@attrs.frozen
class CatchUpUnavailable:
    """No peer can send the state now."""

    detail: str


class CatchUpSource(Protocol):
    """Alternative source of a follower's records when the log has none."""

    def fetch(
        self, stream: str, after_offset: int
    ) -> result.Result[CatchUp, CatchUpUnavailable]:
        """Fetches the state after an offset; the result may be empty."""
        ...


@final
class PeerCatchUp:
    """Fetches state from the most advanced peer that answers.

    Among peers with equal offsets, those of this host's zone come first.

    Args:
        peers: The other entry hosts.
        zone: This host's availability zone.
        timeout_ms: Timeout of one call to a peer.
        zone_only: Whether only peers of this zone follow the stream. If not,
            it is the configuration stream, whose offsets are in the views.
    """

    def __init__(
        self,
        peers: peers_port.Peers,
        zone: str,
        timeout_ms: int,
        *,
        zone_only: bool = False,
    ) -> None:
        self._peers = peers
        self._zone = zone
        self._timeout_ms = timeout_ms
        self._zone_only = zone_only

    def fetch(
        self, stream: str, after_offset: int
    ) -> result.Result[CatchUp, CatchUpUnavailable]:
        """See `CatchUpSource.fetch`."""
        request = ttypes.CatchUpRequest(
            stream=stream, after_offset=after_offset
        )
        views = self._candidates()
        min_serving_offset = -1
        if not self._zone_only:
            min_serving_offset = max(
                (view.config_offset for view in views), default=-1
            )
        for view in views:
            answer = self._peers.catch_up(view.seat, request, self._timeout_ms)
            if answer.is_ok():
                return result.Ok(from_wire(answer.ok(), min_serving_offset))
        return result.Err(CatchUpUnavailable("no reachable peer has the state"))

    def _candidates(self) -> list[peers_port.PeerView]:
        views = [
            view
            for view in self._peers.views()
            if view.reachable
            and (view.zone == self._zone or not self._zone_only)
        ]
        views.sort(
            key=lambda view: (-view.config_offset, view.zone != self._zone)
        )
        return views


def to_wire(catch_up: CatchUp) -> ttypes.CatchUpReply:
    """Converts a catch-up to the reply of `PeerHandler.catch_up`."""
    return ttypes.CatchUpReply(
        snapshot_offset=catch_up.offset if catch_up.snapshot else -1,
        snapshot=catch_up.snapshot,
        entries=entries_to_wire(catch_up.entries),
        offset=catch_up.offset,
        digest=catch_up.digest,
    )


def from_wire(reply: ttypes.CatchUpReply, min_serving_offset: int) -> CatchUp:
    """Reverses `to_wire`."""
    return CatchUp(
        snapshot=reply.snapshot,
        entries=entries_from_wire(reply.entries),
        offset=reply.offset,
        digest=reply.digest,
        min_serving_offset=min_serving_offset,
    )


def entries_to_wire(
    entries: Sequence[log_port.LogEntry],
) -> list[ttypes.StreamEntry]:
    """Converts entries to the form that `Peers.push` expects."""
    return [
        ttypes.StreamEntry(offset=entry.offset, payload=entry.payload)
        for entry in entries
    ]


def entries_from_wire(
    entries: Sequence[ttypes.StreamEntry],
) -> tuple[log_port.LogEntry, ...]:
    """Reverses `entries_to_wire`."""
    return tuple(
        log_port.LogEntry(entry.offset, entry.payload) for entry in entries
    )

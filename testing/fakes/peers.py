"""Peers that return preset views and pass pushes to their followers."""

from __future__ import annotations

from typing import Any
from typing import final

import result

from comfreylatch._ports import peers as peers_port
from comfreylatch._process import catch_up
from comfreylatch._process import follower as follower_module
from comfreylatch._wire.gen.peer import ttypes


@final
class FakePeers:
    """Implements the methods of `Peers` that the control plane uses.

    Attributes:
        followers: Followers of other seats, by seat; they serve catch-up
            requests and apply pushes immediately.
        peer_views: Result of `views`.
    """

    def __init__(self) -> None:
        self.followers: dict[str, follower_module.StreamFollower] = {}
        self.peer_views: tuple[peers_port.PeerView, ...] = ()

    def views(self) -> tuple[peers_port.PeerView, ...]:
        """See `Peers.views`."""
        return self.peer_views

    def catch_up(
        self, seat: str, request: ttypes.CatchUpRequest, timeout_ms: int
    ) -> result.Result[ttypes.CatchUpReply, Any]:
        """See `Peers.catch_up`."""
        del timeout_ms
        if seat not in self.followers:
            return result.Err(peers_port.PeerUnreachable("no such peer"))
        served = self.followers[seat].serve_catch_up(request.after_offset)
        if served.is_err():
            detail = served.err().detail
            return result.Err(peers_port.PeerRefusal("not-ready", detail))
        return result.Ok(catch_up.to_wire(served.ok()))

    def push(
        self, stream: str, entries: tuple[ttypes.StreamEntry, ...]
    ) -> None:
        """See `Peers.push`."""
        del stream
        for follower in self.followers.values():
            follower.apply_from_peer(catch_up.entries_from_wire(entries))

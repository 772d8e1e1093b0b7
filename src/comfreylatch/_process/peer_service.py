"""Handles the Thrift calls of this host's peers."""

from __future__ import annotations

from collections.abc import Mapping
from typing import final
from typing import Protocol

import result

from comfreylatch._process import catch_up
from comfreylatch._process import explanation
from comfreylatch._process import follower as follower_module
from comfreylatch._process import journal as journal_module
from comfreylatch._process import loans
from comfreylatch._process import membership as membership_module
from comfreylatch._process import reasons
from comfreylatch._request import router as router_module
from comfreylatch._wire.gen.peer import ttypes


class MarkHolder(Protocol):
    """Holds dispatch marks for other hosts."""

    def mark(self, request: ttypes.MarkRequest) -> ttypes.MarkReply:
        """Marks a request id for one claimant."""
        ...


@final
class PeerService:
    """Implements `_ports.peers.PeerHandler` with this host's components."""

    def __init__(
        self,
        heartbeat_source: membership_module.HeartbeatSource,
        membership: membership_module.Membership,
        followers: Mapping[str, follower_module.StreamFollower],
        ledger: loans.LoanLedger,
        router: router_module.RequestRouter,
        marks: MarkHolder | None,
        journal: journal_module.Journal,
    ) -> None:
        self._heartbeat_source = heartbeat_source
        self._membership = membership
        self._followers = followers
        self._ledger = ledger
        self._router = router
        self._marks = marks
        self._journal = journal

    def heartbeat(self, beat: ttypes.Heartbeat) -> ttypes.HeartbeatReply:
        """Replies with this host's state and the sender's predecessor."""
        if beat.protocol != membership_module.PROTOCOL_VERSION:
            raise ttypes.PeerRefused(
                "protocol",
                f"expected version {membership_module.PROTOCOL_VERSION}",
            )
        is_current = self._membership.observe_occupant(
            beat.seat, beat.host_id, bool(beat.drained)
        )
        if not is_current:
            raise ttypes.PeerRefused(
                membership_module.SUPERSEDED,
                f"another process occupies seat {beat.seat}",
            )
        own_heartbeat = self._heartbeat_source.heartbeat()
        predecessor = self._membership.find_predecessor(beat.seat)
        return ttypes.HeartbeatReply(
            protocol=own_heartbeat.protocol,
            host_id=own_heartbeat.host_id,
            config_offset=own_heartbeat.config_offset,
            config_digest=own_heartbeat.config_digest,
            stopping=own_heartbeat.stopping,
            leaving_endpoints=own_heartbeat.leaving_endpoints,
            zone_offset=own_heartbeat.zone_offset,
            zone_digest=own_heartbeat.zone_digest,
            spare_slots=own_heartbeat.spare_slots,
            predecessor_host_id=predecessor.host_id if predecessor else None,
            predecessor_drained=predecessor.drained if predecessor else None,
        )

    def catch_up(self, request: ttypes.CatchUpRequest) -> ttypes.CatchUpReply:
        """Serves the part of a stream that this host has applied."""
        follower = self._followers.get(request.stream)
        if follower is None:
            raise ttypes.PeerRefused("unknown-stream", request.stream)
        match follower.serve_catch_up(request.after_offset):
            case result.Ok(catch_up_data):
                return catch_up.to_wire(catch_up_data)
            case result.Err(not_ready):
                raise ttypes.PeerRefused("not-ready", not_ready.detail)

    def push(self, stream: str, entries: list[ttypes.StreamEntry]) -> None:
        """Applies records that continue this host's copy of a stream."""
        follower = self._followers.get(stream)
        if follower is not None:
            follower.apply_from_peer(catch_up.entries_from_wire(entries))

    def borrow(self, request: ttypes.LoanRequest) -> ttypes.LoanReply:
        """Lends slots of this host's share."""
        return self._ledger.lend(request)

    def give_back(self, loan: ttypes.LoanReturn) -> None:
        """Credits slots that the borrower returns."""
        self._ledger.credit_return(loan)

    def forward(self, request: ttypes.ForwardRequest) -> ttypes.ForwardReply:
        """Runs a request that a host of another zone forwards."""
        return self._router.run_forwarded(request)

    def mark(self, request: ttypes.MarkRequest) -> ttypes.MarkReply:
        """Marks a request id for one claimant, or removes its mark."""
        if self._marks is None:
            raise ttypes.PeerRefused(
                "no-marks", "this host holds no dispatch marks"
            )
        return self._marks.mark(request)

    def explain(self, subject: str, name: str) -> bytes:
        """Returns this host's decisions about a subject, as JSON."""
        try:
            parsed_subject = reasons.Subject(subject)
        except ValueError as error:
            raise ttypes.PeerRefused("unknown-subject", subject) from error
        return explanation.encode(
            explanation.explain_locally(self._journal, parsed_subject, name)
        )

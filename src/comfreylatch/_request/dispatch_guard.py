"""At most one dispatch of each non-idempotent request id, over all hosts.

A host claims the id before it sends the request: it asks the holders of the id
to mark it, and sends only after a majority of them has granted the id. Any two
majorities share a holder, and a holder grants an id to one claim only, so a
repetition through any host is detected.

An id has three holders. Rendezvous hashing selects them from the seats of all
zones, in different zones if there are enough; an id that names a zone is held
by the seats of that zone. A holder grants nothing until it has been up for as
long as marks are kept, because it doesn't have the marks of the process that
had its seat before.
"""

from __future__ import annotations

import itertools
import threading
from typing import final

import attrs
import result
import xxhash

from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import configuration as configuration_port
from comfreylatch._ports import peers as peers_port
from comfreylatch._process import dispatch_marks
from comfreylatch._process import reasons
from comfreylatch._request import outcomes
from comfreylatch._version import configuration
from comfreylatch._wire.gen.peer import ttypes

HOLDERS_PER_ID = 3
ZONE_SEPARATOR = ":"
MARK_TIMEOUT_MS = 300
RETRY_AFTER_UNREACHABLE_MS = 1_000
RETRY_AFTER_RECENT_START_MS = 5_000

ClaimError = outcomes.NotRun | outcomes.Unknown


@attrs.frozen
class Seat:
    """A configured position of an entry host in a zone."""

    name: str
    zone: str


def holders_of(request_id: str, seats: tuple[Seat, ...]) -> tuple[str, ...]:
    """Names of the seats that hold the marks of an id, best ranked first.

    Returns `HOLDERS_PER_ID` names, or fewer if there are not enough seats.
    An id that begins with the name of a zone and `:` is held in that zone
    alone, so that a zone partitioned from the others can still grant its own.
    """
    zone_name = request_id.partition(ZONE_SEPARATOR)[0]
    in_zone = tuple(seat for seat in seats if seat.zone == zone_name)
    ranked = sorted(
        in_zone or seats,
        key=lambda seat: xxhash.xxh3_64_intdigest(
            f"{seat.name}\n{request_id}".encode()
        ),
        reverse=True,
    )
    chosen: list[Seat] = []
    for seat in ranked:
        if seat.zone not in {other.zone for other in chosen}:
            chosen.append(seat)
    chosen.extend(seat for seat in ranked if seat not in chosen)
    return tuple(seat.name for seat in chosen[:HOLDERS_PER_ID])


def all_seats(current: configuration.Configuration) -> tuple[Seat, ...]:
    """All seats of all zones."""
    return tuple(
        Seat(seat, zone_name)
        for zone_name, zone in sorted(current.zones.items())
        for seat in zone.seats
    )


@attrs.define(eq=False)
class _ClaimTally:
    """Replies of the holders to one claim.

    Attributes:
        granted: Seats that granted the id.
        requested: Seats that were asked.
        is_duplicate: Whether a holder has a mark of another claim.
        recently_started: Seats that replied `TOO_OLD`, as a rule because they
            started too recently.
        unreachable: Seats that did not reply, or were not asked because the
            deadline had passed.
    """

    granted: set[str] = attrs.field(factory=set)
    requested: set[str] = attrs.field(factory=set)
    is_duplicate: bool = False
    recently_started: list[str] = attrs.field(factory=list)
    unreachable: list[str] = attrs.field(factory=list)


@final
class QuorumGuard:
    """Claims request ids at a majority of their holders. Thread-safe.

    Args:
        source: Configuration in force, which lists the seats of all zones.
        peers: Calls to the other seats.
        marks: The marks that this host holds.
        seat: This host's seat.
        host_id: Id of this process.
        clock: Monotonic clock.
        keep_ms: Retention time of marks, after which a caller must not repeat
            an id. Must be well above the longest service timeout.
    """

    def __init__(
        self,
        source: configuration_port.ConfigurationSource,
        peers: peers_port.Peers,
        marks: dispatch_marks.DispatchMarks,
        seat: str,
        host_id: str,
        clock: clock_port.Clock,
        keep_ms: int,
    ) -> None:
        self._peers = peers
        self._marks = marks
        self._seat = seat
        self._host_id = host_id
        self._clock = clock
        self._keep_ms = keep_ms
        self._claim_numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._seats: tuple[Seat, ...] = ()
        self._previous_seats: tuple[Seat, ...] = ()
        self._seats_changed_ms = clock.monotonic_ms()
        source.on_change(self._apply)
        self._apply(source.current())

    def claim(
        self, request_id: str, deadline_ms: int
    ) -> result.Result[outcomes.Claim, ClaimError]:
        """Marks an id as dispatched at a majority of its holders.

        Args:
            request_id: The id to claim.
            deadline_ms: Monotonic time after which no holder is asked.

        Returns:
            The claim, or the outcome of the request if the id was used before
            or no majority granted it.
        """
        claim = outcomes.Claim(
            request_id, f"{self._host_id}/{next(self._claim_numbers)}"
        )
        tally = _ClaimTally()
        for holders in self._holder_sets(request_id):
            if not self._claim_majority(claim, holders, deadline_ms, tally):
                # Holders that did not answer may keep a mark. It is not
                # removed: it only refuses repetitions, which is safe.
                self._release_at(claim, tally.granted)
                return result.Err(self._refusal(tally))
        return result.Ok(claim)

    def release(self, claim: outcomes.Claim) -> None:
        """Withdraws the claim of a request that no endpoint has received."""
        holders = {
            seat
            for holder_set in self._holder_sets(claim.request_id)
            for seat in holder_set
        }
        self._release_at(claim, holders)

    def _apply(self, new: configuration.Configuration) -> None:
        seats = all_seats(new)
        with self._lock:
            if seats == self._seats:
                return
            self._previous_seats = self._seats
            self._seats = seats
            self._seats_changed_ms = self._clock.monotonic_ms()

    def _holder_sets(self, request_id: str) -> list[tuple[str, ...]]:
        """Sets of holders, each of which must grant a claim by majority.

        After a change of seats, the holders among the previous seats are
        included for as long as their marks are kept.
        """
        with self._lock:
            seats, previous_seats = self._seats, self._previous_seats
            age_ms = self._clock.monotonic_ms() - self._seats_changed_ms
        holder_sets = [holders_of(request_id, seats)]
        if previous_seats and age_ms < self._keep_ms:
            holder_sets.append(holders_of(request_id, previous_seats))
        return holder_sets

    def _claim_majority(
        self,
        claim: outcomes.Claim,
        holders: tuple[str, ...],
        deadline_ms: int,
        tally: _ClaimTally,
    ) -> bool:
        """Asks holders, nearest first, until a majority has granted the id."""
        majority = len(holders) // 2 + 1
        for seat in self._nearest_first(holders):
            if len(tally.granted.intersection(holders)) >= majority:
                return True
            if seat not in tally.requested:
                self._request_grant(claim, seat, deadline_ms, tally)
            if tally.is_duplicate:
                return False
        return 0 < majority <= len(tally.granted.intersection(holders))

    def _nearest_first(self, holders: tuple[str, ...]) -> list[str]:
        views = {view.seat: view for view in self._peers.views()}
        own_zone = next(
            (seat.zone for seat in self._seats if seat.name == self._seat), ""
        )

        def distance(seat: str) -> int:
            view = views.get(seat)
            if seat == self._seat:
                return 0
            if view is None or not view.reachable:
                return 3
            return 1 if view.zone == own_zone else 2

        return sorted(holders, key=distance)

    def _request_grant(
        self,
        claim: outcomes.Claim,
        seat: str,
        deadline_ms: int,
        tally: _ClaimTally,
    ) -> None:
        remaining_ms = deadline_ms - self._clock.monotonic_ms()
        if remaining_ms <= 0:
            tally.unreachable.append(seat)
            return
        tally.requested.add(seat)
        request = self._make_mark_request(claim, self._keep_ms)
        if seat == self._seat:
            self._record_reply(seat, self._marks.mark(request), tally)
            return
        timeout_ms = min(MARK_TIMEOUT_MS, remaining_ms)
        match self._peers.mark(seat, request, timeout_ms):
            case result.Ok(reply):
                self._record_reply(seat, reply, tally)
            case result.Err(_):
                tally.unreachable.append(seat)

    @staticmethod
    def _record_reply(
        seat: str, reply: ttypes.MarkReply, tally: _ClaimTally
    ) -> None:
        match reply.verdict:
            case ttypes.MarkVerdict.FRESH:
                tally.granted.add(seat)
            case ttypes.MarkVerdict.SEEN:
                tally.is_duplicate = True
            case _:
                tally.recently_started.append(seat)

    def _refusal(self, tally: _ClaimTally) -> ClaimError:
        if tally.is_duplicate:
            return outcomes.Unknown(
                reasons.RefusalReason.DUPLICATE_REQUEST,
                "a request with this id was sent to an endpoint earlier",
            )
        if tally.recently_started:
            return outcomes.NotRun(
                reasons.RefusalReason.REQUEST_TOO_OLD,
                f"{', '.join(tally.recently_started)} started too recently to "
                "tell whether this id has been used",
                self._retry_after_recent_start_ms(),
            )
        return outcomes.NotRun(
            reasons.RefusalReason.GUARD_UNREACHABLE,
            f"can't reach a majority of the holders of this id: "
            f"{', '.join(tally.unreachable) or 'no seats are configured'}",
            RETRY_AFTER_UNREACHABLE_MS,
        )

    def _retry_after_recent_start_ms(self) -> int:
        own_wait_ms = self._keep_ms - self._marks.uptime_ms
        return (
            own_wait_ms
            if own_wait_ms > 0
            else min(RETRY_AFTER_RECENT_START_MS, self._keep_ms)
        )

    def _make_mark_request(
        self, claim: outcomes.Claim, keep_ms: int
    ) -> ttypes.MarkRequest:
        return ttypes.MarkRequest(
            request_id=claim.request_id,
            host_id=claim.claimant,
            keep_ms=keep_ms,
            copy=False,
        )

    def _release_at(self, claim: outcomes.Claim, holders: set[str]) -> None:
        """Removes marks, best effort; remaining marks refuse repetitions."""
        request = self._make_mark_request(claim, 0)
        for seat in holders:
            if seat == self._seat:
                self._marks.mark(request)
            else:
                self._peers.mark(seat, request, MARK_TIMEOUT_MS)

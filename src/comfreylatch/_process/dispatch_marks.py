"""Marks of request ids that were dispatched, held for all entry hosts.

A holder promises that it has seen every mark it was given within the time a
mark is kept. One that started later than that can't promise it, and grants
nothing until it has been up for so long.
"""

from __future__ import annotations

import collections
import threading
from typing import final

import attrs
import xxhash

from comfreylatch._ports import clock as clock_port
from comfreylatch._wire.gen.peer import ttypes

MAX_MARKS = 200_000


@attrs.frozen
class _Mark:
    """A dispatched id: who dispatched it, and until when that is known."""

    claimant: int
    expires_ms: int


@attrs.frozen
class _Expiry:
    """When a mark is due to be forgotten."""

    expires_ms: int
    digest: bytes


@final
class DispatchMarks:
    """The marks this host holds. Thread-safe.

    Args:
        host_id: Id of this process.
        clock: Monotonic time.
    """

    def __init__(self, host_id: str, clock: clock_port.Clock) -> None:
        self._host_id = host_id
        self._clock = clock
        self._started_ms = clock.monotonic_ms()
        self._is_complete = False
        self._lock = threading.Lock()
        self._marks: dict[bytes, _Mark] = {}
        self._expiries: collections.deque[_Expiry] = collections.deque()

    def assume_complete(self) -> None:
        """Grants ids at once: none can have been used before this start."""
        self._is_complete = True

    @property
    def uptime_ms(self) -> int:
        """How long this holder has remembered everything."""
        return self._clock.monotonic_ms() - self._started_ms

    def __len__(self) -> int:
        return len(self._marks)

    def mark(self, request: ttypes.MarkRequest) -> ttypes.MarkReply:
        """Marks an id, once; asking again as the same claimant is the same.

        `host_id` of the request names the claim, not only the host. With a
        `keep_ms` of 0 the claimant takes its mark back.
        """
        digest = xxhash.xxh3_128_digest(request.request_id.encode())
        claimant = xxhash.xxh3_64_intdigest(request.host_id.encode())
        with self._lock:
            self._remove_expired()
            if request.keep_ms <= 0:
                verdict = self._remove(digest, claimant)
            else:
                verdict = self._add(digest, claimant, request.keep_ms)
        return ttypes.MarkReply(verdict=verdict, holder_host_id=self._host_id)

    def _add(self, digest: bytes, claimant: int, keep_ms: int) -> int:
        existing = self._marks.get(digest)
        if existing is not None:
            if existing.claimant == claimant:
                return ttypes.MarkVerdict.FRESH
            return ttypes.MarkVerdict.SEEN
        is_incomplete = self.uptime_ms < keep_ms and not self._is_complete
        if is_incomplete or len(self._marks) >= MAX_MARKS:
            return ttypes.MarkVerdict.TOO_OLD
        expires_ms = self._clock.monotonic_ms() + keep_ms
        self._marks[digest] = _Mark(claimant, expires_ms)
        self._expiries.append(_Expiry(expires_ms, digest))
        return ttypes.MarkVerdict.FRESH

    def _remove(self, digest: bytes, claimant: int) -> int:
        existing = self._marks.get(digest)
        if existing is not None and existing.claimant == claimant:
            del self._marks[digest]
        return ttypes.MarkVerdict.FRESH

    def _remove_expired(self) -> None:
        now_ms = self._clock.monotonic_ms()
        while self._expiries and self._expiries[0].expires_ms <= now_ms:
            digest = self._expiries.popleft().digest
            existing = self._marks.get(digest)
            # Taken back and marked anew, an id has a later expiry.
            if existing is not None and existing.expires_ms <= now_ms:
                del self._marks[digest]

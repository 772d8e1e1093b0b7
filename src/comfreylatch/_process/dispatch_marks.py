"""Marks of dispatched request ids, kept on behalf of all entry hosts.

A holder guarantees that it knows every mark it received within the retention
time of marks. A holder that has been up for less than that can't guarantee it,
and grants no id until it has been up long enough.
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
    """The mark of a dispatched id: its claimant and its expiry time."""

    claimant: int
    expires_ms: int


@attrs.frozen
class _Expiry:
    """The expiry time of a mark, queued in the order of creation."""

    expires_ms: int
    digest: bytes


@final
class DispatchMarks:
    """The marks that this host holds. Thread-safe.

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
        """Grants ids from now on; none was dispatched before this start."""
        self._is_complete = True

    @property
    def uptime_ms(self) -> int:
        """Time since the start, for which this holder knows every mark."""
        return self._clock.monotonic_ms() - self._started_ms

    def __len__(self) -> int:
        return len(self._marks)

    def mark(self, request: ttypes.MarkRequest) -> ttypes.MarkReply:
        """Marks an id for one claimant; idempotent for that claimant.

        `host_id` of the request identifies the claim, not only the host. With
        a `keep_ms` of 0 the claimant removes its mark.
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
            # An id that was removed and marked again expires later.
            if existing is not None and existing.expires_ms <= now_ms:
                del self._marks[digest]

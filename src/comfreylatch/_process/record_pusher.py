"""Pushes the records a host has written to its peers."""

from __future__ import annotations

from typing import final

from comfreylatch._ports import peers as peers_port
from comfreylatch._process import catch_up
from comfreylatch._process import stream_state


@final
class OwnRecordPusher:
    """An `after_apply` callback that pushes this host's own records to peers.

    Only the writer pushes, so that a record costs one message per host. A
    host that misses the message reads the log, or catches up from a peer if
    it can't reach the log.
    """

    def __init__(self, peers: peers_port.Peers, writer: str) -> None:
        self._peers = peers
        self._writer = writer

    def observe(self, applied: stream_state.Applied) -> None:
        """Pushes entries read from the log if this host wrote one of them."""
        from_log = applied.source is stream_state.EntrySource.LOG
        if (
            from_log
            and applied.entries
            and self._writer in applied.last_records
        ):
            entries = catch_up.entries_to_wire(applied.entries)
            self._peers.push(applied.stream, tuple(entries))

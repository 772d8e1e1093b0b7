"""Hands a host's own new records on to its peers."""

from __future__ import annotations

from typing import final

from comfreylatch._ports import peers as peers_port
from comfreylatch._process import catch_up
from comfreylatch._process import stream_state


@final
class OwnRecordPusher:
    """For `after_apply`: pushes what this host wrote and read back.

    Only the writer pushes, so that a record costs one message a host; a host
    that missed it reads the log, or catches up from a peer when it can't.
    """

    def __init__(self, peers: peers_port.Peers, writer: str) -> None:
        self._peers = peers
        self._writer = writer

    def observe(self, applied: stream_state.Applied) -> None:
        """Pushes the entries if a record of this host is among them."""
        from_log = applied.source is stream_state.EntrySource.LOG
        if (
            from_log
            and applied.entries
            and self._writer in applied.last_records
        ):
            entries = catch_up.entries_to_wire(applied.entries)
            self._peers.push(applied.stream, tuple(entries))

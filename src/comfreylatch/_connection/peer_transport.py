"""Framing of the protocol between entry hosts: thrift, compact, bounded."""

from __future__ import annotations

import socket

from thrift.protocol import TCompactProtocol
from thrift.transport import TSocket
from thrift.transport import TTransport

MAX_FRAME_BYTES = 16 * 1024 * 1024


def make_protocol(
    transport: TTransport.TTransportBase,
) -> TCompactProtocol.TCompactProtocolAccelerated:
    """The protocol both sides speak over a socket.

    Frames and strings are bounded, so that garbage read as a length doesn't
    keep a thread waiting for gigabytes that never come.
    """
    framed = TTransport.TFramedTransport(
        transport, max_frame_size=MAX_FRAME_BYTES
    )
    return TCompactProtocol.TCompactProtocolAccelerated(
        framed,
        string_length_limit=MAX_FRAME_BYTES,
        container_length_limit=MAX_FRAME_BYTES,
    )


def disable_nagle(transport: TSocket.TSocket) -> None:
    """Turns off the delay with which TCP gathers small messages."""
    transport.handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

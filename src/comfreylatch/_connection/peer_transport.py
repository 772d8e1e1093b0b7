"""Thrift framing and encoding of the protocol between entry hosts."""

from __future__ import annotations

import socket

from thrift.protocol import TCompactProtocol
from thrift.transport import TSocket
from thrift.transport import TTransport

MAX_FRAME_BYTES = 16 * 1024 * 1024


def make_protocol(
    transport: TTransport.TTransportBase,
) -> TCompactProtocol.TCompactProtocolAccelerated:
    """Creates the protocol that both sides use over a socket.

    Frames, strings and containers are limited in size, so that garbage read
    as a length doesn't make a thread wait for gigabytes that never arrive.
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
    """Disables Nagle's algorithm, which delays small messages."""
    transport.handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

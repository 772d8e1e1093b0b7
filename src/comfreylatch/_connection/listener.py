"""Stops new connections on a listening socket before it is closed."""

from __future__ import annotations

import ctypes
import socket

# From linux/filter.h and asm-generic/socket.h; not defined by Python.
_SO_ATTACH_FILTER = 26
_RETURN_CONSTANT = 0x06
# A filter returns how many bytes of a packet to keep; 0 drops the packet.
_DROP = 0


class _Instruction(ctypes.Structure):
    """`struct sock_filter`: one instruction of a BPF socket filter."""

    _fields_ = (
        ("code", ctypes.c_uint16),
        ("jump_true", ctypes.c_uint8),
        ("jump_false", ctypes.c_uint8),
        ("value", ctypes.c_uint32),
    )


class _Program(ctypes.Structure):
    """`struct sock_fprog`: the instructions of a BPF socket filter."""

    _fields_ = (
        ("length", ctypes.c_uint16),
        ("instructions", ctypes.POINTER(_Instruction)),
    )


def stop_new_connections(listener: socket.socket) -> bool:
    """Makes the kernel drop new connections; pending ones are unaffected.

    Closing a listening socket resets the connections in its accept queue and
    loses the requests they sent. After this call the queue no longer grows,
    so its connections can be accepted and answered before the close.

    Returns:
        False if the kernel doesn't support it; closing the socket may then
        reset connections.
    """
    instruction = _Instruction(_RETURN_CONSTANT, 0, 0, _DROP)
    program = _Program(1, ctypes.pointer(instruction))
    try:
        listener.setsockopt(
            socket.SOL_SOCKET, _SO_ATTACH_FILTER, bytes(program)
        )
    except OSError:
        return False
    return True

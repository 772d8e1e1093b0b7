"""Closing a listening socket without cutting off who has just connected."""

from __future__ import annotations

import ctypes
import socket

# From linux/filter.h and asm-generic/socket.h; Python names neither.
_SO_ATTACH_FILTER = 26
_RETURN_CONSTANT = 0x06
_DROP = 0


class _Instruction(ctypes.Structure):
    _fields_ = (
        ("code", ctypes.c_uint16),
        ("jump_true", ctypes.c_uint8),
        ("jump_false", ctypes.c_uint8),
        ("value", ctypes.c_uint32),
    )


class _Program(ctypes.Structure):
    _fields_ = (
        ("length", ctypes.c_uint16),
        ("instructions", ctypes.POINTER(_Instruction)),
    )


def stop_new_connections(listener: socket.socket) -> bool:
    """Lets the kernel drop new connections, not those it holds already.

    Closing a listening socket resets the connections that wait to be
    accepted, with whatever requests they have sent. After this call no more
    of them come, so that the waiting ones can be accepted and answered first.

    Returns:
        False where the kernel doesn't do it; closing may then cut some off.
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

"""A TCP proxy on loopback that can cut what passes through it."""

from __future__ import annotations

import socket
import threading

from rig import web

CHUNK_BYTES = 65_536


class Proxy:
    """Passes connections on to an address, unless it is cut.

    While it is cut nothing passes, in either direction, and no connection is
    closed or reset.

    Attributes:
        address: `IP:port` on which it listens.
    """

    def __init__(self, target: str = "") -> None:
        self._target = (web.LOOPBACK, 0)
        if target:
            self.lead_to(target)
        self._open = threading.Event()
        self._open.set()
        self._is_closed = False
        self._sockets: set[socket.socket] = set()
        self._listener = socket.create_server((web.LOOPBACK, 0), backlog=128)
        self.address = f"{web.LOOPBACK}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def lead_to(self, target: str) -> None:
        """Sets the address that connections are passed on to."""
        ip, _, port = target.rpartition(":")
        self._target = ip, int(port)

    def cut(self) -> None:
        """Lets nothing pass from now on."""
        self._open.clear()

    def heal(self) -> None:
        """Lets everything pass again, also what was held up."""
        self._open.set()

    def close(self) -> None:
        """Closes everything."""
        self._is_closed = True
        self._open.set()
        for each in (self._listener, *self._sockets):
            try:
                each.close()
            except OSError:
                pass

    def _accept(self) -> None:
        while not self._is_closed:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._connect, args=(near,), daemon=True
            ).start()

    def _connect(self, near: socket.socket) -> None:
        self._open.wait()
        try:
            far = socket.create_connection(self._target, 5)
            far.settimeout(None)
        except OSError:
            near.close()
            return
        for each in (near, far):
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sockets.update((near, far))
        for source, sink in ((near, far), (far, near)):
            threading.Thread(
                target=self._pump, args=(source, sink), daemon=True
            ).start()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                self._open.wait()
                sink.sendall(data)
        except OSError:
            pass
        self._open.wait()
        try:
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass

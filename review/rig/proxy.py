"""A TCP proxy on loopback that can cut what passes through it."""

from __future__ import annotations

import dataclasses
import socket
import threading

from rig import web

CHUNK_BYTES = 65_536


@dataclasses.dataclass(eq=False)
class _Pair:
    near: socket.socket
    far: socket.socket
    is_silent: bool = False

    def close(self) -> None:
        """Closes both connections."""
        for each in (self.near, self.far):
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            each.close()


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
        self._is_dark = False
        self._pairs: list[_Pair] = []
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

    def darken(self) -> None:
        """Silences all connections for good, as when a machine loses power.

        They get no reset. New ones are closed until `lighten`.
        """
        self._is_dark = True
        for pair in self._pairs:
            pair.is_silent = True

    def lighten(self, reset_after_s: float) -> None:
        """Passes new connections on again.

        Args:
            reset_after_s: Time after which the silent ones are closed, as a
                machine that has started again answers a probe with a reset.
        """
        silent, self._pairs = self._pairs, []
        self._is_dark = False

        def reset() -> None:
            for pair in silent:
                pair.close()

        timer = threading.Timer(reset_after_s, reset)
        timer.daemon = True
        timer.start()

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
        if self._is_dark:
            near.close()
            return
        try:
            far = socket.create_connection(self._target, 5)
            far.settimeout(None)
        except OSError:
            near.close()
            return
        for each in (near, far):
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sockets.update((near, far))
        pair = _Pair(near, far)
        self._pairs.append(pair)
        for source, sink in ((near, far), (far, near)):
            threading.Thread(
                target=self._pump, args=(pair, source, sink), daemon=True
            ).start()

    def _pump(
        self, pair: _Pair, source: socket.socket, sink: socket.socket
    ) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                self._open.wait()
                if not pair.is_silent:
                    sink.sendall(data)
        except OSError:
            pass
        self._open.wait()
        if pair.is_silent:
            return
        try:
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass

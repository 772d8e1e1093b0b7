"""Stand-in for the platform's list of hosts and their states.

Control: `{"put": [entry, ...]}` adds or changes entries by kind and name,
`{"remove": [[kind, name], ...]}`, `{"lag_ms": N}`, `{"down": bool}`,
`{"slow_ms": N}`. Reads return the state of `lag_ms` ago. A change with
`"at_once": true` is visible immediately, as if it had always been there.
"""

from __future__ import annotations

import argparse
import threading
import time
from typing import Any

import attrs
import msgspec

from comfreylatch._ports import hosts as hosts_port
from testing.standins import serving

DEFAULT_LAG_MS = 2_000


@attrs.frozen
class Snapshot:
    """The entries that are current from `at_ms` on."""

    at_ms: float
    hosts: tuple[hosts_port.ListedHost, ...]


class HostListStandIn:
    """The host list with all its past states. Thread-safe."""

    def __init__(self, lag_ms: int) -> None:
        self.lag_ms = lag_ms
        self.down = False
        self.slow_ms = 0
        self.journal = serving.Journal()
        self._lock = threading.Lock()
        self._snapshots = [Snapshot(serving.now_ms(), ())]

    def control(self, change: dict[str, Any]) -> None:
        """Changes entries, the lag or the faults."""
        with self._lock:
            self.lag_ms = change.get("lag_ms", self.lag_ms)
            self.down = change.get("down", self.down)
            self.slow_ms = change.get("slow_ms", self.slow_ms)
            if "put" in change or "remove" in change:
                self._change(change)

    def _change(self, change: dict[str, Any]) -> None:
        put = msgspec.convert(
            change.get("put", []), list[hosts_port.ListedHost]
        )
        entries = {
            (host.kind, host.name): host for host in self._snapshots[-1].hosts
        }
        entries.update({(host.kind, host.name): host for host in put})
        for kind, name in change.get("remove", []):
            entries.pop((hosts_port.HostKind(kind), name), None)
        at_ms = 0.0 if change.get("at_once") else serving.now_ms()
        snapshot = Snapshot(at_ms, tuple(entries.values()))
        self._snapshots.append(snapshot)
        self.journal.add(snapshot)

    def handle(self, call: serving.Call) -> serving.Answer:
        """Serves `GET /hosts`."""
        if self.slow_ms:
            time.sleep(self.slow_ms / 1_000)
        if self.down:
            return serving.json_reply(503, {"detail": "the host list is down"})
        if call.path != "/hosts":
            return serving.json_reply(404, {"detail": call.path})
        return serving.json_reply(200, {"hosts": self._visible_hosts()})

    def _visible_hosts(self) -> tuple[hosts_port.ListedHost, ...]:
        with self._lock:
            as_of_ms = serving.now_ms() - self.lag_ms
            for snapshot in reversed(self._snapshots):
                if snapshot.at_ms <= as_of_ms:
                    return snapshot.hosts
        return ()


def main() -> None:
    """Serves the host list until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--control-port", type=int, default=0)
    parser.add_argument("--lag-ms", type=int, default=DEFAULT_LAG_MS)
    args = parser.parse_args()
    hosts = HostListStandIn(args.lag_ms)
    listener = serving.Listener(hosts.handle, args.port)
    listener.start()
    control = serving.ControlServer(
        hosts.journal, hosts.control, args.control_port
    )
    serving.announce(address=listener.address, control=control.listener.address)
    serving.wait_for_stop()


if __name__ == "__main__":
    main()

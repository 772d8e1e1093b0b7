"""Many endpoints in one process, each on its own port, with a journal.

Standard input or `--spec FILE` holds `[{"name", "port", "work_ms",
"spread"}, ...]`; ports may be 0. A request works for `X-Work-Ms`, or for a
random time around the endpoint's `work_ms`.

Control: `{"endpoint": NAME or "*", ...}` with any of `{"slow": factor,
"refuse": bool, "hang": bool, "reset": K, "truncate": K, "busy": K,
"leave_ms": N}`; K is the number of requests the fault still affects.
`leave_ms` adds `Connection: close` to answers and refuses connections N ms
later; -1 ends it. `hang` false resumes the requests that hang.
"""

from __future__ import annotations

import argparse
import random
import sys
import threading
import time
from typing import Any

import attrs
import msgspec
import xxhash

from testing.standins import serving

MAX_WORK_MS = 600_000.0


@attrs.frozen
class EndpointSpec:
    """One endpoint of the process.

    Attributes:
        name: Name, as in the configuration.
        port: Port to listen on; 0 selects a free one.
        work_ms: Median work of a request without `X-Work-Ms`.
        spread: Standard deviation of the logarithm of the work.
        slots: Maximum number of concurrent requests.
        connections: Maximum number of concurrent connections.
    """

    name: str
    port: int = 0
    work_ms: float = 10.0
    spread: float = 0.4
    slots: int = 8
    connections: int = 64


@attrs.define
class EndpointFaults:
    """Active faults of one endpoint; counts are lowered at each use."""

    slow: float = 1.0
    refuse: bool = False
    hang: bool = False
    reset: int = 0
    truncate: int = 0
    busy: int = 0
    leave_ms: int = -1


@attrs.define
class EndpointEvent:
    """One request that reached an endpoint, updated while it runs.

    Attributes:
        endpoint: Name of the endpoint.
        kind: `request`, or `connections` when their limit was exceeded.
        request_id: Id as received.
        idempotent: Header `X-Idempotent` as received; may be empty.
        received_ms: Time when the whole request had been received.
        ended_ms: Time when its work ended; 0 while it runs.
        outcome: `running`, `answered`, `reset`, `truncated` or `busy`;
            only `busy` did no work.
        running: Number of requests running, including this one.
        violation: Whether it exceeded a limit.
    """

    endpoint: str
    kind: str
    request_id: str
    idempotent: str
    received_ms: float
    ended_ms: float
    outcome: str
    running: int
    violation: bool


class EndpointStandIn:
    """One endpoint. Thread-safe."""

    def __init__(
        self, spec: EndpointSpec, journal: serving.Journal, seed: int
    ) -> None:
        self.spec = spec
        self.faults = EndpointFaults()
        self.listener = serving.Listener(
            self._handle, spec.port, self._check_connections
        )
        self._journal = journal
        self._random = random.Random(f"{seed}/{spec.name}")
        self._lock = threading.Lock()
        self._running = 0
        self._released = threading.Event()
        self._released.set()
        self.listener.start()

    def change(self, change: dict[str, Any]) -> None:
        """Sets faults by name; raises TypeError for unknown names."""
        self.faults = attrs.evolve(self.faults, **change)
        if self.faults.hang:
            self._released.clear()
        else:
            self._released.set()
        if self.faults.refuse:
            self.listener.refuse()
        elif self.faults.leave_ms < 0:
            self.listener.start()
        if "leave_ms" in change and self.faults.leave_ms >= 0:
            delay_s = self.faults.leave_ms / 1_000
            timer = threading.Timer(delay_s, self._refuse_connections)
            timer.daemon = True
            timer.start()

    def _refuse_connections(self) -> None:
        if self.faults.leave_ms >= 0:
            self.listener.refuse()

    def _check_connections(self, count: int) -> None:
        if count > self.spec.connections:
            now_ms = serving.now_ms()
            self._journal.add(
                EndpointEvent(
                    endpoint=self.spec.name,
                    kind="connections",
                    request_id="",
                    idempotent="",
                    received_ms=now_ms,
                    ended_ms=now_ms,
                    outcome="",
                    running=count,
                    violation=True,
                )
            )

    def _handle(self, call: serving.Call) -> serving.Answer:
        event = self._begin(call)
        self._journal.add(event)
        try:
            return self._run(call, event)
        finally:
            with self._lock:
                self._running -= 1
            event.ended_ms = serving.now_ms()

    def _begin(self, call: serving.Call) -> EndpointEvent:
        with self._lock:
            self._running += 1
            running = self._running
        return EndpointEvent(
            endpoint=self.spec.name,
            kind="request",
            request_id=call.headers.get("X-Request-Id", ""),
            idempotent=call.headers.get("X-Idempotent", ""),
            received_ms=serving.now_ms(),
            ended_ms=0.0,
            outcome="running",
            running=running,
            violation=running > self.spec.slots,
        )

    def _run(self, call: serving.Call, event: EndpointEvent) -> serving.Answer:
        if self._consume_fault("busy"):
            event.outcome = "busy"
            return serving.Reply(503, b"", {"X-Outcome": "not-run"})
        if self._consume_fault("reset"):
            event.outcome = "reset"
            return serving.Reset()
        time.sleep(self._work_ms(call) / 1_000)
        self._released.wait()
        reply = self._reply(call, event.request_id)
        if self._consume_fault("truncate"):
            event.outcome = "truncated"
            return serving.Truncated(reply, len(reply.body) // 2)
        event.outcome = "answered"
        return reply

    def _consume_fault(self, fault: str) -> bool:
        with self._lock:
            left: int = getattr(self.faults, fault)
            if left > 0:
                setattr(self.faults, fault, left - 1)
            return left > 0

    def _work_ms(self, call: serving.Call) -> float:
        requested_work = call.headers.get("X-Work-Ms")
        try:
            work_ms = (
                float(requested_work)
                if requested_work
                else self._sample_work_ms()
            )
        except ValueError:
            work_ms = self._sample_work_ms()
        return min(max(work_ms, 0.0) * self.faults.slow, MAX_WORK_MS)

    def _sample_work_ms(self) -> float:
        with self._lock:
            factor = self._random.lognormvariate(0.0, self.spec.spread)
        return self.spec.work_ms * factor

    def _reply(self, call: serving.Call, request_id: str) -> serving.Reply:
        body = msgspec.json.encode(
            {
                "endpoint": self.spec.name,
                "request_id": request_id,
                "digest": xxhash.xxh64_hexdigest(call.body),
                "path": call.path,
            }
        )
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": request_id,
        }
        return serving.Reply(
            200, body, headers, close=self.faults.leave_ms >= 0
        )


class EndpointGroup:
    """All endpoints of the process."""

    def __init__(self, specs: list[EndpointSpec], seed: int) -> None:
        self.journal = serving.Journal()
        self._by_name = {
            spec.name: EndpointStandIn(spec, self.journal, seed)
            for spec in specs
        }

    def addresses(self) -> dict[str, str]:
        """Returns the address of each endpoint by name."""
        return {
            name: endpoint.listener.address
            for name, endpoint in self._by_name.items()
        }

    def control(self, change: dict[str, Any]) -> None:
        """Sets faults at one endpoint, or at all with `*`."""
        name = change.pop("endpoint")
        if name == "*":
            for endpoint in self._by_name.values():
                endpoint.change(change)
        else:
            self._by_name[name].change(change)


def read_specs(path: str, spec_class: type) -> Any:
    """Reads a list of specs from a file, or from standard input for `-`."""
    if path == "-":
        text = sys.stdin.buffer.read()
    else:
        with open(path, "rb") as stream:
            text = stream.read()
    return msgspec.json.decode(text, type=list[spec_class])


def main() -> None:
    """Runs the endpoints until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--spec", default="-", help="file of specs")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--control-port", type=int, default=0)
    args = parser.parse_args()
    group = EndpointGroup(read_specs(args.spec, EndpointSpec), args.seed)
    control = serving.ControlServer(
        group.journal, group.control, args.control_port
    )
    serving.announce(
        addresses=group.addresses(), control=control.listener.address
    )
    serving.wait_for_stop()


if __name__ == "__main__":
    main()

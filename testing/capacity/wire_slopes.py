"""Slopes of calls to the log, workers and peers over loopback.

The remote side of each call runs on another thread, whose time isn't counted.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from http import server as http_server
import threading
import time
from typing import Any

import attrs
import msgspec
import result
from thrift.transport import TTransport

from comfreylatch._connection import address
from comfreylatch._connection import log_client
from comfreylatch._connection import peer_link
from comfreylatch._connection import peer_server
from comfreylatch._connection import peer_transport
from comfreylatch._connection import worker_client
from comfreylatch._ports import workers
from comfreylatch._process import metrics as metrics_module
from comfreylatch._wire.gen.peer import ttypes
from testing.capacity import slope

BATCH_SIZES = (1, 16, 64)
TASK_SIZES = (8, 24, 72)
SERVICE_SIZES = (5, 20, 60)
CALLS_PER_REPEAT = 150
TIMEOUT_MS = 5_000
LOOPBACK = "127.0.0.1"
PAYLOAD = "x" * 150


@attrs.frozen
class WireSlopes:
    """Slopes of calls that an entry host makes or answers."""

    log_read_us: slope.Slope
    log_append_us: slope.Slope
    exchange_us: slope.Slope
    exchange_bytes: slope.Slope
    heartbeat_sent_us: slope.Slope
    heartbeat_answered_us: slope.Slope
    heartbeat_bytes: slope.Slope


def measure() -> WireSlopes:
    """Measures all slopes of calls."""
    return WireSlopes(
        log_read_us=slope.fit(
            "one read of the log", "records", "us", BATCH_SIZES, _read_us
        ),
        log_append_us=slope.fit(
            "one append to the log", "records", "us", BATCH_SIZES, _append_us
        ),
        exchange_us=slope.fit(
            "one exchange with a worker",
            "tasks on it",
            "us",
            TASK_SIZES,
            _exchange_us,
        ),
        exchange_bytes=slope.fit(
            "bodies of one exchange",
            "tasks on it",
            "B",
            TASK_SIZES,
            _exchange_bytes,
        ),
        heartbeat_sent_us=slope.fit(
            "one heartbeat sent, its answer read",
            "services",
            "us",
            SERVICE_SIZES,
            lambda count: _heartbeat_us(count).sent_us,
        ),
        heartbeat_answered_us=slope.fit(
            "one heartbeat answered",
            "services",
            "us",
            SERVICE_SIZES,
            lambda count: _heartbeat_us(count).answered_us,
        ),
        heartbeat_bytes=slope.fit(
            "a heartbeat and its answer",
            "services",
            "B",
            SERVICE_SIZES,
            _heartbeat_bytes,
        ),
    )


@contextlib.contextmanager
def _http_server(answer: Callable[[str], bytes]) -> Iterator[str]:
    """Runs an HTTP server that answers every call with `answer(path)`."""

    class Handler(http_server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        # Sends head and body in one packet; otherwise the client waits for
        # its own delayed acknowledgement.
        wbufsize = 262_144

        def reply(self) -> None:
            self.rfile.read(int(self.headers.get("Content-Length", "0")))
            body = answer(self.path)
            self.send_response(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        do_GET = do_POST = reply  # noqa: N815

        def log_message(self, *arguments: Any) -> None:
            pass

    server = http_server.ThreadingHTTPServer((LOOPBACK, 0), Handler)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    try:
        yield f"{LOOPBACK}:{server.server_port}"
    finally:
        server.shutdown()
        server.server_close()


def _read_us(records: int) -> float:
    entries = [
        {"offset": offset, "payload": PAYLOAD} for offset in range(records)
    ]
    body = msgspec.json.encode(
        {"first": 0, "next": records, "records": entries}
    )
    with _http_server(lambda _: body) as host:
        with log_client.LogClient(host, TIMEOUT_MS) as log:
            return slope.cpu_us(
                lambda: log.read("zone", 0, 256, 0).unwrap(), CALLS_PER_REPEAT
            )


def _append_us(records: int) -> float:
    payloads = [PAYLOAD.encode()] * records
    with _http_server(lambda _: b'{"offset": 7}') as host:
        with log_client.LogClient(host, TIMEOUT_MS) as log:
            return slope.cpu_us(
                lambda: log.append("zone", payloads).unwrap(), CALLS_PER_REPEAT
            )


def _exchange_bytes(tasks: int) -> float:
    request = worker_client.encode_exchange(_renewal())
    return len(request) + len(msgspec.json.encode(report(tasks)))


def _exchange_us(tasks: int) -> float:
    body = msgspec.json.encode(report(tasks))
    client = worker_client.WorkerClient()
    with _http_server(lambda _: body) as host:
        return slope.cpu_us(
            lambda: client.exchange(host, _renewal(), TIMEOUT_MS).unwrap(),
            CALLS_PER_REPEAT,
        )


def _renewal() -> workers.Exchange:
    return workers.Exchange("zone-0-1-0a1b2c3d", 1, 1_017, 6_000)


def report(tasks: int) -> workers.WorkerReport:
    """Returns a worker's report with tasks and a usage sample of each."""
    statuses = tuple(
        workers.TaskStatus(
            f"stack-{index:07d}",
            1,
            workers.TaskState.RUNNING,
            81_234,
            60_000,
            1_000,
        )
        for index in range(tasks)
    )
    slowdowns = tuple(
        workers.TaskSlowdown(f"stack-{index:07d}", 1, 1_100, 950, 2_000)
        for index in range(tasks)
    )
    usage = workers.Usage(4_000, 24_000, 64_000, tasks=slowdowns)
    return workers.WorkerReport(
        worker="worker-0-17",
        boot="a1b2c3d4",
        report=1_018,
        highest_term=1,
        lease_left_ms=5_990,
        capacity=workers.Resources(32_000, 128_000, 0),
        tasks=statuses,
        usage=(usage,),
    )


@attrs.frozen
class HeartbeatCost:
    """Processor time of one heartbeat on each side, in microseconds."""

    sent_us: float
    answered_us: float


class _HeartbeatHandler:
    """The part of `PeerHandler` that heartbeats use."""

    def __init__(self, services: int) -> None:
        self._services = services

    def heartbeat(self, beat: ttypes.Heartbeat) -> ttypes.HeartbeatReply:
        del beat
        return _make_heartbeat_reply(self._services)


def _heartbeat_us(services: int) -> HeartbeatCost:
    listen_address = address.Address(LOOPBACK, 0)
    handler: Any = _HeartbeatHandler(services)
    metrics = metrics_module.Metrics()
    with peer_server.PeerServer(listen_address, handler, metrics) as server:
        with peer_link.PeerLink(server.address, TIMEOUT_MS) as link:

            def call() -> None:
                heartbeat = _make_heartbeat(services)
                answer = link.call(lambda c: c.heartbeat(heartbeat), TIMEOUT_MS)
                assert isinstance(answer, result.Ok), answer

            call()
            total_ns = time.process_time_ns()
            sent_us = slope.cpu_us(call, CALLS_PER_REPEAT)
            total_ns = time.process_time_ns() - total_ns
    calls = CALLS_PER_REPEAT * slope.REPEATS
    total_us = total_ns / calls / slope.NS_PER_US
    return HeartbeatCost(sent_us, max(total_us - sent_us, 0.0))


def _heartbeat_bytes(services: int) -> float:
    return _encoded_bytes(_make_heartbeat(services)) + _encoded_bytes(
        _make_heartbeat_reply(services)
    )


def _encoded_bytes(message: Any) -> int:
    buffer = TTransport.TMemoryBuffer()
    protocol = peer_transport.make_protocol(buffer)
    message.write(protocol)
    protocol.trans.flush()
    return len(buffer.getvalue())


def _make_spare_slots(services: int) -> dict[str, int]:
    return {f"service-{index}": index for index in range(services)}


def _make_heartbeat(services: int) -> ttypes.Heartbeat:
    return ttypes.Heartbeat(
        protocol=1,
        seat="zone-0-1",
        host_id="zone-0-1-0a1b2c3d",
        zone="zone-0",
        config_offset=81_234,
        config_digest="0123456789abcdef",
        stopping=False,
        leaving_endpoints=["endpoint-17"],
        zone_offset=9_812_345,
        zone_digest="0123456789abcdef",
        spare_slots=_make_spare_slots(services),
    )


def _make_heartbeat_reply(services: int) -> ttypes.HeartbeatReply:
    return ttypes.HeartbeatReply(
        protocol=1,
        host_id="zone-0-2-0a1b2c3d",
        config_offset=81_234,
        config_digest="0123456789abcdef",
        stopping=False,
        leaving_endpoints=["endpoint-17"],
        zone_offset=9_812_345,
        zone_digest="0123456789abcdef",
        spare_slots=_make_spare_slots(services),
    )

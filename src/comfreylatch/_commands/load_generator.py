"""Open-loop load generator that sends the requests of a trace."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
import enum
import itertools
import queue
import random
import threading
import time
from typing import final

import attrs
import urllib3
from urllib3 import exceptions

from comfreylatch._commands import trace as traces
from comfreylatch._connection import address as addresses
from comfreylatch._process import reasons

CONNECT_TIMEOUT_MS = 2_000
# Added to the timeout of a request, for the transfer of the answer.
ANSWER_GRACE_MS = 2_000
# A request sent more than this after it was due counts as late: the load
# generator itself delayed it.
LATE_START_MS = 10.0
MAX_POOLS = 256
# How long a host is avoided after it failed or reported that it is stopping.
HOST_AVOIDANCE_MS = 1_000.0


class ObservedOutcome(enum.StrEnum):
    """Outcome of a request as observed by its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    MISMATCHED = "mismatched"


@attrs.frozen
class Sample:
    """Measurements of one request.

    Attributes:
        due_ms: When the request was due, from the start of the replay.
        late_ms: Delay between the due time and sending.
        elapsed_ms: From the due time to the complete answer.
        timeout_ms: Timeout of the caller.
        status: HTTP status; 0 if there was no answer.
        reason: Value of `X-Reason`, or the class of the error.
        retry_after_ms: Value of `X-Retry-After-Ms`; 0 if there was none.
    """

    service: str
    due_ms: float
    late_ms: float
    elapsed_ms: float
    timeout_ms: int
    outcome: ObservedOutcome
    status: int
    reason: str
    retry_after_ms: int


@attrs.frozen
class LoadOptions:
    """Options of the load generator.

    Attributes:
        callers: Caller addresses by zone; the key `""` holds those that
            accept requests of any zone.
        run: Prefix of request ids, unique per replay.
        speed: Ratio of trace time to real time.
        threads: Limit of concurrent requests.
    """

    callers: Mapping[str, Sequence[addresses.Address]]
    run: str
    speed: float = 1.0
    threads: int = 256


@attrs.frozen
class _ScheduledRequest:
    number: int
    request: traces.TracedRequest
    due_ms: float


class Balancer:
    """Picks hosts round-robin, like the platform's balancer. Thread-safe.

    Hosts that failed or are stopping are avoided for a while. A failed request
    is not sent again.
    """

    def __init__(
        self, callers: Mapping[str, Sequence[addresses.Address]]
    ) -> None:
        self._by_zone = callers
        self._all_hosts = [host for hosts in callers.values() for host in hosts]
        self._counter = itertools.count()
        self._avoided_until_s: dict[addresses.Address, float] = {}

    def pick(self, zone: str) -> addresses.Address:
        """Returns the next usable host of the zone, else of any zone."""
        now_s = time.monotonic()
        of_zone = self._by_zone.get(zone) or self._by_zone.get("", ())
        for hosts in (of_zone, self._all_hosts):
            usable = [
                host
                for host in hosts
                if self._avoided_until_s.get(host, 0.0) <= now_s
            ]
            if usable:
                return usable[next(self._counter) % len(usable)]
        return self._all_hosts[next(self._counter) % len(self._all_hosts)]

    def record_outcome(
        self, address: addresses.Address, outcome: ObservedOutcome, reason: str
    ) -> None:
        """Records the outcome of a request that was sent to a host."""
        failed = (
            outcome is ObservedOutcome.UNREACHABLE
            or outcome is ObservedOutcome.LOST
        )
        if failed or reason == reasons.RefusalReason.STOPPING:
            until_s = time.monotonic() + HOST_AVOIDANCE_MS / 1_000
            self._avoided_until_s[address] = until_s


@final
class LoadGenerator:
    """Sends each request of a trace when it is due, from a thread pool.

    Args:
        trace: The trace; its jobs are ignored.
        options: How to send the requests.
    """

    def __init__(self, trace: traces.Trace, options: LoadOptions) -> None:
        self._options = options
        self._seed = trace.header.seed
        requests = (
            line
            for line in trace.lines
            if isinstance(line, traces.TracedRequest)
        )
        self._schedule = iter(
            [
                _ScheduledRequest(
                    number, request, request.at_ms / options.speed
                )
                for number, request in enumerate(requests)
            ]
        )
        self._lock = threading.Lock()
        self._balancer = Balancer(options.callers)
        self._samples: queue.SimpleQueue[Sample] = queue.SimpleQueue()
        self._pool = urllib3.PoolManager(
            num_pools=MAX_POOLS, maxsize=options.threads, retries=False
        )
        self._threads: list[threading.Thread] = []
        self._started_s = 0.0

    def start(self, started_s: float) -> None:
        """Starts sending; `started_s` is the monotonic time of trace time 0."""
        self._started_s = started_s
        for _ in range(self._options.threads):
            thread = threading.Thread(target=self._send_due, daemon=True)
            thread.start()
            self._threads.append(thread)

    def finish(self) -> list[Sample]:
        """Waits for all requests to complete and returns their samples."""
        for thread in self._threads:
            thread.join()
        self._pool.clear()
        samples = []
        while not self._samples.empty():
            samples.append(self._samples.get())
        samples.sort(key=lambda sample: sample.due_ms)
        return samples

    def _send_due(self) -> None:
        while True:
            with self._lock:
                scheduled = next(self._schedule, None)
            if scheduled is None:
                return
            wait_s = (
                self._started_s + scheduled.due_ms / 1_000 - time.monotonic()
            )
            if wait_s > 0:
                time.sleep(wait_s)
            self._samples.put(self._send(scheduled))

    def _now_ms(self) -> float:
        return (time.monotonic() - self._started_s) * 1_000

    def _send(self, scheduled: _ScheduledRequest) -> Sample:
        request = scheduled.request
        late_ms = self._now_ms() - scheduled.due_ms
        request_id = f"{self._options.run}-{scheduled.number}"
        status = 0
        retry_after_ms = 0
        address = self._balancer.pick(request.zone)
        try:
            answer = self._exchange(
                address, request, request_id, self._body(scheduled)
            )
        except (
            exceptions.NewConnectionError,
            exceptions.ConnectTimeoutError,
        ) as error:
            outcome, reason = ObservedOutcome.UNREACHABLE, type(error).__name__
        except (exceptions.HTTPError, OSError) as error:
            outcome, reason = ObservedOutcome.LOST, type(error).__name__
        else:
            status = answer.status
            outcome, reason = _classify(answer, request_id)
            retry_after_ms = _parse_int(answer.headers.get("X-Retry-After-Ms"))
        self._balancer.record_outcome(address, outcome, reason)
        return Sample(
            service=request.service,
            due_ms=scheduled.due_ms,
            late_ms=late_ms,
            elapsed_ms=self._now_ms() - scheduled.due_ms,
            timeout_ms=request.timeout_ms,
            outcome=outcome,
            status=status,
            reason=reason,
            retry_after_ms=retry_after_ms,
        )

    def _body(self, scheduled: _ScheduledRequest) -> bytes:
        generator = random.Random(f"{self._seed}/{scheduled.number}")
        return generator.randbytes(scheduled.request.body_bytes)

    def _exchange(
        self,
        address: addresses.Address,
        request: traces.TracedRequest,
        request_id: str,
        body: bytes,
    ) -> urllib3.BaseHTTPResponse:
        headers = {
            "X-Request-Id": request_id,
            "X-Idempotent": "true" if request.idempotent else "false",
            "X-Timeout-Ms": str(request.timeout_ms),
        }
        if request.caller:
            headers["X-Caller"] = request.caller
        if request.work_ms >= 0:
            headers["X-Work-Ms"] = f"{request.work_ms:.3f}"
        return self._pool.request(
            "POST",
            f"http://{address}/services/{request.service}{request.path}",
            body=body,
            headers=headers,
            redirect=False,
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_MS / 1_000,
                read=(request.timeout_ms + ANSWER_GRACE_MS) / 1_000,
            ),
        )


def _classify(
    answer: urllib3.BaseHTTPResponse, request_id: str
) -> tuple[ObservedOutcome, str]:
    reason = answer.headers.get("X-Reason", "")
    outcome = answer.headers.get("X-Outcome", "")
    if outcome not in (
        ObservedOutcome.ANSWERED,
        ObservedOutcome.NOT_RUN,
        ObservedOutcome.UNKNOWN,
    ):
        # Truncated within its headers, or not from an entry host.
        return ObservedOutcome.LOST, f"no outcome, status {answer.status}"
    if answer.headers.get("X-Request-Id") != request_id:
        return ObservedOutcome.MISMATCHED, reason
    return ObservedOutcome(outcome), reason


def _parse_int(text: str | None) -> int:
    return int(text) if text and text.isascii() and text.isdigit() else 0

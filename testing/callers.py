"""Callers on threads that send unique bodies and retry through other hosts."""

from __future__ import annotations

from collections.abc import Sequence
import random
import threading
import time
from typing import Self

import attrs

from testing import checker
from testing import fleet as fleet_module

RETRIED_OUTCOMES = frozenset({"lost", "unknown", "unreachable"})
MAX_BODY_BYTES = 2_000


@attrs.frozen
class Load:
    """The load that the callers generate.

    Attributes:
        seats: Seats of the hosts that receive requests, in turn.
        callers: Number of threads, each with one request at a time.
        idempotent_share: Fraction of idempotent requests.
        work_ms: Work requested of the endpoint; None leaves it to the
            endpoint.
        timeout_ms: Timeout of a request.
        max_retries: Maximum number of retries of a lost request, each through
            the next host.
        pause_ms: Pause between two requests of a caller.
        seed: Seed for bodies and idempotence.
    """

    seats: tuple[str, ...]
    callers: int = 8
    idempotent_share: float = 0.5
    work_ms: float | None = None
    timeout_ms: int = 2_000
    max_retries: int = 0
    pause_ms: float = 0.0
    seed: int = 1


class Callers:
    """A context manager that sends requests and records them in `sent`."""

    def __init__(
        self, fleet: fleet_module.Fleet, load: Load, name: str = "r"
    ) -> None:
        self.sent: list[checker.SentRequest] = []
        self._fleet = fleet
        self._load = load
        self._name = name
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,))
            for number in range(load.callers)
        ]

    def __enter__(self) -> Self:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Stops the callers after their current requests."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def wait_answered(self, requests: int, timeout_s: float) -> None:
        """Waits until the given number of requests has been answered."""
        self._fleet.wait_until(
            lambda: self.count("answered") >= requests,
            f"{requests} requests have been answered",
            timeout_s,
        )

    def count(self, outcome: str) -> int:
        """Returns the number of requests with the given outcome."""
        return sum(request.answer.outcome == outcome for request in self.sent)

    def _run(self, number: int) -> None:
        rng = random.Random(f"{self._load.seed}/{self._name}/{number}")
        turn = number
        count = 0
        while not self._stop.is_set():
            request_id = f"{self._name}-{number}-{count}"
            body = rng.randbytes(rng.randrange(1, MAX_BODY_BYTES))
            idempotent = rng.random() < self._load.idempotent_share
            for _ in range(1 + self._load.max_retries):
                sent = self._send(turn, request_id, body, idempotent)
                turn += 1
                if sent.answer.outcome not in RETRIED_OUTCOMES:
                    break
            count += 1
            if self._load.pause_ms:
                time.sleep(self._load.pause_ms / 1_000)

    def _send(
        self, turn: int, request_id: str, body: bytes, idempotent: bool
    ) -> checker.SentRequest:
        seat = self._load.seats[turn % len(self._load.seats)]
        answer = self._fleet.request(
            seat,
            request_id,
            body,
            idempotent=idempotent,
            timeout_ms=self._load.timeout_ms,
            work_ms=self._load.work_ms,
        )
        sent = checker.SentRequest(request_id, body, idempotent, answer)
        self.sent.append(sent)
        return sent


def find_violations(
    fleet: fleet_module.Fleet, sent: Sequence[checker.SentRequest]
) -> list[checker.Violation]:
    """Checks the requests sent against the endpoints' journal."""
    return checker.check_requests(sent, fleet.endpoint_events())

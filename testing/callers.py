"""Callers in threads: unique bodies, repeats through other hosts."""

from __future__ import annotations

from collections.abc import Sequence
import random
import threading
import time
from typing import Self

import attrs

from testing import checker
from testing import fleet as fleet_module

LOST = frozenset({"lost", "unknown", "unreachable"})
MAX_BODY_BYTES = 2_000


@attrs.frozen
class Load:
    """What the callers send.

    Attributes:
        seats: Hosts asked, in turn.
        callers: Threads, each with one request at a time.
        idempotent_share: Part of the requests that are idempotent.
        work_ms: Work asked of the endpoint; None leaves it to the endpoint.
        timeout_ms: Time a caller waits.
        repeats: How often a lost request is sent again, elsewhere.
        pause_ms: Time between two requests of a caller.
        seed: For bodies and kinds.
    """

    seats: tuple[str, ...]
    callers: int = 8
    idempotent_share: float = 0.5
    work_ms: float | None = None
    timeout_ms: int = 2_000
    repeats: int = 0
    pause_ms: float = 0.0
    seed: int = 1


class Callers:
    """Sends while it is entered; `sent` holds what each caller saw."""

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
        """Lets every caller end its present request."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def wait_answered(self, requests: int, timeout_s: float) -> None:
        """Waits until so many requests have been answered."""
        self._fleet.wait_until(
            lambda: self.count("answered") >= requests,
            f"{requests} requests answered",
            timeout_s,
        )

    def count(self, outcome: str) -> int:
        """Requests whose caller saw an outcome."""
        return sum(one.answer.outcome == outcome for one in self.sent)

    def _run(self, number: int) -> None:
        rng = random.Random(f"{self._load.seed}/{self._name}/{number}")
        turn = number
        count = 0
        while not self._stop.is_set():
            request_id = f"{self._name}-{number}-{count}"
            body = rng.randbytes(rng.randrange(1, MAX_BODY_BYTES))
            idempotent = rng.random() < self._load.idempotent_share
            for _ in range(1 + self._load.repeats):
                one = self._send(turn, request_id, body, idempotent)
                turn += 1
                if one.answer.outcome not in LOST:
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
        one = checker.SentRequest(request_id, body, idempotent, answer)
        self.sent.append(one)
        return one


def find_violations(
    fleet: fleet_module.Fleet, sent: Sequence[checker.SentRequest]
) -> list[checker.Violation]:
    """What the endpoints' own records show of broken promises."""
    return checker.check_requests(sent, fleet.endpoint_events())

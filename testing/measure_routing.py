"""Compares routing policies on a fleet of processes in one run.

`python -m testing.measure_routing --rounds 2 --seed 1` starts a small fleet
for each policy in turn and sends each the same requests in an open loop:
without faults, with slow endpoints, with endpoints that reset connections,
and with a host killed. Latency counts from the time when a request was due.
"""

from __future__ import annotations

import argparse
import collections
from collections.abc import Callable
import concurrent.futures
import random
import sys
import time

import attrs

from comfreylatch._process import settings as settings_module
from comfreylatch._process.routing import load_balancing
from testing import callers
from testing import checker
from testing import deployments
from testing import fleet as fleet_module
from testing import fleet_plan

ENDPOINTS = 8
SEATS = 3
WORK_MS = 60.0
TIMEOUT_MS = 1_500
LOAD_THREADS = 96
SLOWDOWN_FACTOR = 8.0
RESETS_PER_S = 4


@attrs.frozen
class Reply:
    """A request, its answer, and the time since the request was due."""

    sent: checker.SentRequest
    elapsed_ms: float


@attrs.frozen
class Phase:
    """A phase of a run with one fault.

    Attributes:
        name: Name of the phase in the output.
        begin: Injects the fault.
        end: Clears the fault.
    """

    name: str
    begin: Callable[[fleet_module.Fleet], None]
    end: Callable[[fleet_module.Fleet], None]


def _no_change(running: fleet_module.Fleet) -> None:
    del running


def _slow_endpoints(running: fleet_module.Fleet) -> None:
    for endpoint in ("ex-1", "ex-2"):
        running.endpoints.control(endpoint=endpoint, slow=SLOWDOWN_FACTOR)


def _restore_endpoints(running: fleet_module.Fleet) -> None:
    running.endpoints.control(endpoint="*", slow=1.0, reset=0)


def _reset_connections(running: fleet_module.Fleet) -> None:
    for endpoint in ("ex-1", "ex-2"):
        running.endpoints.control(endpoint=endpoint, reset=1_000_000)


def _kill_host(running: fleet_module.Fleet) -> None:
    running.kill_host(running.deployment.all_seats()[-1])


PHASES = (
    Phase("calm", _no_change, _no_change),
    Phase("slow", _slow_endpoints, _restore_endpoints),
    Phase("lossy", _reset_connections, _restore_endpoints),
    Phase("host-killed", _kill_host, _no_change),
)


class LoadGenerator:
    """Sends an open-loop stream of requests to the running hosts in turn."""

    def __init__(
        self, running: fleet_module.Fleet, per_s: float, seed: int
    ) -> None:
        self._running = running
        self._per_s = per_s
        self._rng = random.Random(seed)

    def run(self, name: str, seconds: float) -> list[Reply]:
        """Sends the requests of one phase and returns the replies."""
        started_s = time.monotonic()
        due_s = 0.0
        pending: list[concurrent.futures.Future[Reply]] = []
        with concurrent.futures.ThreadPoolExecutor(LOAD_THREADS) as pool:
            while due_s < seconds:
                time.sleep(max(started_s + due_s - time.monotonic(), 0.0))
                number = len(pending)
                idempotent = self._rng.random() < 0.5
                pending.append(
                    pool.submit(
                        self._send,
                        f"{name}-{number}",
                        number,
                        idempotent,
                        started_s + due_s,
                    )
                )
                due_s += self._rng.expovariate(self._per_s)
            return [future.result() for future in pending]

    def _send(
        self, request_id: str, number: int, idempotent: bool, due_s: float
    ) -> Reply:
        alive = [
            seat
            for seat, host in self._running.hosts.items()
            if host.process is not None and host.process.exit_code is None
        ]
        answer = self._running.request(
            alive[number % len(alive)],
            request_id,
            b"body",
            idempotent=idempotent,
            timeout_ms=TIMEOUT_MS,
        )
        sent = checker.SentRequest(request_id, b"body", idempotent, answer)
        return Reply(sent, (time.monotonic() - due_s) * 1_000)


def _format_line(
    policy: str, phase: str, replies: list[Reply], tries: int
) -> str:
    outcomes = collections.Counter(
        reply.sent.answer.outcome for reply in replies
    )
    elapsed = sorted(
        reply.elapsed_ms
        for reply in replies
        if reply.sent.answer.outcome == "answered"
    )

    def quantile(share: float) -> float:
        index = min(int(len(elapsed) * share), len(elapsed) - 1)
        return elapsed[index] if elapsed else 0.0

    return (
        f"policy={policy} phase={phase} offered={len(replies)} "
        f"p50_ms={quantile(0.5):.0f} p99_ms={quantile(0.99):.0f} "
        f"p999_ms={quantile(0.999):.0f} tries_per_request="
        f"{tries / max(len(replies), 1):.3f} "
        + " ".join(f"{name}={n}" for name, n in sorted(outcomes.items()))
    )


def measure(policy: load_balancing.Policy, args: argparse.Namespace) -> None:
    """Measures one policy on a fleet and prints a line for each phase."""
    deployment = attrs.evolve(
        deployments.small(1),
        endpoints=ENDPOINTS,
        work_ms=WORK_MS,
        seats_per_zone=SEATS,
    )
    options = fleet_plan.FleetOptions(
        seed=args.seed,
        routing=settings_module.RoutingSettings(
            policy=policy.value, seed=args.seed
        ),
    )
    sent: list[checker.SentRequest] = []
    with fleet_module.Fleet(deployment, options) as running:
        running.apply_first_ticket()
        load = LoadGenerator(running, args.per_s, args.seed)
        load.run("warm", args.seconds / 2)
        for phase in PHASES:
            before = len(running.endpoint_events())
            phase.begin(running)
            replies = load.run(phase.name, args.seconds)
            phase.end(running)
            tries = len(running.endpoint_events()) - before
            sent.extend(reply.sent for reply in replies)
            print(
                _format_line(policy.value, phase.name, replies, tries),
                flush=True,
            )
            time.sleep(1.0)
        violations = callers.find_violations(running, sent)
    print(f"policy={policy.value} violations={len(violations)}", flush=True)


def main() -> None:
    """Measures every policy in each round."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--per-s", type=float, default=120.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    print(f"seed={args.seed} per_s={args.per_s} seconds={args.seconds}")
    for _ in range(args.rounds):
        for policy in load_balancing.Policy:
            measure(policy, args)


if __name__ == "__main__":
    sys.exit(main())

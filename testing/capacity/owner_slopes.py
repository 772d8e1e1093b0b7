"""Slope of the owner's loop, with workers and attempts but no change."""

from __future__ import annotations

import threading
from typing import Any

import attrs

from comfreylatch._ports import hosts
from comfreylatch._process import journal as journal_module
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.batch import ownership
from comfreylatch._process.batch import zone_owner
from comfreylatch._version import configuration
from testing.capacity import batch_slopes
from testing.capacity import slope
from testing.fakes import clock as clock_fake

STEPS = 30
FAR_MS = 10**9


@attrs.frozen
class OwnerSlopes:
    """Of the owner of one zone's workers."""

    step_us: slope.Slope


def measure() -> OwnerSlopes:
    """Takes it."""
    return OwnerSlopes(
        slope.fit(
            "one idle step of the owner's loop",
            "workers",
            "us",
            batch_slopes.WORKER_SIZES,
            _step_us,
        )
    )


@attrs.frozen
class _Session:
    fenced_term: int = batch_slopes.TERM
    failures: int = 0
    last_sent_ms: int = 0
    answered_ms: int = 0


class _Pool:
    """Workers that all answered a moment ago and are told nothing."""

    def __init__(self) -> None:
        self.woken = threading.Event()
        self._session = _Session()

    def update(self, listed: Any, needed: Any) -> None:
        del listed, needed

    def session(self, worker: str) -> _Session:
        del worker
        return self._session

    def take_events(self) -> list[Any]:
        return []

    def clear_commands(self) -> None:
        pass

    def request(self, worker: str, command: Any, at_once: bool = True) -> None:
        del worker, command, at_once

    def withdraw(self, worker: str, command: Any) -> bool:
        del worker, command
        return True


class _Holder:
    """An ownership that is held for good."""

    host_id = batch_slopes.WRITER

    def hold(self) -> ownership.Hold:
        return ownership.Hold(
            batch_slopes.TERM, batch_slopes.BOUNDS, FAR_MS, FAR_MS
        )

    def guard_until_ms(self) -> int:
        return 0


class _Source:
    """A configuration that never changes."""

    def current(self) -> configuration.Configuration:
        return _CONFIGURATION


_CONFIGURATION = configuration.Configuration(offset=1)


def _step_us(workers_known: int) -> float:
    zone = batch_slopes.running_zone(
        workers_known * batch_slopes.TASKS_PER_WORKER, workers_known
    )
    clock = clock_fake.FakeClock()
    anything: Any = None
    holder: Any = _Holder()
    pool: Any = _Pool()
    source: Any = _Source()
    owner = zone_owner.ZoneOwner(
        "zone-0",
        holder,
        anything,
        anything,
        zone.fold,
        source,
        pool,
        journal_module.Journal(batch_slopes.WRITER, clock),
        metrics_module.Metrics(),
        clock,
    )
    owner.update_listed(_host_list(workers_known))
    owner.step()

    def step() -> None:
        clock.advance(zone_owner.STEP_MS)
        owner.step()

    # The attempts' starts are asked for once, in the first steps.
    step()
    return slope.cpu_us(step, STEPS)


def _host_list(workers_known: int) -> hosts.HostList:
    return hosts.HostList(
        tuple(
            hosts.ListedHost(
                f"worker-{index}",
                hosts.HostKind.WORKER,
                hosts.HostState.LIVE,
                "zone-0",
                f"rack-{index // 8}",
                f"10.0.0.{index % 250}:7000",
                "large",
            )
            for index in range(workers_known)
        )
    )

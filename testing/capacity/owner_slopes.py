"""Slopes of the owner's loop: idle steps and processing of reports."""

from __future__ import annotations

import threading
from typing import Any

import attrs

from comfreylatch._ports import hosts
from comfreylatch._process import journal as journal_module
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.batch import ownership
from comfreylatch._process.batch import usage_analyzer
from comfreylatch._process.batch import worker_session
from comfreylatch._process.batch import zone_owner
from comfreylatch._version import configuration
from testing.capacity import batch_slopes
from testing.capacity import slope
from testing.capacity import wire_slopes
from testing.fakes import clock as clock_fake

MEASURED_RUNS = 30
NEVER_EXPIRES_MS = 10**9
REPORT_INTERVAL_MS = 2_000


@attrs.frozen
class OwnerSlopes:
    """Slopes of the owner of one zone's workers."""

    step_us: slope.Slope
    report_us: slope.Slope


def measure() -> OwnerSlopes:
    """Measures both slopes."""
    return OwnerSlopes(
        slope.fit(
            "one idle step of the owner's loop",
            "workers",
            "us",
            batch_slopes.WORKER_SIZES,
            _step_us,
        ),
        slope.fit(
            "one report taken in, its usage learned",
            "tasks on the worker",
            "us",
            wire_slopes.TASK_SIZES,
            _report_us,
        ),
    )


class _NullLinkPool(batch_slopes.NullCommandSink):
    """A pool without links that discards commands and has no events."""

    def __init__(self) -> None:
        self.woken = threading.Event()

    def update(self, listed: Any, needed: Any) -> None:
        """See `LinkPool.update`."""
        del listed, needed

    def drain_events(self) -> list[Any]:
        """See `LinkPool.drain_events`."""
        return []

    def clear_commands(self) -> None:
        """See `LinkPool.clear_commands`."""


class _PermanentOwnership:
    """An ownership that never ends."""

    host_id = batch_slopes.WRITER

    def permissions(self) -> ownership.OwnerPermissions:
        return ownership.OwnerPermissions(
            batch_slopes.TERM,
            batch_slopes.BOUNDS,
            NEVER_EXPIRES_MS,
            NEVER_EXPIRES_MS,
        )

    def predecessor_tasks_until_ms(self) -> int:
        return 0


class _StaticConfigurationSource:
    """A configuration that never changes."""

    def current(self) -> configuration.Configuration:
        return _CONFIGURATION


_CONFIGURATION = configuration.Configuration(offset=1)


def _step_us(worker_count: int) -> float:
    zone = batch_slopes.running_zone(
        worker_count * batch_slopes.TASKS_PER_WORKER, worker_count
    )
    clock = clock_fake.FakeClock()
    unused: Any = None
    permanent_ownership: Any = _PermanentOwnership()
    pool: Any = _NullLinkPool()
    source: Any = _StaticConfigurationSource()
    owner = zone_owner.ZoneOwner(
        "zone-0",
        permanent_ownership,
        unused,
        unused,
        zone.fold,
        source,
        pool,
        journal_module.Journal(batch_slopes.WRITER, clock),
        metrics_module.Metrics(),
        clock,
    )
    owner.update_host_list(_host_list(worker_count))
    owner.step()

    def step() -> None:
        clock.advance(zone_owner.STEP_INTERVAL_MS)
        owner.step()

    # The first steps request the start of every attempt once, so they aren't
    # measured.
    step()
    return slope.cpu_us(step, MEASURED_RUNS)


def _report_us(tasks: int) -> float:
    zone = batch_slopes.running_zone(tasks, 1)
    scheduling = batch_slopes.make_scheduling_state(1, zone.fold)
    usage = usage_analyzer.UsageAnalyzer()
    for state in zone.fold.jobs():
        scheduling.sync_job(state, 0)
    now_ms = 0

    def process_report() -> None:
        nonlocal now_ms
        now_ms += REPORT_INTERVAL_MS
        report = attrs.evolve(wire_slopes.report(tasks), worker="worker-0")
        event = worker_session.Reported(
            "worker-0", batch_slopes.TERM, report, (), now_ms, False
        )
        scheduling.attempts.on_reported(event, batch_slopes.BOUNDS, now_ms)
        attempts = scheduling.attempts.attempts_on("worker-0")
        usage.process(report, zone.fold.job, attempts, now_ms)

    build_us = slope.cpu_us(lambda: wire_slopes.report(tasks), MEASURED_RUNS)
    return max(slope.cpu_us(process_report, MEASURED_RUNS) - build_us, 0.0)


def _host_list(worker_count: int) -> hosts.HostList:
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
            for index in range(worker_count)
        )
    )

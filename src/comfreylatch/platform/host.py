"""Builds and runs a host process on the users' platform."""

from __future__ import annotations

import contextlib
import os
import pathlib
import sys
import threading
import time
import types
from typing import final
from typing import Self
import uuid

import logbook

from comfreylatch._connection import http
from comfreylatch._connection import http_server
from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import evacuations
from comfreylatch._ports import store as store_port
from comfreylatch._process import json_logs
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import metrics_text
from comfreylatch._process.cell import claiming
from comfreylatch._process.cell import job_api as job_api_module
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import owner_dependencies
from comfreylatch._process.cell import ownership as ownership_module
from comfreylatch._process.cell import (
    partition_reader as partition_reader_module,
)
from comfreylatch._process.cell import reasons
from comfreylatch._process.cell import records
from comfreylatch._process.cell.forwarding import forwarder
from comfreylatch._process.cell.record_size import limits
from comfreylatch._process.cell.sizing import worker_limit
from comfreylatch.platform import advice
from comfreylatch.platform import caller_handler
from comfreylatch.platform import configuration
from comfreylatch.platform import machines
from comfreylatch.platform import placement_page
from comfreylatch.platform import process_signals
from comfreylatch.platform import stopping
from comfreylatch.platform import store
from comfreylatch.platform import views
from comfreylatch.platform import wire
from comfreylatch.platform import workers

SETTINGS_VARIABLE = "COMFREYLATCH_CONFIG"
# The only cell, and the only partition of the platform's topics.
CELL = 0
WORKERS_TOPIC = "servers"
MAX_BODY_BYTES = 1 << 20
CALLER_THREADS = 6
# Served on the readiness address, which callers do not use.
METRICS_PATH = "/metrics"
READINESS_THREADS = 1
# A dead connection is detected after this wait plus a call's timeout. A
# configuration must be in force two seconds after it was confirmed.
CONFIGURATION_READ_WAIT_MS = 1_000
# Leases of workers: long enough to outlast a takeover, short enough that the
# tasks of a dead worker are soon rescheduled.
LEASE_MS = 4_500
# The load balancer probes each second and removes a host after two failures.
LEAVE_ROTATION_MS = 2_200
# Largest part of the grace time that is spent on leaving the rotation.
LEAVE_ROTATION_PART = 0.4
# Part of a stop that is kept for closing connections once requests are refused.
DRAIN_MS = 1_900
# How long appends under way may take by then. The store answers in 4 ms, and in
# 240 ms at its slowest.
LAST_APPEND_MS = 500
# A host that has not reached the store for this long can't accept requests.
MAX_READY_VIEW_AGE_MS = 1_500
# Ended jobs are retained this many times the period for which callers can
# query them, because their end is seen with a delay and clocks differ.
RETENTION_FACTOR = 1.5
THREAD_STACK_BYTES = 256 * 1024
INVALID_SETTINGS_EXIT_CODE = 2

_logger = logbook.Logger(__name__)


def run(signals: process_signals.ProcessSignals) -> int:
    """Runs a host until it is signalled to stop; returns its exit code."""
    if signals.is_stop_requested:
        return 0
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        text = pathlib.Path(path).read_bytes()
        settings = wire.decode(wire.Settings, text)
    except (OSError, wire.BadMessageError) as error:
        print(
            f"comfreylatch: can't read the settings file {path!r} set by "
            f"{SETTINGS_VARIABLE}: {error}",
            file=sys.stderr,
        )
        return INVALID_SETTINGS_EXIT_CODE
    threading.stack_size(THREAD_STACK_BYTES)
    with json_logs.JsonLogOutput("info"):
        _serve(settings, signals)
    return 0


def _log_settings_change() -> None:
    """Logs a change of the settings file, which takes effect on restart."""
    logs.event(_logger, "settings-changed", in_force="at the next start")


def _serve(
    settings: wire.Settings, signals: process_signals.ProcessSignals
) -> None:
    """Serves until signalled to stop, then shuts down gracefully."""
    clock = clock_port.SystemClock()
    grace_ms = int(settings.bounds.grace_s * 1_000)
    stopping.start_guard(signals, clock, grace_ms)
    with _Host(settings, signals) as host:
        logs.event(_logger, "started", host=settings.name)
        deadline = stopping.StopDeadline(
            clock, signals.wait_for_stop(_log_settings_change), grace_ms
        )
        logs.event(
            _logger,
            "stopping",
            host=settings.name,
            elapsed_ms=deadline.elapsed_ms,
        )
        host.stop(deadline)
    logs.event(
        _logger,
        "stopped",
        host=settings.name,
        elapsed_ms=deadline.elapsed_ms,
    )


@final
class _Host:
    """Composition root: creates, connects and owns a host's components."""

    def __init__(
        self,
        settings: wire.Settings,
        signals: process_signals.ProcessSignals,
    ) -> None:
        self._settings = settings
        self._signals = signals
        self._was_ready = False
        self._stack = contextlib.ExitStack()
        self._clock = clock_port.SystemClock()
        self._metrics = metrics_module.Metrics()
        self._store = store.StoreClient(settings.store.address)
        self._store_limits = limits.StoreLimits(
            int(settings.store.record_bytes), int(settings.store.append_bytes)
        )
        self._configuration = views.ConfigurationView()
        self._waves = views.WavesView()
        self._evacuations = views.EvacuationsView()
        self._operator_reader = self._make_reader(
            configuration.TOPIC,
            self._apply_operator_records,
            CONFIGURATION_READ_WAIT_MS,
        )
        self._replica = job_replica.JobReplica(self._clock)
        self._jobs_reader = self._make_reader(
            records.JOBS_TOPIC, self._replica.apply
        )
        self._appender = job_api_module.BatchAppender(
            self._store, CELL, self._clock
        )
        self._ownership = self._make_ownership()
        self._callers = self._make_caller_server()
        self._placement_page = placement_page.PlacementPage(
            lambda: self._configuration.current,
            self._ownership.explain_placement,
            lambda: self._replica.last_heartbeat,
            self._clock,
        )
        self._readiness = http_server.HttpServer(
            settings.listen.readiness,
            self._handle_readiness,
            READINESS_THREADS,
            MAX_BODY_BYTES,
        )

    def __enter__(self) -> Self:
        enter = self._stack.enter_context
        enter(self._store)
        enter(self._operator_reader)
        enter(self._jobs_reader)
        enter(self._appender)
        self._ownership.start()
        enter(self._callers)
        # Last: whoever reads that this host is ready connects at once.
        enter(self._readiness)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._stack.__exit__(exc_type, exc, traceback)

    def _apply_operator_records(
        self, batch: tuple[store_port.StoredRecord, ...], is_complete: bool
    ) -> None:
        self._configuration.apply(batch, is_complete)
        self._waves.apply(batch, is_complete)
        self._evacuations.apply(batch, is_complete)

    def _make_reader(
        self,
        topic: str,
        apply: partition_reader_module.ApplyRecords,
        wait_ms: int = partition_reader_module.READ_WAIT_MS,
    ) -> partition_reader_module.PartitionReader:
        return partition_reader_module.PartitionReader(
            self._store, topic, CELL, apply, self._clock, wait_ms
        )

    def _make_ownership(self) -> ownership_module.Ownership:
        settings = self._settings
        host = claiming.HostIdentity(
            name=settings.name,
            boot=uuid.uuid4().hex,
            zone=settings.zone,
            cpu_cores=settings.limits.cpu_share * settings.limits.cores,
            caller_address=settings.listen.callers,
        )
        logs.event(_logger, "starting", host=host.name, boot=host.boot)
        retention_s = settings.bounds.status_s * RETENTION_FACTOR
        advice_service = None
        if settings.advice_address:
            advice_service = self._stack.enter_context(
                advice.AdviceClient(settings.advice_address)
            )
        machine_client = None
        if settings.machine_api is not None and settings.machine_api.address:
            machine_client = self._stack.enter_context(
                machines.MachineClient(
                    settings.machine_api.address, self._store
                )
            )
        return ownership_module.Ownership(
            owner_dependencies.OwnerDependencies(
                cell=CELL,
                store=self._store,
                replica=self._replica,
                jobs_reader=self._jobs_reader,
                connect=workers.WorkerClient,
                follow_workers=lambda on_change: self._make_reader(
                    WORKERS_TOPIC, views.WorkersView(on_change).apply
                ),
                lease_ms=min(LEASE_MS, int(settings.bounds.lease_ms)),
                max_lease_ms=int(settings.bounds.lease_ms),
                keep_ended_ms=int(retention_s * 1_000),
                metrics=self._metrics,
                clock=self._clock,
                advice_service=advice_service,
                machines=machine_client,
                waves=self._waves.current,
                evacuations=evacuations.EvacuationFeed(
                    self._evacuations.current,
                    lambda: self._operator_reader.age_ms,
                    int(settings.bounds.evacuation_ms),
                ),
                guards_capacity=self._guards_capacity,
                configured_services=lambda: self._configuration.services,
                store_limits=self._store_limits,
                max_workers=worker_limit.max_workers(
                    settings.limits.cpu_share * settings.limits.cores,
                    int(settings.limits.descriptors),
                ),
                remote_penalty=settings.bounds.remote_penalty,
                handover_ms=int(settings.bounds.handover_ms),
                max_disruption_ms=int(settings.bounds.disruption_ms),
            ),
            host,
        )

    def _guards_capacity(self, service: str) -> bool:
        """Whether a service's workers are known to guard their capacity."""
        current = self._configuration.current
        return current is not None and current.guards_capacity(service)

    def _make_caller_server(self) -> http_server.HttpServer:
        job_api = job_api_module.JobApi(
            self._replica,
            self._jobs_reader,
            self._appender,
            self._metrics,
            self._clock,
        )
        handler = caller_handler.CallerHandler(
            lambda: self._configuration.current,
            job_api,
            forwarder.Forwarder(
                self._settings.name,
                lambda: self._replica.last_heartbeat,
                self._metrics,
                self._clock,
            ),
            self._metrics,
            self._clock,
            self._store_limits.value_bytes,
        )
        return http_server.HttpServer(
            self._settings.listen.callers,
            handler.handle,
            CALLER_THREADS,
            MAX_BODY_BYTES,
            on_refusal=lambda: self._metrics.count(
                metrics_module.Counter.REFUSALS, reasons.Refusal.STOPPING
            ),
        )

    def _is_ready(self) -> bool:
        """Whether the load balancer should send callers to this host."""
        return (
            not self._signals.is_stop_requested
            and self._configuration.current is not None
            and self._jobs_reader.age_ms < MAX_READY_VIEW_AGE_MS
        )

    def _handle_readiness(self, request: http.HttpRequest) -> http.HttpReply:
        if request.path == placement_page.PATH:
            return self._placement_page.handle(request)
        if request.path == METRICS_PATH:
            text = metrics_text.render(self._metrics.page())
            return http.HttpReply(200, text.encode())
        if not self._is_ready():
            return http.HttpReply(503)
        self._was_ready = True
        return http.HttpReply(200)

    def stop(self, deadline: stopping.StopDeadline) -> None:
        """Releases the cell, leaves the rotation and drains requests.

        Requests are answered as usual until callers have gone elsewhere, or
        for as long as the grace time allows.
        """
        phases = stopping.StopPhases(deadline)
        refusals = metrics_module.Counter.REFUSALS
        refused_before = self._metrics.by_label(refusals)
        self._callers.close_after_replies()
        release = phases.start(
            "release-cell",
            lambda: self._ownership.stop(deadline.remaining_ms()),
        )
        phases.run("leave-rotation", lambda: self._leave_rotation(deadline))
        phases.run(
            "answer-callers",
            lambda: self._callers.wait_until_quiet(
                deadline.remaining_ms(DRAIN_MS)
            ),
        )
        appends = phases.start(
            "end-submissions", lambda: self._appender.stop(LAST_APPEND_MS)
        )
        readiness = phases.start(
            "drain-readiness",
            lambda: self._readiness.drain(deadline.remaining_ms()),
        )
        phases.run(
            "drain-callers",
            lambda: self._callers.drain(deadline.remaining_ms()),
        )
        for thread in (release, appends, readiness):
            thread.join(deadline.remaining_ms() / 1_000)
        logs.event(
            _logger,
            "stop-requests",
            refusals=self._metrics.by_label(refusals) - refused_before,
            unanswered=self._callers.open_requests,
        )

    def _leave_rotation(self, deadline: stopping.StopDeadline) -> None:
        """Waits until the load balancer sends no more callers here."""
        if not self._was_ready:
            return
        longest_ms = int(deadline.grace_ms * LEAVE_ROTATION_PART)
        wait_ms = min(LEAVE_ROTATION_MS, longest_ms) - deadline.elapsed_ms
        time.sleep(max(wait_ms, 0) / 1_000)

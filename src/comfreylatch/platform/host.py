"""Composes and runs a host of the system on the users' platform."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import os
import pathlib
import signal
import sys
import threading
import time
from typing import final
import uuid

import logbook

from comfreylatch._connection import http
from comfreylatch._connection import http_server
from comfreylatch._ports import cell_workers
from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import store as store_port
from comfreylatch._process import json_logs
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import metrics_text
from comfreylatch._process.cell import claiming
from comfreylatch._process.cell import intake as intake_module
from comfreylatch._process.cell import job_book
from comfreylatch._process.cell import records
from comfreylatch._process.cell import specs
from comfreylatch._process.cell import tail as tail_module
from comfreylatch._process.cell import tenure as tenure_module
from comfreylatch._process.cell import tenure_parts
from comfreylatch.platform import callers
from comfreylatch.platform import configuration
from comfreylatch.platform import store
from comfreylatch.platform import wire
from comfreylatch.platform import workers

SETTINGS_VARIABLE = "COMFREYLATCH_CONFIG"
CELL = 0
WORKERS_TOPIC = "servers"
MAX_BODY_BYTES = 1 << 20
CALLER_THREADS = 6
# Beside the readiness page, on the address that callers do not use.
METRICS_PATH = "/metrics"
READINESS_THREADS = 1
# A connection that went silent is noticed after this and a call's timeout; the
# configuration has to be in force two seconds after it was confirmed.
CONFIGURATION_WAIT_MS = 1_000
# Leases at workers: long enough to outlive a takeover, short enough that the
# tasks of a dead worker are soon run elsewhere.
LEASE_MS = 4_500
# The balancer asks each second and gives up after two misses.
LEAVE_ROTATION_MS = 2_200
# Requests are answered in far less; the rest of the grace period is spare.
DRAIN_MS = 1_500
RELEASE_MS = 1_500
# A host that has not reached the store for this long can accept nothing.
OLDEST_READY_VIEW_MS = 1_500
THREAD_STACK_BYTES = 256 * 1024
FAULTY_SETTINGS_EXIT_CODE = 2

_logger = logbook.Logger(__name__)


@final
class ConfigurationView:
    """The newest configuration; versions never fall within a life."""

    def __init__(self) -> None:
        self.current: specs.FleetConfiguration | None = None

    def apply(
        self, batch: tuple[store_port.StoredRecord, ...], is_whole: bool
    ) -> None:
        """Takes in records of the operators' topic."""
        del is_whole  # A version that is gone was replaced by a higher one.
        for record in batch:
            if record.key != configuration.CONFIGURATION_KEY:
                continue
            if record.value is None:
                continue
            try:
                found = configuration.decode_configuration(record.value)
            except wire.BadMessageError as error:
                logs.warning(
                    _logger,
                    "bad-configuration",
                    offset=record.offset,
                    detail=str(error),
                )
                continue
            current = self.current
            if current is None or found.version > current.version:
                self.current = found
                logs.event(
                    _logger,
                    "configured",
                    version=found.version,
                    queues=len(found.queues),
                    offset=record.offset,
                )


@final
class WorkersView:
    """The listed workers, told whole at each change."""

    def __init__(
        self,
        tell: Callable[[dict[str, cell_workers.WorkerEntry]], None],
    ) -> None:
        self._tell = tell
        self._entries: dict[str, cell_workers.WorkerEntry] = {}

    def apply(
        self, batch: tuple[store_port.StoredRecord, ...], is_whole: bool
    ) -> None:
        """Takes in records of the executors' topic."""
        before = dict(self._entries)
        if is_whole:
            self._entries = {}
        for record in batch:
            entry = None
            if record.value is not None:
                entry = self._decode(record.key, record.value)
            if entry is None:
                self._entries.pop(record.key, None)
            else:
                self._entries[record.key] = entry
        if self._entries != before or is_whole:
            self._tell(dict(self._entries))

    def _decode(
        self, key: str, value: bytes
    ) -> cell_workers.WorkerEntry | None:
        try:
            return workers.decode_worker(key, value, None)
        except wire.BadMessageError as error:
            logs.warning(
                _logger, "bad-worker-entry", worker=key, detail=str(error)
            )
            return None


def run() -> int:
    """Runs a host until it is told to stop; returns its exit code."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        text = pathlib.Path(path).read_bytes()
        settings = wire.decode(wire.Settings, text)
    except (OSError, wire.BadMessageError) as error:
        print(
            f"comfreylatch: can't read the settings file {path!r} that "
            f"{SETTINGS_VARIABLE} names: {error}",
            file=sys.stderr,
        )
        return FAULTY_SETTINGS_EXIT_CODE
    threading.stack_size(THREAD_STACK_BYTES)
    with json_logs.JsonLogOutput("info"):
        _serve(settings)
    return 0


def _note_reload() -> None:
    """Logs that settings may have changed; all in use are for a whole life."""
    logs.event(_logger, "reloaded", changed=False)


def _serve(settings: wire.Settings) -> None:
    clock = clock_port.SystemClock()
    metrics = metrics_module.Metrics()
    stopping = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopping.set())
    signal.signal(signal.SIGHUP, lambda *_: _note_reload())
    host = claiming.HostIdentity(
        name=settings.name,
        boot=uuid.uuid4().hex,
        zone=settings.zone,
        core_share=settings.limits.cpu_share * settings.limits.cores,
    )
    logs.event(_logger, "starting", host=host.name, boot=host.boot)
    with contextlib.ExitStack() as stack:
        client = stack.enter_context(store.StoreClient(settings.store.address))
        configured = ConfigurationView()
        stack.enter_context(
            tail_module.Tail(
                client,
                configuration.TOPIC,
                0,
                configured.apply,
                clock,
                CONFIGURATION_WAIT_MS,
            )
        )
        book = job_book.JobBook(clock)
        jobs_tail = stack.enter_context(
            tail_module.Tail(
                client, records.JOBS_TOPIC, CELL, book.apply, clock
            )
        )
        keeper = stack.enter_context(
            intake_module.RecordKeeper(client, CELL, clock)
        )
        intake = intake_module.Intake(book, jobs_tail, keeper, metrics, clock)

        def follow_workers(
            tell: Callable[[dict[str, cell_workers.WorkerEntry]], None],
        ) -> tail_module.Tail:
            view = WorkersView(tell)
            return tail_module.Tail(client, WORKERS_TOPIC, 0, view.apply, clock)

        tenure = tenure_module.Tenure(
            tenure_parts.TenureParts(
                cell=CELL,
                store=client,
                book=book,
                jobs_tail=jobs_tail,
                connect=workers.WorkerClient,
                follow_workers=follow_workers,
                lease_ms=min(LEASE_MS, int(settings.bounds.lease_ms)),
                metrics=metrics,
                clock=clock,
            ),
            host,
        )
        tenure.start()

        def is_ready() -> bool:
            return (
                not stopping.is_set()
                and configured.current is not None
                and jobs_tail.age_ms < OLDEST_READY_VIEW_MS
            )

        def readiness(request: http.HttpRequest) -> http.HttpReply:
            if request.path == METRICS_PATH:
                text = metrics_text.render(metrics.page())
                return http.HttpReply(200, text.encode())
            return http.HttpReply(200 if is_ready() else 503)

        stack.enter_context(
            http_server.HttpServer(
                settings.listen.readiness,
                readiness,
                READINESS_THREADS,
                MAX_BODY_BYTES,
            )
        )
        pages = callers.CallerPages(
            lambda: configured.current, intake, metrics, clock
        )
        served = stack.enter_context(
            http_server.HttpServer(
                settings.listen.callers,
                pages.handle,
                CALLER_THREADS,
                MAX_BODY_BYTES,
            )
        )
        logs.event(_logger, "started", host=host.name)
        stopping.wait()
        logs.event(_logger, "stopping", host=host.name)
        served.close_after_replies()
        tenure.stop(RELEASE_MS)
        time.sleep(LEAVE_ROTATION_MS / 1_000)
        served.drain(DRAIN_MS)
        logs.event(_logger, "stopped", host=host.name)

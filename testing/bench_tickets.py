"""Measures tickets on one host with an in-memory log; see `--help`.

Prints JSON lines: submission latency, records per append, and the cost of
folds and snapshots at the design size.
"""

from __future__ import annotations

import contextlib
import random
import threading
import time
import tracemalloc
from typing import Annotated
from typing import Any

import attrs
import msgspec
import typer

from comfreylatch._connection import http
from comfreylatch._ports import clock
from comfreylatch._process import appender
from comfreylatch._process import follower
from comfreylatch._process import journal
from comfreylatch._process import metrics
from comfreylatch._process import ticket_handler
from comfreylatch._version import configuration_fold
from comfreylatch._version import records
from comfreylatch._version import snapshots
from comfreylatch._version import tickets
from comfreylatch._version import writers
from testing.fakes import log as fake_log
from testing.fakes import peers as fake_peers
from testing.fakes import tickets as samples

CHANGES_PER_TICKET = 500
ENVELOPE = records.Envelope("writer", 1, "ticket", msgspec.Raw(b"{}"))


@attrs.frozen
class SubmitLine:
    """Latency of ticket submissions, in microseconds, and their batching."""

    callers: int
    append_ms: float
    min_append_interval_ms: int
    tickets: int
    accepted: int
    p50_us: int
    p99_us: int
    appends: int
    records_per_append: float


@attrs.frozen
class FoldLine:
    """Cost of folds and snapshots at a number of endpoints."""

    endpoints: int
    fold_us: int
    snapshot_ms: float
    restore_ms: float
    snapshot_bytes: int
    chunks: int


def measure_submit(
    callers: int,
    tickets_per_caller: int,
    append_ms: float,
    min_append_interval_ms: int,
) -> SubmitLine:
    """Submits tickets from several threads, each for its own zone."""
    log = fake_log.FakeLog()
    log.append_s = append_ms / 1_000
    system_clock = clock.SystemClock()
    counters = metrics.Metrics()
    fold = configuration_fold.ConfigurationFold()
    writer = appender.StreamAppender(
        log,
        "config",
        "host",
        counters,
        system_clock,
        min_append_interval_ms=min_append_interval_ms,
    )
    reader = follower.StreamFollower(
        log, "config", fold, counters, system_clock, after_apply=writer.observe
    )
    handler = ticket_handler.TicketHandler(
        writer,
        fold,
        reader,
        fake_peers.FakePeers(),
        journal.Journal("host", system_clock),
        counters,
        system_clock,
        "seat",
    )
    elapsed_us: list[int] = []
    statuses: list[int] = []

    def submit(caller: int) -> None:
        for index in range(tickets_per_caller):
            number = caller * tickets_per_caller + index + 1
            change = samples.zone(f"zone-{caller}", index)
            body = msgspec.json.encode(samples.ticket(number, change))
            request = http.HttpRequest("POST", "/tickets", {}, {}, body)
            started_ns = time.perf_counter_ns()
            statuses.append(handler.submit(request).status)
            elapsed_us.append((time.perf_counter_ns() - started_ns) // 1_000)

    with contextlib.ExitStack() as running:
        running.enter_context(writer)
        running.enter_context(reader)
        # The first read of an empty log blocks for its full wait time.
        while not reader.ready:
            time.sleep(0.01)
        threads = [
            threading.Thread(target=submit, args=(caller,))
            for caller in range(callers)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    elapsed_us.sort()
    record_count = len(log.payloads("config"))
    return SubmitLine(
        callers=callers,
        append_ms=append_ms,
        min_append_interval_ms=min_append_interval_ms,
        tickets=len(statuses),
        accepted=statuses.count(200),
        p50_us=elapsed_us[len(elapsed_us) // 2],
        p99_us=elapsed_us[len(elapsed_us) * 99 // 100],
        appends=log.appends["config"],
        records_per_append=round(record_count / log.appends["config"], 2),
    )


def measure_fold(endpoints: int, ticket_count: int, seed: int) -> FoldLine:
    """Folds tickets of one change into a configuration of many endpoints."""
    fold = configuration_fold.ConfigurationFold()
    _add_endpoints(fold, endpoints)
    rng = random.Random(seed)
    versions = [1] * endpoints
    values: list[dict[str, Any]] = []
    for number in range(ticket_count):
        endpoint = rng.randrange(endpoints)
        change = _endpoint(endpoint, versions[endpoint])
        versions[endpoint] += 1
        values.append(samples.ticket(10_000 + number, change))
    started_ns = time.perf_counter_ns()
    for index, value in enumerate(values):
        fold.apply(10_000 + index, ENVELOPE, tickets.TicketRecord(value))
    fold_us = (time.perf_counter_ns() - started_ns) // 1_000 // ticket_count
    started_ns = time.perf_counter_ns()
    snapshot = snapshots.StreamSnapshot(
        "config",
        10_000 + ticket_count,
        fold.digest(),
        writers.WriterTable().positions(),
        fold.snapshot(),
    )
    chunks = snapshots.split(snapshot)
    snapshot_ms = (time.perf_counter_ns() - started_ns) / 1e6
    started_ns = time.perf_counter_ns()
    restored = configuration_fold.ConfigurationFold()
    restored.restore(snapshot.offset, snapshots.join(chunks).unwrap().fold)
    restore_ms = (time.perf_counter_ns() - started_ns) / 1e6
    assert restored.digest() == fold.digest()
    return FoldLine(
        endpoints=endpoints,
        fold_us=fold_us,
        snapshot_ms=round(snapshot_ms, 1),
        restore_ms=round(restore_ms, 1),
        snapshot_bytes=len(snapshots.encode(snapshot)),
        chunks=len(chunks),
    )


@attrs.frozen
class MemoryLine:
    """Memory of the fold's state in KiB, as `tracemalloc` counts it."""

    endpoints: int
    tickets: int
    objects_kib: int
    tickets_kib: int


def measure_memory(endpoints: int, ticket_count: int) -> MemoryLine:
    """Folds endpoints, then `ticket_count` tickets of one change each."""
    tracemalloc.start()
    fold = configuration_fold.ConfigurationFold()
    _add_endpoints(fold, endpoints)
    with_objects = tracemalloc.get_traced_memory()[0]
    for number in range(ticket_count):
        index = number % endpoints
        change = _endpoint(index, 1 + number // endpoints)
        value = samples.ticket(10_000 + number, change)
        value["reason"] = f"move executor {index} to another address"
        record = records.encode("w", number + 1, tickets.TicketRecord(value))
        envelope, body = records.decode(record).unwrap()
        fold.apply(10_000 + number, envelope, body)
    with_tickets = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return MemoryLine(
        endpoints=endpoints,
        tickets=len(fold.tickets()),
        objects_kib=with_objects // 1_024,
        tickets_kib=(with_tickets - with_objects) // 1_024,
    )


def _endpoint(index: int, replaces: int) -> dict[str, Any]:
    return samples.endpoint(f"ex-{index}", "skyproc", "bole", replaces)


def _add_endpoints(
    fold: configuration_fold.ConfigurationFold, endpoints: int
) -> None:
    first = samples.ticket(1, samples.service("skyproc"), samples.zone("bole"))
    fold.apply(0, ENVELOPE, tickets.TicketRecord(first))
    for start in range(0, endpoints, CHANGES_PER_TICKET):
        end = min(start + CHANGES_PER_TICKET, endpoints)
        changes = [_endpoint(index, 0) for index in range(start, end)]
        value = samples.ticket(2 + start, *changes)
        fold.apply(1 + start, ENVELOPE, tickets.TicketRecord(value))


def run(
    seed: Annotated[int, typer.Option(help="Seed of the choices.")] = 1,
) -> None:
    """Prints a JSON line for each measurement."""
    lines = [
        measure_submit(1, 100, 0.0, appender.DEFAULT_MIN_APPEND_INTERVAL_MS),
        measure_submit(1, 100, 5.0, appender.DEFAULT_MIN_APPEND_INTERVAL_MS),
        measure_submit(32, 20, 5.0, appender.DEFAULT_MIN_APPEND_INTERVAL_MS),
        measure_submit(32, 20, 5.0, 0),
        measure_submit(1, 300, 0.0, 0),
    ]
    lines += [measure_fold(size, 300, seed) for size in (240, 2_600)]
    lines += [
        measure_memory(size, configuration_fold.MAX_TICKETS)
        for size in (240, 2_600)
    ]
    for line in lines:
        typer.echo(msgspec.json.encode(line).decode())


if __name__ == "__main__":
    typer.run(run)

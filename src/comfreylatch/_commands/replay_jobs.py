"""Submits and cancels the jobs of a trace and polls their state."""

from __future__ import annotations

from collections.abc import Sequence
from concurrent import futures
import contextlib
import threading
import time
from typing import Any
from typing import final
from typing import Self
from urllib import parse

import attrs
import msgspec
import result

from comfreylatch._commands import client as clients
from comfreylatch._commands import trace as traces
from comfreylatch._connection import address as addresses
from comfreylatch._process import reasons

CALL_TIMEOUT_MS = 10_000
POLL_INTERVAL_S = 0.5
CALL_THREADS = 8
FINAL_PHASES = ("finished", "cancelled", "parked", "ended")


@attrs.define
class JobSample:
    """State of one job, updated during the replay.

    Attributes:
        due_ms: When the job was due, from the start of the replay.
        submitted: `accepted`, `unknown`, `unreachable` or the reason of the
            refusal.
        phase: Last observed phase.
        started_ms: When an attempt was first observed, from the start of the
            replay; 0 if never. Jobs are polled every `POLL_INTERVAL_S`.
        ended_ms: When a final phase was first observed; 0 if never.
        cancelled: Whether the trace cancelled the job.
    """

    id: str
    zone: str
    due_ms: float
    run_time_ms: int
    processors_milli: int
    urgent: bool
    submitted: str = ""
    phase: str = ""
    started_ms: float = 0.0
    ended_ms: float = 0.0
    cancelled: bool = False
    evictions: int = 0
    losses: int = 0


@final
class JobReplay:
    """Replays the jobs of a trace against operator addresses.

    Args:
        trace: The trace; its requests are ignored.
        hosts: Operator addresses; jobs of a zone are submitted to the first
            host that accepts them.
        run: Prefix of job ids, unique per replay.
        speed: Ratio of trace time to real time; run times of jobs are not
            scaled.
    """

    def __init__(
        self,
        trace: traces.Trace,
        hosts: Sequence[addresses.Address],
        run: str,
        speed: float,
    ) -> None:
        self._lines = [
            line
            for line in trace.lines
            if not isinstance(line, traces.TracedRequest)
        ]
        self._stack = contextlib.ExitStack()
        self._clients = [
            self._stack.enter_context(clients.Client([host], CALL_TIMEOUT_MS))
            for host in hosts
        ]
        self._run = run
        self._speed = speed
        self._started_s = 0.0
        # Keyed by the id of the job within the trace, without the prefix.
        self._samples: dict[str, JobSample] = {}
        self._client_by_zone: dict[str, clients.Client] = {}
        # Ids within the trace of accepted jobs that have not ended.
        self._pending: set[str] = set()
        self._lock = threading.Lock()
        self._closing = threading.Event()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exception: object) -> None:
        self._stack.close()

    def play(self, started_s: float, settle_ms: int) -> list[JobSample]:
        """Replays all jobs, then waits up to `settle_ms` for them to end."""
        self._started_s = started_s
        poller = threading.Thread(target=self._poll, daemon=True)
        poller.start()
        with futures.ThreadPoolExecutor(CALL_THREADS) as pool:
            for line in self._lines:
                remaining_ms = line.at_ms / self._speed - self._now_ms()
                time.sleep(max(remaining_ms, 0.0) / 1_000)
                if isinstance(line, traces.TracedJob):
                    pool.submit(self._submit, self._add(line), line)
                else:
                    pool.submit(self._cancel, line)
        self._wait_until_settled(settle_ms)
        self._closing.set()
        poller.join()
        return list(self._samples.values())

    def _now_ms(self) -> float:
        return (time.monotonic() - self._started_s) * 1_000

    def _poll(self) -> None:
        """Polls the state of every job that has not ended."""
        with futures.ThreadPoolExecutor(CALL_THREADS) as pool:
            while not self._closing.wait(POLL_INTERVAL_S):
                with self._lock:
                    pending = sorted(self._pending)
                list(pool.map(self._refresh, pending))

    def _wait_until_settled(self, settle_ms: int) -> None:
        until_ms = self._now_ms() + settle_ms
        while self._pending and self._now_ms() < until_ms:
            time.sleep(POLL_INTERVAL_S)

    def _add(self, line: traces.TracedJob) -> JobSample:
        sample = JobSample(
            id=f"{self._run}-{line.job.id}",
            zone=line.job.zone,
            due_ms=line.at_ms / self._speed,
            run_time_ms=line.job.run_time_ms,
            processors_milli=line.job.resources.processors_milli,
            urgent=line.job.urgent,
        )
        self._samples[line.job.id] = sample
        return sample

    def _order_clients(self, zone: str) -> list[clients.Client]:
        """Returns all clients, first the one last used for the zone."""
        preferred = self._client_by_zone.get(zone)
        if preferred is None:
            return self._clients
        return [
            preferred,
            *(client for client in self._clients if client is not preferred),
        ]

    def _submit(self, sample: JobSample, line: traces.TracedJob) -> None:
        document = attrs.evolve(line.job, id=sample.id)
        body = msgspec.json.encode(document)
        answered: Any = None
        for client in self._order_clients(document.zone):
            answered = client.change("POST", "/jobs", body)
            if not _should_try_next_host(answered):
                self._client_by_zone[document.zone] = client
                break
        match answered:
            case result.Ok(reply) if reply.status == 200:
                sample.submitted = "accepted"
                with self._lock:
                    self._pending.add(line.job.id)
            case result.Ok(reply) if reply.status == 504:
                sample.submitted = "unknown"
            case result.Ok(reply):
                sample.submitted = reply.headers.get("x-reason", "refused")
            case result.Err(clients.AnswerLost()):
                sample.submitted = "unknown"
            case _:
                sample.submitted = "unreachable"

    def _cancel(self, line: traces.TracedCancellation) -> None:
        sample = self._samples.get(line.job)
        if sample is None:
            return
        sample.cancelled = True
        path = "/jobs/" + parse.quote(sample.id, safe="")
        for client in self._order_clients(sample.zone):
            answer = client.change("DELETE", path)
            if answer.is_ok() and answer.ok_value.status == 200:
                return

    def _refresh(self, traced_id: str) -> None:
        sample = self._samples[traced_id]
        path = "/jobs/" + parse.quote(sample.id, safe="")
        for client in self._order_clients(sample.zone):
            answer = client.read(path)
            if answer.is_ok() and answer.ok_value.status == 200:
                self._update_sample(traced_id, sample, answer.ok_value.value)
                return

    def _update_sample(
        self, traced_id: str, sample: JobSample, page: dict[str, Any]
    ) -> None:
        sample.phase = str(page.get("phase", ""))
        sample.evictions = int(page.get("evictions", sample.evictions))
        sample.losses = int(page.get("losses", sample.losses))
        if int(page.get("attempt", 0)) > 0 and not sample.started_ms:
            sample.started_ms = self._now_ms()
        if sample.phase in FINAL_PHASES:
            sample.ended_ms = self._now_ms()
            with self._lock:
                self._pending.discard(traced_id)


def _should_try_next_host(
    answer: result.Result[clients.Reply, clients.CallError],
) -> bool:
    """Whether to submit the job to the next host."""
    match answer:
        case result.Ok(reply):
            reason = reply.headers.get("x-reason", "")
            return reason == reasons.RefusalReason.UNKNOWN_ZONE
        case result.Err(clients.NoHostReached()):
            return True
        case _:
            return False

"""Trace files: requests and jobs with the times at which they came.

A trace is a file of JSON lines. The first is a header; every further line is
a request, a job or a cancellation, in rising order of `at_ms`.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import attrs
import msgspec
import result

from comfreylatch._commands import job
from comfreylatch._version import schema

FORMAT = 1


@attrs.frozen
class StatedOutcomes:
    """Limits that a replay shall keep; None is no limit.

    Attributes:
        answered_percent_min: Of all requests sent.
        p50_ms_max: Of answered requests, from the time they were due.
        p99_ms_max: The same at the 99th percentile.
        p999_ms_max: The same at the 99.9th percentile.
        unknown_percent_max: Requests whose outcome nobody knows.
        tries_per_request_max: Tries at endpoints per request sent.
        jobs_finished_percent_min: Of all jobs accepted and not cancelled.
        evictions_max: Evictions of all jobs.
        urgent_start_p99_ms_max: From when an urgent job was due until it was
            first seen to run.
    """

    answered_percent_min: float | None = None
    p50_ms_max: float | None = None
    p99_ms_max: float | None = None
    p999_ms_max: float | None = None
    unknown_percent_max: float | None = None
    tries_per_request_max: float | None = None
    jobs_finished_percent_min: float | None = None
    evictions_max: int | None = None
    urgent_start_p99_ms_max: float | None = None


@attrs.frozen
class Header:
    """The first line of a trace.

    Attributes:
        format: Version of the format.
        name: What was recorded.
        seed: Seed it was generated from; bodies are drawn from it too.
        duration_ms: Length of the trace.
        outcomes: What a replay shall achieve.
    """

    format: int
    name: str
    seed: int
    duration_ms: int
    outcomes: StatedOutcomes = StatedOutcomes()


@attrs.frozen
class TracedRequest:
    """A request of a caller.

    Attributes:
        at_ms: When it was sent, from the start of the trace.
        work_ms: Work it asks of an endpoint, sent as `X-Work-Ms`; -1 for
            none.
        zone: Availability zone of the caller; empty for any.
    """

    at_ms: float
    service: str
    caller: str = ""
    zone: str = ""
    path: str = "/"
    idempotent: bool = False
    timeout_ms: int = 2_000
    body_bytes: int = 0
    work_ms: float = -1.0


@attrs.frozen
class TracedJob:
    """A batch job that was submitted."""

    at_ms: float
    job: job.JobDocument


@attrs.frozen
class TracedCancellation:
    """A job that was cancelled; `job` is the id within the trace."""

    at_ms: float
    job: str


TraceLine = TracedRequest | TracedJob | TracedCancellation


@attrs.frozen
class Trace:
    """A whole trace in memory."""

    header: Header
    lines: tuple[TraceLine, ...]

    @property
    def has_jobs(self) -> bool:
        """Whether it submits batch work."""
        return any(isinstance(line, TracedJob) for line in self.lines)


@attrs.frozen
class BadTrace:
    """The file is no trace; says where and why."""

    line: int
    detail: str


CLASS_BY_KIND: dict[str, type] = {
    "request": TracedRequest,
    "job": TracedJob,
    "cancel": TracedCancellation,
}
_KIND_BY_CLASS = {kind: name for name, kind in CLASS_BY_KIND.items()}


def read(path: str) -> result.Result[Trace, BadTrace]:
    """Reads a trace file."""
    try:
        with open(path, "rb") as stream:
            return decode(stream)
    except OSError as error:
        return result.Err(BadTrace(0, str(error)))


def decode(lines: Iterable[bytes]) -> result.Result[Trace, BadTrace]:
    """Decodes the lines of a trace; blank ones are skipped."""
    header: Header | None = None
    found: list[TraceLine] = []
    for number, text in enumerate(lines, start=1):
        if not text.strip():
            continue
        try:
            if header is None:
                header = _decode_header(text)
                continue
            found.append(_decode_line(text, found[-1].at_ms if found else 0.0))
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            return result.Err(BadTrace(number, str(error)))
    if header is None:
        return result.Err(BadTrace(1, "the file is empty"))
    return result.Ok(Trace(header, tuple(found)))


def encode(trace: Trace) -> bytes:
    """The trace as the lines of a file."""
    encoder = msgspec.json.Encoder()
    texts = [encoder.encode(trace.header)]
    for line in trace.lines:
        kind = _KIND_BY_CLASS[type(line)]
        texts.append(
            encoder.encode({"kind": kind, **msgspec.to_builtins(line)})
        )
    return b"\n".join(texts) + b"\n"


def _decode_header(text: bytes) -> Header:
    header = msgspec.json.decode(text, type=Header)
    if header.format != FORMAT:
        raise ValueError(
            f"format {header.format} is not known; this version reads {FORMAT}"
        )
    return header


def _decode_line(text: bytes, earliest_ms: float) -> TraceLine:
    value: Any = msgspec.json.decode(text)
    if not isinstance(value, dict):
        raise ValueError("expected an object")
    kind = value.pop("kind", None)
    if kind not in CLASS_BY_KIND:
        known = ", ".join(CLASS_BY_KIND)
        raise ValueError(f"kind {kind!r} is not one of {known}")
    problems = schema.check(value, CLASS_BY_KIND[kind], "")
    if problems:
        raise ValueError("; ".join(map(str, problems)))
    line: TraceLine = msgspec.convert(value, CLASS_BY_KIND[kind])
    if line.at_ms < earliest_ms:
        raise ValueError(
            f"at_ms {line.at_ms} is below {earliest_ms} of the line before"
        )
    return line

"""Trace files: requests and jobs with their arrival times.

A trace is a file of JSON lines. The first line is a header; each further line
is a request, a job or a cancellation, in ascending order of `at_ms`.
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
    """Limits that a replay must meet; None means no limit.

    Attributes:
        answered_percent_min: Answered requests, of all requests sent.
        p50_ms_max: Median latency of answered requests, from their due time.
        p99_ms_max: The same at the 99th percentile.
        p999_ms_max: The same at the 99.9th percentile.
        unknown_percent_max: Requests with unknown outcome, of all sent.
        tries_per_request_max: Tries at endpoints per request sent.
        jobs_finished_percent_min: Finished jobs, of all accepted and not
            cancelled.
        evictions_max: Total evictions of all jobs.
        urgent_start_p99_ms_max: 99th percentile of the time from when an
            urgent job was due until it was first observed running.
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
        name: Name of the workload.
        seed: Seed of the trace; request bodies are generated from it too.
        duration_ms: Length of the trace.
        outcomes: Limits that a replay must meet.
    """

    format: int
    name: str
    seed: int
    duration_ms: int
    outcomes: StatedOutcomes = StatedOutcomes()


@attrs.frozen
class TracedRequest:
    """A recorded request.

    Attributes:
        at_ms: When it was sent, from the start of the trace.
        work_ms: Work requested of the endpoint in `X-Work-Ms`; -1 to omit
            the header.
        zone: Availability zone of the caller; empty for any zone.
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
    """A recorded submission of a batch job."""

    at_ms: float
    job: job.JobDocument


@attrs.frozen
class TracedCancellation:
    """A recorded cancellation; `job` is the id within the trace."""

    at_ms: float
    job: str


TraceLine = TracedRequest | TracedJob | TracedCancellation


@attrs.frozen
class Trace:
    """A complete trace in memory."""

    header: Header
    lines: tuple[TraceLine, ...]

    @property
    def has_jobs(self) -> bool:
        """Whether the trace submits jobs."""
        return any(isinstance(line, TracedJob) for line in self.lines)


@attrs.frozen
class BadTrace:
    """An invalid line of a trace file; line 0 is the file itself."""

    line: int
    detail: str


CLASS_BY_KIND: dict[str, type] = {
    "request": TracedRequest,
    "job": TracedJob,
    "cancel": TracedCancellation,
}
_KIND_BY_CLASS = {
    line_class: kind for kind, line_class in CLASS_BY_KIND.items()
}


def read(path: str) -> result.Result[Trace, BadTrace]:
    """Reads a trace file."""
    try:
        with open(path, "rb") as stream:
            return decode(stream)
    except OSError as error:
        return result.Err(BadTrace(0, str(error)))


def decode(lines: Iterable[bytes]) -> result.Result[Trace, BadTrace]:
    """Decodes the lines of a trace; skips blank lines."""
    header: Header | None = None
    decoded: list[TraceLine] = []
    for number, text in enumerate(lines, start=1):
        if not text.strip():
            continue
        try:
            if header is None:
                header = _decode_header(text)
                continue
            decoded.append(
                _decode_line(text, decoded[-1].at_ms if decoded else 0.0)
            )
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            return result.Err(BadTrace(number, str(error)))
    if header is None:
        return result.Err(BadTrace(1, "the file is empty"))
    return result.Ok(Trace(header, tuple(decoded)))


def encode(trace: Trace) -> bytes:
    """Encodes a trace as the content of a file."""
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
            f"format {header.format} is not supported; expected {FORMAT}"
        )
    return header


def _decode_line(text: bytes, earliest_ms: float) -> TraceLine:
    value: Any = msgspec.json.decode(text)
    if not isinstance(value, dict):
        raise ValueError("expected a JSON object")
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
            f"at_ms {line.at_ms} is below {earliest_ms} of the previous line"
        )
    return line

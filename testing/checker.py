"""Checks invariants against the journals of the stand-ins alone.

Each check returns the violations found; an empty list means that it passed.
What entry hosts report is used only where a rule is about it: the answers
that callers received and the jobs that were accepted.
"""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import itertools

import attrs
import msgspec
import xxhash

from testing import client as client_module
from testing.standins import endpoint as endpoint_stand_in
from testing.standins import worker_model
from testing.standins import worker_records

EndpointEvent = endpoint_stand_in.EndpointEvent
WorkerEvent = worker_records.WorkerEvent
ANSWERED = "answered"
NOT_RUN = "not-run"
BUSY = "busy"


@attrs.frozen
class Violation:
    """One violation of a rule.

    Attributes:
        rule: Name of the check.
        subject: Request, job, endpoint or worker concerned.
        detail: Description of the violation.
    """

    rule: str
    subject: str
    detail: str


@attrs.frozen
class SentRequest:
    """One request and the answer that its caller received."""

    request_id: str
    body: bytes
    idempotent: bool
    answer: client_module.Answer


@attrs.frozen
class RunInterval:
    """Interval in which an attempt ran; `end_ms` is infinite while it runs."""

    job: str
    attempt: int
    worker: str
    start_ms: float
    end_ms: float


def check_requests(
    sent: Sequence[SentRequest], events: Sequence[EndpointEvent]
) -> list[Violation]:
    """Runs all checks of requests."""
    return [
        *limits_kept(events),
        *answers_whole(sent),
        *not_run_never_ran(sent, events),
        *ran_at_most_once(sent, events),
    ]


def check_jobs(
    events: Sequence[WorkerEvent], accepted: Collection[str]
) -> list[Violation]:
    """Runs all checks of batch work, once every accepted job has ended."""
    return [
        *capacity_kept(events),
        *never_in_two_places(events),
        *attempts_start_once(events),
        *resumed_from_checkpoint(events),
        *finished_once(events, accepted),
    ]


def limits_kept(events: Iterable[EndpointEvent]) -> list[Violation]:
    """Checks that no endpoint exceeded its request or connection limit."""
    return [
        Violation(
            "limits-kept",
            event.endpoint,
            f"{event.kind}: {event.running} at once ({event.request_id})",
        )
        for event in events
        if event.violation
    ]


def answers_whole(sent: Iterable[SentRequest]) -> list[Violation]:
    """Checks that every answer is complete and belongs to its request."""
    violations = []
    for request in sent:
        if request.answer.outcome == ANSWERED:
            detail = _describe_wrong_answer(request)
            if detail:
                violations.append(
                    Violation("answers-whole", request.request_id, detail)
                )
    return violations


@attrs.frozen
class _EndpointBody:
    request_id: str
    digest: str


def _describe_wrong_answer(request: SentRequest) -> str:
    """Describes what is wrong with an answer; empty if nothing is."""
    try:
        body = msgspec.json.decode(request.answer.body, type=_EndpointBody)
    except msgspec.MsgspecError as error:
        return f"invalid body: {error}"
    if body.request_id != request.request_id:
        return f"body is the answer to request {body.request_id}"
    if body.digest != xxhash.xxh64_hexdigest(request.body):
        return "the endpoint received a different request body"
    if request.answer.request_id != request.request_id:
        return f"X-Request-Id of the answer is {request.answer.request_id!r}"
    return ""


def not_run_never_ran(
    sent: Iterable[SentRequest], events: Iterable[EndpointEvent]
) -> list[Violation]:
    """Checks that no endpoint ran a request reported as not run.

    A request sent several times counts as run if any answer was not `not-run`.
    """
    runs = _runs_by_request(events)
    possibly_ran = {
        request.request_id
        for request in sent
        if request.answer.outcome != NOT_RUN
    }
    return [
        Violation(
            "not-run-never-ran",
            request.request_id,
            f"ran on {runs[request.request_id][0].endpoint}",
        )
        for request in sent
        if request.answer.outcome == NOT_RUN
        and request.request_id not in possibly_ran
        and request.request_id in runs
    ]


def ran_at_most_once(
    sent: Iterable[SentRequest], events: Iterable[EndpointEvent]
) -> list[Violation]:
    """Checks that non-idempotent requests ran at most once, despite retries."""
    runs = _runs_by_request(events)
    request_ids = {
        request.request_id for request in sent if not request.idempotent
    }
    return [
        Violation(
            "ran-at-most-once",
            request_id,
            "ran on " + ", ".join(run.endpoint for run in runs[request_id]),
        )
        for request_id in sorted(request_ids)
        if len(runs.get(request_id, ())) > 1
    ]


def _runs_by_request(
    events: Iterable[EndpointEvent],
) -> dict[str, list[EndpointEvent]]:
    runs: dict[str, list[EndpointEvent]] = collections.defaultdict(list)
    for event in events:
        if event.kind == "request" and event.outcome != BUSY:
            runs[event.request_id].append(event)
    return dict(runs)


def capacity_kept(events: Iterable[WorkerEvent]) -> list[Violation]:
    """Checks that no worker exceeded its capacity in any dimension."""
    return [
        Violation(
            "capacity-kept", event.worker, f"{event.used} after {event.job}"
        )
        for event in events
        if event.kind == "start"
        and not worker_model.fits(event.used, event.capacity)
    ]


def never_in_two_places(events: Iterable[WorkerEvent]) -> list[Violation]:
    """Checks that no two attempts of a job ran at the same time."""
    by_job: dict[str, list[RunInterval]] = collections.defaultdict(list)
    for interval in run_intervals(events):
        by_job[interval.job].append(interval)
    violations = []
    for job, intervals in by_job.items():
        intervals.sort(key=lambda interval: interval.start_ms)
        for earlier, later in itertools.pairwise(intervals):
            if later.start_ms < earlier.end_ms:
                detail = f"{_describe_run(earlier)} and {_describe_run(later)}"
                violations.append(Violation("never-in-two-places", job, detail))
    return violations


def _describe_run(interval: RunInterval) -> str:
    return (
        f"attempt {interval.attempt} on {interval.worker} "
        f"from {interval.start_ms:.0f} to {interval.end_ms:.0f} ms"
    )


def run_intervals(events: Iterable[WorkerEvent]) -> list[RunInterval]:
    """Returns the interval of each attempt; a running one ends at infinity."""
    running: dict[tuple[str, str, int], WorkerEvent] = {}
    intervals = []
    for event in events:
        key = (event.worker, event.job, event.attempt)
        if event.kind == "start":
            running[key] = event
        elif event.kind == "end" and key in running:
            start = running.pop(key)
            intervals.append(_run_interval(start, event.at_ms))
    intervals += [
        _run_interval(start, float("inf")) for start in running.values()
    ]
    return intervals


def _run_interval(start: WorkerEvent, end_ms: float) -> RunInterval:
    return RunInterval(
        start.job, start.attempt, start.worker, start.at_ms, end_ms
    )


def attempts_start_once(events: Iterable[WorkerEvent]) -> list[Violation]:
    """Checks that each attempt of a job was started once."""
    starts = collections.Counter(
        (event.job, event.attempt) for event in events if event.kind == "start"
    )
    return [
        Violation(
            "attempts-start-once", job, f"attempt {attempt}: {count} starts"
        )
        for (job, attempt), count in starts.items()
        if count > 1
    ]


def resumed_from_checkpoint(events: Iterable[WorkerEvent]) -> list[Violation]:
    """Checks that no attempt resumed beyond the job's last checkpoint."""
    checkpoint_ms: dict[str, int] = {}
    violations = []
    for event in events:
        if event.kind == "checkpoint":
            checkpoint_ms[event.job] = max(
                checkpoint_ms.get(event.job, 0), event.progress_ms
            )
        elif event.kind == "start":
            last_ms = checkpoint_ms.get(event.job, 0)
            if event.progress_ms > last_ms:
                detail = f"at {event.progress_ms} ms, checkpoint {last_ms} ms"
                violations.append(
                    Violation("resumed-from-checkpoint", event.job, detail)
                )
    return violations


def finished_once(
    events: Iterable[WorkerEvent], accepted: Collection[str]
) -> list[Violation]:
    """Checks that accepted jobs finished exactly once and no others ran."""
    finished: collections.Counter[str] = collections.Counter()
    started = set()
    for event in events:
        if event.kind == "start":
            started.add(event.job)
        elif event.kind == "end" and event.detail == "finished":
            finished[event.job] += 1
    violations = [
        Violation("finished-once", job, f"finished {finished[job]} times")
        for job in sorted(accepted)
        if finished[job] != 1
    ]
    violations += [
        Violation("finished-once", job, "ran without being accepted")
        for job in sorted(started - set(accepted))
    ]
    return violations

"""Checks of what must always hold, from the stand-ins' own records alone.

Each check returns what it found broken; an empty list means that it held.
What entry hosts say of themselves is used only where a promise is about what
they said: the answers that callers got, and the jobs that were accepted.
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
    """One promise found broken.

    Attributes:
        rule: Name of the check.
        subject: Request, job, endpoint or worker.
        detail: What was seen.
    """

    rule: str
    subject: str
    detail: str


@attrs.frozen
class SentRequest:
    """One request as its caller saw it."""

    request_id: str
    body: bytes
    idempotent: bool
    answer: client_module.Answer


@attrs.frozen
class RunInterval:
    """Time in which an attempt ran on a worker; `end_ms` may be infinite."""

    job: str
    attempt: int
    worker: str
    start_ms: float
    end_ms: float


def check_requests(
    sent: Sequence[SentRequest], events: Sequence[EndpointEvent]
) -> list[Violation]:
    """All checks about requests."""
    return [
        *limits_kept(events),
        *answers_whole(sent),
        *not_run_never_ran(sent, events),
        *ran_at_most_once(sent, events),
    ]


def check_jobs(
    events: Sequence[WorkerEvent], accepted: Collection[str]
) -> list[Violation]:
    """All checks about batch work, once every accepted job has ended."""
    return [
        *capacity_kept(events),
        *never_in_two_places(events),
        *attempts_start_once(events),
        *resumed_from_checkpoint(events),
        *finished_once(events, accepted),
    ]


def limits_kept(events: Iterable[EndpointEvent]) -> list[Violation]:
    """No endpoint had more requests or connections than it bears."""
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
    """Every answer is whole and belongs to the request it was given for."""
    violations = []
    for one in sent:
        if one.answer.outcome == ANSWERED:
            detail = _wrong_answer(one)
            if detail:
                violations.append(
                    Violation("answers-whole", one.request_id, detail)
                )
    return violations


@attrs.frozen
class _EndpointBody:
    request_id: str
    digest: str


def _wrong_answer(one: SentRequest) -> str:
    try:
        body = msgspec.json.decode(one.answer.body, type=_EndpointBody)
    except msgspec.MsgspecError as error:
        return f"no whole body: {error}"
    if body.request_id != one.request_id:
        return f"got the answer of {body.request_id}"
    if body.digest != xxhash.xxh64_hexdigest(one.body):
        return "the endpoint got another body"
    if one.answer.request_id != one.request_id:
        return f"header names {one.answer.request_id!r}"
    return ""


def not_run_never_ran(
    sent: Iterable[SentRequest], events: Iterable[EndpointEvent]
) -> list[Violation]:
    """A request said to be not run was run by no endpoint.

    An id that was sent several times counts as run if any sending was.
    """
    ran = _runs(events)
    said_ran = {one.request_id for one in sent if one.answer.outcome != NOT_RUN}
    return [
        Violation(
            "not-run-never-ran",
            one.request_id,
            f"ran on {ran[one.request_id][0].endpoint}",
        )
        for one in sent
        if one.answer.outcome == NOT_RUN
        and one.request_id not in said_ran
        and one.request_id in ran
    ]


def ran_at_most_once(
    sent: Iterable[SentRequest], events: Iterable[EndpointEvent]
) -> list[Violation]:
    """A non-idempotent request ran at most once, however often it was sent."""
    ran = _runs(events)
    names = {one.request_id for one in sent if not one.idempotent}
    return [
        Violation(
            "ran-at-most-once",
            name,
            "ran on " + ", ".join(run.endpoint for run in ran[name]),
        )
        for name in sorted(names)
        if len(ran.get(name, ())) > 1
    ]


def _runs(
    events: Iterable[EndpointEvent],
) -> dict[str, list[EndpointEvent]]:
    runs: dict[str, list[EndpointEvent]] = collections.defaultdict(list)
    for event in events:
        if event.kind == "request" and event.outcome != BUSY:
            runs[event.request_id].append(event)
    return dict(runs)


def capacity_kept(events: Iterable[WorkerEvent]) -> list[Violation]:
    """No worker held more than it has, in any dimension."""
    return [
        Violation(
            "capacity-kept", event.worker, f"{event.used} after {event.job}"
        )
        for event in events
        if event.kind == "start"
        and not worker_model.fits(event.used, event.capacity)
    ]


def never_in_two_places(events: Iterable[WorkerEvent]) -> list[Violation]:
    """No two attempts of a job ran at the same time, anywhere."""
    by_job: dict[str, list[RunInterval]] = collections.defaultdict(list)
    for interval in run_intervals(events):
        by_job[interval.job].append(interval)
    violations = []
    for job, found in by_job.items():
        found.sort(key=lambda interval: interval.start_ms)
        for earlier, later in itertools.pairwise(found):
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
    """When each attempt ran; one still running has no end."""
    running: dict[tuple[str, str, int], WorkerEvent] = {}
    found = []
    for event in events:
        key = (event.worker, event.job, event.attempt)
        if event.kind == "start":
            running[key] = event
        elif event.kind == "end" and key in running:
            start = running.pop(key)
            found.append(_run_interval(start, event.at_ms))
    found += [_run_interval(start, float("inf")) for start in running.values()]
    return found


def _run_interval(start: WorkerEvent, end_ms: float) -> RunInterval:
    return RunInterval(
        start.job, start.attempt, start.worker, start.at_ms, end_ms
    )


def attempts_start_once(events: Iterable[WorkerEvent]) -> list[Violation]:
    """Each number of attempt was started once."""
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
    """No attempt resumed further on than the job's last checkpoint."""
    reached: dict[str, int] = {}
    violations = []
    for event in events:
        if event.kind == "checkpoint":
            reached[event.job] = max(
                reached.get(event.job, 0), event.progress_ms
            )
        elif event.kind == "start":
            last_ms = reached.get(event.job, 0)
            if event.progress_ms > last_ms:
                detail = f"at {event.progress_ms} ms, checkpoint {last_ms} ms"
                violations.append(
                    Violation("resumed-from-checkpoint", event.job, detail)
                )
    return violations


def finished_once(
    events: Iterable[WorkerEvent], accepted: Collection[str]
) -> list[Violation]:
    """Each accepted job finished exactly once, and no other one ran."""
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

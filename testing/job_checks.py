"""Checks how jobs ended, from the workers' journal and the hosts' pages."""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

import attrs

from testing import checker
from testing import fleet as fleet_module
from testing import fleet_plan
from testing import job_load

ENDED_PHASES = frozenset({"finished", "cancelled", "parked"})
JOBS_END_TIMEOUT_S = 25.0

Violation = checker.Violation


def wait_all_ended(
    fleet: fleet_module.Fleet,
    submitter: job_load.JobSubmitter,
    seat: str,
    timeout_s: float = JOBS_END_TIMEOUT_S,
) -> None:
    """Waits until one host reports that every accepted job has ended."""
    unconfirmed = submitter.confirm_submissions(timeout_s)
    if unconfirmed:
        raise fleet_plan.FleetError(f"submissions not confirmed: {unconfirmed}")

    def all_ended() -> bool:
        pages = job_pages(fleet, seat)
        return all(
            name in pages and pages[name]["phase"] in ENDED_PHASES
            for name in submitter.accepted
        )

    try:
        fleet.wait_until(all_ended, "all jobs have ended", timeout_s)
    except fleet_plan.FleetError as error:
        pages = job_pages(fleet, seat)
        left = [
            pages.get(name, name)
            for name in submitter.accepted
            if name not in pages or pages[name]["phase"] not in ENDED_PHASES
        ]
        raise fleet_plan.FleetError(
            f"{error}; {len(left)} of {len(submitter.accepted)} jobs have "
            f"not ended, the first of them: {left[:3]}; "
            f"batch status: {fleet.status(seat).get('batch')}"
        ) from error


def job_pages(
    fleet: fleet_module.Fleet, seat: str
) -> dict[str, dict[str, Any]]:
    """Returns all jobs as one host reports them, by id."""
    answer = fleet.client.get(fleet.hosts[seat].operator_address, "/jobs")
    if answer.status != job_load.OK:
        return {}
    return {page["id"]: page for page in answer.json()["jobs"]}


@attrs.frozen
class JobOutcomes:
    """How jobs ended, as reported to submitters and by hosts.

    Attributes:
        accepted: Jobs that were accepted.
        refused: Jobs that were refused.
        cancel_requested: Jobs whose cancellation was requested.
        cancelled: Jobs whose cancellation was confirmed.
        pages: Page of each job, by id.
    """

    accepted: Collection[str]
    refused: Collection[str]
    cancel_requested: Collection[str]
    cancelled: Collection[str]
    pages: Mapping[str, Mapping[str, Any]]


def find_violations(
    fleet: fleet_module.Fleet,
    submitter: job_load.JobSubmitter,
    seat: str,
    faulty: Collection[str] = (),
) -> list[Violation]:
    """Runs all checks of jobs, once all accepted ones have ended.

    Args:
        fleet: Fleet whose stand-ins' journals are checked.
        submitter: Submitter of the jobs.
        seat: Seat of the host whose job pages are read.
        faulty: Workers that died or were unreachable; the end of an attempt
            there may not have been reported in time.
    """
    events = fleet.worker_events()
    outcomes = JobOutcomes(
        submitter.accepted,
        submitter.refused,
        submitter.cancel_requested,
        submitter.cancelled,
        job_pages(fleet, seat),
    )
    return [
        *checker.capacity_kept(events),
        *checker.never_in_two_places(events),
        *checker.attempts_start_once(events),
        *checker.resumed_from_checkpoint(events),
        *resumed_at_checkpoint(events, faulty),
        *ended_as_said(events, outcomes, faulty),
    ]


def resumed_at_checkpoint(
    events: Sequence[checker.WorkerEvent], faulty: Collection[str]
) -> list[Violation]:
    """Checks that attempts do not resume before the last checkpoint."""
    checkpoint_ms: dict[str, int] = {}
    violations = []
    for event in events:
        if event.kind == "checkpoint" and event.worker not in faulty:
            checkpoint_ms[event.job] = event.progress_ms
        elif event.kind == "start":
            last_ms = checkpoint_ms.get(event.job, 0)
            if event.progress_ms < last_ms:
                detail = f"at {event.progress_ms} ms, not {last_ms} ms"
                violations.append(
                    Violation("resumed-at-checkpoint", event.job, detail)
                )
    return violations


def ended_as_said(
    events: Sequence[checker.WorkerEvent],
    outcomes: JobOutcomes,
    faulty: Collection[str],
) -> list[Violation]:
    """Checks that jobs ended once, as reported, and refused ones never ran."""
    started = {event.job for event in events if event.kind == "start"}
    finished_on: dict[str, list[str]] = collections.defaultdict(list)
    for event in events:
        if event.kind == "end" and event.detail == "finished":
            finished_on[event.job].append(event.worker)
    violations = [
        Violation(
            "refused-never-ran", job, "was refused, but ran or has a page"
        )
        for job in outcomes.refused
        if job in started or job in outcomes.pages
    ]
    violations += [
        Violation("ran-unasked", job, "ran without being accepted")
        for job in started - set(outcomes.accepted)
    ]
    for job in outcomes.accepted:
        detail = _describe_wrong_end(job, finished_on[job], outcomes, faulty)
        if detail:
            violations.append(Violation("ended-as-said", job, detail))
    return violations


def _describe_wrong_end(
    job: str,
    finished_on: list[str],
    outcomes: JobOutcomes,
    faulty: Collection[str],
) -> str:
    """Describes how a job's end differs from its page; empty if it doesn't."""
    page = outcomes.pages.get(job)
    if page is None:
        return "is accepted, but has no page"
    # On a faulty worker the end may go unreported, and the job runs again.
    reported = [name for name in finished_on[:-1] if name not in faulty]
    if reported:
        return f"finished more than once, on {finished_on}"
    match page["phase"]:
        case "finished":
            if job in outcomes.cancelled:
                return "finished after its cancellation was confirmed"
            return (
                ""
                if finished_on
                else "is reported as finished, but did not finish"
            )
        case "cancelled":
            return (
                ""
                if job in outcomes.cancel_requested
                else "was cancelled without a request"
            )
        case "parked":
            return "" if page["detail"] else "was parked without a reason"
        case phase:
            return f"has not ended; its phase is {phase}"

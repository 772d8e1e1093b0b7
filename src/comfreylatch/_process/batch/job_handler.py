"""HTTP handler that submits, shows and cancels jobs.

A request is acknowledged only after its record is on the stream and folded. A
submission repeated with the same id and content is answered like the first.
"""

from __future__ import annotations

import enum
from typing import Any
from typing import final

import attrs
import msgspec
import result

from comfreylatch._connection import http
from comfreylatch._ports import configuration as configuration_port
from comfreylatch._ports import hosts
from comfreylatch._ports import streams
from comfreylatch._ports import workers
from comfreylatch._process import journal as journal_module
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import reasons
from comfreylatch._process.batch import capacity
from comfreylatch._process.batch import ownership
from comfreylatch._process.batch import placement
from comfreylatch._process.batch import zone_workers
from comfreylatch._version import configuration as configuration_module
from comfreylatch._version import job_records
from comfreylatch._version import job_state
from comfreylatch._version import zone_fold

APPEND_TIMEOUT_MS = 3_000
FOLD_TIMEOUT_MS = 3_000
MAX_NAME_LENGTH = 128
MAX_BODY_BYTES = 65_536
MAX_AMOUNT = 1_000_000_000
MAX_LISTED_JOBS = 1_000
JOBS_PATH = "/jobs"


@attrs.frozen
class _Submission:
    """Body of a job submission; an empty `zone` means this host's zone."""

    id: str
    team: str
    resources: workers.Resources
    run_time_ms: int
    zone: str = ""
    job_class: str = "other"
    urgent: bool = False


@attrs.frozen
class _Refusal:
    status: int
    reason: reasons.RefusalReason
    detail: str


class JobLookup(enum.StrEnum):
    """Relation of a submission to the jobs known under its id."""

    NEW = "new"
    SAME = "same"
    TAKEN = "taken"


_decoder = msgspec.json.Decoder(_Submission, strict=True)


def job_page(state: job_state.JobState) -> dict[str, Any]:
    """Returns one job as a JSON object for replies."""
    return {
        "id": state.spec.id,
        "team": state.spec.team,
        "zone": state.spec.zone,
        "job_class": state.spec.job_class,
        "resources": state.spec.resources,
        "run_time_ms": state.spec.run_time_ms,
        "urgent": state.spec.urgent,
        "phase": state.phase,
        "cancelled": state.cancelled,
        "attempt": state.attempt,
        "worker": state.worker,
        "checkpoint_ms": state.checkpoint_ms,
        "failures": state.failures,
        "evictions": state.evictions,
        "losses": state.losses,
        "offset": state.changed_offset,
        "detail": state.detail,
    }


@final
class JobHandler:
    """Handles `/jobs` and `/jobs/ID`. Thread-safe."""

    def __init__(
        self,
        zone: str,
        appender: streams.RecordAppender,
        follower: ownership.Follower,
        fold: zone_fold.ZoneFold,
        source: configuration_port.ConfigurationSource,
        journal: journal_module.Journal,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._zone = zone
        self._appender = appender
        self._follower = follower
        self._fold = fold
        self._source = source
        self._journal = journal
        self._metrics = metrics
        self._listed: dict[str, hosts.ListedHost] = {}
        self._stopping = False

    def update_host_list(self, host_list: hosts.HostList) -> None:
        """Sets the list of hosts against which job sizes are checked."""
        self._listed = zone_workers.zone_workers(host_list, self._zone)

    def stop_accepting(self) -> None:
        """Refuses new jobs from now on, as in a planned stop."""
        self._stopping = True

    def handle(self, request: http.HttpRequest) -> http.HttpReply:
        """Answers one request; never raises for bad input."""
        job = request.path[len(JOBS_PATH) :].lstrip("/")
        match request.method, bool(job):
            case "POST", False:
                return self._submit(request)
            case "GET", False:
                return self._list(request)
            case "GET", True:
                return self._show(job)
            case "DELETE", True:
                return self._cancel(job)
            case _:
                detail = f"method {request.method} is not supported here"
                reason = reasons.RefusalReason.BAD_REQUEST
                return self._reply_refused(_Refusal(405, reason, detail))

    # Submitting.

    def _submit(self, request: http.HttpRequest) -> http.HttpReply:
        parsed = self._parse(request.body)
        if isinstance(parsed, result.Err):
            return self._reply_refused(parsed.err_value)
        spec = parsed.ok_value
        lookup = self._look_up(spec)
        if lookup is not JobLookup.NEW:
            return self._reply_known(spec, lookup)
        refusal = self._check_admission(spec)
        if refusal is not None:
            self._journal_event(spec.id, refusal.reason, refusal.detail, -1)
            return self._reply_refused(refusal)
        body = job_records.JobAdmitted(spec)
        appended = self._append(spec.id, body)
        if isinstance(appended, http.HttpReply):
            return appended
        lookup = self._look_up(spec)
        if lookup is JobLookup.NEW:
            return self._reply_unknown(
                "the record is appended but not folded yet"
            )
        self._journal_event(
            spec.id, "admitted", "the record is appended", appended
        )
        return self._reply_known(spec, lookup)

    def _parse(
        self, body: bytes
    ) -> result.Result[job_records.JobSpec, _Refusal]:
        reason = reasons.RefusalReason.BAD_JOB
        if len(body) > MAX_BODY_BYTES:
            too_long = reasons.RefusalReason.BODY_TOO_LONG
            detail = f"a job is at most {MAX_BODY_BYTES} bytes"
            return result.Err(_Refusal(413, too_long, detail))
        try:
            submission = _decoder.decode(body)
        except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
            return result.Err(_Refusal(400, reason, str(error)))
        spec = job_records.JobSpec(
            id=submission.id,
            team=submission.team,
            zone=submission.zone or self._zone,
            job_class=submission.job_class,
            resources=submission.resources,
            run_time_ms=submission.run_time_ms,
            urgent=submission.urgent,
        )
        invalid = _describe_invalid_field(spec)
        if invalid:
            return result.Err(_Refusal(400, reason, invalid))
        return result.Ok(spec)

    def _look_up(self, spec: job_records.JobSpec) -> JobLookup:
        state = self._fold.job(spec.id)
        if state is not None:
            same = state.spec == spec
            return JobLookup.SAME if same else JobLookup.TAKEN
        known_hash = self._fold.retired_spec_hash(spec.id)
        if known_hash is None:
            return JobLookup.NEW
        same = known_hash == job_state.spec_hash(spec)
        return JobLookup.SAME if same else JobLookup.TAKEN

    def _reply_known(
        self, spec: job_records.JobSpec, lookup: JobLookup
    ) -> http.HttpReply:
        if lookup is JobLookup.TAKEN:
            reason = reasons.RefusalReason.JOB_ID_TAKEN
            detail = f"job {spec.id} already exists with different content"
            return self._reply_refused(_Refusal(409, reason, detail))
        state = self._fold.job(spec.id)
        if state is None:
            page = {"id": spec.id, "phase": "ended", "detail": "ended earlier"}
            return http.json_reply(200, page)
        return http.json_reply(200, job_page(state))

    def _check_admission(self, spec: job_records.JobSpec) -> _Refusal | None:
        if self._stopping:
            reason = reasons.RefusalReason.STOPPING
            return _Refusal(503, reason, "this host is stopping")
        configuration = self._source.current()
        if spec.zone != self._zone:
            reason = reasons.RefusalReason.UNKNOWN_ZONE
            detail = (
                f"this host takes jobs of zone {self._zone}; "
                f"submit to a host of zone {spec.zone}"
            )
            return _Refusal(422, reason, detail)
        team = configuration.teams.get(spec.team)
        if team is None:
            reason = reasons.RefusalReason.UNKNOWN_TEAM
            detail = f"team {spec.team} is not configured"
            return _Refusal(422, reason, detail)
        if spec.urgent and not team.may_be_urgent:
            reason = reasons.RefusalReason.URGENT_NOT_ALLOWED
            detail = f"team {spec.team} may not submit urgent jobs"
            return _Refusal(422, reason, detail)
        return self._check_size(spec, configuration, team.quota)

    def _check_size(
        self,
        spec: job_records.JobSpec,
        configuration: configuration_module.Configuration,
        quota: workers.Resources,
    ) -> _Refusal | None:
        reason = reasons.RefusalReason.NEVER_FITS
        usable = zone_workers.usable_capacities(self._listed, configuration)
        never_fits = placement.never_fits(spec.resources, usable)
        if never_fits is not None:
            detail = never_fits.describe(spec.resources)
            return _Refusal(422, reason, detail)
        team = configuration.teams[spec.team]
        exceeded = capacity.insufficient_dimensions(spec.resources, quota)
        if exceeded and not team.may_borrow:
            names = ", ".join(exceeded)
            detail = f"above the quota of team {spec.team}: {names}"
            return _Refusal(422, reason, detail)
        return None

    # Showing and cancelling.

    def _list(self, request: http.HttpRequest) -> http.HttpReply:
        phase = request.query.get("phase", "")
        team = request.query.get("team", "")
        states = [
            state
            for state in self._fold.jobs()
            if phase in ("", state.phase) and team in ("", state.spec.team)
        ]
        page = {
            "zone": self._zone,
            "offset": self._fold.offset(),
            "age_ms": self._follower.age_ms(),
            "count": len(states),
            "jobs": [job_page(state) for state in states[:MAX_LISTED_JOBS]],
        }
        return http.json_reply(200, page)

    def _show(self, job: str) -> http.HttpReply:
        state = self._fold.job(job)
        if state is not None:
            return http.json_reply(200, job_page(state))
        if self._fold.retired_spec_hash(job) is not None:
            page = {"id": job, "phase": "ended", "detail": "ended earlier"}
            return http.json_reply(200, page)
        return self._reply_refused(_unknown_job(job, self._zone))

    def _cancel(self, job: str) -> http.HttpReply:
        state = self._fold.job(job)
        if state is None or state.ended or state.cancelled:
            return self._show(job)
        appended = self._append(job, job_records.JobCancelled(job))
        if isinstance(appended, http.HttpReply):
            return appended
        self._journal_event(
            job, "cancelled", "requested by its submitter", appended
        )
        return self._show(job)

    # Helpers.

    def _append(
        self,
        job: str,
        body: job_records.JobAdmitted | job_records.JobCancelled,
    ) -> int | http.HttpReply:
        outcome = self._appender.append([body], APPEND_TIMEOUT_MS)
        match outcome:
            case result.Ok(appended):
                if not self._follower.wait_for(
                    appended.offset, FOLD_TIMEOUT_MS
                ):
                    return self._reply_unknown("the record is not folded yet")
                return appended.offset
            case result.Err(streams.NotAccepted(detail, retry_after_ms)):
                reason = reasons.RefusalReason.LOG_DOWN
                refusal = _Refusal(503, reason, f"not accepted: {detail}")
                self._journal_event(job, reason, detail, -1)
                return self._reply_refused(refusal, retry_after_ms)
            case result.Err(streams.AppendUnknown(detail)):
                return self._reply_unknown(detail)

    def _reply_unknown(self, detail: str) -> http.HttpReply:
        self._metrics.count(
            metrics_module.Counter.OUTCOMES, reasons.Outcome.UNKNOWN
        )
        advice = f"{detail}; query the job or repeat the same request"
        return http.error_reply(504, reasons.Outcome.UNKNOWN, advice)

    def _reply_refused(
        self, refusal: _Refusal, retry_after_ms: int = 0
    ) -> http.HttpReply:
        self._metrics.count(metrics_module.Counter.REFUSALS, refusal.reason)
        return http.error_reply(
            refusal.status, refusal.reason, refusal.detail, retry_after_ms
        )

    def _journal_event(
        self, job: str, reason: str, sentence: str, offset: int
    ) -> None:
        self._journal.record(reasons.Subject.JOB, job, reason, sentence, offset)


def _unknown_job(job: str, zone: str) -> _Refusal:
    reason = reasons.RefusalReason.UNKNOWN_JOB
    # A path may decode to text that can't be encoded in a JSON reply.
    shown = ascii(job[:MAX_NAME_LENGTH])
    detail = f"job {shown} is not known in zone {zone}"
    return _Refusal(404, reason, detail)


def _is_valid_name(text: str) -> bool:
    if not 0 < len(text) <= MAX_NAME_LENGTH or "/" in text:
        return False
    return text.isascii() and text.isprintable() and " " not in text


def _describe_invalid_field(spec: job_records.JobSpec) -> str:
    """Describes the first invalid field of a job; empty if all are valid."""
    for name in ("id", "team", "zone", "job_class"):
        if not _is_valid_name(getattr(spec, name)):
            return (
                f"{name} must be 1 to {MAX_NAME_LENGTH} printable ASCII "
                "characters without spaces and slashes"
            )
    size = spec.resources
    if not 0 < size.processors_milli <= MAX_AMOUNT:
        return f"processors_milli must be 1 to {MAX_AMOUNT}"
    if not 0 < size.memory_mib <= MAX_AMOUNT:
        return f"memory_mib must be 1 to {MAX_AMOUNT}"
    if not 0 <= size.accelerators <= MAX_AMOUNT:
        return f"accelerators must be 0 to {MAX_AMOUNT}"
    if not 0 < spec.run_time_ms <= MAX_AMOUNT:
        return f"run_time_ms must be 1 to {MAX_AMOUNT}"
    return ""

"""The callers' interface: paths and statuses for what the intake says."""

from __future__ import annotations

from collections.abc import Callable
import re
from typing import final

import logbook

from comfreylatch._connection import http
from comfreylatch._ports import clock as clock_port
from comfreylatch._process import logs
from comfreylatch._process.cell import intake as intake_module
from comfreylatch._process.cell import records
from comfreylatch._process.cell import specs
from comfreylatch.platform import configuration
from comfreylatch.platform import wire

# Time kept back from a caller's deadline to answer it.
ANSWER_MARGIN_MS = 150
DEFAULT_DEADLINE_MS = 3_000
NO_CONFIGURATION_RETRY_MS = 500
MAX_PAYLOAD_BYTES = 4_000

_JOB_ID = re.compile(r"[0-9a-f]{16}")
_logger = logbook.Logger(__name__)

Configured = Callable[[], specs.FleetConfiguration | None]


@final
class CallerPages:
    """Handles one caller's request at a time; many threads may call it."""

    def __init__(
        self,
        configured: Configured,
        intake: intake_module.Intake,
        clock: clock_port.Clock,
    ) -> None:
        self._configured = configured
        self._intake = intake
        self._clock = clock

    def handle(self, request: http.HttpRequest) -> http.HttpReply:
        """Answers a request."""
        configured = self._configured()
        if configured is None:
            return http.error_reply(
                503,
                "no-configuration",
                "no configuration has been read yet",
                NO_CONFIGURATION_RETRY_MS,
            )
        host = request.headers.get("host", "").partition(":")[0]
        queue = configured.queue_of(host, request.path)
        if queue is None:
            return http.error_reply(
                404, "unknown-queue", f"no queue at {host}{request.path}"
            )
        job_id = request.path[len(queue.prefix) :]
        match request.method:
            case "GET" if not job_id:
                return self._waiting(queue)
            case "GET":
                return self._state(job_id)
            case "POST":
                return self._submit(request, queue, job_id)
            case "DELETE":
                return self._cancel(request, job_id)
        return http.error_reply(
            405,
            "method-not-allowed",
            f"a queue takes GET, POST and DELETE, not {request.method}",
        )

    def _wait_ms(self, request: http.HttpRequest) -> int:
        """How long the caller can be kept waiting."""
        text = request.headers.get("x-deadline-ms", "")
        deadline_ms = int(text) if text.isdigit() else DEFAULT_DEADLINE_MS
        used_ms = 0
        if request.received_ms >= 0:
            used_ms = self._clock.monotonic_ms() - request.received_ms
        return max(deadline_ms - used_ms - ANSWER_MARGIN_MS, 1)

    def _submit(
        self,
        request: http.HttpRequest,
        queue: specs.QueueSpec,
        job_id: str,
    ) -> http.HttpReply:
        if not _JOB_ID.fullmatch(job_id):
            return http.error_reply(
                400,
                "bad-job-id",
                f"job id {job_id!r} is not 16 hexadecimal digits",
            )
        try:
            spec = configuration.decode_submission(
                job_id, queue, request.body, self._clock.wall_ms()
            )
        except wire.BadMessageError as error:
            logs.event(_logger, "bad-job", job=job_id, detail=str(error))
            return http.error_reply(400, "bad-job", str(error))
        if len(spec.payload.encode()) > MAX_PAYLOAD_BYTES:
            return http.error_reply(
                400,
                "payload-too-long",
                f"the text of job {job_id} is over {MAX_PAYLOAD_BYTES} bytes",
            )
        return _outcome_reply(self._intake.submit(spec, self._wait_ms(request)))

    def _cancel(self, request: http.HttpRequest, job_id: str) -> http.HttpReply:
        return _outcome_reply(
            self._intake.cancel(job_id, self._wait_ms(request))
        )

    def _state(self, job_id: str) -> http.HttpReply:
        match self._intake.state(job_id):
            case records.JobState() as state:
                return http.json_reply(200, {"State": state.value})
            case intake_module.Unknown():
                return _unknown_reply()
            case intake_module.CannotTell(age_ms):
                return _stale_reply(age_ms)

    def _waiting(self, queue: specs.QueueSpec) -> http.HttpReply:
        match self._intake.waiting(queue):
            case int() as count:
                return http.json_reply(200, {"Waiting": count})
            case intake_module.CannotTell(age_ms):
                return _stale_reply(age_ms)


def _unknown_reply() -> http.HttpReply:
    return http.error_reply(410, "unknown-job", "no such job was accepted")


def _stale_reply(age_ms: int) -> http.HttpReply:
    return http.error_reply(
        503,
        "view-too-old",
        f"this host's view of jobs is {age_ms} ms old; ask another one",
        intake_module.RETRY_AFTER_MS,
    )


def _outcome_reply(
    outcome: intake_module.SubmitOutcome | intake_module.Unknown,
) -> http.HttpReply:
    match outcome:
        case intake_module.Accepted():
            return http.json_reply(200, {})
        case intake_module.Refused(reason, retry_after_ms):
            return http.error_reply(
                503, reason, "the store did not take it", retry_after_ms
            )
        case intake_module.Undecided(detail):
            return http.error_reply(504, "undecided", detail)
        case intake_module.Unknown():
            return _unknown_reply()
